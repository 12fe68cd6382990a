"""Copy of the release state on a node."""

import collections
import json

from basilwinch.catalog import Catalog
from basilwinch.exception import RELEASE_FORKED, RELEASE_GAP, RELEASE_MALFORMED, Failure
from basilwinch.release.change import changed_entry_keys
from basilwinch.release.exchange import PageCache, decode_steps, encode_notes, encode_state
from basilwinch.release.layout import StoredNote
from basilwinch.release.state import Revision, State
from basilwinch.release.steps import run_steps

__all__ = ["Replica"]

# Limits of the notes kept for peers that lack a few; a peer that lacks more gets the whole state.
_MAX_KEPT_NOTES = 256
_MAX_KEPT_BYTES = 512_000


class _LogEntry:
    __slots__ = ("parent", "revision", "data", "keys")

    def __init__(self, stored_note: StoredNote):
        self.parent = stored_note.parent
        self.revision = stored_note.revision
        self.data = json.dumps(
            stored_note.to_json_dict(), ensure_ascii=False, separators=(",", ":")
        ).encode()
        self.keys = changed_entry_keys(stored_note.changes)


class Replica:
    """Holds the newest state that a node has received; its revision never decreases.

    A state is applied as a whole, and only if it is newer than the present one and its history
    contains the present one. A newer state without it comes from a platform that was restored from
    an older state; it is refused with ``RELEASE_FORKED`` until both are merged (see
    ``reinstate``).
    """

    def __init__(self):
        self._state = State.empty()
        self._note_log: collections.deque[_LogEntry] = collections.deque()
        self._note_log_bytes = 0
        self._cache = PageCache()

    @property
    def revision(self) -> int:
        """Number of the revision in effect, 0 before the first."""
        return self._state.revision.number

    @property
    def revision_id(self) -> str:
        """Unique id of the revision in effect."""
        return self._state.revision.id

    @property
    def catalog(self) -> Catalog:
        """Entries in effect; each change creates a new object."""
        return self._state.catalog

    @property
    def state(self) -> State:
        """The state in effect."""
        return self._state

    def export(self, since: int) -> bytes:
        """Return the notes after revision ``since``, or the whole state if some are not kept."""
        entries = [entry for entry in self._note_log if entry.revision.number > since]
        covered = entries and entries[0].parent.number == since
        if covered or since >= self.revision:
            return encode_notes([entry.data for entry in entries])
        return encode_state(self._state, self._cache)

    def warm(self, count: int) -> bool:
        """Encode up to ``count`` changed pages, so that a later :meth:`export` does not block.

        At 33,000 entries a page takes about 2 ms and a whole state about 0.5 s, which is too long
        for an event loop that forwards tokens.

        :returns: whether pages are left to encode
        """
        return self._cache.warm(self._state, count)

    def notes(self) -> list[StoredNote]:
        """Return the latest notes that this node keeps, oldest first."""
        return [StoredNote.from_dict(json.loads(entry.data)) for entry in self._note_log]

    def changed_since(self, revision: int) -> frozenset[str] | None:
        """Return the keys ``kind/name`` of the entries changed after a revision.

        :returns: None if the notes after the revision are no longer all kept
        """
        if revision == self.revision:
            return frozenset()
        entries = [entry for entry in self._note_log if entry.revision.number > revision]
        if not entries or entries[0].parent.number != revision:
            return None
        return frozenset().union(*(entry.keys for entry in entries))

    def apply_export(self, data: bytes) -> bool | Failure:
        """Apply an exported message as a whole, and only if it is newer.

        :param data: message that :meth:`export` of a peer returned
        :returns: whether the state changed; ``RELEASE_MALFORMED``; ``RELEASE_GAP`` if notes in
            between are missing, so that the caller must ask for the whole state;
            ``RELEASE_FORKED``
        """
        return run_steps(self.apply_export_steps(data))

    def apply_export_steps(self, data: bytes):
        """Like :meth:`apply_export`, as a generator for ``run_steps_cooperatively``.

        A whole state of 33,000 entries takes 0.5 s, which would delay the tokens that the node
        forwards. The state changes in the last step only.
        """
        message = yield from decode_steps(data)
        if isinstance(message, Failure):
            return message
        return (
            self.apply_state(message) if isinstance(message, State) else self.apply_notes(message)
        )

    def apply_state(self, state: State) -> bool | Failure:
        """Apply a whole state; see :meth:`apply_export`."""
        held = self._state.revision
        if state.revision.number <= held.number:
            return self._check_contained(state.revision)
        if not state.contains(held):
            return _forked(state.revision, held)
        self._state = state
        self._clear_log()
        return True

    def apply_notes(self, notes: list[StoredNote]) -> bool | Failure:
        """Apply consecutive notes, all or none; see :meth:`apply_export`."""
        held = self._state.revision
        if notes and notes[-1].revision.number <= held.number:
            return self._check_contained(notes[-1].revision)
        state, applied = self._state, []
        for stored_note in notes:
            if stored_note.revision.number <= held.number:
                continue
            if stored_note.parent != state.revision:
                if stored_note.parent.number == state.revision.number:
                    return _forked(stored_note.revision, held)
                reason = (
                    f"revision {stored_note.revision.number} follows {stored_note.parent.number}"
                )
                return RELEASE_GAP.because(
                    f"{reason}, expected one that follows {state.revision.number}"
                )
            try:
                state = state.applied(
                    stored_note.revision, stored_note.changes, stored_note.parents
                )
            except (ValueError, TypeError, KeyError, AttributeError) as error:
                return RELEASE_MALFORMED.because(f"{type(error).__name__}: {error}")
            applied.append(stored_note)
        self._state = state
        for stored_note in applied:
            self._append_to_log(stored_note)
        return bool(applied)

    def _check_contained(self, revision: Revision) -> bool | Failure:
        held = self._state.revision
        if revision.number == 0 or self._state.contains(revision):
            return False
        return _forked(revision, held)

    def _append_to_log(self, stored_note: StoredNote):
        if stored_note.parts:
            self._clear_log()
            return
        entry = _LogEntry(stored_note)
        self._note_log.append(entry)
        self._note_log_bytes += len(entry.data)
        while self._note_log and (
            len(self._note_log) > _MAX_KEPT_NOTES or self._note_log_bytes > _MAX_KEPT_BYTES
        ):
            self._note_log_bytes -= len(self._note_log.popleft().data)

    def _clear_log(self):
        self._note_log.clear()
        self._note_log_bytes = 0


def _forked(revision: Revision, held: Revision) -> Failure:
    reason = f"revision {revision.number} ({revision.id}) does not contain revision {held.number}"
    return RELEASE_FORKED.because(f"{reason} ({held.id})", held=held.number, seen=revision.number)
