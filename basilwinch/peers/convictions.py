"""Convictions of suspects in the store, where they outlast the processes of all nodes."""

import json

import structlog
import trio

from basilwinch.document import Fields, parse_document
from basilwinch.exception import LEASE_LOST, DocumentError, PlatformError
from basilwinch.store import Compare, KeyValue

__all__ = ["CONVICTIONS_PREFIX", "ConvictionRecords"]

CONVICTIONS_PREFIX = "basilwinch/convictions/"
_CHECK_INTERVAL_S = 0.5
# Requests in progress at the time of a conviction may still make progress and clear it. Nodes write
# at different times, so that the first one saves the others the calls.
_WRITE_DELAY_RANGE_S = (1.0, 2.0)
_MIN_LEFT_S = 5.0  # a conviction that ends sooner is not worth the calls
_MAX_DIGEST_CHARACTERS = 128


class ConvictionRecords:
    """Writes convictions of this node to the store, and applies those of other nodes.

    Each has a lease that ends with the conviction. A node that starts reads them with its view,
    before it serves; its peers may know of none, or may have started with it.

    :param suspects: :class:`~basilwinch.suspicion.SuspectRegistry`
    :param store: key-value store
    :param rng: random number generator for the delay of writes
    """

    __slots__ = ("_suspects", "_store", "_rng", "_stored", "_write_at", "_unanswered", "_log")

    def __init__(self, suspects, store, rng):
        self._suspects = suspects
        self._store = store
        self._rng = rng
        self._stored: set[str] = set()
        # By digest: time at which a conviction that is not in the store is written.
        self._write_at: dict[str, float] = {}
        # By digest: lease of a write that had no answer, and may be done while the lease lasts.
        self._unanswered: dict[str, int] = {}
        self._log = structlog.get_logger("convictions")
        store.history.subscribe(self._begin_history)

    def _begin_history(self) -> None:
        """Take no conviction for stored, as the store was restored from an older copy.

        Those that it still has are applied again when all keys are read; the others are written
        again.
        """
        self._stored.clear()
        self._unanswered.clear()  # their ids may be given to other leases

    def apply(self, key: str, value: bytes | None) -> None:
        """Apply a change of a conviction in the store.

        :param key: key of the conviction
        :param value: its value, or None if it was deleted
        """
        digest = key.removeprefix(CONVICTIONS_PREFIX)
        if value is None:
            self._stored.discard(digest)
            self._suspects.end_stored_conviction(digest)
            return
        try:
            left_s = Fields(parse_document(value), "conviction").read_positive("ttl_s")
        except DocumentError as error:
            self._log.warning("conviction malformed", key=key, reason=error.failure.reason)
            return
        if not 0 < len(digest) <= _MAX_DIGEST_CHARACTERS:
            self._log.warning("conviction malformed", key=key, reason="length of the digest")
            return
        self._stored.add(digest)
        self._suspects.apply_stored_conviction(digest, left_s, trio.current_time())

    async def run(self) -> None:
        """Write convictions until cancelled."""
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            now = trio.current_time()
            convictions = self._suspects.list_convictions(now)
            self._write_at = {
                digest: self._write_at.get(digest, now + self._rng.uniform(*_WRITE_DELAY_RANGE_S))
                for digest, left_s in convictions.items()
                if digest not in self._stored and left_s >= _MIN_LEFT_S
            }
            for digest in [d for d, at in self._write_at.items() if at <= now]:
                await self._write(digest, convictions[digest])
            for digest in self._unanswered.keys() - convictions.keys():
                await self._withdraw(digest)

    async def _write(self, digest: str, left_s: float) -> None:
        key = CONVICTIONS_PREFIX + digest
        value = json.dumps({"ttl_s": round(left_s, 1)}).encode()
        try:
            lease = self._unanswered.get(digest) or (await self._store.grant(left_s)).lease
            self._unanswered[digest] = lease
            outcome = await self._store.transact(
                [Compare(key, 0)], [KeyValue(key, value, 0, lease)]
            )
        except PlatformError as error:
            if error.failure.kind is LEASE_LOST:
                self._unanswered.pop(digest, None)
            self._log.info("conviction not stored", digest=digest, reason=error.failure.reason)
            return
        self._unanswered.pop(digest, None)
        self._stored.add(digest)
        self._log.info("conviction stored", digest=digest, first=outcome.succeeded, ttl_s=left_s)

    async def _withdraw(self, digest: str) -> None:
        """End the lease of a write without an answer, as its conviction has ended or was cleared.

        If the write is done later, it does nothing.
        """
        lease = self._unanswered.get(digest)
        if lease is None:
            return  # the store was restored meanwhile
        try:
            await self._store.revoke(lease)
        except PlatformError as error:
            if error.failure.kind is not LEASE_LOST:
                self._log.info(
                    "conviction not withdrawn", digest=digest, reason=error.failure.reason
                )
                return
        self._unanswered.pop(digest, None)
        self._log.info("conviction withdrawn", digest=digest)
