"""Return of accepted notes to a platform that was restored from an older state."""

from basilwinch.release.change import Change, combine
from basilwinch.release.layout import Body, Head, Table
from basilwinch.release.loader import load_head, read_recent
from basilwinch.release.mapping import BUCKETS
from basilwinch.release.replica import Replica
from basilwinch.release.schema import KINDS
from basilwinch.release.state import TRAIL_LENGTH, Revision, State, encode_page, fields_of
from basilwinch.release.steps import finish_in_turns
from basilwinch.release.writer import Draft, write_draft
from basilwinch.store import KeyValueStore

__all__ = ["compare_states", "merge_fork", "reinstate"]


def compare_states(old: State, new: State) -> list[Change]:
    """Return the changes between two states. Linear in both."""
    changes = []
    for kind in KINDS.values():
        before = getattr(old.catalog, kind.section)
        after = getattr(new.catalog, kind.section)
        for name in sorted({*before, *after}):
            one, other = before.get(name), after.get(name)
            if one is not other and one != other:
                fields = [fields_of(entry) if entry else None for entry in (one, other)]
                changes.append(Change.between(kind.name, name, *fields))
    return changes


async def reinstate(store: KeyValueStore, replica: Replica, rng, now: float) -> list[str]:
    """Write notes that a node holds back to a platform that lacks them.

    If notes were accepted on the restored platform before, both histories are merged into a new
    revision: the notes of the restored platform are applied to the state held.

    :param now: seconds since the epoch, for the history
    :returns: keys of entries whose change could not be merged, normally none
    :raises PlatformError: if the platform fails; the call can be repeated
    """
    head, table, stored = await load_head(store)
    held = replica.state
    dropped: list[str] = []
    if stored.contains(held.revision) and stored.revision.number >= held.revision.number:
        replica.adopt(stored)
        return dropped
    if held.contains(head.revision):
        state, bodies = held, _missing_notes(replica, head, stored, now)
    else:
        fork = await _read_fork(store, head, held)
        changes, dropped = merge_fork(held, combine(fork))
        number = max(head.revision.number, held.revision.number) + 1
        revision = Revision(number, f"merge.{rng.getrandbits(64):016x}")
        parents = _beyond(held, stored)
        merged = held.applied(revision, changes)
        changes = compare_states(stored, merged)
        state = stored.applied(revision, changes, parents)
        bodies = [_join(head.revision, state, changes, now, *parents)]
    draft = await finish_in_turns(_draft_steps(head, table, stored, state, bodies))
    if await write_draft(store, draft, rng):
        replica.adopt(state)
    return dropped


def _draft_steps(head: Head, table: Table, stored: State, state: State, bodies: list[Body]):
    indexes = []
    for index in range(BUCKETS):
        if encode_page(stored.page(index)) != encode_page(state.page(index)):
            indexes.append(index)
        yield
    draft = Draft(head, table, state, bodies[-1], indexes)
    for body in bodies[:-1]:
        draft.puts[:0] = body.encode()
    return draft


def _missing_notes(replica: Replica, head: Head, stored: State, now: float) -> list[Body]:
    """Return the notes between the head and the state held, or one that sums them up."""
    bodies = [body for body in replica.notes() if body.revision.number > head.revision.number]
    if bodies and bodies[0].parent == head.revision:
        return bodies
    changes = compare_states(stored, replica.state)
    parents = [item for item in _beyond(replica.state, stored) if item != replica.state.revision]
    return [_join(head.revision, replica.state, changes, now, *parents)]


def _beyond(held: State, stored: State) -> list[Revision]:
    """Return the revisions in the trail of one state that another lacks."""
    return sorted({*held.trail} - {*stored.trail}, key=lambda item: (item.number, item.id))


def _join(parent: Revision, state: State, changes, now: float, *parents: Revision) -> Body:
    return Body(
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
    """Return the changes on the way to the head since the last revision that a state contains.

    A merge of a part of the held history is left out: its changes would take back what that
    history changed later.
    """
    known = set(held.trail)
    fork: list[Change] = []
    for body in reversed(await read_recent(store, head.revision, TRAIL_LENGTH)):
        if body.revision in known:
            break
        if not body.parents or not known.issuperset(body.parents):
            fork[:0] = body.changes
        if body.parent in known:
            break
    return fork


def merge_fork(held: State, fork: list[Change]) -> tuple[list[Change], list[str]]:
    """Return the changes of a fork that a state can take, and the keys of the others.

    A change is left out if an entry would refer to one that does not exist, or share an address or
    a key with another.
    """
    kept, dropped = {change.key: change for change in fork}, []
    while True:
        changes = [_rebase(held, change) for change in kept.values()]
        changes = [change for change in changes if change]
        merged = held.applied(Revision(held.revision.number, ""), changes)
        wrong = kept.keys() & _find_inconsistent(merged)
        if not wrong:
            return changes, sorted(dropped)
        for key in wrong:
            del kept[key]
            dropped.append(key)


def _rebase(held: State, change: Change) -> Change | None:
    entry = held.entry(change.kind, change.name)
    before = fields_of(entry) if entry else None
    return Change.between(change.kind, change.name, before, change.after)


def _find_inconsistent(state: State) -> set[str]:
    """Return the keys of entries with a missing target, of the targets, and of entries that share
    a value that must differ.
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
            if kind.unique:
                owner = owners.setdefault(getattr(entry, kind.unique), key)
                keys |= {owner, key} if owner != key else set()
    return keys
