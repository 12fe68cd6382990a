"""The store as a node's watcher sees it: read directly, or through a reader of its zone."""

from basilwinch.fanout.client import ReaderClient
from basilwinch.fanout.message import ReadAnswer, ReadRequest
from basilwinch.fanout.readers import Readers
from basilwinch.fanout.shared_reads import SharedReads
from basilwinch.store import Changes, Position, Proof

__all__ = ["FanoutStore"]


class FanoutStore:
    """Reads changes and positions through a reader of the zone, and all else from the store.

    A reader is trusted only after the store itself was read since it was first asked, and again
    whenever its process, or the history of the store that it reads, changes: only the store can
    show whether it was restored from an older copy. Each answer that can't be used leads to a read
    from the store, so the loss of all readers costs calls and nothing else.

    :param store: store with the methods that :class:`~basilwinch.view.source.ViewSource` names
    :param readers: choice of readers
    :param client: connections to them
    :param reads: answers of this node to others
    :param max_reader_age_s: age in seconds above which the position of a reader is not accepted, as
        the reader is cut off from the store or too busy
    """

    __slots__ = (
        "history",
        "scan_at",
        "_store",
        "_readers",
        "_client",
        "_reads",
        "_max_reader_age_s",
        "_trusted",
    )

    def __init__(
        self,
        store,
        readers: Readers,
        client: ReaderClient,
        reads: SharedReads,
        max_reader_age_s: float,
    ):
        self.history = store.history
        self.scan_at = store.scan_at
        self._store = store
        self._readers = readers
        self._client = client
        self._reads = reads
        self._max_reader_age_s = max_reader_age_s
        # Name and lineage of the reader whose answers are used.
        self._trusted: tuple[str, str] | None = None
        self.history.subscribe(self._begin_history)

    @property
    def is_direct(self) -> bool:
        """Whether this node reads the store itself, as a reader or for want of one."""
        return self._readers.is_reader or self._client.reader is None

    @property
    def is_reader(self) -> bool:
        """Whether other nodes may follow the store through this one."""
        return self._readers.is_reader

    async def read_proof(self) -> Proof:
        """Return a position of the store, and how long before this call it was read at most."""
        answer = await self._client.ask(ReadRequest())
        reader = self._client.reader
        if answer is None or reader is None:
            return await self._read_directly()
        if not answer.known or answer.age_s > self._max_reader_age_s:
            self._client.avoid_reader(reader, f"last confirmed {answer.age_s:.2f} s ago")
            return await self._read_directly()
        if self._is_trusted(answer):
            return Proof(Position(self.history.number, answer.revision), answer.age_s, False)
        proof = await self._read_directly()
        self._trusted = (reader, answer.lineage)
        return proof

    async def _read_directly(self) -> Proof:
        return Proof(await self._store.read_position(), 0.0, True)

    async def poll(self, prefix: str, after: Position, wait_s: float) -> Changes:
        """Return the changes after a position; the parameters are those of the store."""
        if self._trusted is not None:
            answer = await self._client.ask(ReadRequest(after.revision, wait_s))
            is_current = after.history == self.history.number
            if answer is not None and answer.known and is_current and self._is_trusted(answer):
                self._reads.record_changes(after, answer.events)
                return Changes(answer.events, after)
        changes = await self._store.poll(prefix, after, wait_s)
        self._reads.record_changes(after, changes.events)
        return changes

    def record_confirmed(self, position: Position, asked_at: float) -> None:
        """Record that all changes up to a position are applied, for nodes that ask this one."""
        self._reads.record_confirmed(position, asked_at)

    def close_idle_connections(self) -> None:
        """Use new connections, as the open ones may be dead; the reader's may be, too."""
        if self._client.reader is not None:
            self._client.avoid_reader(self._client.reader, "open connections may be dead")
        self._store.close_idle_connections()

    def _is_trusted(self, answer: ReadAnswer) -> bool:
        return self._trusted == (self._client.reader, answer.lineage)

    def _begin_history(self) -> None:
        self._trusted = None
