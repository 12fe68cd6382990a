"""Interfaces and values of the platform, independent of any wire protocol."""

import enum
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from basilwinch.record import Record
from basilwinch.store.history import StoreHistory

__all__ = [
    "Changes",
    "Compare",
    "KeyValue",
    "KeyValueStore",
    "LeaseGrant",
    "Page",
    "Proof",
    "Transaction",
    "VmEntry",
    "VmList",
    "VmState",
    "WatchEvent",
    "WeightStore",
]


class KeyValue(Record):
    """A key, its value (bytes), the revision of its last change, and its lease id (0 for none)."""

    __slots__ = ("key", "value", "mod_revision", "lease")
    _defaults = {"lease": 0}


class Compare(Record):
    """A condition: the key was last changed at ``mod_revision``, or does not exist if that is 0."""

    __slots__ = ("key", "mod_revision")


class Page(Record):
    """One page of a list of keys; ``more`` is whether further keys follow the last item."""

    __slots__ = ("items", "more")


class Transaction(Record):
    """Outcome of a transaction; ``revision`` is the revision of the store after it."""

    __slots__ = ("succeeded", "revision")


class LeaseGrant(Record):
    """The id of a granted lease, and its time to live in seconds."""

    __slots__ = ("lease", "ttl_s")


class WatchEvent(Record):
    """A change of a key; ``value`` is None if the key was deleted."""

    __slots__ = ("key", "value", "mod_revision")


class Changes(Record):
    """Events of a watch, complete up to a :class:`~basilwinch.store.Position`."""

    __slots__ = ("events", "position")


class Proof(Record):
    """What shows up to which point a view of the store is complete.

    :param position: :class:`~basilwinch.store.Position` of the store
    :param age_s: seconds between the query of the position and the call that returned this;
        negative if the query was sent after the call
    :param is_direct: whether the store itself was asked, so that a lower revision than before shows
        a restore
    :param is_relayed: whether it came through a relay, as the store refuses this node; keys can't
        be read from the store then
    """

    __slots__ = ("position", "age_s", "is_direct", "is_relayed")
    _defaults = {"age_s": 0.0, "is_direct": True, "is_relayed": False}


class VmState(enum.StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmEntry(Record):
    """A VM in the platform's list."""

    __slots__ = ("name", "address", "state")


class KeyValueStore(Protocol):
    """The key-value service.

    Every method raises ``PlatformError`` with ``PLATFORM_UNAVAILABLE`` if the call certainly had no
    effect, or ``PLATFORM_AMBIGUOUS`` if it may have had one.

    :param history: tells whether the store was restored from an older copy
    """

    history: StoreHistory

    async def get(self, key: str) -> KeyValue | None:
        """Return a key with its value, or None if it does not exist."""

    async def scan(self, prefix: str, limit: int = 1000, after: str = "") -> Page:
        """Return keys with a prefix, in order, after the key ``after``."""

    async def transact(
        self, compares: list[Compare], puts: list[KeyValue], deletes: list[str] = ()
    ) -> Transaction:
        """Apply all changes if all conditions hold, else none.

        The ``mod_revision`` of the puts is ignored; their ``lease`` is attached.
        """

    async def grant(self, ttl_s: float) -> LeaseGrant:
        """Grant a lease."""

    async def keep_alive(self, lease: int) -> LeaseGrant:
        """Renew a lease; raises ``PlatformError`` with ``LEASE_LOST`` if it has expired."""

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""

    def watch(
        self, prefix: str, from_revision: int = 0
    ) -> AbstractAsyncContextManager[AsyncIterator[WatchEvent]]:
        """Watch keys with a prefix, starting at a revision (0 for new events only)."""


class VmList(Protocol):
    """The platform's list of live and leaving VMs, which may be out of date."""

    async def snapshot(self) -> list[VmEntry]:
        """Return the list; raises ``PlatformError`` if it cannot be read."""


class WeightStore(Protocol):
    """The store of model weights, whose transfer rate is limited."""

    def fetch_time_s(self, size_bytes: int) -> float:
        """Return the time in seconds to fetch ``size_bytes`` at the rate of the store."""
