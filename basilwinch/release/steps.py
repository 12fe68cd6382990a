"""Long work in steps, so that an event loop that carries tokens is not blocked."""

import trio

__all__ = ["finish", "finish_in_turns"]


def finish(steps):
    """Run a generator to its end at once and return its value.

    >>> def work():
    ...     yield
    ...     return 3
    >>> finish(work())
    3
    """
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value


async def finish_in_turns(steps):
    """Run a generator to its end and return its value; other tasks run between its steps."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value
        await trio.lowlevel.checkpoint()
