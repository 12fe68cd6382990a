"""Append-only histories of concurrent runs and independent checkers of the invariants."""

from basilwinch.history.checker import CHECKERS, check_history
from basilwinch.history.event import (
    Answered,
    History,
    Invoked,
    LayersRan,
    NoteAccepted,
    NoteApplied,
    OrderRan,
    Outcome,
    Sent,
    ServerLeaving,
    ServerReturned,
    ServerStopped,
    TokenDelivered,
    Violation,
    VmStarted,
    VmStopped,
)

__all__ = [
    "Answered",
    "CHECKERS",
    "History",
    "Invoked",
    "LayersRan",
    "NoteAccepted",
    "NoteApplied",
    "OrderRan",
    "Outcome",
    "Sent",
    "ServerLeaving",
    "ServerReturned",
    "ServerStopped",
    "TokenDelivered",
    "Violation",
    "VmStarted",
    "VmStopped",
    "check_history",
]
