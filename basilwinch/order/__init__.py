"""At-most-once execution of non-idempotent calls: durable claims, three outcomes, lookup."""

from basilwinch.order.claim import Claim, ClaimState
from basilwinch.order.identity import read_issue_time
from basilwinch.order.outage import OutageTracker
from basilwinch.order.outcome import (
    OrderConfig,
    OrderDone,
    OrderNotRun,
    OrderRequest,
    OrderUnknown,
)
from basilwinch.order.runner import OrderRunner
from basilwinch.order.writer import ClaimEntry, ClaimWriter

__all__ = [
    "Claim",
    "ClaimState",
    "ClaimWriter",
    "ClaimEntry",
    "OrderConfig",
    "OrderDone",
    "OrderNotRun",
    "OrderRequest",
    "OrderRunner",
    "OrderUnknown",
    "OutageTracker",
    "read_issue_time",
]
