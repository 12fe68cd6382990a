"""Append-only event histories of test runs, and checkers of the system's invariants."""

from basilwinch.history.checker import CHECKERS, check_history
from basilwinch.history.event import (
    Answered,
    AttemptSent,
    History,
    Invoked,
    LayersRan,
    NoteAccepted,
    NoteApplied,
    OrderRan,
    Outcome,
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
    "AttemptSent",
    "CHECKERS",
    "History",
    "Invoked",
    "LayersRan",
    "NoteAccepted",
    "NoteApplied",
    "OrderRan",
    "Outcome",
    "ServerLeaving",
    "ServerReturned",
    "ServerStopped",
    "TokenDelivered",
    "Violation",
    "VmStarted",
    "VmStopped",
    "check_history",
]
