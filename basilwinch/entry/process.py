"""Memory and descriptors of this process, as the system reports them."""

import os
import resource

__all__ = ["ResidentMemory", "count_descriptors"]

_PAGE_BYTES = resource.getpagesize()
_MAX_LINE_BYTES = 256


class ResidentMemory:
    """Reads the resident memory of this process, also while no descriptor is left."""

    __slots__ = ("_descriptor",)

    def __init__(self):
        self._descriptor = os.open("/proc/self/statm", os.O_RDONLY)

    def read_bytes(self) -> int:
        """Return the size in bytes."""
        return int(os.pread(self._descriptor, _MAX_LINE_BYTES, 0).split()[1]) * _PAGE_BYTES

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


def count_descriptors() -> int:
    """Return the number of open file descriptors of this process.

    :raises OSError: if no descriptor is left
    """
    return len(os.listdir("/proc/self/fd")) - 1  # without that of the listing itself
