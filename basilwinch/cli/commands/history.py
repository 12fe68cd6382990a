"""``basilwinch history``: lists the newest accepted notes."""

from basilwinch.cli.arguments import add_platform, add_setting, add_sub_command
from basilwinch.cli.output import build_note_fields, describe_changes, describe_note
from basilwinch.release import read_head, read_recent

__all__ = ["add_parser", "run"]


def add_parser(commands) -> None:
    """Add the sub-command."""
    parser = add_sub_command(commands, "history", "List accepted notes, the newest first.", run)
    add_platform(parser)
    add_setting(parser, "--limit", "20", "Maximum number of notes.", int)


async def run(args, context) -> int:
    """Run the sub-command."""
    async with context.store(args) as store:
        head = await read_head(store)
        recent = await read_recent(store, head.revision, max(args.limit, 1))
    lines = []
    for stored_note in reversed(recent):
        counts = describe_changes(stored_note.changes).splitlines()[-1]
        lines.append(f"{describe_note(stored_note)}  ({counts})")
    notes = [build_note_fields(stored_note) for stored_note in reversed(recent)]
    return context.output.succeed("\n".join(lines) or "no notes", notes=notes)
