"""``basilwinch plan``: shows what a note would change."""

from basilwinch.cli.arguments import add_note_file, add_platform, add_sub_command
from basilwinch.cli.commands.check import read_note_or_failure
from basilwinch.cli.output import describe_changes
from basilwinch.exception import Failure
from basilwinch.release import load_state, plan_note

__all__ = ["add_parser", "run"]


def add_parser(commands) -> None:
    """Add the sub-command."""
    parser = add_sub_command(commands, "plan", "Show what a note would change.", run)
    add_note_file(parser)
    add_platform(parser)


async def run(args, context) -> int:
    """Run the sub-command."""
    note = read_note_or_failure(args.file)
    if isinstance(note, Failure):
        return context.output.fail(note)
    async with context.store(args) as store:
        state = await load_state(store)
    changes = plan_note(note, state)
    if isinstance(changes, Failure):
        return context.output.fail(changes)
    number = state.revision.number
    hint = (
        f"planned against revision {number}; publish with --base {number} to detect conflicting "
        "changes made since"
    )
    return context.output.succeed(
        f"{describe_changes(changes)}\n{hint}",
        base=number,
        changes=[change.to_dict() for change in changes],
    )
