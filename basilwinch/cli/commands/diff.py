"""``basilwinch diff``: shows the net changes between two revisions."""

from basilwinch.cli.arguments import add_platform, add_sub_command
from basilwinch.cli.commands.show import read_notes_after
from basilwinch.cli.output import describe_changes
from basilwinch.release import Change, combine

__all__ = ["add_parser", "run"]


def add_parser(commands) -> None:
    """Add the sub-command."""
    parser = add_sub_command(commands, "diff", "Show the net changes between two revisions.", run)
    parser.add_argument("old", type=int, help="Revision to start from.")
    parser.add_argument(
        "new", type=int, help="Revision to end with; may be older than the first one."
    )
    add_platform(parser)


async def run(args, context) -> int:
    """Run the sub-command."""
    low, high = sorted((args.old, args.new))
    async with context.store(args) as store:
        notes = await read_notes_after(store, low, high)
    changes = combine(change for stored_note in notes for change in stored_note.changes)
    if args.old > args.new:
        changes = [
            Change.between(change.kind, change.name, change.after, change.full_before)
            for change in changes
        ]
    return context.output.succeed(
        describe_changes(changes),
        old=args.old,
        new=args.new,
        changes=[change.to_dict() for change in changes],
    )
