"""Registration of a node in the store, kept for the life of its process."""

import structlog
import trio

from basilwinch.exception import LEASE_LOST, PlatformError
from basilwinch.store import Compare, KeyValue

__all__ = ["Registrar"]

_LEASE_TTL_S = 12.0  # a node that stopped still gets reports until its lease expires
_RENEW_INTERVAL_S = 4.0
_MAX_ATTEMPTS = 3  # to register, without a wait between them
# After a restore of the store, nodes check their registrations at this rate in all, half of the
# writes that a small store takes.
_FLEET_CHECKS_PER_S = 200.0


class Registrar:
    """Registers this node and keeps it registered.

    A write whose answer is lost may be done seconds later. Each write is therefore made on the
    condition that the registration is as it was read before, and under the same lease until that
    ends, so a late write changes nothing or repeats the same registration. An earlier process of
    this node may still overwrite it; a change by another writer is noticed and repaired.

    :param key: key of the registration in the store
    :param value: its value
    :param store: key-value service
    :param count_nodes: function that returns the number of registered nodes
    :param rng: random number generator for the jitter of renewals
    """

    __slots__ = (
        "_key",
        "_value",
        "_store",
        "_count_nodes",
        "_rng",
        "_lease",
        "_revision",
        "_changed_at",
        "_nodes",
        "_check_requested",
        "_log",
    )

    def __init__(self, key: str, value: bytes, store, count_nodes, rng):
        self._key = key
        self._value = value
        self._store = store
        self._count_nodes = count_nodes
        self._rng = rng
        self._lease: int | None = None
        # Revision of the registration under that lease, 0 if it is not known to be in the store.
        self._revision = 0
        # Newest revision at which a watch of the store has seen the registration change.
        self._changed_at = 0
        self._nodes = 1  # while it was last registered
        self._check_requested = trio.Event()
        self._log = structlog.get_logger("registrar")
        store.history.subscribe(self._begin_history)

    def record_change(self, revision: int) -> None:
        """Record a change of the registration; one by another writer leads to a check soon.

        :param revision: revision of the store at the change, 0 if it is not known
        """
        was_registered = self._is_registered()
        self._changed_at = max(self._changed_at, revision)
        if not revision:
            self._revision = 0
        if was_registered and not self._is_registered():
            self._log.info("registration changed by another writer", revision=revision)
            self._check_requested.set()

    async def run(self) -> None:
        """Register, and renew or repair the registration until cancelled."""
        while True:
            try:
                for _ in range(_MAX_ATTEMPTS):
                    if await self._renew():
                        break
            except PlatformError as error:
                self._log.info("node registration or renewal failed", reason=error.failure.reason)
            await self._wait()

    def _is_registered(self) -> bool:
        return self._revision > 0 and self._changed_at <= self._revision

    async def _renew(self) -> bool:
        """Renew the lease, or register; return whether the node is registered afterwards."""
        try:
            if self._is_registered():
                await self._store.keep_alive(self._lease)
            else:
                await self._register()
        except PlatformError as error:
            if error.failure.kind is not LEASE_LOST:
                raise
            self._lease, self._revision = None, 0
        if self._is_registered():
            self._nodes = self._count_nodes()
        return self._is_registered()

    async def _register(self) -> None:
        """Take over the registration that is in the store, or write one."""
        history = self._store.history.number
        self._changed_at = 0  # earlier changes show in what is read now
        found = await self._store.get(self._key)
        is_own = found is not None and found.value == self._value and found.lease != 0
        if is_own:
            # A write of this process without an answer, or one of an earlier process.
            lease, revision = found.lease, found.mod_revision
            await self._store.keep_alive(lease)
        else:
            lease = self._lease or (await self._store.grant(_LEASE_TTL_S)).lease
            if history != self._store.history.number:
                return  # the revision and the lease may have been given out again
            self._lease = lease
            condition = Compare(self._key, found.mod_revision if found is not None else 0)
            put = KeyValue(self._key, self._value, 0, lease)
            outcome = await self._store.transact([condition], [put])
            revision = outcome.revision if outcome.succeeded else 0
        if history == self._store.history.number:
            self._lease, self._revision = lease, revision
        self._log.info("node registered", found=is_own, lease=lease, revision=revision)

    async def _wait(self) -> None:
        """Wait until the lease must be renewed or the registration checked."""
        with trio.move_on_after(_RENEW_INTERVAL_S * self._rng.uniform(0.8, 1.0)):
            await self._check_requested.wait()
            # All nodes may have to check theirs at the same time.
            await trio.sleep(self._rng.uniform(0, self._nodes / _FLEET_CHECKS_PER_S))
        self._check_requested = trio.Event()

    def _begin_history(self) -> None:
        """Look for the registration again, as the store was restored from an older copy.

        The lease may have been lost, and its id given to another node.
        """
        self._lease, self._revision, self._changed_at = None, 0, 0
        self._check_requested.set()
