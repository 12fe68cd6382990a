"""Choice of the node through which this one reads while the store refuses it, without I/O."""

from basilwinch.fanout.readers import Readers

__all__ = ["Relays"]

# A relay that did not answer, or was not believed, is left out for this long. As for readers.
_AVOID_S = 4.0


class Relays:
    """Chooses a relay: a node that reads the store, or follows one that does.

    Readers of this zone come first, then those of other zones, then all other nodes in the order of
    the readers. A relay is kept until it fails, so that its changes are read without gaps.

    :param readers: :class:`~basilwinch.fanout.readers.Readers`

    >>> readers = Readers("n1", "a")
    >>> for name, zone in (("n2", "a"), ("n3", "b"), ("n4", "b"), ("n5", "b")):
    ...     readers.add(name, "10.0.0.1", zone, True)
    >>> relays = Relays(readers)
    >>> first = relays.choose(0.0)
    >>> relays.avoid(first, 0.0)
    >>> first, relays.choose(1.0), relays.choose(5.0)
    ('n2', 'n3', 'n3')
    """

    __slots__ = ("_readers", "_current", "_avoid_until")

    def __init__(self, readers: Readers):
        self._readers = readers
        self._current: str | None = None
        self._avoid_until: dict[str, float] = {}

    def choose(self, now: float) -> str | None:
        """Return the node to ask, or None if there is none.

        :param now: current time, in seconds
        """
        if self._current is not None and self._is_usable(self._current, now):
            return self._current
        candidates = self._readers.list_relays(now)
        usable = (name for name in candidates if self._is_usable(name, now))
        self._current = next(usable, None)
        return self._current

    def get_ip(self, name: str) -> str:
        """Return the address of a node."""
        return self._readers.get_ip(name)

    def avoid(self, name: str, now: float) -> None:
        """Leave out a node for a while."""
        self._avoid_until = {n: until for n, until in self._avoid_until.items() if until > now}
        self._avoid_until[name] = now + _AVOID_S

    def _is_usable(self, name: str, now: float) -> bool:
        return self._readers.is_able(name) and now >= self._avoid_until.get(name, now)
