"""``basilwinch check``: validates a note without connecting to the platform."""

from basilwinch.cli.arguments import add_note_file, add_sub_command, add_switch
from basilwinch.exception import Failure
from basilwinch.release import ReleaseNote, State, plan_note, read_note_file
from basilwinch.release.plan import combine_failures

__all__ = ["add_parser", "read_note_or_failure", "run"]


def add_parser(commands) -> None:
    """Add the sub-command."""
    parser = add_sub_command(commands, "check", "Check the syntax and values of a note.", run)
    add_note_file(parser)
    add_switch(parser, "--first", "Also check references, as for the first note of a deployment.")


def read_note_or_failure(path: str) -> ReleaseNote | Failure:
    """Read the note in a file; returns one failure with all errors if it is not valid."""
    note = read_note_file(path)
    return combine_failures(note) if isinstance(note, list) else note


async def run(args, context) -> int:
    """Run the sub-command."""
    note = read_note_or_failure(args.file)
    if isinstance(note, Failure):
        return context.output.fail(note)
    if args.first:
        changes = plan_note(note, State.empty())
        if isinstance(changes, Failure):
            return context.output.fail(changes)
    text = f"{args.file}: no errors in {len(note.items)} entries"
    return context.output.succeed(text, file=args.file, entries=len(note.items))
