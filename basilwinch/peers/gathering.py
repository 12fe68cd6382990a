"""Which nodes get a report, and with which load, without I/O.

In a large fleet a node tells its load only to the nodes of its availability zone. The readers of a
zone add it up for the readers of the other zones, which pass it on. So what a node sends and
receives grows with a zone, not with the fleet, and little of it crosses between zones.
"""

import math

from basilwinch.chains.load import FleetLoad, NodeReport, ZoneLoad
from basilwinch.fanout.readers import Readers
from basilwinch.record import Record

__all__ = ["Delivery", "Gathering"]

_MIN_PEERS = 31  # with fewer, each node reports to each other one twice a second or more often
# A node that has not heard of a gatherer for this long reports to all nodes itself.
_MAX_SILENCE_S = 3.0
# Reports without load that nodes of other zones get when a node's load begins to be gathered, so
# that they do not count it twice; single datagrams may be lost.
_CLEARING_REPORTS = 2


class Delivery(Record):
    """A report, and the names of the nodes that get it."""

    __slots__ = ("report", "names")


class Gathering:
    """Divides the other nodes by what they are told.

    Nodes of an older version neither gather nor understand gathered load; they get all reports.

    :param zone: availability zone of this node
    :param readers: :class:`~basilwinch.fanout.readers.Readers`, of which those of a zone gather
    :param load: :class:`~basilwinch.chains.load.FleetLoad`
    """

    __slots__ = ("_zone", "_readers", "_load", "_heard_at", "_rest_due_at", "_clearings")

    def __init__(self, zone: str, readers: Readers, load: FleetLoad):
        self._zone = zone
        self._readers = readers
        self._load = load
        self._heard_at = -math.inf
        self._rest_due_at = -math.inf
        self._clearings = 0

    def apply(self, node: str, report: NodeReport, now: float) -> None:
        """Apply the loads of zones that another node has gathered or passes on."""
        if report.zone_loads and self._readers.is_local(node):
            self._heard_at = now
        for zone, load in report.zone_loads.items():
            if zone != self._zone and self._readers.has_zone(zone):
                self._load.apply_zone_load(zone, load)

    def is_active(self, peers, now: float) -> bool:
        """Return whether this node's load is gathered.

        :param peers: names of the other nodes
        """
        if len(peers) < _MIN_PEERS or not self._readers.list_remote():
            return False
        return self._readers.is_reader or now - self._heard_at <= _MAX_SILENCE_S

    def count_regular(self, peers) -> int:
        """Return how many nodes get each regular report while the load is gathered."""
        remote = len(self._readers.list_remote()) if self._readers.is_reader else 0
        return sum(self._is_told_all(name) for name in peers) + remote

    def tell_all(self, report: NodeReport, peers) -> list[Delivery]:
        """Return the deliveries of a report while the load is not gathered."""
        self._clearings = _CLEARING_REPORTS
        return [Delivery(report, list(peers))]

    def divide(
        self, report: NodeReport, peers, is_urgent: bool, rest_interval_s: float, now: float
    ) -> list[Delivery]:
        """Return the deliveries of a report while the load is gathered.

        :param report: this node's own report
        :param peers: names of the other nodes
        :param is_urgent: whether all nodes must get what the report says beside the load
        :param rest_interval_s: seconds between reports to the nodes that need no load, if they
            must get what else the report says
        """
        told_all = [name for name in peers if self._is_told_all(name)]
        rest = set(peers).difference(told_all)
        full = NodeReport(report.shares, report.avoided, report.disconnected, True)
        deliveries = [Delivery(full, told_all)]
        if self._readers.is_reader:
            # The own zone without load shows the nodes of the zone that this one gathers.
            full.zone_loads = {self._zone: ZoneLoad({}, 0.0)} | self._load.list_zone_loads()
            deliveries.append(self._build_gathered(report, peers, rest))
            rest.difference_update(deliveries[-1].names)
        is_urgent = is_urgent or self._clearings > 0
        if is_urgent or ((report.avoided or report.disconnected) and now >= self._rest_due_at):
            self._rest_due_at = now + rest_interval_s
            self._clearings = max(0, self._clearings - 1)
            plain = NodeReport({}, report.avoided, report.disconnected, True)
            deliveries.append(Delivery(plain, sorted(rest)))
        return deliveries

    def _build_gathered(self, report: NodeReport, peers, rest) -> Delivery:
        """Return the load of the own zone for those who pass it on in other zones.

        Nodes whose own load is not gathered have no gatherer, so they get it too.
        """
        local = [name for name in peers if self._readers.is_local(name)]
        load = self._load.gather_zone_load(local)
        gathered = NodeReport({}, report.avoided, report.disconnected, True, {self._zone: load})
        readers = set(self._readers.list_remote())
        names = [name for name in rest if name in readers or self._load.is_ungathered(name)]
        return Delivery(gathered, names)

    def _is_told_all(self, name: str) -> bool:
        return self._readers.is_local(name) or not self._readers.is_able(name)
