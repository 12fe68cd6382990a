"""Runs all checks of a configuration or a release note."""

from functools import singledispatch

from basilwinch.lint import keys, limits, matching, notes, states, targets
from basilwinch.lint.draft import Draft
from basilwinch.lint.finding import Finding
from basilwinch.release import ReleaseNote, State

__all__ = ["check"]

_ENTRY_CHECKS = (
    matching.check_repeated_routes,
    matching.check_prefixes,
    matching.check_hosts,
    targets.check_weights,
    targets.check_repeated,
    keys.check_organisations,
    keys.check_keys,
    limits.check_times,
    limits.check_gap_targets,
    limits.check_attempts,
    limits.check_caller_limits,
)
# These would raise false alarms if entries in error are left out.
_REFERENCE_CHECKS = (targets.check_missing, targets.check_unused, keys.check_callers)
_NOTE_CHECKS = (notes.check_repeated_values, notes.check_rates)
_STATE_CHECKS = (states.check_services, states.check_models, states.check_organisations)


@singledispatch
def check(subject) -> list[Finding]:
    """Return the findings for a draft of a configuration, a release note, or a state.

    The checks of a state need all entries, those of a note only the entries of the note.
    """
    raise TypeError(f"no checks for {type(subject).__name__}")


@check.register
def _(subject: Draft) -> list[Finding]:
    findings = _run(_ENTRY_CHECKS, subject)
    return findings + _run(_REFERENCE_CHECKS, subject) if subject.complete else findings


@check.register
def _(subject: ReleaseNote) -> list[Finding]:
    return _run(_NOTE_CHECKS, subject)


@check.register
def _(subject: State) -> list[Finding]:
    return _run(_STATE_CHECKS, subject)


def _run(checks, subject) -> list[Finding]:
    return [finding for run in checks for finding in run(subject)]
