"""A store whose watches are served by the follower's single one."""

import contextlib

import trio

from basilwinch.store import WatchEvent

__all__ = ["FollowedStore"]

_MOST_EVENTS = 64  # kept for a reader that is behind; it then misses some and asks the store


class FollowedStore:
    """Delegates calls to a store; watches take no calls.

    :param store: key-value service
    """

    __slots__ = (
        "_readers",
        "get",
        "scan",
        "transact",
        "grant",
        "keep_alive",
        "revoke",
    )

    def __init__(self, store):
        self._readers: dict[trio.MemorySendChannel, str] = {}
        self.get = store.get
        self.scan = store.scan
        self.transact = store.transact
        self.grant = store.grant
        self.keep_alive = store.keep_alive
        self.revoke = store.revoke

    @contextlib.asynccontextmanager
    async def watch(self, prefix: str, from_revision: int = 0):
        """Watch keys with a prefix from now on."""
        send, receive = trio.open_memory_channel(_MOST_EVENTS)
        self._readers[send] = prefix
        try:
            yield receive
        finally:
            del self._readers[send]

    def publish(self, key: str, value: bytes | None, revision: int) -> None:
        """Hand a change to the readers of its key."""
        for send, prefix in self._readers.items():
            if key.startswith(prefix):
                with contextlib.suppress(trio.WouldBlock):
                    send.send_nowait(WatchEvent(key, value, revision))
