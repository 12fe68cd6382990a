"""One attempt of a model request."""

from contextlib import AsyncExitStack

import trio

from basilwinch.pipeline import FrameChecker
from basilwinch.relay.stall import GapEstimate
from basilwinch.routing import RouteChoice

__all__ = ["Attempt"]


class Attempt:
    """One attempt in progress.

    :param number: number of the attempt, from 1
    :param choice: chosen chain
    :param checker: checks the frames received
    :param gap_estimate: gives the stall timeout
    """

    __slots__ = (
        "number",
        "choice",
        "stream",
        "checker",
        "gap_estimate",
        "exit_stack",
        "started_at",
        "last_frame_at",
        "frame_count",
    )

    def __init__(
        self, number: int, choice: RouteChoice, checker: FrameChecker, gap_estimate: GapEstimate
    ):
        self.number = number
        self.choice = choice
        self.checker = checker
        self.gap_estimate = gap_estimate
        self.stream = None
        self.exit_stack = AsyncExitStack()
        self.started_at = self.last_frame_at = trio.current_time()
        self.frame_count = 0
