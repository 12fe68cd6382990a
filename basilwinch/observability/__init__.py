"""Logs, metrics and the decision log."""

from basilwinch.observability.decision import DecisionLog
from basilwinch.observability.logs import configure_logs

__all__ = ["DecisionLog", "configure_logs"]
