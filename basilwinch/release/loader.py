"""Reading of release state from the key-value service."""

import trio

from basilwinch.exception import RELEASE_GAP, RELEASE_MALFORMED, PlatformError
from basilwinch.release.layout import (
    HEAD_KEY,
    NOTE_PREFIX,
    PAGE_PREFIX,
    Head,
    StoredNote,
    Table,
    note_key,
)
from basilwinch.release.state import Revision, State
from basilwinch.release.steps import run_steps_cooperatively
from basilwinch.store import KeyValueStore

__all__ = [
    "apply_stored",
    "load_head_and_state",
    "load_state",
    "read_head",
    "read_history",
    "read_recent",
    "read_table",
]

# Limits the size of a response: 32 pages are about 1.4 MB at 33,000 entries.
_PAGES_PER_CALL = 32
_NOTES_PER_CALL = 100
_MAX_PARALLEL_READS = 8
# A further round is needed only if notes were accepted during the last one; each reads less.
_MAX_LOAD_ROUNDS = 50


async def read_head(store: KeyValueStore) -> Head:
    """Return the head.

    :raises PlatformError: if it cannot be read
    """
    pair = await store.get(HEAD_KEY)
    return Head.decode(pair) if pair else Head.none()


async def read_table(store: KeyValueStore, head: Head) -> Table | None:
    """Return the table of a head, None if it was deleted after the head moved to a later revision.

    :raises PlatformError: if it cannot be read
    """
    if head.revision.number == 0:
        return Table({}, (), ())
    pair = await store.get(head.table_key)
    return Table.decode(pair) if pair else None


async def load_state(store: KeyValueStore) -> State:
    """Read the whole state in effect.

    Replaced pages are kept for ``GRACE_REVISIONS`` revisions, so that a slow reader finds them.

    :raises PlatformError: if it cannot be read, ``RELEASE_MALFORMED`` if it is damaged
    """
    _, _, state = await load_head_and_state(store)
    return state


async def load_head_and_state(store: KeyValueStore) -> tuple[Head, Table, State]:
    """Read the head, its table and the whole state; see :func:`load_state`."""
    pages: dict[str, bytes] = {}
    head = await read_head(store)
    for _ in range(_MAX_LOAD_ROUNDS):
        table = await read_table(store, head)
        if table is not None:
            if table.pages and not pages:
                await _scan_pages(store, pages)
            wanted = set(table.pages.values())
            await _read_pages(store, wanted - pages.keys(), pages)
            if wanted <= pages.keys():
                return head, table, await _assemble(head, table, pages)
        latest = await read_head(store)
        if latest == head:
            reason = f"the table or a page of revision {head.revision.number} is missing"
            raise PlatformError(RELEASE_MALFORMED.because(reason))
        head = latest
    raise PlatformError(
        RELEASE_GAP.because(
            f"the head moved during each of {_MAX_LOAD_ROUNDS} attempts to read the state"
        )
    )


async def _assemble(head: Head, table: Table, pages: dict[str, bytes]) -> State:
    by_index = {index: pages[key] for index, key in table.pages.items()}
    state = await run_steps_cooperatively(State.build_steps(head.revision, table.trail, by_index))
    if not isinstance(state, State):
        raise PlatformError(state)
    return state


async def _scan_pages(store: KeyValueStore, pages: dict[str, bytes]):
    after, more = "", True
    while more:
        page = await store.scan(PAGE_PREFIX, _PAGES_PER_CALL, after)
        pages.update((item.key, item.value) for item in page.items)
        more = page.more
        after = page.items[-1].key if page.items else ""


async def _read_pages(store: KeyValueStore, keys, pages: dict[str, bytes]):
    limiter = trio.CapacityLimiter(_MAX_PARALLEL_READS)
    failures: list[PlatformError] = []

    async def read(key: str):
        async with limiter:
            try:
                pair = None if failures else await store.get(key)
            except PlatformError as error:
                failures.append(error)
                return
            if pair is not None:
                pages[key] = pair.value

    async with trio.open_nursery() as nursery:
        for key in sorted(keys):
            nursery.start_soon(read, key)
    if failures:
        raise failures[0]


async def read_history(
    store: KeyValueStore, head: Revision, after: int, with_changes: bool = True
) -> list[StoredNote]:
    """Return the notes that lead to a head, oldest first.

    The listing also contains notes that were never accepted; only those on the chain of parents
    from the head are returned.

    :param head: last revision
    :param after: number of the revision before the first one to return
    :param with_changes: whether to read changes that are stored in parts
    :raises PlatformError: ``RELEASE_GAP`` if a note of the history was deleted
    """
    by_id: dict[str, StoredNote] = {}
    cursor, more = note_key(max(after, 0) + 1), True
    last = note_key(head.number, "~")
    while more and cursor <= last:
        page = await store.scan(NOTE_PREFIX, _NOTES_PER_CALL, cursor)
        for pair in page.items:
            by_id[pair.key.rpartition("/")[2]] = StoredNote.decode(pair)
        more = page.more
        cursor = page.items[-1].key if page.items else last
    chain = []
    number, unique_id = head.number, head.id
    while number > after:
        stored_note = by_id.get(unique_id)
        if stored_note is None or stored_note.revision.number != number:
            reason = f"the note of revision {number} is missing"
            raise PlatformError(RELEASE_GAP.because(reason, revision=number))
        chain.append(await _read_parts(store, stored_note) if with_changes else stored_note)
        number, unique_id = stored_note.parent.number, stored_note.parent.id
    chain.reverse()
    return chain


async def read_recent(store: KeyValueStore, head: Revision, count: int) -> list[StoredNote]:
    """Return up to ``count`` of the latest notes, oldest first; fewer if older ones were deleted.

    :raises PlatformError: if they cannot be read
    """
    after = max(head.number - count, 0)
    while True:
        try:
            return await read_history(store, head, after)
        except PlatformError as error:
            if error.failure.kind is not RELEASE_GAP or error.failure.detail["revision"] <= after:
                raise
            after = error.failure.detail["revision"]


def apply_stored(state: State, stored_note: StoredNote) -> State:
    """Return the state after an accepted note.

    :raises PlatformError: ``RELEASE_MALFORMED`` if an entry of the note is not valid
    """
    try:
        return state.applied(stored_note.revision, stored_note.changes, stored_note.parents)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        reason = f"revision {stored_note.revision.number}: {type(error).__name__}: {error}"
        raise PlatformError(RELEASE_MALFORMED.because(reason)) from error


async def _read_parts(store: KeyValueStore, stored_note: StoredNote) -> StoredNote:
    if not stored_note.parts:
        return stored_note
    changes = []
    for number in range(stored_note.parts):
        pair = await store.get(stored_note.part_key(number))
        if pair is None:
            reason = f"a part of revision {stored_note.revision.number} is missing"
            raise PlatformError(RELEASE_GAP.because(reason, revision=stored_note.revision.number))
        changes += StoredNote.decode_part(pair)
    return stored_note.replace(changes=tuple(changes))
