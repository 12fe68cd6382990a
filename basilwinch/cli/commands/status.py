"""``basilwinch status``: shows the newest revision, its entries or their number, and the nodes."""

from basilwinch.catalog.catalog import SECTIONS
from basilwinch.cli.arguments import add_nodes, add_platform, add_sub_command, add_switch
from basilwinch.cli.nodes import parse_nodes, read_revisions
from basilwinch.cli.output import describe_note
from basilwinch.cli.toml import format_note
from basilwinch.exception import UNKNOWN_REVISION
from basilwinch.release import State, Verb, load_state, read_recent
from basilwinch.release.reinstate import compare_states

__all__ = ["add_parser", "run"]

_MAX_SEARCHED_NOTES = 1000


def add_parser(commands) -> None:
    """Add the sub-command."""
    parser = add_sub_command(commands, "status", "Show the state in effect.", run)
    add_platform(parser)
    add_nodes(parser)
    add_switch(parser, "--entries", "Show all entries as a release note.")
    parser.add_argument(
        "--note", default="", help="Show whether the note with this id was accepted."
    )


async def run(args, context) -> int:
    """Run the sub-command."""
    async with context.store(args) as store:
        state = await load_state(store)
        recent = await read_recent(store, state.revision, _MAX_SEARCHED_NOTES if args.note else 1)
    if args.note:
        return _report_note(args.note, recent, context)
    if args.entries:
        changes = compare_states(State.empty(), state)
        entries = [change.to_dict() for change in changes]
        text = format_note(f"state at revision {state.revision.number}", changes)
        return context.output.succeed(text, revision=state.revision.number, added=entries)
    counts = {section: len(getattr(state.catalog, section)) for section in SECTIONS}
    nodes = await read_revisions(parse_nodes(args.nodes)) if args.nodes else {}
    lines = [describe_note(recent[-1]) if recent else f"revision {state.revision.number}"]
    verbs = {verb.value: 0 for verb in Verb}
    for change in recent[-1].changes if recent else ():
        verbs[Verb(change.verb).value] += 1
    lines.append("last note: " + ", ".join(f"{n} {verb}" for verb, n in verbs.items()))
    section_counts = ", ".join(f"{count} {section}" for section, count in counts.items())
    lines.append(f"in effect: added {section_counts} (all as a note: --entries)")
    for url, revision in nodes.items():
        lines.append(
            f"{url}: " + ("no valid response" if revision is None else f"revision {revision}")
        )
    return context.output.succeed(
        "\n".join(lines),
        revision=state.revision.number,
        note=recent[-1].note if recent else "",
        entries=counts,
        last_note=verbs,
        nodes=nodes,
    )


def _report_note(note_id: str, recent, context) -> int:
    for stored_note in recent:
        if stored_note.note == note_id:
            text = f"accepted: {describe_note(stored_note)}"
            return context.output.succeed(text, revision=stored_note.revision.number, note=note_id)
    reason = f"no note with the id {note_id} among the last {len(recent)} accepted notes"
    return context.output.fail(UNKNOWN_REVISION.because(reason, note=note_id))
