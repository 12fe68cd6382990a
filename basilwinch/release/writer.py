"""Writing of a new revision: pages, table and note first, then the head."""

import trio

from basilwinch.exception import (
    NOTE_UNSETTLED,
    PLATFORM_AMBIGUOUS,
    PLATFORM_UNAVAILABLE,
    RELEASE_GAP,
    PlatformError,
)
from basilwinch.release.layout import HEAD_KEY, Head, StoredNote, Table, page_key
from basilwinch.release.loader import read_head, read_history, read_table
from basilwinch.release.mapping import bucket_of
from basilwinch.release.state import State, encode_page
from basilwinch.store import Compare, KeyValue, KeyValueStore

__all__ = ["Draft", "GRACE_REVISIONS", "write_draft"]

# Replaced pages are kept this long for slow readers: 100 s at 53,000 changes a day.
GRACE_REVISIONS = 64
# The platform limits one call to 1.5 MB and 128 operations.
_MAX_CALL_BYTES = 900_000
_MAX_CALL_OPERATIONS = 100
# Keeps the deletes of a draft, its puts and the head together below 128 operations.
_MAX_DELETES_PER_DRAFT = 25


class Draft:
    """The writes, deletes and conditions of one attempt to move the head.

    :param head: head that the new revision follows
    :param table: table of that head
    :param state: new state
    :param stored_note: note of the new state
    :param page_indexes: indexes of the pages that differ from those of the table
    """

    __slots__ = ("compares", "new_head", "puts", "deletes")

    def __init__(
        self, head: Head, table: Table, state: State, stored_note: StoredNote, page_indexes
    ):
        revision = state.revision
        pages = dict(table.pages)
        replaced = list(table.replaced)
        self.puts = stored_note.encode()
        for index in page_indexes:
            if index in pages:
                replaced.append((revision.number, pages.pop(index)))
            if data := encode_page(state.page(index)):
                pages[index] = page_key(index, revision)
                self.puts.append(KeyValue(pages[index], data, 0))
        if head.mod_revision:
            replaced.append((revision.number, head.table_key))
        due = [key for number, key in replaced if number <= revision.number - GRACE_REVISIONS]
        self.deletes = due[:_MAX_DELETES_PER_DRAFT]
        deleted = set(self.deletes)
        replaced = [item for item in replaced if item[1] not in deleted]
        self.compares = [Compare(HEAD_KEY, head.mod_revision)]
        if table.mod_revision:
            # After a restore another head can get the same store revision. The key of the table
            # is unique, so both conditions together identify the state.
            self.compares.append(Compare(head.table_key, table.mod_revision))
        self.new_head = Head(revision, stored_note.note, 0)
        new_table = Table(pages, state.trail, tuple(replaced))
        self.puts.append(KeyValue(self.new_head.table_key, new_table.encode(), 0))

    @classmethod
    def from_changes(
        cls, head: Head, table: Table, state: State, stored_note: StoredNote
    ) -> "Draft":
        """Build a draft that rewrites only the pages with changed entries."""
        indexes = sorted({bucket_of(change.name) for change in stored_note.changes})
        return cls(head, table, state, stored_note, indexes)


async def write_draft(
    store: KeyValueStore, draft: Draft, rng, outcome_timeout_s: float = 30.0
) -> bool:
    """Write a draft; a small one takes one transaction.

    :param rng: :class:`random.Random` for the waits between attempts
    :param outcome_timeout_s: maximum seconds to find out an ambiguous outcome
    :returns: whether the head was moved; False if another note came first
    :raises PlatformError: ``PLATFORM_UNAVAILABLE`` if the head was certainly not moved,
        ``NOTE_UNSETTLED`` if it may have been
    """
    value_calls, last = _split_calls(draft.puts)
    for puts in value_calls:
        await _write_values(store, puts, rng)
    puts = [*last, KeyValue(HEAD_KEY, draft.new_head.encode(), 0)]
    ambiguous = None
    for delay in _draw_delays(rng, outcome_timeout_s):
        try:
            outcome = await store.transact(draft.compares, puts, draft.deletes)
            if outcome.succeeded or ambiguous is None:
                return outcome.succeeded
            return await _was_accepted(store, draft)
        except PlatformError as error:
            kind = error.failure.kind
            if kind is PLATFORM_AMBIGUOUS:
                # A write repeated under the same condition takes effect at most once.
                ambiguous = error.failure
            elif ambiguous is None:
                raise
            elif kind is not PLATFORM_UNAVAILABLE:
                break
        await trio.sleep(delay)
    raise PlatformError(NOTE_UNSETTLED.because(ambiguous.reason, note=draft.new_head.note))


async def _was_accepted(store: KeyValueStore, draft: Draft) -> bool:
    """Tell whether the revision of a draft is among those that led to the head."""
    revision = draft.new_head.revision
    head = await read_head(store)
    if head.revision.number < revision.number:
        return False
    try:
        history = await read_history(store, head.revision, revision.number - 1, False)
        return any(stored_note.revision == revision for stored_note in history)
    except PlatformError as error:
        if error.failure.kind is not RELEASE_GAP:
            raise
    table = await read_table(store, head)
    return table is not None and revision in table.trail


async def _write_values(store: KeyValueStore, puts: list[KeyValue], rng):
    """Write values under unique keys, so that the write can be repeated."""
    delays = _draw_delays(rng, 5.0)
    while True:
        try:
            await store.transact([], puts)
            return
        except PlatformError as error:
            delay = next(delays, None)
            if error.failure.kind is not PLATFORM_AMBIGUOUS or delay is None:
                failure = PLATFORM_UNAVAILABLE.because(
                    "writing values before the head failed, so the head was not written:"
                    f" {error.failure.reason}"
                )
                raise PlatformError(failure) from error
        await trio.sleep(delay)


def _draw_delays(rng, total_s: float):
    """Yield growing waits in seconds with jitter, which add up to about ``total_s``."""
    delay, spent = 0.02, 0.0
    while spent < total_s:
        wait = delay * rng.uniform(0.5, 1.5)
        yield wait
        spent += wait
        delay = min(delay * 2, 2.0)


def _split_calls(puts: list[KeyValue]) -> tuple[list[list[KeyValue]], list[KeyValue]]:
    """Divide the puts into calls below the platform's limits.

    :returns: all calls but the last, and the last one, to which the head can be added
    """
    calls, size = [[]], 0
    for put in puts:
        size += len(put.value) + len(put.key)
        if calls[-1] and (size > _MAX_CALL_BYTES or len(calls[-1]) >= _MAX_CALL_OPERATIONS):
            calls.append([])
            size = len(put.value) + len(put.key)
        calls[-1].append(put)
    return calls[:-1], calls[-1]
