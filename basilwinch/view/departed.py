"""Servers that have left, whose old entries a restored store may show again."""

__all__ = ["DepartedServers"]

# Longer than a copy from which a store is restored is old, and than its old entries stay.
_RETENTION_S = 120.0


class DepartedServers:
    """Remembers entries that were removed, and tells whether an entry of an older copy is outdated.

    Servers count their heartbeats from each start. Time is constant for each call, except that
    :meth:`prune` is linear in the number of servers that have left within the retention time.
    """

    __slots__ = ("_removed",)

    def __init__(self):
        # By server id: the entry, and the time of its removal.
        self._removed: dict[str, tuple] = {}

    def add(self, entry, now: float) -> None:
        """Remember the last entry of a server that was removed."""
        self._removed[entry.id] = (entry, now)

    def discard(self, server_id: str) -> None:
        """Forget a server that has registered again."""
        self._removed.pop(server_id, None)

    def is_outdated(self, entry, held) -> bool:
        """Return whether an entry is older than what is known of its server.

        :param entry: entry in the copy
        :param held: entry in the view, or None
        """
        if held is not None:
            return _order(entry) < _order(held)
        removed = self._removed.get(entry.id)
        return removed is not None and _order(entry) <= _order(removed[0])

    def prune(self, now: float) -> None:
        """Drop entries whose retention time is over."""
        over = [s for s, (_, at) in self._removed.items() if now - at > _RETENTION_S]
        for server_id in over:
            del self._removed[server_id]


def _order(entry) -> tuple[int, int]:
    return entry.born_ms, entry.heartbeat_sequence
