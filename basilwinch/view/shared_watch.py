"""A store whose watches are all fed by the single watch of the store watcher."""

import contextlib

import trio

from basilwinch.store import WatchEvent

__all__ = ["SharedWatchStore"]

# Further events are dropped for a subscriber that falls behind; it must then read the store itself.
_MAX_PENDING_EVENTS = 64


class SharedWatchStore:
    """Delegates calls to a store, except for watches, which receive what :meth:`publish` delivers.

    :param store: key-value store
    """

    __slots__ = (
        "history",
        "_subscribers",
        "get",
        "scan",
        "transact",
        "grant",
        "keep_alive",
        "revoke",
    )

    def __init__(self, store):
        self._subscribers: dict[trio.MemorySendChannel, str] = {}
        self.history = store.history
        self.get = store.get
        self.scan = store.scan
        self.transact = store.transact
        self.grant = store.grant
        self.keep_alive = store.keep_alive
        self.revoke = store.revoke

    @contextlib.asynccontextmanager
    async def watch(self, prefix: str, from_revision: int = 0):
        """Watch keys with a prefix from now on.

        :param prefix: prefix of the keys
        :param from_revision: ignored; earlier changes are not delivered
        """
        send, receive = trio.open_memory_channel(_MAX_PENDING_EVENTS)
        self._subscribers[send] = prefix
        try:
            yield receive
        finally:
            del self._subscribers[send]

    def publish(self, key: str, value: bytes | None, revision: int) -> None:
        """Deliver a change to the subscribers of its key.

        :param value: new value, None if the key was deleted
        :param revision: revision of the store at the change
        """
        for send, prefix in self._subscribers.items():
            if key.startswith(prefix):
                with contextlib.suppress(trio.WouldBlock):
                    send.send_nowait(WatchEvent(key, value, revision))
