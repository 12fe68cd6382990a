"""``basilwinch publish``: publishes a note, with ``--wait`` until it is in effect."""

import getpass
import sys

from basilwinch.cli.arguments import (
    add_nodes,
    add_note_file,
    add_platform,
    add_setting,
    add_sub_command,
    add_switch,
)
from basilwinch.cli.commands.check import read_note_or_failure
from basilwinch.cli.nodes import parse_nodes, wait_for_revision
from basilwinch.cli.output import describe_changes
from basilwinch.exception import Failure
from basilwinch.release import Publisher

__all__ = ["add_parser", "run"]


def add_parser(commands) -> None:
    """Add the sub-command."""
    parser = add_sub_command(commands, "publish", "Publish a note.", run)
    add_note_file(parser)
    add_platform(parser)
    add_nodes(parser)
    add_switch(parser, "--wait", "Wait until the note is in effect on every node.")
    add_setting(parser, "--wait-timeout", "60", "Maximum time of --wait in seconds.", float)
    add_setting(
        parser,
        "--settle-timeout",
        "30",
        "Maximum time in seconds to find out whether a write took effect if its response was lost.",
        float,
    )
    add_setting(parser, "--author", "", "Author in the history; the name of the user by default.")
    parser.add_argument("--base", type=int, help="Revision that the note was planned against.")
    parser.add_argument(
        "--id",
        default="",
        help="Id of the note; if one of the last 100 notes has this id, nothing is written.",
    )


async def run(args, context) -> int:
    """Run the sub-command."""
    nodes = parse_nodes(args.nodes) if args.wait else []
    if isinstance(nodes, Failure):
        return context.output.fail(nodes)
    note = read_note_or_failure(args.file)
    if isinstance(note, Failure):
        return context.output.fail(note)
    author = args.author or _read_user_name()
    async with context.store(args) as store:
        publisher = Publisher(
            store, context.rng, author, context.clock, outcome_timeout_s=args.settle_timeout
        )
        note_id = args.id or publisher.new_note_id()
        # Printed before the first write, so that the outcome can be looked up after a crash.
        print(f"publishing as note {note_id}", file=sys.stderr)
        publication = await publisher.publish(note, note_id, args.base)
    if isinstance(publication, Failure):
        return context.output.fail(publication)
    number = publication.revision.number
    lines = [describe_changes(publication.changes)]
    lines.append(f"accepted as revision {number}, note {publication.note}")
    revisions = {}
    if args.wait:
        revisions = await wait_for_revision(nodes, number, args.wait_timeout)
        if isinstance(revisions, Failure):
            return context.output.fail(revisions)
        lines.append(f"in effect on all {len(nodes)} nodes")
    return context.output.succeed(
        "\n".join(lines),
        revision=number,
        note=publication.note,
        attempts=publication.attempts,
        changes=[change.to_dict() for change in publication.changes],
        nodes=revisions,
    )


def _read_user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        # In a container, the user id of the process may have no name.
        return ""
