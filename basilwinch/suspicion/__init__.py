"""Attribution of server crashes to requests and parts of prompts, without I/O."""

from basilwinch.suspicion.evidence import SuspectEntry, digest_part, digest_request
from basilwinch.suspicion.exchange import SuspectExchange
from basilwinch.suspicion.isolation import IsolationClaim, IsolationWait, NextAttempt
from basilwinch.suspicion.registry import SuspectRegistry
from basilwinch.suspicion.settings import SuspectConfig

__all__ = [
    "IsolationClaim",
    "IsolationWait",
    "NextAttempt",
    "SuspectConfig",
    "SuspectEntry",
    "SuspectExchange",
    "SuspectRegistry",
    "digest_part",
    "digest_request",
]
