"""Choice of the nodes that read the store for their availability zone, without I/O."""

import bisect
import heapq
import zlib

__all__ = ["Readers"]

# The second one serves when the first fails; both read the store all the time.
_READERS_PER_ZONE = 2
# A reader that did not answer is left out for this long; most are back, or replaced, by then.
_AVOID_S = 4.0


class _Node:
    """What is known of another node; ``avoid_until`` is a time in seconds."""

    __slots__ = ("ip", "zone", "is_able", "avoid_until")

    def __init__(self, ip: str, zone: str, is_able: bool):
        self.ip = ip
        self.zone = zone
        self.is_able = is_able
        self.avoid_until = float("-inf")


class Readers:
    """The registered nodes, and which of them are readers.

    The readers of a zone are those nodes that come first in an order by a hash of their names, so
    all nodes choose the same ones without an exchange. Nodes that are not able to answer others,
    such as those of an older version, read the store for themselves.

    :param name: name of this node
    :param zone: availability zone of this node

    >>> readers = Readers("n1", "a")
    >>> for number in range(2, 6):
    ...     readers.add(f"n{number}", f"10.0.0.{number}", "a", True)
    >>> readers.is_reader, readers.choose(0.0), readers.count_reading()
    (False, 'n3', 2)
    """

    __slots__ = ("_name", "_zone", "_nodes", "_orders")

    def __init__(self, name: str, zone: str):
        self._name = name
        self._zone = zone
        self._nodes: dict[str, _Node] = {}
        # By zone: hash and name of the nodes that are able to read for others, in order.
        self._orders: dict[str, list[tuple[int, str]]] = {zone: [_rank(name)]}

    def add(self, name: str, ip: str, zone: str, is_able: bool) -> None:
        """Add a node, or change what is known of it.

        :param is_able: whether it answers reads of other nodes
        """
        self.remove(name)
        self._nodes[name] = _Node(ip, zone, is_able)
        if is_able:
            bisect.insort(self._orders.setdefault(zone, []), _rank(name))

    def remove(self, name: str) -> None:
        """Remove a node that is no longer registered."""
        node = self._nodes.pop(name, None)
        if node is not None and node.is_able:
            self._orders[node.zone].remove(_rank(name))

    @property
    def is_reader(self) -> bool:
        """Whether this node reads the store for others of its zone."""
        return self._name in self._list_readers()

    def choose(self, now: float) -> str | None:
        """Return the reader that this node asks, or None if it must read the store itself.

        Nodes spread over the readers of their zone by a hash of their names.

        :param now: current time, in seconds
        """
        names = self._list_readers()
        if self._name in names:
            return None
        usable = [name for name in names if now >= self._nodes[name].avoid_until]
        return usable[_rank(self._name)[0] % len(usable)] if usable else None

    def get_ip(self, name: str) -> str:
        """Return the address of a node."""
        return self._nodes[name].ip

    def avoid(self, name: str, now: float) -> None:
        """Leave out a reader that did not answer, for a while."""
        if name in self._nodes:
            self._nodes[name].avoid_until = now + _AVOID_S

    def count_reading(self) -> int:
        """Return the number of nodes that read the store themselves. Linear in the nodes."""
        unable = sum(not node.is_able for node in self._nodes.values())
        return unable + sum(min(len(order), _READERS_PER_ZONE) for order in self._orders.values())

    def is_able(self, name: str) -> bool:
        """Return whether a node is registered and answers reads of other nodes."""
        return name in self._nodes and self._nodes[name].is_able

    def is_local(self, name: str) -> bool:
        """Return whether a node is registered in the zone of this one."""
        return name in self._nodes and self._nodes[name].zone == self._zone

    def get_zone(self, name: str) -> str | None:
        """Return the availability zone of another node, None if it is not registered."""
        return self._nodes[name].zone if name in self._nodes else None

    def has_zone(self, zone: str) -> bool:
        """Return whether a node that is able to read for others has been registered in a zone."""
        return zone in self._orders

    def list_remote(self) -> list[str]:
        """Return the readers of all other zones."""
        zones = [zone for zone in self._orders if zone != self._zone]
        return [name for zone in zones for name in self._list_readers(zone)]

    def list_relays(self, now: float) -> list[str]:
        """Return the nodes through which this one may read if the store refuses it, in order.

        Each node begins at another place of the lists, so that many refused nodes do not all ask
        the same relay. Readers that did not answer lately are left out.

        :param now: current time, in seconds
        """
        start = _rank(self._name)[0]
        own = [name for name in self._list_readers() if name != self._name]
        remote = _rotate(self.list_remote(), start)
        ranks = heapq.merge(*self._orders.values())
        first = {self._name, *own, *remote}
        others = _rotate([name for _, name in ranks if name not in first], start)
        names = [*own, *remote, *others]
        return [name for name in names if now >= self._nodes[name].avoid_until]

    def _list_readers(self, zone: str | None = None) -> list[str]:
        order = self._orders[self._zone if zone is None else zone]
        return [name for _, name in order[:_READERS_PER_ZONE]]


def _rotate(names: list[str], start: int) -> list[str]:
    index = start % len(names) if names else 0
    return names[index:] + names[:index]


def _rank(name: str) -> tuple[int, str]:
    return zlib.crc32(name.encode()), name
