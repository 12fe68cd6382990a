"""Log lines to a file descriptor that never block and are bounded."""

import os
import time

__all__ = ["BoundedOutput"]

_BUFFER_BYTES = 262144  # lines that wait for the reader; beyond that, lines are left out
_LINES_PER_S = 200  # written in a second at most, on average
_BURST_LINES = 1000


class BoundedOutput:
    """Writes lines to a descriptor without waiting for its reader.

    Lines beyond the rate, or while the reader stands still, are left out and counted; the next line
    that is written is preceded by their number.

    :param descriptor: file descriptor, set to non-blocking
    :param clock: function that returns the time in seconds
    """

    __slots__ = (
        "_descriptor",
        "_clock",
        "_waiting",
        "_tokens",
        "_filled_at",
        "left_out",
        "__weakref__",
    )

    def __init__(self, descriptor: int, clock=time.monotonic):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._waiting = b""
        self._tokens = float(_BURST_LINES)
        self._filled_at = clock()
        self.left_out = 0

    def write(self, text: str) -> int:
        """Write a line, or leave it out."""
        if not self._take_token() or len(self._waiting) > _BUFFER_BYTES:
            self.left_out += 1
            self._push()
            return len(text)
        if self.left_out:
            self._waiting += b'{"event": "log lines left out", "count": %d}\n' % self.left_out
            self.left_out = 0
        self._waiting += text.encode()
        self._push()
        return len(text)

    def flush(self) -> None:
        """Write what the reader takes."""
        self._push()

    def _take_token(self) -> bool:
        now = self._clock()
        self._tokens += (now - self._filled_at) * _LINES_PER_S
        self._tokens = min(self._tokens, float(_BURST_LINES))
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _push(self) -> None:
        try:
            while self._waiting:
                count = os.write(self._descriptor, self._waiting)
                self._waiting = self._waiting[count:]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads; there is nowhere to say so. The count of lines left out goes on.
            self._waiting = b""
            self.left_out += 1
