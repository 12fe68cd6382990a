"""Source of revisions that follows the platform's head."""

from basilwinch.release import Follower, Replica
from basilwinch.release.layout import HEAD_KEY, Head
from basilwinch.store import KeyValue, KeyValueStore, WatchEvent

__all__ = ["ReleaseSource"]


class ReleaseSource:
    """Adapts a :class:`~basilwinch.release.Follower` to :class:`RevisionSource`, so that the
    watcher decides when this node reads the platform.

    :param store: key-value store of the platform
    :param follower: follower of the same store and replica; its own loop must not run
    :param replica: release state of this node
    """

    __slots__ = ("_follower", "_replica", "_store")

    def __init__(self, store: KeyValueStore, follower: Follower, replica: Replica):
        self._store = store
        self._follower = follower
        self._replica = replica

    async def refresh(self) -> bool:
        """Read the head and update the replica to its revision."""
        return await self._follower.catch_up()

    def watch(self):
        """Watch the head."""
        return self._store.watch(HEAD_KEY)

    def is_applied(self, event: WatchEvent) -> bool:
        """Return whether the replica is at exactly the revision that an event announced.

        :raises PlatformError: if the head cannot be decoded
        """
        if event.value is None:
            return False
        pair = KeyValue(event.key, event.value, event.mod_revision)
        return Head.decode(pair).revision == self._replica.state.revision
