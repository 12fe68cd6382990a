"""Publication of release notes to the key-value service."""

import time

import trio

from basilwinch.exception import (
    NOTE_CONFLICT,
    NOTE_CONTENDED,
    NOTE_UNSETTLED,
    PLATFORM_UNAVAILABLE,
    RELEASE_GAP,
    UNKNOWN_REVISION,
    Failure,
    PlatformError,
)
from basilwinch.record import Record
from basilwinch.release.change import changed_entry_keys
from basilwinch.release.layout import Head, StoredNote, Table
from basilwinch.release.loader import (
    apply_stored,
    load_head_and_state,
    read_head,
    read_history,
    read_recent,
    read_table,
)
from basilwinch.release.maintenance import maintain
from basilwinch.release.note import ReleaseNote
from basilwinch.release.plan import plan_note
from basilwinch.release.state import Revision, State
from basilwinch.release.writer import Draft, write_draft
from basilwinch.store import KeyValueStore

__all__ = ["Publication", "Publisher"]

_MAX_ATTEMPTS = 20
# Notes read to catch up (a publisher that lacks more reads the whole state instead) and to find the
# id of a repeated publication.
_MAX_NOTES_READ = 100


class Publication(Record):
    """An accepted note: its revision, id and changes, and the number of attempts."""

    __slots__ = ("revision", "note", "changes", "attempts")


class Publisher:
    """Publishes notes; keeps the state that it has read, so that a later call reads only changes.

    :param store: key-value service
    :param rng: :class:`random.Random`, for ids and waits; seeded from the system in production
    :param author: name of the author for the history
    :param clock: function that returns seconds since the epoch, for the history
    :param outcome_timeout_s: maximum seconds to find out an ambiguous outcome
    """

    def __init__(
        self,
        store: KeyValueStore,
        rng,
        author: str = "",
        clock=time.time,
        outcome_timeout_s: float = 30.0,
    ):
        self._store = store
        self._rng = rng
        self._author = author
        self._clock = clock
        self._outcome_timeout_s = outcome_timeout_s
        self._head = Head.none()
        self._table: Table | None = None
        self._state = State.empty()

    def new_note_id(self) -> str:
        """Return a new unique note id."""
        return f"{self._rng.getrandbits(64):016x}"

    async def refresh(self) -> State:
        """Read the changes since the last call and return the state in effect.

        :raises PlatformError: if it cannot be read
        """
        head = await read_head(self._store)
        if head.revision != self._head.revision or self._table is None:
            await self._catch_up(head)
        else:
            # A restored platform can hold the same head at another store revision.
            self._head = head
        return self._state

    async def publish(
        self, note: ReleaseNote, note_id: str = "", base: int | None = None
    ) -> Publication | Failure:
        """Publish a note.

        :param note: the note
        :param note_id: unique id; if one of the last 100 notes has this id, nothing is written and
            its publication is returned
        :param base: revision that the note was planned against; a later change of one of
            its entries is a conflict. By default the revision at the start of the call.
        :returns: the publication; ``NOTE_INVALID``; ``NOTE_CONFLICT`` with the ``keys``;
            ``NOTE_CONTENDED`` after too many attempts; ``UNKNOWN_REVISION`` if ``base`` is newer
            than the head; ``RELEASE_GAP`` if the history no longer reaches back to it;
            ``PLATFORM_UNAVAILABLE`` if the note was certainly not accepted; ``NOTE_UNSETTLED`` if
            that is not known
        """
        try:
            if note_id:
                await self.refresh()
                accepted = await self._find_publication(note_id)
                if accepted:
                    return accepted
            note_id = note_id or self.new_note_id()
            return await self._publish(note, note_id, base)
        except PlatformError as error:
            return _add_note_id(error.failure, note_id)

    async def _publish(self, note, note_id, base) -> Publication | Failure:
        state = await self.refresh()
        start = state.revision.number if base is None else base
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            conflict = await self._find_conflict(note, start)
            if conflict is not None:
                return conflict
            changes = plan_note(note, self._state)
            if isinstance(changes, Failure):
                return changes
            publication = await self._try_publish(note, note_id, changes, attempt)
            if publication:
                return publication
            await trio.sleep(self._rng.uniform(0, 0.01 * attempt))
            await self.refresh()
        return NOTE_CONTENDED.because(
            f"another note was accepted first in each of {_MAX_ATTEMPTS} attempts", note=note_id
        )

    async def _try_publish(self, note, note_id, changes, attempt) -> Publication | None:
        head, state = self._head, self._state
        revision = Revision(head.revision.number + 1, f"{note_id}.{self._rng.getrandbits(32):08x}")
        stored_note = StoredNote(
            revision=revision,
            note=note_id,
            parent=head.revision,
            title=note.title,
            author=self._author,
            time=round(self._clock(), 3),
            changes=tuple(changes),
        )
        new_state = state.applied(revision, changes)
        draft = Draft.from_changes(head, self._table, new_state, stored_note)
        if not await write_draft(self._store, draft, self._rng, self._outcome_timeout_s):
            return None
        await maintain(self._store, revision)
        return Publication(revision, note_id, tuple(changes), attempt)

    async def _find_conflict(self, note: ReleaseNote, start: int) -> Failure | None:
        head = self._head.revision
        if start > head.number:
            reason = (
                f"base revision {start} is newer than revision {head.number}, which is in effect"
            )
            return UNKNOWN_REVISION.because(reason, revision=start)
        if start == head.number:
            return None
        history = await read_history(self._store, head, start)
        others = {
            key: stored_note.revision.number
            for stored_note in history
            for key in changed_entry_keys(stored_note.changes)
        }
        keys = sorted(item.key for item in note.items if item.key in others)
        if not keys:
            return None
        revisions = sorted({others[key] for key in keys})
        reason = f"revision {revisions[-1]} changed {', '.join(keys[:5])}"
        return NOTE_CONFLICT.because(reason, keys=keys, revisions=revisions)

    async def _find_publication(self, note_id: str) -> Publication | None:
        """Return the publication of a note, None if the recent history does not contain it."""
        head = self._head.revision
        history = await read_recent(self._store, head, _MAX_NOTES_READ)
        for stored_note in history:
            if stored_note.note == note_id:
                return Publication(stored_note.revision, note_id, stored_note.changes, 0)
        return None

    async def _catch_up(self, head: Head):
        behind = head.revision.number - self._state.revision.number
        if self._table is not None and 0 < behind <= _MAX_NOTES_READ:
            try:
                history = await read_history(
                    self._store, head.revision, self._state.revision.number
                )
            except PlatformError as error:
                if error.failure.kind is not RELEASE_GAP:
                    raise
                history = []
            table = await read_table(self._store, head)
            if table and history and history[0].parent == self._state.revision:
                for stored_note in history:
                    self._state = apply_stored(self._state, stored_note)
                self._head, self._table = head, table
                return
        self._head, self._table, self._state = await load_head_and_state(self._store)


def _add_note_id(failure: Failure, note_id: str) -> Failure:
    """Add the note id to ``PLATFORM_UNAVAILABLE``, which means that the note had no effect."""
    if failure.kind is NOTE_UNSETTLED:
        return failure
    if failure.kind is PLATFORM_UNAVAILABLE:
        return PLATFORM_UNAVAILABLE.because(failure.reason, failure.retry_after, note=note_id)
    return failure
