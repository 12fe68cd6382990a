"""Runs long computations, written as generators, in steps that do not block the event loop."""

import trio

__all__ = ["run_steps", "run_steps_cooperatively"]


def run_steps(steps):
    """Run a generator to its end without interruption and return its value.

    >>> def work():
    ...     yield
    ...     return 3
    >>> run_steps(work())
    3
    """
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value


async def run_steps_cooperatively(steps):
    """Run a generator to its end and return its value; other tasks run between its steps."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value
        await trio.lowlevel.checkpoint()
