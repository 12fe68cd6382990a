"""The state in effect on a node."""

import collections
import json

from basilwinch.catalog import Catalog
from basilwinch.exception import RELEASE_FORKED, RELEASE_GAP, RELEASE_MALFORMED, Failure
from basilwinch.release.change import touched
from basilwinch.release.exchange import PageCache, decode_steps, encode_notes, encode_state
from basilwinch.release.layout import Body
from basilwinch.release.state import Revision, State
from basilwinch.release.steps import finish

__all__ = ["Replica"]

# Notes kept for peers that are a little behind; a peer further behind gets the whole state.
_KEPT_NOTES = 256
_KEPT_BYTES = 512_000


class _LogEntry:
    __slots__ = ("parent", "revision", "data", "keys")

    def __init__(self, body: Body):
        self.parent = body.parent
        self.revision = body.revision
        self.data = json.dumps(
            body.to_json_dict(), ensure_ascii=False, separators=(",", ":")
        ).encode()
        self.keys = touched(body.changes)


class Replica:
    """Holds the newest state that a node has seen; it never goes back.

    A state is applied whole, and only if it is newer than the one held and contains it. A newer
    state that does not contain the one held comes from a platform that was restored from an older
    state; it is refused with ``RELEASE_FORKED`` until both are merged (see ``reinstate``).
    """

    def __init__(self):
        self._state = State.empty()
        self._log: collections.deque[_LogEntry] = collections.deque()
        self._log_bytes = 0
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
        """Entries in effect; a new object after each change."""
        return self._state.catalog

    @property
    def state(self) -> State:
        """The state in effect."""
        return self._state

    def export(self, since: int) -> bytes:
        """Return the notes after revision ``since``, or the whole state if that is too old."""
        entries = [entry for entry in self._log if entry.revision.number > since]
        covered = entries and entries[0].parent.number == since
        if covered or since >= self.revision:
            return encode_notes([entry.data for entry in entries])
        return encode_state(self._state, self._cache)

    def warm(self, count: int) -> bool:
        """Encode up to ``count`` changed pages, so that a later :meth:`export` does not block.

        A page takes about 2 ms at the design size, a whole state about half a second, which is too
        long for the event loop of a node that carries tokens.

        :returns: whether pages are left to encode
        """
        return self._cache.warm(self._state, count)

    def notes(self) -> list[Body]:
        """Return the latest notes that this node holds, oldest first."""
        return [Body.from_dict(json.loads(entry.data)) for entry in self._log]

    def changed_since(self, revision: int) -> frozenset[str] | None:
        """Return the keys ``kind/name`` changed after a revision, None if that is not known."""
        if revision == self.revision:
            return frozenset()
        entries = [entry for entry in self._log if entry.revision.number > revision]
        if not entries or entries[0].parent.number != revision:
            return None
        return frozenset().union(*(entry.keys for entry in entries))

    def absorb(self, data: bytes) -> bool | Failure:
        """Apply what a peer exported, whole and only if it is newer.

        :returns: whether the state changed; ``RELEASE_MALFORMED``; ``RELEASE_GAP`` if notes in
            between are missing, so that the caller asks for the whole state; ``RELEASE_FORKED``
        """
        return finish(self.absorb_steps(data))

    def absorb_steps(self, data: bytes):
        """Like :meth:`absorb`, as a generator for ``finish_in_turns``.

        A whole state at the design size takes half a second, which would hold up the tokens that
        the node carries. The state changes in the last step only.
        """
        message = yield from decode_steps(data)
        if isinstance(message, Failure):
            return message
        return self.adopt(message) if isinstance(message, State) else self.apply(message)

    def adopt(self, state: State) -> bool | Failure:
        """Apply a whole state; see :meth:`absorb`."""
        held = self._state.revision
        if state.revision.number <= held.number:
            return self._check_same(state.revision)
        if not state.contains(held):
            return _forked(state.revision, held)
        self._state = state
        self._clear_log()
        return True

    def apply(self, notes: list[Body]) -> bool | Failure:
        """Apply consecutive notes, all or none; see :meth:`absorb`. Linear in the notes."""
        held = self._state.revision
        if notes and notes[-1].revision.number <= held.number:
            return self._check_same(notes[-1].revision)
        state, applied = self._state, []
        for body in notes:
            if body.revision.number <= held.number:
                continue
            if body.parent != state.revision:
                if body.parent.number == state.revision.number:
                    return _forked(body.revision, held)
                reason = f"revision {body.revision.number} follows {body.parent.number}"
                return RELEASE_GAP.because(f"{reason}, not {state.revision.number}")
            try:
                state = state.applied(body.revision, body.changes, body.parents)
            except (ValueError, TypeError, KeyError, AttributeError) as error:
                return RELEASE_MALFORMED.because(f"{type(error).__name__}: {error}")
            applied.append(body)
        self._state = state
        for body in applied:
            self._remember(body)
        return bool(applied)

    def _check_same(self, revision: Revision) -> bool | Failure:
        held = self._state.revision
        if revision.number == 0 or self._state.contains(revision):
            return False
        return _forked(revision, held)

    def _remember(self, body: Body):
        if body.parts:
            self._clear_log()
            return
        entry = _LogEntry(body)
        self._log.append(entry)
        self._log_bytes += len(entry.data)
        while self._log and (len(self._log) > _KEPT_NOTES or self._log_bytes > _KEPT_BYTES):
            self._log_bytes -= len(self._log.popleft().data)

    def _clear_log(self):
        self._log.clear()
        self._log_bytes = 0


def _forked(revision: Revision, held: Revision) -> Failure:
    reason = f"revision {revision.number} ({revision.id}) does not contain {held.number}"
    return RELEASE_FORKED.because(f"{reason} ({held.id})", held=held.number, seen=revision.number)
