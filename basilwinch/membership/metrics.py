"""Metrics of the membership of a node."""

import collections
from collections.abc import Iterator

from prometheus_client import Metric
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from basilwinch.membership.membership import Membership

__all__ = ["MembershipCollector"]

_PREFIX = "basilwinch_membership_"
_BYTE_PARTS = ("sent", "received", "platform")


class MembershipCollector(Collector):
    """Exports the counters of a membership at each scrape; register it with the registry of the
    process.

    :param membership: :class:`Membership`
    """

    def __init__(self, membership: Membership):
        self._membership = membership

    def collect(self) -> Iterator[Metric]:
        """Return the metrics. Takes time linear in the number of nodes."""
        membership = self._membership
        members = GaugeMetricFamily(_PREFIX + "members", "Nodes by state", labels=["state"])
        states = collections.Counter(
            entry.state.name.lower() for entry in membership.roster.entries.values()
        )
        for state in ("alive", "suspect", "dead"):
            members.add_metric([state], states[state])
        yield members
        yield _gauge("revision", "Configuration revision held", membership.revision_sync.revision)
        yield _gauge("ready", "Whether the state is complete", membership.revision_sync.ready)
        yield _gauge("watching", "Whether a platform watch is open", membership.is_watching())
        newest = max((entry.revision for entry in membership.roster.entries.values()), default=0)
        behind = max(0, newest - membership.revision_sync.revision)
        yield _gauge("revisions_behind", "Revisions behind the newest peer", behind)
        yield _counter("pauses", "Pauses of this process", membership.detector.pauses)
        yield _counter(
            "refused_changes", "Changes that did not apply", membership.revision_sync.refused
        )
        yield from self._traffic()

    def _traffic(self) -> Iterator[Metric]:
        membership = self._membership
        traffic = membership.outbox.traffic
        sizes = CounterMetricFamily(_PREFIX + "bytes", "Bytes on the wire", labels=["part"])
        for part in _BYTE_PARTS:
            sizes.add_metric([part], traffic[part])
        yield sizes
        messages = CounterMetricFamily(_PREFIX + "messages", "Messages sent", labels=["kind"])
        for kind in ("ping", "ack", "pingReq", "digest"):
            messages.add_metric([kind], traffic[f"sent_{kind}"])
        yield messages
        yield _counter("fetches", "Fetches from peers", traffic["fetches"])
        dropped = CounterMetricFamily(_PREFIX + "dropped", "Packets dropped", labels=["code"])
        for code, count in membership.dropped.items():
            dropped.add_metric([code], count)
        yield dropped


def _gauge(name: str, summary: str, value: float) -> Metric:
    return GaugeMetricFamily(_PREFIX + name, summary, value=float(value))


def _counter(name: str, summary: str, value: float) -> Metric:
    return CounterMetricFamily(_PREFIX + name, summary, value=float(value))
