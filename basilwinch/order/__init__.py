"""Non-idempotent calls: durable claims, three outcomes, lookup."""

from basilwinch.order.claim import Claim, ClaimState
from basilwinch.order.contact import PlatformContact
from basilwinch.order.identity import read_issue_time
from basilwinch.order.outcome import (
    OrderConfig,
    OrderDone,
    OrderNotRun,
    OrderRequest,
    OrderUnknown,
)
from basilwinch.order.runner import OrderRunner
from basilwinch.order.writer import ClaimWriter, Entry

__all__ = [
    "Claim",
    "ClaimState",
    "ClaimWriter",
    "Entry",
    "OrderConfig",
    "OrderDone",
    "OrderNotRun",
    "OrderRequest",
    "OrderRunner",
    "OrderUnknown",
    "PlatformContact",
    "read_issue_time",
]
