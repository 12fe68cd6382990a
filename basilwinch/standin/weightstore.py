"""Simulated weight store with limited bandwidth."""

import trio

__all__ = ["RateLimitedWeightStore"]


class RateLimitedWeightStore:
    """Implements :class:`~basilwinch.store.WeightStore`; serves one fetch at a time.

    :param bytes_per_s: bandwidth in bytes per second

    >>> RateLimitedWeightStore(1e9).fetch_time_s(2_000_000_000)
    2.0
    """

    def __init__(self, bytes_per_s: float):
        self.bytes_per_s = bytes_per_s
        self.fetched_bytes = 0
        self._free_at = 0.0

    def fetch_time_s(self, size_bytes: int) -> float:
        """Return the seconds that a fetch of ``size_bytes`` bytes takes without queueing."""
        return size_bytes / self.bytes_per_s

    async def fetch(self, size_bytes: int) -> None:
        """Fetch ``size_bytes`` bytes after all earlier fetches, and wait until that is done."""
        start = max(trio.current_time(), self._free_at)
        self._free_at = start + self.fetch_time_s(size_bytes)
        await trio.sleep_until(self._free_at)
        self.fetched_bytes += size_bytes
