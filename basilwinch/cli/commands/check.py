"""``basilwinch check``: checks a note or a configuration without connecting to the platform."""

import argparse

from basilwinch.cli.arguments import add_sub_command, add_switch
from basilwinch.exception import INVALID_SETTING, ConfigurationError, Failure
from basilwinch.lint import Draft, check, compare, describe_entry_change
from basilwinch.platform.draft import read_draft
from basilwinch.release import ReleaseNote, Revision, State, plan_note, read_note_file
from basilwinch.release.plan import combine_failures

__all__ = ["add_parser", "read_note_or_failure", "run"]


def add_parser(commands) -> None:
    """Add the sub-command."""
    help = "Check a release note or a configuration document, offline."
    parser = add_sub_command(commands, "check", help, run)
    parser.add_argument("file", help="Release note (TOML) or configuration document (JSON).")
    add_switch(parser, "--first", "Also check references, as for the first note of a deployment.")
    parser.add_argument(
        "--against",
        metavar="FILE",
        help="File of the version in force, to show what differs; for a note, the output of "
        "'basilwinch status --entries'.",
    )
    parser.add_argument(
        "--servers",
        metavar="SERVICE=N,...",
        type=_parse_server_counts,
        default={},
        help="Number of servers of each service, to check the numbers of attempts.",
    )
    parser.add_argument(
        "--output",
        dest="json",
        metavar="{text,json}",
        type=_parse_output,
        default=argparse.SUPPRESS,
        help="Format of the output; json is the same as --json.",
    )


def read_note_or_failure(path: str) -> ReleaseNote | Failure:
    """Read the note in a file; returns one failure with all errors if it is not valid."""
    note = read_note_file(path)
    return combine_failures(note) if isinstance(note, list) else note


async def run(args, context) -> int:
    """Run the sub-command."""
    if args.first and args.against:
        raise _refuse("--first and --against can't be used together")
    if _is_document(args.file):
        if args.first:
            raise _refuse("--first applies to release notes only")
        return _check_document(args, context.output)
    return _check_note(args, context.output)


def _check_document(args, output) -> int:
    draft, findings = read_draft(_read_file(args.file))
    if draft is None:
        return output.report_findings(args.file, 0, findings)
    findings += check(draft.replace(server_counts=args.servers))
    if args.against:
        findings += compare(draft, _read_current_draft(args.against))
    entries = len(draft.routes) + len(draft.services) + len(draft.organisations or ())
    return output.report_findings(args.file, entries, findings)


def _read_current_draft(path: str) -> Draft:
    if not _is_document(path):
        raise _refuse(f"--against: {path} is no configuration document (JSON)")
    draft, findings = read_draft(_read_file(path))
    if findings:
        raise _refuse(f"--against: {path}: {findings[0].place}: {findings[0].text}")
    return draft


def _check_note(args, output) -> int:
    note = read_note_or_failure(args.file)
    if isinstance(note, Failure):
        return output.fail(note)
    findings = check(note)
    if args.first or args.against:
        state = _read_current_state(args.against) if args.against else State.empty()
        changes = plan_note(note, state)
        if isinstance(changes, Failure):
            return output.fail(changes)
        findings += check(state.applied(Revision(state.revision.number + 1, ""), changes))
        if args.against:
            findings += map(describe_entry_change, changes)
    return output.report_findings(args.file, len(note.items), findings)


def _read_current_state(path: str) -> State:
    if _is_document(path):
        raise _refuse(f"--against: {path} is no release note (TOML)")
    note = read_note_or_failure(path)
    changes = plan_note(note, State.empty()) if note else note
    if isinstance(changes, Failure):
        first = changes.detail["errors"][0]["reason"]
        raise _refuse(f"--against: {path} does not hold all entries in effect: {first}")
    return State.empty().applied(Revision(1, ""), changes)


def _is_document(path: str) -> bool:
    """Tell whether a file is a JSON document; a TOML document can't begin with a brace."""
    if path.endswith(".json"):
        return True
    try:
        with open(path, "rb") as file:
            return file.read(100).removeprefix(b"\xef\xbb\xbf").lstrip().startswith(b"{")
    except OSError:
        # The reader of notes reports the error.
        return False


def _read_file(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise _refuse(str(error)) from None


def _refuse(reason: str) -> ConfigurationError:
    return ConfigurationError(INVALID_SETTING.because(reason))


def _parse_server_counts(text: str) -> dict[str, int]:
    """Return the number of servers by service.

    >>> _parse_server_counts("web=3,chat=12")
    {'web': 3, 'chat': 12}
    """
    counts = {}
    for part in filter(None, text.split(",")):
        service, _, number = part.rpartition("=")
        counts[service.strip()] = int(number)
    if "" in counts or any(count < 0 for count in counts.values()):
        raise ValueError(text)
    return counts


def _parse_output(text: str) -> bool:
    if text not in ("text", "json"):
        raise ValueError(text)
    return text == "json"
