"""One attempt of a model request."""

from contextlib import AsyncExitStack

import trio

from basilwinch.exception import Failure
from basilwinch.pipeline import FrameChecker
from basilwinch.relay.stall import GapEstimate
from basilwinch.routing import RouteChoice

__all__ = ["Attempt"]


class Attempt:
    """One attempt in progress.

    :param number: number of the attempt, from 1
    :param run_id: id of the attempt in the suspect registry
    :param choice: chosen chain
    :param checker: checks the frames received
    :param gap_estimate: gives the stall timeout
    """

    __slots__ = (
        "number",
        "run_id",
        "choice",
        "head",
        "stream",
        "checker",
        "gap_estimate",
        "exit_stack",
        "started_at",
        "last_frame_at",
        "frame_count",
        "scope",
        "stalled",
        "failure",
        "ended",
    )

    def __init__(
        self,
        number: int,
        run_id: str,
        choice: RouteChoice,
        checker: FrameChecker,
        gap_estimate: GapEstimate,
    ):
        self.number = number
        self.run_id = run_id
        self.choice = choice
        self.head = choice.chain.servers[0]
        self.checker = checker
        self.gap_estimate = gap_estimate
        self.stream = None
        self.exit_stack = AsyncExitStack()
        self.started_at = self.last_frame_at = trio.current_time()
        self.frame_count = 0
        #: Scope of the task that runs it as a backup; None if the iterating task reads it.
        self.scope: trio.CancelScope | None = None
        #: Whether it has been reported as silent since its last frame.
        self.stalled = False
        #: Failure for which its read was cancelled, or None.
        self.failure: Failure | None = None
        self.ended = False
