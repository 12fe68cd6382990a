"""The store as a node's watcher sees it: read directly, or through a reader or a relay."""

import structlog
import trio

from basilwinch.exception import PLATFORM_REFUSED, PLATFORM_UNAVAILABLE, PlatformError
from basilwinch.fanout.client import ReaderClient
from basilwinch.fanout.message import ReadAnswer, ReadRequest
from basilwinch.fanout.readers import Readers
from basilwinch.fanout.shared_reads import SharedReads
from basilwinch.store import Changes, Page, Position, Proof

__all__ = ["FanoutStore"]

# While a relay serves, the store is tried at this interval. A refused node without a relay calls it
# about three times a second, so a relay lowers the load on a store that sheds it.
_STORE_RETRY_S = 2.0
# Time for such a trial, as a store that does not answer would let the view age. A slow store takes
# up to 0.4 s.
_STORE_TRIAL_S = 0.4
# Relays asked for one proof. With 0.3 s for each silent one, the view ages by 1.2 s at most.
_MAX_RELAYS_ASKED = 4
_AGE_ROUNDING_S = 0.001  # ages are sent in whole milliseconds


class FanoutStore:
    """Reads changes and positions through a reader of the zone, and all else from the store.

    A reader is trusted if it names the era of what this node has read from the store itself, and no
    lower revision. A reader of a store without eras is trusted only after the store itself was read
    since it was first asked, and again whenever its process, or the history of the store that it
    reads, changes: only the store can show whether it was restored from an older copy. Each answer
    that can't be used leads to a read from the store, so the loss of all readers costs calls and
    nothing else.

    While the store refuses this node, it reads through a relay, see
    :class:`~basilwinch.fanout.relays.Relays`. A restore is then told by the era that the store
    names, which only rises: an answer is believed only if it is of the same era as the last read of
    this node from the store, and of no lower revision. Reads of keys, as at the start or after a
    restore, are made from the store only.

    :param store: store with the methods that :class:`~basilwinch.view.source.ViewSource` names
    :param readers: choice of readers
    :param client: connections to them
    :param reads: answers of this node to others
    :param max_reader_age_s: age in seconds above which the position of a reader is not accepted, as
        the reader is cut off from the store or too busy
    :param relay_client: connections to relays
    :param clock: function that returns the time in seconds, including time of suspension
    """

    __slots__ = (
        "history",
        "count_relayed",
        "_store",
        "_readers",
        "_client",
        "_reads",
        "_max_reader_age_s",
        "_trusted",
        "_relay_client",
        "_clock",
        "_own",
        "_own_read_at",
        "_relay",
        "_retry_store_at",
        "_direct_poll",
        "_log",
    )

    def __init__(
        self,
        store,
        readers: Readers,
        client: ReaderClient,
        reads: SharedReads,
        max_reader_age_s: float,
        relay_client: ReaderClient,
        clock,
    ):
        self.history = store.history
        self.count_relayed = lambda outcome: None  # called with "used" or "not_believed"
        self._store = store
        self._readers = readers
        self._client = client
        self._reads = reads
        self._max_reader_age_s = max_reader_age_s
        # Name and lineage of the reader whose answers are used.
        self._trusted: tuple[str, str] | None = None
        self._relay_client = relay_client
        self._clock = clock
        # Highest position that this node has read from the store itself, and when.
        self._own: Position | None = None
        self._own_read_at = float("-inf")
        self._relay: str | None = None  # node whose answers are used instead of the store's
        self._retry_store_at = float("-inf")
        self._direct_poll = trio.CancelScope()  # of the watch that waits for the store itself
        self._log = structlog.get_logger("relay")
        self.history.subscribe(self._begin_history)

    @property
    def is_direct(self) -> bool:
        """Whether this node reads the store itself, as a reader or for want of one."""
        if self._relay is not None:
            return False
        return self._readers.is_reader or self._client.reader is None

    @property
    def is_reader(self) -> bool:
        """Whether other nodes may follow the store through this one."""
        return self._readers.is_reader

    async def scan_at(self, prefix: str, after: str = "") -> tuple[Page, Position]:
        """Return a page of keys; the parameters are those of the store."""
        page, position = await self._store.scan_at(prefix, after)
        self._record_own(position)
        return page, position

    async def read_proof(self) -> Proof:
        """Return a position of the store, and how long before this call it was read at most."""
        called_at = self._clock()
        answer = await self._client.ask(ReadRequest())
        reader = self._client.reader
        if answer is None or reader is None:
            return await self._read_without_reader(called_at)
        if not answer.known or answer.age_s > self._max_reader_age_s:
            self._client.avoid_reader(reader, f"last confirmed {answer.age_s:.2f} s ago")
            return await self._read_without_reader(called_at)
        if answer.is_relayed:
            # Nodes that follow each other in a circle would age together.
            self._client.avoid_reader(reader, "refused by the store")
            return await self._read_without_reader(called_at)
        if self._is_trusted(answer) or self._trust_by_era(answer, reader, called_at):
            self._end_relay("the reader of the zone answers")
            return Proof(Position(self.history.number, answer.revision), answer.age_s, False)
        proof = await self._read_without_reader(called_at)
        if proof.is_direct:
            self._trusted = (reader, answer.lineage)
        return proof

    async def _read_without_reader(self, called_at: float) -> Proof:
        """Return a proof of the store itself, or of a relay if the store refuses this node.

        :param called_at: time in seconds from which the age of the proof counts
        """
        if self._relay is not None and self._clock() < self._retry_store_at:
            proof = await self._read_through_relay(called_at, "refused before")
            if proof is not None:
                return proof
        try:
            position = await self._read_position()
        except PlatformError as error:
            if error.failure.kind not in (PLATFORM_UNAVAILABLE, PLATFORM_REFUSED):
                raise
            self._retry_store_at = self._clock() + _STORE_RETRY_S
            proof = await self._read_through_relay(called_at, error.failure.reason)
            if proof is None:
                raise
            return proof
        self._record_own(position)
        self._end_relay("the store answers")
        return Proof(position, 0.0, True)

    async def _read_position(self) -> Position:
        if self._relay is None:
            return await self._store.read_position()
        with trio.move_on_after(_STORE_TRIAL_S):
            return await self._store.read_position()
        raise PlatformError(PLATFORM_UNAVAILABLE.because(f"no answer within {_STORE_TRIAL_S} s"))

    async def _read_through_relay(self, called_at: float, reason: str) -> Proof | None:
        """Return a proof of a relay, or None if no relay has one.

        :param called_at: time in seconds from which the age of the proof counts
        :param reason: why the store is not read, for the log
        """
        for _ in range(_MAX_RELAYS_ASKED):
            asked_at = self._clock()
            answer = await self._relay_client.ask(ReadRequest())
            relay = self._relay_client.reader
            if answer is None or relay is None:
                continue
            doubt = self._find_doubt(answer, asked_at)
            if doubt is not None:
                self.count_relayed("not_believed")
                self._relay_client.avoid_reader(relay, doubt)
                continue
            if answer.revision < self._own.revision:
                return None  # the relay has not asked the store since, and will soon
            if relay != self._relay:
                self._log.warning("store read through another node", relay=relay, reason=reason)
                self._relay = relay
                self._direct_poll.cancel()  # it may wait on a connection that is dead
            self.count_relayed("used")
            position = Position(self.history.number, answer.revision)
            return Proof(position, answer.age_s - (asked_at - called_at), False, True)
        self._end_relay("no relay has a current position")
        return None

    def _find_own_era(self) -> int:
        """Return the era of what this node has read from the store itself, 0 if not certain."""
        is_current = self._own is not None and self._own.history == self.history.number
        return self.history.certain_era if is_current else 0

    def _find_doubt(self, answer: ReadAnswer, asked_at: float) -> str | None:
        """Return why the position of a relay is not believed, None if it is.

        :param asked_at: time in seconds at which the relay was asked
        """
        if not answer.known:
            return "has no position"
        if answer.age_s > self._max_reader_age_s:
            return f"last confirmed {answer.age_s:.2f} s ago"
        if answer.is_relayed:
            return "refused by the store"
        own_era = self._find_own_era()
        if answer.era == 0 or answer.era != own_era:
            return f"store era {answer.era}, own era {own_era}"
        read_at = asked_at - answer.age_s - _AGE_ROUNDING_S
        if answer.revision < self._own.revision and read_at > self._own_read_at:
            return f"store revision {answer.revision} after revision {self._own.revision}"
        return None

    def _record_own(self, position: Position) -> None:
        """Record a position that this node has read from the store itself."""
        if self._own is None or not self._own.includes(position):
            self._own, self._own_read_at = position, self._clock()

    def _end_relay(self, reason: str) -> None:
        if self._relay is not None:
            self._log.info("store not read through another node", relay=self._relay, reason=reason)
        self._relay = None

    async def poll(self, prefix: str, after: Position, wait_s: float) -> Changes:
        """Return the changes after a position; the parameters are those of the store."""
        self._reads.record_changes(after, [])  # so that others can ask for changes from here on
        if self._trusted is not None:
            answer = await self._client.ask(ReadRequest(after.revision, wait_s))
            is_current = after.history == self.history.number
            if answer is not None and answer.known and is_current and self._is_trusted(answer):
                self._reads.record_changes(after, answer.events)
                return Changes(answer.events, after)
        if self._relay is not None:
            changes = await self._poll_relay(after, wait_s)
            if changes is not None:
                return changes
        with trio.CancelScope() as self._direct_poll:
            changes = await self._store.poll(prefix, after, wait_s)
            self._record_own(changes.position)
            self._reads.record_changes(after, changes.events)
            return changes
        return Changes([], after)  # the next question goes to the relay

    async def _poll_relay(self, after: Position, wait_s: float) -> Changes | None:
        """Return the changes after a position from a relay, or None if it does not tell them."""
        answer = await self._relay_client.ask(ReadRequest(after.revision, wait_s))
        relay = self._relay_client.reader
        if answer is None or relay is None:
            return None
        is_same_era = answer.era != 0 and answer.era == self._find_own_era()
        if answer.known and is_same_era and after.history == self.history.number:
            self._reads.record_changes(after, answer.events)
            return Changes(answer.events, after)
        self._relay_client.avoid_reader(relay, f"no changes after revision {after.revision}")
        return None

    def record_confirmed(self, position: Position, asked_at: float) -> None:
        """Record that all changes up to a position are applied, for nodes that ask this one."""
        self._reads.record_confirmed(position, asked_at, self._relay is not None)

    def close_idle_connections(self) -> None:
        """Use new connections, as the open ones may be dead; the reader's may be, too."""
        if self._client.reader is not None:
            self._client.avoid_reader(self._client.reader, "open connections may be dead")
        self._store.close_idle_connections()

    def _is_trusted(self, answer: ReadAnswer) -> bool:
        # The reader may not have noticed a restore yet which this node has seen.
        own_era = self.history.certain_era
        is_same_era = answer.era == 0 or own_era == 0 or answer.era == own_era
        return is_same_era and self._trusted == (self._client.reader, answer.lineage)

    def _trust_by_era(self, answer: ReadAnswer, reader: str, asked_at: float) -> bool:
        """Trust a reader if the era of its store shows that it reads the history of this node.

        :param asked_at: time in seconds at which the reader was asked
        :returns: whether it is trusted from now on
        """
        if self._find_doubt(answer, asked_at) is not None:
            return False
        if answer.revision < self._own.revision:
            return False  # it has not asked the store since this node has
        self._trusted = (reader, answer.lineage)
        return True

    def _begin_history(self) -> None:
        self._trusted = None
        self._own = None
        self._end_relay("the history of the store has ended")
