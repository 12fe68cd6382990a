"""Deletion of old history and of unused pages and tables."""

from basilwinch.exception import PlatformError
from basilwinch.release.layout import (
    HEAD_KEY,
    NOTE_PREFIX,
    PAGE_PREFIX,
    TABLE_PREFIX,
    StoredNote,
    revision_of,
)
from basilwinch.release.loader import read_head, read_table
from basilwinch.release.state import Revision
from basilwinch.release.writer import GRACE_REVISIONS
from basilwinch.store import Compare, KeyValueStore

__all__ = ["MAX_HISTORY_NOTES", "maintain", "sweep", "trim_history"]

# 27 minutes at 53,000 changes a day; weeks at the usual rate.
MAX_HISTORY_NOTES = 1000
# Trimming costs one listing and one write, so it is not done after every note.
_TRIM_INTERVAL_REVISIONS = 32
# A sweep reads all pages, and is needed only after a large note was written in part or not
# accepted.
_SWEEP_INTERVAL_REVISIONS = 1024
_KEYS_PER_CALL = 100


async def maintain(store: KeyValueStore, revision: Revision) -> None:
    """Trim the history and sweep if due at this revision; failures are left to the next run."""
    try:
        if revision.number % _TRIM_INTERVAL_REVISIONS == 0:
            await trim_history(store, revision.number - MAX_HISTORY_NOTES)
        if revision.number % _SWEEP_INTERVAL_REVISIONS == 0:
            await sweep(store)
    except PlatformError:
        # The note is already accepted, so a failure here must not be reported as a refusal.
        return


async def trim_history(store: KeyValueStore, oldest: int) -> int:
    """Delete notes of revisions up to ``oldest``.

    :returns: number of deleted keys
    """
    deletes = []
    page = await store.scan(NOTE_PREFIX, _KEYS_PER_CALL)
    for pair in page.items:
        if revision_of(pair.key) <= oldest:
            stored_note = StoredNote.decode(pair)
            deletes += [pair.key, *map(stored_note.part_key, range(stored_note.parts))]
    await _delete(store, deletes)
    return len(deletes)


async def sweep(store: KeyValueStore) -> int:
    """Delete pages and tables that neither the head nor a slow reader needs.

    :returns: number of deleted keys
    """
    head = await read_head(store)
    table = await read_table(store, head)
    if table is None:
        return 0
    used = {head.table_key, *table.pages.values(), *(key for _, key in table.replaced)}
    unused = []
    for prefix in (PAGE_PREFIX, TABLE_PREFIX):
        after, more = "", True
        while more:
            page = await store.scan(prefix, 32, after)
            keys = [pair.key for pair in page.items]
            unused += [
                key
                for key in keys
                if key not in used and revision_of(key) <= head.revision.number - GRACE_REVISIONS
            ]
            more, after = page.more, (keys[-1] if keys else "")
    # The condition makes a delayed delete fail if the platform was restored in the meantime.
    await _delete(store, unused, [Compare(HEAD_KEY, head.mod_revision)])
    return len(unused)


async def _delete(store: KeyValueStore, keys: list[str], compares=()):
    for start in range(0, len(keys), _KEYS_PER_CALL):
        await store.transact(list(compares), [], keys[start : start + _KEYS_PER_CALL])
