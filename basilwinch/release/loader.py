"""Reading of release state from the key-value service."""

import trio

from basilwinch.exception import RELEASE_GAP, RELEASE_MALFORMED, PlatformError
from basilwinch.release.layout import HEAD, NOTES, PAGES, Body, Head, Table, note_key
from basilwinch.release.state import Revision, State
from basilwinch.release.steps import finish_in_turns
from basilwinch.store import KeyValueStore

__all__ = [
    "apply_stored",
    "load_head",
    "load_state",
    "read_head",
    "read_history",
    "read_recent",
    "read_table",
]

# 32 pages are about 1.4 MB at the design size, and one call reads them all today.
_PAGES_PER_CALL = 32
_NOTES_PER_CALL = 100
_PARALLEL_READS = 8
# More rounds are needed only if notes are accepted during a round; each round reads less.
_MAX_ROUNDS = 50


async def read_head(store: KeyValueStore) -> Head:
    """Return the head.

    :raises PlatformError: if it cannot be read
    """
    pair = await store.get(HEAD)
    return Head.decode(pair) if pair else Head.none()


async def read_table(store: KeyValueStore, head: Head) -> Table | None:
    """Return the table of a head, None if it was deleted because the head moved on.

    :raises PlatformError: if it cannot be read
    """
    if head.revision.number == 0:
        return Table({}, (), ())
    pair = await store.get(head.table_key)
    return Table.decode(pair) if pair else None


async def load_state(store: KeyValueStore) -> State:
    """Read the whole state in effect.

    Pages are kept for a while after they were replaced, so that a slow reader still finds them.

    :raises PlatformError: if it cannot be read, ``RELEASE_MALFORMED`` if it is damaged
    """
    _, _, state = await load_head(store)
    return state


async def load_head(store: KeyValueStore) -> tuple[Head, Table, State]:
    """Read the head, its table and the whole state; see :func:`load_state`."""
    pages: dict[str, bytes] = {}
    head = await read_head(store)
    for _ in range(_MAX_ROUNDS):
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
            reason = f"revision {head.revision.number} lacks its table or a page"
            raise PlatformError(RELEASE_MALFORMED.because(reason))
        head = latest
    raise PlatformError(RELEASE_GAP.because("the state changed faster than it could be read"))


async def _assemble(head: Head, table: Table, pages: dict[str, bytes]) -> State:
    by_index = {index: pages[key] for index, key in table.pages.items()}
    state = await finish_in_turns(State.build_steps(head.revision, table.trail, by_index))
    if not isinstance(state, State):
        raise PlatformError(state)
    return state


async def _scan_pages(store: KeyValueStore, pages: dict[str, bytes]):
    after, more = "", True
    while more:
        page = await store.scan(PAGES, _PAGES_PER_CALL, after)
        pages.update((item.key, item.value) for item in page.items)
        more = page.more
        after = page.items[-1].key if page.items else ""


async def _read_pages(store: KeyValueStore, keys, pages: dict[str, bytes]):
    limiter = trio.CapacityLimiter(_PARALLEL_READS)
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
) -> list[Body]:
    """Return the notes that lead to a head, oldest first.

    Bodies of notes that were never accepted share the listing; the chain of parents from the head
    tells them apart.

    :param head: revision to end with
    :param after: number of the revision to start after
    :param with_changes: whether to read the changes of long notes
    :raises PlatformError: ``RELEASE_GAP`` if the history does not reach back so far
    """
    by_id: dict[str, Body] = {}
    cursor, more = note_key(max(after, 0) + 1), True
    last = note_key(head.number, "~")
    while more and cursor <= last:
        page = await store.scan(NOTES, _NOTES_PER_CALL, cursor)
        for pair in page.items:
            by_id[pair.key.rpartition("/")[2]] = Body.decode(pair)
        more = page.more
        cursor = page.items[-1].key if page.items else last
    chain = []
    number, unique = head.number, head.id
    while number > after:
        body = by_id.get(unique)
        if body is None or body.revision.number != number:
            reason = f"the note of revision {number} is gone"
            raise PlatformError(RELEASE_GAP.because(reason, revision=number))
        chain.append(await _with_parts(store, body) if with_changes else body)
        number, unique = body.parent.number, body.parent.id
    chain.reverse()
    return chain


async def read_recent(store: KeyValueStore, head: Revision, count: int) -> list[Body]:
    """Return up to ``count`` of the latest notes, oldest first, as far as they are kept.

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


def apply_stored(state: State, body: Body) -> State:
    """Return the state after an accepted note.

    :raises PlatformError: ``RELEASE_MALFORMED`` if the note makes no valid entry
    """
    try:
        return state.applied(body.revision, body.changes, body.parents)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        reason = f"revision {body.revision.number}: {type(error).__name__}: {error}"
        raise PlatformError(RELEASE_MALFORMED.because(reason)) from error


async def _with_parts(store: KeyValueStore, body: Body) -> Body:
    if not body.parts:
        return body
    changes = []
    for number in range(body.parts):
        pair = await store.get(body.part_key(number))
        if pair is None:
            reason = f"a part of revision {body.revision.number} is gone"
            raise PlatformError(RELEASE_GAP.because(reason, revision=body.revision.number))
        changes += Body.decode_part(pair)
    return body.replace(changes=tuple(changes))
