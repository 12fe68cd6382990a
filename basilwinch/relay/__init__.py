"""Runs model requests with retries."""

from basilwinch.relay.budget import RetryBudget, draw_backoff
from basilwinch.relay.relay import Relay
from basilwinch.relay.request import ModelRequest, RelayConfig, count_prompt_tokens
from basilwinch.relay.resume import ResumeKind, ResumePlan, choose_resume
from basilwinch.relay.stall import GapEstimate

__all__ = [
    "GapEstimate",
    "ModelRequest",
    "Relay",
    "RelayConfig",
    "ResumeKind",
    "ResumePlan",
    "RetryBudget",
    "choose_resume",
    "count_prompt_tokens",
    "draw_backoff",
]
