"""``basilwinch history``: lists the latest accepted notes."""

from basilwinch.cli.arguments import add_platform, add_setting, add_sub_command
from basilwinch.cli.output import describe_changes, describe_note, note_fields
from basilwinch.release import read_head, read_recent

__all__ = ["add_parser", "run"]


def add_parser(commands) -> None:
    """Add the sub-command."""
    parser = add_sub_command(commands, "history", "List accepted notes, the latest first.", run)
    add_platform(parser)
    add_setting(parser, "--limit", "20", "Number of notes.", int)


async def run(args, context) -> int:
    """Run the sub-command."""
    async with context.store(args) as store:
        head = await read_head(store)
        recent = await read_recent(store, head.revision, max(args.limit, 1))
    lines = []
    for body in reversed(recent):
        counts = describe_changes(body.changes).splitlines()[-1]
        lines.append(f"{describe_note(body)}  ({counts})")
    notes = [note_fields(body) for body in reversed(recent)]
    return context.output.succeed("\n".join(lines) or "no notes", notes=notes)
