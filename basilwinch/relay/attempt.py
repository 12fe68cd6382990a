"""One attempt of a model request."""

from contextlib import AsyncExitStack

import trio

from basilwinch.pipeline import FrameChecker
from basilwinch.relay.stall import GapEstimate
from basilwinch.routing import RouteChoice

__all__ = ["Attempt"]


class Attempt:
    """The attempt in progress: its chain, stream and checks."""

    __slots__ = (
        "number",
        "choice",
        "stream",
        "checker",
        "gap",
        "stack",
        "started",
        "last",
        "frames",
    )

    def __init__(self, number: int, choice: RouteChoice, checker: FrameChecker, gap: GapEstimate):
        self.number = number
        self.choice = choice
        self.checker = checker
        self.gap = gap
        self.stream = None
        self.stack = AsyncExitStack()
        self.started = self.last = trio.current_time()
        self.frames = 0
