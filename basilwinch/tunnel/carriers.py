"""Choice of the node that carries a connection to a server, without I/O."""

import math
import random

__all__ = ["Carriers", "choose_zone_order"]

_MIN_AVOID_S = 1.0  # a carrier that failed is left out for this long; doubles with each failure
_MAX_AVOID_S = 4.0
# A node that reports the loss of all servers, and then nothing, counts as disconnected for the
# longer of these times; reports are rare in a large fleet.
_MIN_DISCONNECTED_TTL_S = 2.0
_DISCONNECTED_TTL_INTERVALS = 3


def choose_zone_order(server_zone: str, own_zone: str, zones) -> list[str]:
    """Return zones in the order in which they are searched for a carrier.

    :param server_zone: zone of the server
    :param own_zone: zone of this node
    :param zones: all zones

    >>> choose_zone_order("b", "a", {"a", "b", "c"})
    ['b', 'a', 'c']
    """
    first = [zone for zone in dict.fromkeys((server_zone, own_zone)) if zone in zones]
    return first + sorted(zone for zone in zones if zone not in first)


class _Carrier:
    """What this node knows of another one; times in seconds."""

    __slots__ = ("ip", "zone", "disconnected_until", "tunnels", "avoid_until", "avoid_s")

    def __init__(self, ip: str, zone: str):
        self.ip = ip
        self.zone = zone
        self.disconnected_until = -math.inf
        self.tunnels = 0
        self.avoid_until = 0.0
        self.avoid_s = 0.0

    def is_usable(self, now: float) -> bool:
        return now >= max(self.disconnected_until, self.avoid_until)


class Carriers:
    """The other nodes as carriers of tunnels.

    A choice is linear in the nodes; tunnels are opened far more rarely than they are used.

    :param zone: zone of this node
    :param rng: random number generator, to spread tunnels over the nodes of a zone

    >>> carriers = Carriers("a", random.Random(1))
    >>> for name, ip, zone in (("n2", "10.0.0.2", "a"), ("n3", "10.0.0.3", "b")):
    ...     carriers.add(name, ip, zone)
    >>> carriers.choose("b", 0.0)
    'n3'
    >>> carriers.set_disconnected("n3", True, 0.0)
    >>> carriers.choose("b", 0.0)
    'n2'
    """

    __slots__ = ("_zone", "_rng", "_nodes")

    def __init__(self, zone: str, rng: random.Random):
        self._zone = zone
        self._rng = rng
        self._nodes: dict[str, _Carrier] = {}

    def add(self, name: str, ip: str, zone: str) -> None:
        """Add a node, or change its address and zone."""
        known = self._nodes.get(name)
        if known is None or known.ip != ip:
            self._nodes[name] = _Carrier(ip, zone)
        else:
            known.zone = zone

    def remove(self, name: str) -> None:
        """Remove a node that is no longer registered."""
        self._nodes.pop(name, None)

    def set_disconnected(
        self, name: str, disconnected: bool, now: float, report_interval_s: float = 0.0
    ) -> None:
        """Record whether a node reports that it has lost all servers.

        :param report_interval_s: time between two reports of a node, in seconds
        """
        node = self._nodes.get(name)
        if node is not None:
            ttl_s = max(_MIN_DISCONNECTED_TTL_S, _DISCONNECTED_TTL_INTERVALS * report_interval_s)
            node.disconnected_until = now + ttl_s if disconnected else -math.inf

    def has_address(self, ip: str) -> bool:
        """Return whether a registered node has the address."""
        return any(node.ip == ip for node in self._nodes.values())

    def get_ip(self, name: str) -> str:
        """Return the address of a node."""
        return self._nodes[name].ip

    def choose(self, server_zone: str, now: float, tried=()) -> str | None:
        """Return the node to open a tunnel through, or None.

        :param server_zone: zone of the server
        :param now: current time, in seconds
        :param tried: names of nodes to leave out
        """
        by_zone: dict[str, list[str]] = {}
        for name, node in self._nodes.items():
            if node.is_usable(now) and name not in tried:
                by_zone.setdefault(node.zone, []).append(name)
        for zone in choose_zone_order(server_zone, self._zone, by_zone):
            drawn = self._rng.sample(by_zone[zone], min(2, len(by_zone[zone])))
            return min(drawn, key=lambda name: self._nodes[name].tunnels)
        return None

    def has_usable(self, now: float) -> bool:
        """Return whether a tunnel can be tried."""
        return any(node.is_usable(now) for node in self._nodes.values())

    def all_disconnected(self, now: float) -> bool:
        """Return whether every other node reports that it has lost all servers, too."""
        return all(now < node.disconnected_until for node in self._nodes.values())

    def count_tunnel(self, name: str, change: int) -> None:
        """Count a tunnel that was opened (1) or closed (-1)."""
        node = self._nodes.get(name)
        if node is not None:
            node.tunnels = max(0, node.tunnels + change)

    def record_success(self, name: str) -> None:
        """Record that a node carries a tunnel."""
        node = self._nodes.get(name)
        if node is not None:
            node.avoid_s = 0.0

    def avoid(self, name: str, now: float) -> None:
        """Leave out a node that does not carry tunnels, for a while."""
        node = self._nodes.get(name)
        if node is None or now < node.avoid_until:
            return
        node.avoid_s = min(_MAX_AVOID_S, 2 * node.avoid_s) if node.avoid_s else _MIN_AVOID_S
        node.avoid_until = now + node.avoid_s
