"""Findings of the checks."""

import enum

from basilwinch.record import Record

__all__ = ["Finding", "Severity"]


class Severity(enum.StrEnum):
    """Severity of a finding; only an error makes a configuration unfit to be published."""

    ERROR = "error"
    WARNING = "warning"
    CHANGE = "change"


class Finding(Record):
    """One result of the checks.

    :param severity: :class:`Severity`
    :param code: stable code, listed in docs/operators/check.md
    :param place: such as ``routes[3].timeout-ms``, or the kind and name of an entry
    :param text: description for operators, without any API key
    """

    __slots__ = ("severity", "code", "place", "text")

    @classmethod
    def error(cls, code: str, place: str, text: str) -> "Finding":
        """Return an error."""
        return cls(Severity.ERROR, code, place, text)

    @classmethod
    def warning(cls, code: str, place: str, text: str) -> "Finding":
        """Return a warning."""
        return cls(Severity.WARNING, code, place, text)

    @classmethod
    def change(cls, code: str, place: str, text: str) -> "Finding":
        """Return a difference from the version in force."""
        return cls(Severity.CHANGE, code, place, text)
