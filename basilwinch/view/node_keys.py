"""Keys of the nodes in the store: registrations, convictions, layouts and leases."""

import structlog

__all__ = ["NodeKeys"]

# Keys that a restore has lost are written again by their owners within this time, which is also the
# longest lease of a node that has stopped.
_REWRITE_TIMEOUT_S = 12.0


class NodeKeys:
    """Reports changes of the keys that do not belong to the view, and those that are missing.

    ``on_key`` is called with key, value and revision; the value is None for a key that is gone.
    """

    __slots__ = ("on_key", "_keys", "_drop_at", "_log")

    def __init__(self):
        self.on_key = None
        self._keys: set[str] = set()
        # Time at which a key that a restore has lost is dropped.
        self._drop_at: dict[str, float] = {}
        self._log = structlog.get_logger("watcher")

    def __len__(self):
        return len(self._keys)

    def __contains__(self, key):
        return key in self._keys

    def apply(self, key: str, value: bytes | None, revision: int) -> None:
        """Report a change.

        :param value: new value, None if the key was deleted
        :param revision: revision of the store at the change, 0 if it is not known
        """
        self._drop_at.pop(key, None)
        if value is None:
            self._keys.discard(key)
        else:
            self._keys.add(key)
        if self.on_key is not None:
            self.on_key(key, value, revision)

    def drop_unlisted(self, listed: set, revision: int) -> None:
        """Report keys as gone that a complete read of the store has not listed."""
        for key in self._keys - listed:
            self.apply(key, None, revision)

    def await_unlisted(self, listed: set, now: float) -> None:
        """Let the owners of keys that a restore has lost write them again.

        :param listed: keys that a complete read after the restore has listed
        """
        for key in self._keys - listed:
            self._drop_at.setdefault(key, now + _REWRITE_TIMEOUT_S)

    def drop_expired(self, now: float) -> None:
        """Report keys as gone that were not written again in time."""
        for key in [k for k, until in self._drop_at.items() if until <= now]:
            self._log.info("key not written again after a restore of the store", key=key)
            self.apply(key, None, 0)
