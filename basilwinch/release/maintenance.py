"""Removal of old history and of values that no revision uses."""

from basilwinch.exception import PlatformError
from basilwinch.release.layout import HEAD, NOTES, PAGES, TABLES, Body, revision_of
from basilwinch.release.loader import read_head, read_table
from basilwinch.release.state import Revision
from basilwinch.release.writer import GRACE
from basilwinch.store import Compare, KeyValueStore

__all__ = ["HISTORY", "maintain", "sweep", "trim_history"]

# Notes kept in the history: 27 minutes at 53,000 changes a day, weeks at today's rate.
HISTORY = 1000
# One listing and one write per so many notes keep the cost of trimming small.
_TRIM_EVERY = 32
# A sweep reads all pages, so it is rare; only a publisher that died leaves something for it.
_SWEEP_EVERY = 1024
_BATCH = 100


async def maintain(store: KeyValueStore, revision: Revision) -> None:
    """Trim the history and sweep when a revision is due; failures wait for the next time."""
    try:
        if revision.number % _TRIM_EVERY == 0:
            await trim_history(store, revision.number - HISTORY)
        if revision.number % _SWEEP_EVERY == 0:
            await sweep(store)
    except PlatformError:
        # The note is accepted already; maintenance must not make it look refused.
        return


async def trim_history(store: KeyValueStore, oldest: int) -> int:
    """Delete notes of revisions up to ``oldest``.

    :returns: number of deleted keys
    """
    deletes = []
    page = await store.scan(NOTES, _BATCH)
    for pair in page.items:
        if revision_of(pair.key) <= oldest:
            body = Body.decode(pair)
            deletes += [pair.key, *map(body.part_key, range(body.parts))]
    await _delete(store, deletes)
    return len(deletes)


async def sweep(store: KeyValueStore) -> int:
    """Delete pages and tables that neither the head nor a slow reader can use.

    :returns: number of deleted keys
    """
    head = await read_head(store)
    table = await read_table(store, head)
    if table is None:
        return 0
    used = {head.table_key, *table.pages.values(), *(key for _, key in table.replaced)}
    unused = []
    for prefix in (PAGES, TABLES):
        after, more = "", True
        while more:
            page = await store.scan(prefix, 32, after)
            keys = [pair.key for pair in page.items]
            unused += [
                key
                for key in keys
                if key not in used and revision_of(key) <= head.revision.number - GRACE
            ]
            more, after = page.more, (keys[-1] if keys else "")
    # The condition makes a delayed delete harmless after the platform was restored.
    await _delete(store, unused, [Compare(HEAD, head.mod_revision)])
    return len(unused)


async def _delete(store: KeyValueStore, keys: list[str], compares=()):
    for start in range(0, len(keys), _BATCH):
        await store.transact(list(compares), [], keys[start : start + _BATCH])
