"""The platform's head as the source of revisions."""

from basilwinch.release import Follower, Replica
from basilwinch.release.layout import HEAD_KEY, Head
from basilwinch.store import KeyValue, KeyValueStore, WatchEvent

__all__ = ["ReleaseSource"]


class ReleaseSource:
    """Adapts a :class:`~basilwinch.release.Follower` to the watch of this package, which decides
    when this node reads the platform at all.

    :param store: key-value service
    :param follower: follower of the same store and replica; its own loop does not run
    :param replica: state in effect on this node
    """

    __slots__ = ("_follower", "_replica", "_store")

    def __init__(self, store: KeyValueStore, follower: Follower, replica: Replica):
        self._store = store
        self._follower = follower
        self._replica = replica

    async def refresh(self) -> bool:
        """Read the head and bring the replica to it."""
        return await self._follower.catch_up()

    def watch(self):
        """Watch the head."""
        return self._store.watch(HEAD_KEY)

    def is_met(self, event: WatchEvent) -> bool:
        """Tell whether the replica holds what an event announced.

        :raises PlatformError: if the head cannot be decoded
        """
        if event.value is None:
            return False
        pair = KeyValue(event.key, event.value, event.mod_revision)
        return Head.decode(pair).revision == self._replica.state.revision
