"""Runs model requests with retries and attributes server crashes to requests."""

from basilwinch.relay.budget import RetryBudget, draw_backoff
from basilwinch.relay.relay import Relay
from basilwinch.relay.request import ModelRequest, RelayConfig, count_prompt_tokens
from basilwinch.relay.resume import ResumeKind, ResumePlan, choose_resume
from basilwinch.relay.stall import GapEstimate
from basilwinch.relay.suspect import SuspectConfig, SuspectEntry, SuspectRegistry, digest_request

__all__ = [
    "GapEstimate",
    "ModelRequest",
    "Relay",
    "RelayConfig",
    "ResumeKind",
    "ResumePlan",
    "RetryBudget",
    "SuspectConfig",
    "SuspectEntry",
    "SuspectRegistry",
    "choose_resume",
    "count_prompt_tokens",
    "digest_request",
    "draw_backoff",
]
