"""What other nodes say of the version of the configuration that they have in force."""

__all__ = ["PeerVersions"]

# A node that starts, or whose store was restored, asks its peers before it confirms its view. An
# answer takes a few milliseconds; without one the node relies on the store alone after this time.
_ASK_TIMEOUT_S = 1.0
# A version that no peer has named for this long is no longer expected; reports come every 8 s in
# the largest fleets.
_CLAIM_TTL_S = 30.0


class PeerVersions:
    """Tells since when the view of this node lacks a version that a peer has in force.

    The store may show an older configuration than a peer has, once it was restored from an older
    copy. Then a node that starts, or was cut off, cannot tell from the store alone. A version that
    is first heard of while the node asks may be missing since its view was last complete; one that
    is heard of later is new.
    """

    __slots__ = (
        "is_asking",
        "ask_until",
        "_complete_at",
        "_version",
        "_missing_since",
        "_heard_at",
    )

    def __init__(self):
        self.is_asking = False
        self.ask_until = float("-inf")
        self._complete_at = float("-inf")
        self._version = 0
        self._missing_since = float("inf")
        self._heard_at = float("-inf")

    def ask(self, complete_at: float, now: float) -> None:
        """Begin to ask, until the first answer or a time-out.

        :param complete_at: time at which the view was last known to be complete
        """
        self.is_asking = True
        self._complete_at = complete_at
        self.ask_until = now + _ASK_TIMEOUT_S

    def end_asking(self) -> None:
        """Stop asking, as a peer has answered or none does in time."""
        self.is_asking = False

    def record(self, version: int, own_version: int, now: float) -> bool:
        """Record the version that a peer has in force; return whether it was not known of.

        :param own_version: version that this node has in force
        """
        if self._version <= own_version or self._has_lapsed(now):
            self._version, self._missing_since = 0, float("inf")
        if version <= own_version or version < self._version:
            return False
        is_new = version > self._version
        self._version, self._heard_at = version, now
        since = self._complete_at if now < self.ask_until else now
        self._missing_since = min(self._missing_since, since)
        return is_new

    def find_missing_since(self, own_version: int, now: float) -> float:
        """Return the time since when a version is missing, infinity if none is.

        :param own_version: version that this node has in force
        """
        if self._version <= own_version or self._has_lapsed(now):
            return float("inf")
        return self._missing_since

    def _has_lapsed(self, now: float) -> bool:
        return now - self._heard_at > _CLAIM_TTL_S
