"""Progress of a node's first read of the store, without I/O."""

import trio

__all__ = ["FirstRead"]


class FirstRead:
    """Tells requests that arrive before the first view whether to wait for it.

    ``is_pending`` is true from the start of the process until the view is complete for the first
    time, except between a read that failed and the next one.
    """

    __slots__ = ("is_pending", "is_complete", "_ended")

    def __init__(self):
        self.is_pending = True
        self.is_complete = False
        self._ended = trio.Event()

    def begin(self) -> None:
        """Record that a read begins; has no effect after the first complete one."""
        if not self.is_complete and not self.is_pending:
            self.is_pending = True
            self._ended = trio.Event()

    def complete(self) -> None:
        """Record that the view is complete."""
        self.is_complete = True
        self._end()

    def fail(self) -> None:
        """Record that the read has failed, or that nothing is to wait for it."""
        self._end()

    async def wait(self) -> None:
        """Wait until the read has ended, complete or not."""
        await self._ended.wait()

    def _end(self) -> None:
        self.is_pending = False
        self._ended.set()
