"""``basilwinch show``: shows one accepted note."""

from basilwinch.cli.arguments import add_platform, add_sub_command
from basilwinch.cli.output import build_note_fields, describe_changes, describe_note
from basilwinch.exception import RELEASE_GAP, UNKNOWN_REVISION, PlatformError
from basilwinch.release import read_head, read_history

__all__ = ["add_parser", "read_notes_after", "run"]


def add_parser(commands) -> None:
    """Add the sub-command."""
    parser = add_sub_command(commands, "show", "Show what an accepted note changed.", run)
    parser.add_argument("revision", type=int, help="Revision number.")
    add_platform(parser)


async def read_notes_after(store, after: int, last: int):
    """Return the notes from revision ``after + 1`` to ``last``, both included.

    :raises PlatformError: ``UNKNOWN_REVISION`` if the history does not contain all of them
    """
    head = await read_head(store)
    number = head.revision.number
    if not 0 <= after <= last <= number:
        reason = f"revision {last if last > number else after} is not between 0 and {number}"
        raise PlatformError(UNKNOWN_REVISION.because(reason))
    try:
        history = await read_history(store, head.revision, after)
    except PlatformError as error:
        if error.failure.kind is not RELEASE_GAP:
            raise
        raise PlatformError(UNKNOWN_REVISION.because(error.failure.reason)) from error
    return [stored_note for stored_note in history if stored_note.revision.number <= last]


async def run(args, context) -> int:
    """Run the sub-command."""
    async with context.store(args) as store:
        notes = await read_notes_after(store, args.revision - 1, args.revision)
    stored_note = notes[-1]
    text = f"{describe_note(stored_note)}\n{describe_changes(stored_note.changes)}"
    return context.output.succeed(text, **build_note_fields(stored_note))
