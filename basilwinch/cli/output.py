"""Exit codes of the tool, and rendering of results as text or JSON."""

import datetime
import enum
import json

from basilwinch.exception import (
    CONFIGURATION_INVALID,
    INVALID_SETTING,
    NOT_IN_EFFECT,
    NOTE_CONFLICT,
    NOTE_CONTENDED,
    NOTE_INVALID,
    NOTE_UNSETTLED,
    PLATFORM_UNAVAILABLE,
    UNKNOWN_REVISION,
    Failure,
)
from basilwinch.lint import Finding, Severity
from basilwinch.release import Change, StoredNote, Verb

__all__ = ["ExitCode", "describe_change", "describe_changes", "find_exit_code", "format_time"]


class ExitCode(enum.IntEnum):
    """Exit codes of the tool, listed in docs/operators/release-notes.md."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNSETTLED = 6
    NOT_IN_EFFECT = 7
    UNKNOWN_REVISION = 8


_EXIT_CODES = {
    INVALID_SETTING: ExitCode.USAGE,
    NOTE_INVALID: ExitCode.INVALID,
    NOTE_CONFLICT: ExitCode.CONFLICT,
    NOTE_CONTENDED: ExitCode.CONFLICT,
    PLATFORM_UNAVAILABLE: ExitCode.UNAVAILABLE,
    NOTE_UNSETTLED: ExitCode.UNSETTLED,
    NOT_IN_EFFECT: ExitCode.NOT_IN_EFFECT,
    UNKNOWN_REVISION: ExitCode.UNKNOWN_REVISION,
}


def find_exit_code(failure: Failure) -> ExitCode:
    """Return the exit code for a failure."""
    return _EXIT_CODES.get(failure.kind, ExitCode.FAILED)


def format_time(seconds: float) -> str:
    """Return a time as text in UTC.

    :param seconds: seconds since the epoch

    >>> format_time(0)
    '1970-01-01 00:00:00Z'
    """
    utc_time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return utc_time.strftime("%Y-%m-%d %H:%M:%SZ")


def describe_change(change: Change) -> str:
    """Return a change as one line of text.

    >>> change = Change("changed", "server", "a", {"name": "a", "zone": "y"}, {"zone": "x"})
    >>> describe_change(change)
    'changed    server a: zone "x" -> "y"'
    """
    line = f"{change.verb:<10} {change.kind} {change.name}"
    if change.verb is not Verb.CHANGED:
        return line
    values = (
        f"{key} {_format_value(old)} -> {_format_value(change.after.get(key))}"
        for key, old in change.before.items()
    )
    return f"{line}: {', '.join(values)}"


def describe_changes(changes) -> str:
    """Return one line for each change and a last line with the count of each verb."""
    lines = [describe_change(change) for change in changes]
    counts = (f"{sum(change.verb is verb for change in changes)} {verb}" for verb in Verb)
    return "\n".join([*lines, ", ".join(counts)])


def describe_note(stored_note: StoredNote) -> str:
    """Return a line with the revision, time, id, author and title of an accepted note."""
    fields = [
        f"revision {stored_note.revision.number}",
        format_time(stored_note.time),
        f"note {stored_note.note}",
    ]
    return "  ".join([*fields, *filter(None, [stored_note.author, stored_note.title])])


def build_note_fields(stored_note: StoredNote) -> dict:
    """Return the fields of an accepted note for JSON output."""
    return {
        "revision": stored_note.revision.number,
        "note": stored_note.note,
        "title": stored_note.title,
        "author": stored_note.author,
        "time": stored_note.time,
        "changes": [change.to_dict() for change in stored_note.changes],
    }


def describe_failure(failure: Failure) -> str:
    """Return a failure as lines ``file:line: code: reason``, one for each error in a note."""
    errors = failure.detail.get("errors")
    if errors:
        return "\n".join(map(_describe_error, errors))
    return _describe_error(failure.to_dict())


def describe_finding(finding: Finding) -> str:
    """Return a finding as one line.

    >>> describe_finding(Finding.error("timeout-zero", "routes[0].timeout-ms", "it is 0"))
    'error      routes[0].timeout-ms: timeout-zero: it is 0'
    """
    return f"{finding.severity:<10} {finding.place}: {finding.code}: {finding.text}"


def _describe_error(error: dict) -> str:
    detail = error.get("detail", {})
    location = f"{detail['file']}:{detail['line']}: " if "file" in detail else ""
    return f"{location}{error['code']}: {error['reason']}"


def _format_value(value) -> str:
    return json.dumps(value, ensure_ascii=False)


class Output:
    """Writes the result of a sub-command.

    :param stream: text stream to write to
    :param as_json: whether to write one JSON object instead of text
    """

    __slots__ = ("_stream", "_as_json")

    def __init__(self, stream, as_json: bool):
        self._stream = stream
        self._as_json = as_json

    def succeed(self, text: str, **fields) -> ExitCode:
        """Write a result and return ``ExitCode.DONE``.

        :param text: result for text output
        :param fields: result for JSON output, by key
        """
        self._write(text, {"ok": True, **fields})
        return ExitCode.DONE

    def fail(self, failure: Failure) -> ExitCode:
        """Write a failure and return its exit code."""
        self._write(describe_failure(failure), {"ok": False, "error": failure.to_dict()})
        return find_exit_code(failure)

    def report_findings(self, file: str, entries: int, findings: list[Finding]) -> ExitCode:
        """Write the findings of the checks.

        :param file: name of the checked file
        :param entries: number of entries in the file
        :param findings: all findings, in the order in which they are shown
        :returns: ``ExitCode.FAILED`` if there are errors, ``ExitCode.DONE`` otherwise
        """
        counts = {
            severity: sum(finding.severity is severity for finding in findings)
            for severity in Severity
        }
        summary = ", ".join(
            f"{count} {severity}{'' if count == 1 else 's'}" for severity, count in counts.items()
        )
        fields = {"file": file, "entries": entries, "counts": counts}
        fields["findings"] = [finding.to_dict() for finding in findings]
        last_line = f"{file}: {summary} in {entries} entries"
        text = "\n".join([*map(describe_finding, findings), last_line])
        if not counts[Severity.ERROR]:
            return self.succeed(text, **fields)
        failure = CONFIGURATION_INVALID.because(summary)
        self._write(text, {"ok": False, "error": failure.to_dict(), **fields})
        return find_exit_code(failure)

    def _write(self, text: str, fields: dict):
        if self._as_json:
            text = json.dumps(fields, ensure_ascii=False)
        print(text, file=self._stream)
