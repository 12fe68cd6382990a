"""Non-blocking log output with a limited rate and buffer."""

import os
import time

__all__ = ["BoundedOutput"]

_MAX_BUFFER_BYTES = 262144  # lines are left out while more than this waits for the reader
# Room in the buffer for lines that end requests only: 10 s of 200 lines a second of 500 bytes.
_REQUEST_END_RESERVE_BYTES = 1048576
_MAX_LINES_PER_S = 200  # on average; one token of the token bucket is one line
_MAX_BURST_LINES = 1000
# Between two lines that count the lines left out, since an overload leaves out lines all the time.
_COUNT_INTERVAL_S = 1.0


class BoundedOutput:
    """Writes lines to a descriptor without waiting for its reader.

    Lines that exceed the rate, or the buffer while the reader is stalled, are left out and counted.
    A line that ends a request takes its part of the rate, but is written even if there is none
    left, and the buffer keeps room for such lines. ``left_out`` counts all lines that were left out
    and ``request_ends_left_out`` those of them that end requests, both since the last line with
    their counts. Such a line precedes the next line that is written, at most once a second.

    :param descriptor: file descriptor; it is set to non-blocking mode
    :param clock: function that returns the time in seconds
    """

    __slots__ = (
        "_descriptor",
        "_clock",
        "_buffer",
        "_tokens",
        "_refilled_at",
        "_next_count_at",
        "left_out",
        "request_ends_left_out",
        "__weakref__",
    )

    def __init__(self, descriptor: int, clock=time.monotonic):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._buffer = bytearray()
        self._tokens = float(_MAX_BURST_LINES)
        self._refilled_at = clock()
        self._next_count_at = self._refilled_at
        self.left_out = 0
        self.request_ends_left_out = 0

    def write(self, text: str) -> int:
        """Buffer and write a line, or leave it out; return its length in either case."""
        if self._take_token() and len(self._buffer) <= _MAX_BUFFER_BYTES:
            self._append(text)
        else:
            self.left_out += 1
        self._write_buffer()
        return len(text)

    def write_request_end(self, text: str) -> int:
        """Like :meth:`write`, for a line that ends a request; the rate does not leave it out."""
        self._take_token()
        if len(self._buffer) <= _MAX_BUFFER_BYTES + _REQUEST_END_RESERVE_BYTES:
            self._append(text)
        else:
            self.left_out += 1
            self.request_ends_left_out += 1
        self._write_buffer()
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts without blocking."""
        self._write_buffer()

    def _append(self, text: str) -> None:
        if self.left_out and self._refilled_at >= self._next_count_at:
            self._buffer += (
                b'{"event": "log lines left out", "count": %d, "request_ends": %d}\n'
                % (self.left_out, self.request_ends_left_out)
            )
            self.left_out = self.request_ends_left_out = 0
            self._next_count_at = self._refilled_at + _COUNT_INTERVAL_S
        self._buffer += text.encode()

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
                del self._buffer[:count]
        except BlockingIOError:
            return
        except OSError:
            # The descriptor cannot be written, for example because its reader closed the pipe, so
            # the error cannot be logged. The buffer is discarded and counted as one line left out.
            self._buffer.clear()
            self.left_out += 1
