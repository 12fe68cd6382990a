"""Writes accepted notes back to a platform that was restored from an older state."""

from basilwinch.release.change import Change, combine
from basilwinch.release.layout import Head, StoredNote, Table
from basilwinch.release.loader import load_head_and_state, read_recent
from basilwinch.release.mapping import BUCKETS
from basilwinch.release.replica import Replica
from basilwinch.release.schema import KINDS
from basilwinch.release.state import MAX_TRAIL_REVISIONS, Revision, State, encode_page, fields_of
from basilwinch.release.steps import run_steps_cooperatively
from basilwinch.release.writer import Draft, write_draft
from basilwinch.store import KeyValueStore

__all__ = ["compare_states", "merge_fork", "reinstate"]


def compare_states(old: State, new: State) -> list[Change]:
    """Return the changes between two states, in time linear in both."""
    changes = []
    for kind in KINDS.values():
        before = getattr(old.catalog, kind.section)
        after = getattr(new.catalog, kind.section)
        for name in sorted({*before, *after}):
            old_entry, new_entry = before.get(name), after.get(name)
            if old_entry is not new_entry and old_entry != new_entry:
                fields = [fields_of(entry) if entry else None for entry in (old_entry, new_entry)]
                changes.append(Change.between(kind.name, name, *fields))
    return changes


async def reinstate(store: KeyValueStore, replica: Replica, rng, now: float) -> list[str]:
    """Write notes that a node holds back to a platform that lacks them.

    If the restored platform has accepted other notes in the meantime, both histories are merged
    into a new revision: the notes of the restored platform are applied to the state of the node.

    :param now: time in seconds since the epoch, for the history
    :returns: keys of entries whose change could not be merged, usually none
    :raises PlatformError: if the platform refuses or does not answer; the call can be repeated
    """
    head, table, stored = await load_head_and_state(store)
    held = replica.state
    dropped: list[str] = []
    if stored.contains(held.revision) and stored.revision.number >= held.revision.number:
        replica.apply_state(stored)
        return dropped
    if held.contains(head.revision):
        state, stored_notes = held, _find_missing_notes(replica, head, stored, now)
    else:
        fork = await _read_fork(store, head, held)
        changes, dropped = merge_fork(held, combine(fork))
        number = max(head.revision.number, held.revision.number) + 1
        revision = Revision(number, f"merge.{rng.getrandbits(64):016x}")
        parents = _find_missing_revisions(held, stored)
        merged = held.applied(revision, changes)
        changes = compare_states(stored, merged)
        state = stored.applied(revision, changes, parents)
        stored_notes = [_make_reinstating_note(head.revision, state, changes, now, *parents)]
    draft = await run_steps_cooperatively(_draft_steps(head, table, stored, state, stored_notes))
    if await write_draft(store, draft, rng):
        replica.apply_state(state)
    return dropped


def _draft_steps(
    head: Head, table: Table, stored: State, state: State, stored_notes: list[StoredNote]
):
    indexes = []
    for index in range(BUCKETS):
        if encode_page(stored.page(index)) != encode_page(state.page(index)):
            indexes.append(index)
        yield
    draft = Draft(head, table, state, stored_notes[-1], indexes)
    for stored_note in stored_notes[:-1]:
        draft.puts[:0] = stored_note.encode()
    return draft


def _find_missing_notes(
    replica: Replica, head: Head, stored: State, now: float
) -> list[StoredNote]:
    """Return the notes between the head and the state of the node.

    If the node does not hold them all, one note with the net changes is returned.
    """
    stored_notes = [
        stored_note
        for stored_note in replica.notes()
        if stored_note.revision.number > head.revision.number
    ]
    if stored_notes and stored_notes[0].parent == head.revision:
        return stored_notes
    changes = compare_states(stored, replica.state)
    parents = [
        item
        for item in _find_missing_revisions(replica.state, stored)
        if item != replica.state.revision
    ]
    return [_make_reinstating_note(head.revision, replica.state, changes, now, *parents)]


def _find_missing_revisions(held: State, stored: State) -> list[Revision]:
    """Return the revisions in the trail of the held state that the stored state lacks."""
    return sorted({*held.trail} - {*stored.trail}, key=lambda item: (item.number, item.id))


def _make_reinstating_note(
    parent: Revision, state: State, changes, now: float, *parents: Revision
) -> StoredNote:
    """Return a note that stands for revisions that the restored platform lacks."""
    return StoredNote(
        revision=state.revision,
        note=state.revision.id.partition(".")[0],
        parent=parent,
        title="reinstated after the platform was restored from an older state",
        author="basilwinchd",
        time=round(now, 3),
        changes=tuple(changes),
        parents=parents,
    )


async def _read_fork(store, head: Head, held: State) -> list[Change]:
    """Return the changes up to the head since the last revision that the held state contains.

    A note that merged a part of the held history is left out, because its changes would undo later
    changes of that history.
    """
    known = set(held.trail)
    fork: list[Change] = []
    for stored_note in reversed(await read_recent(store, head.revision, MAX_TRAIL_REVISIONS)):
        if stored_note.revision in known:
            break
        if not stored_note.parents or not known.issuperset(stored_note.parents):
            fork[:0] = stored_note.changes
        if stored_note.parent in known:
            break
    return fork


def merge_fork(held: State, fork: list[Change]) -> tuple[list[Change], list[str]]:
    """Return the changes of a fork that a state can accept, and the keys of the others.

    A change is left out if an entry would refer to a missing one, or would have the same address or
    API key digest as another.
    """
    remaining, dropped = {change.key: change for change in fork}, []
    while True:
        changes = [_rebase(held, change) for change in remaining.values()]
        changes = [change for change in changes if change]
        merged = held.applied(Revision(held.revision.number, ""), changes)
        inconsistent = remaining.keys() & _find_inconsistent(merged)
        if not inconsistent:
            return changes, sorted(dropped)
        for key in inconsistent:
            del remaining[key]
            dropped.append(key)


def _rebase(held: State, change: Change) -> Change | None:
    entry = held.entry(change.kind, change.name)
    before = fields_of(entry) if entry else None
    return Change.between(change.kind, change.name, before, change.after)


def _find_inconsistent(state: State) -> set[str]:
    """Return the keys of inconsistent entries.

    These are entries that refer to missing ones, the missing ones, and entries that share a value
    that must be unique.
    """
    keys = set()
    for kind in KINDS.values():
        owners: dict[str, str] = {}
        for name, entry in getattr(state.catalog, kind.section).items():
            key = f"{kind.name}/{name}"
            for reference in kind.references:
                for target in reference.names(entry):
                    if state.entry(reference.kind, target) is None:
                        keys |= {key, f"{reference.kind}/{target}"}
            if kind.unique_key:
                owner = owners.setdefault(getattr(entry, kind.unique_key), key)
                keys |= {owner, key} if owner != key else set()
    return keys
