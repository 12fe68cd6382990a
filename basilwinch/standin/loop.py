"""Deterministic runs of the trio event loop on a virtual clock."""

import trio
import trio._core._run as trio_run
import trio.testing

__all__ = ["run_virtual", "seed_trio_scheduler"]


def seed_trio_scheduler(seed: int) -> None:
    """Make the order in which trio runs ready tasks depend only on a seed.

    trio shuffles ready tasks with its own random generator, so runs with the same seed would
    otherwise differ. It has no public way to seed it; pytest-trio sets the same two private
    attributes.

    :param seed: seed of the task order
    """
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(seed)


def run_virtual(function, *args, seed: int = 0):
    """Run an async function on a virtual clock that jumps to the next deadline.

    :param function: async function
    :param args: positional arguments of the function
    :param seed: seed of the task order
    :returns: return value of the function

    >>> async def sleep_long():
    ...     await trio.sleep(3600)
    ...     return trio.current_time()
    >>> run_virtual(sleep_long)
    3600.0
    """
    seed_trio_scheduler(seed)
    return trio.run(function, *args, clock=trio.testing.MockClock(autojump_threshold=0))
