"""Runs of the event loop that repeat exactly."""

import trio
import trio._core._run as scheduler
import trio.testing

__all__ = ["run_virtual", "seed_scheduler"]


def seed_scheduler(seed: int) -> None:
    """Make the order in which trio runs ready tasks depend on a seed alone.

    trio shuffles ready tasks with a generator of its own, so two runs of the same seed would
    otherwise differ. It has no public switch for this; pytest-trio sets the same two attributes.

    :param seed: seed of the order
    """
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(seed)


def run_virtual(function, *args, seed: int = 0):
    """Run an async function on a virtual clock that jumps to the next deadline.

    :param function: async function
    :param args: its arguments
    :param seed: seed of the order of tasks
    :returns: what the function returns

    >>> async def sleep_long():
    ...     await trio.sleep(3600)
    ...     return trio.current_time()
    >>> run_virtual(sleep_long)
    3600.0
    """
    seed_scheduler(seed)
    return trio.run(function, *args, clock=trio.testing.MockClock(autojump_threshold=0))
