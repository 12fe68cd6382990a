"""Offline checks of a configuration before it is published."""

from basilwinch.lint.checks import check
from basilwinch.lint.differences import compare, describe_entry_change
from basilwinch.lint.draft import Draft, Entry, KeyHolder
from basilwinch.lint.finding import Finding, Severity

__all__ = [
    "Draft",
    "Entry",
    "Finding",
    "KeyHolder",
    "Severity",
    "check",
    "compare",
    "describe_entry_change",
]
