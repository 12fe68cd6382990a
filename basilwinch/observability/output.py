"""Non-blocking log output with a limited rate and buffer."""

import os
import time

__all__ = ["BoundedOutput"]

_MAX_BUFFER_BYTES = 262144  # lines are left out while more than this waits for the reader
_MAX_LINES_PER_S = 200  # on average; one token of the token bucket is one line
_MAX_BURST_LINES = 1000


class BoundedOutput:
    """Writes lines to a descriptor without waiting for its reader.

    Lines that exceed the rate, or the buffer while the reader is stalled, are left out and counted.
    The next line that is written is preceded by a line with their count.

    :param descriptor: file descriptor; it is set to non-blocking mode
    :param clock: function that returns the time in seconds
    """

    __slots__ = (
        "_descriptor",
        "_clock",
        "_buffer",
        "_tokens",
        "_refilled_at",
        "left_out",
        "__weakref__",
    )

    def __init__(self, descriptor: int, clock=time.monotonic):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._buffer = b""
        self._tokens = float(_MAX_BURST_LINES)
        self._refilled_at = clock()
        self.left_out = 0

    def write(self, text: str) -> int:
        """Buffer and write a line, or leave it out; return its length in either case."""
        if not self._take_token() or len(self._buffer) > _MAX_BUFFER_BYTES:
            self.left_out += 1
            self._write_buffer()
            return len(text)
        if self.left_out:
            self._buffer += b'{"event": "log lines left out", "count": %d}\n' % self.left_out
            self.left_out = 0
        self._buffer += text.encode()
        self._write_buffer()
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts without blocking."""
        self._write_buffer()

    def _take_token(self) -> bool:
        now = self._clock()
        self._tokens += (now - self._refilled_at) * _MAX_LINES_PER_S
        self._tokens = min(self._tokens, float(_MAX_BURST_LINES))
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write_buffer(self) -> None:
        try:
            while self._buffer:
                count = os.write(self._descriptor, self._buffer)
                self._buffer = self._buffer[count:]
        except BlockingIOError:
            return
        except OSError:
            # The descriptor cannot be written, for example because its reader closed the pipe, so
            # the error cannot be logged. The buffer is discarded and counted as one line left out.
            self._buffer = b""
            self.left_out += 1
