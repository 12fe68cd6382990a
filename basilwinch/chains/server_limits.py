"""Limits that backend servers name in their answers, over all nodes together."""

import math

import structlog

from basilwinch.admission.config import AdmissionConfig, AdmitRequest, Usage
from basilwinch.admission.limits import Limits
from basilwinch.chains.load import hash_server_id
from basilwinch.record import Record

__all__ = ["ServerLimits", "ServerUsage"]

# Servers measure over a few seconds, so one second of a limit may be used at once.
_BURST_S = 1.0
_MIN_BURST = 2.0  # requests; lets two nodes send at the same moment at a limit below 2 a second
_DEMAND_WINDOW_S = (
    2.0  # the nodes' shares follow the callers, who move between nodes within seconds
)
_MAX_DEBT_S = 2.0  # a server is not avoided for longer than this to make up for an excess
# A server that takes less is asked this often all the same; it could not withdraw its limit else.
_MIN_LIMIT_PER_S = 0.5
# A limit without an answer that confirms it is dropped after this time. The server gets requests at
# its limit until then, so this only happens if it answers none of them.
_LIMIT_TTL_S = 30.0
_WITHDRAWN_TTL_S = 3.0  # time for which the end of a limit is reported
_MAX_REPORTED_SERVERS = 512  # in a report, about 20 bytes each
_MAX_HOLD_S = 60.0  # longest time for which a server may ask to be left out


class ServerUsage(Record):
    """What a node reports about a server that names, or lately named, a limit.

    :param limit_per_s: its limit in requests per second, infinity for none
    :param age_s: seconds since the answer that said so
    :param requests_per_s: requests per second that the node has sent since its last report
    :param wanted_per_s: requests per second that it would have sent
    """

    __slots__ = ("limit_per_s", "age_s", "requests_per_s", "wanted_per_s")


class ServerLimits:
    """Decides whether this node may send a request to a server that names a limit.

    The nodes share each limit in the way in which they share the limits of organisations, see
    :class:`~basilwinch.admission.bucket.SharedBucket`; in :class:`Limits` the hash of a server
    takes the place of an organisation's name.

    :param clock: function that returns the time in seconds
    """

    __slots__ = ("_clock", "_known", "_held_until", "_limits", "_reported_at", "_log")

    def __init__(self, clock):
        self._clock = clock
        # By hash of the server: limit in requests per second, infinity for none, and time of the
        # answer that said so.
        self._known: dict[int, tuple[float, float]] = {}
        # By id of the server: end of the time for which it wants no request of this node.
        self._held_until: dict[str, float] = {}
        self._limits = Limits(
            AdmissionConfig(
                burst_s=_BURST_S,
                min_burst=_MIN_BURST,
                demand_window_s=_DEMAND_WINDOW_S,
                max_debt_s=_MAX_DEBT_S,
                min_level=0.0,
                idle_expiry_s=_LIMIT_TTL_S,
            )
        )
        self._reported_at = -math.inf
        self._log = structlog.get_logger("limits")

    def set_nodes(self, nodes: int, report_interval_s: float) -> None:
        """Set the number of nodes, this one included, and the seconds between their reports."""
        self._limits.set_nodes(nodes, report_interval_s)

    def observe(self, server_id: str, limit_per_s: float | None) -> None:
        """Record what an answer of a server says about its limit.

        :param limit_per_s: requests per second, infinity if it names none, None if that is unknown
        """
        server = hash_server_id(server_id)
        if limit_per_s is None or (limit_per_s == math.inf and server not in self._known):
            return
        if limit_per_s != self._known.get(server, (math.inf, 0.0))[0]:
            self._log.info(
                "server limit changed",
                server=server_id,
                limit_per_s=None if limit_per_s == math.inf else limit_per_s,
            )
        self._set_limit(server, limit_per_s, self._clock())

    def hold(self, server_id: str, seconds: float) -> None:
        """Send no request to a server that turned one away and named the time to wait.

        This holds for this node alone: the server answers others for themselves.

        :param seconds: time to wait, at most ``_MAX_HOLD_S`` is kept
        """
        until = self._clock() + min(_MAX_HOLD_S, seconds)
        self._held_until[server_id] = max(until, self._held_until.get(server_id, until))
        self._log.info("server wants no requests for a time", server=server_id, seconds=seconds)

    def list_exhausted(self, server_ids) -> set[str]:
        """Return the servers to which this node may not send a request now.

        The request counts as demand for each of them, so that the nodes' shares of a limit follow
        their callers.
        """
        now = self._clock()
        held = {id for id in server_ids if now < self._held_until.get(id, -math.inf)}
        if not self._known:
            return held
        return held | {
            server_id
            for server_id in server_ids
            if not self._limits.check_request(hash_server_id(server_id), now)
        }

    def take(self, server_id: str) -> None:
        """Count a request that is sent to a server."""
        server = hash_server_id(server_id)
        if self._limits.organisation(server) is None:
            return
        now = self._clock()
        request = AdmitRequest("", server, "", 0)
        coverage = self._limits.compute_coverage(now)
        if self._limits.charge(request, coverage, now) is not None:
            # Sent although the limit was used up in the meantime; later requests make up for it.
            self._limits.adjust_charge(server, 0.0, 1.0)

    def count_limited(self) -> int:
        """Return the number of servers with a limit."""
        return sum(limit != math.inf for limit, _ in self._known.values())

    def build_report(self) -> tuple[float, dict[int, ServerUsage]]:
        """Return the seconds that a report covers, and the usage by hash of the server.

        Each call starts a new interval.
        """
        now = self._clock()
        interval_s = min(_LIMIT_TTL_S, max(1e-3, now - self._reported_at))
        self._reported_at = now
        usages = {usage.organisation: usage for usage in self._limits.collect_usage(now)}
        rows = {}
        for server, (limit_per_s, at) in self._known.items():
            usage = usages.get(server) or Usage(server, 0.0, 0.0)
            rows[server] = ServerUsage(limit_per_s, now - at, usage.requests, usage.wanted_requests)
        if len(rows) > _MAX_REPORTED_SERVERS:
            busiest = sorted(rows, key=lambda server: -rows[server].wanted_per_s)
            rows = {server: rows[server] for server in busiest[:_MAX_REPORTED_SERVERS]}
        return interval_s, rows

    def apply_report(self, node: str, interval_s: float, rows: dict[int, ServerUsage]) -> None:
        """Apply the limits and the usage that another node reports.

        :param interval_s: seconds that the report covers
        """
        now = self._clock()
        for server, usage in rows.items():
            observed_at = now - min(_LIMIT_TTL_S, usage.age_s)
            if observed_at > self._known.get(server, (math.inf, -math.inf))[1]:
                self._set_limit(server, usage.limit_per_s, observed_at)
        usages = [
            Usage(
                server,
                usage.requests_per_s,
                0.0,
                usage.wanted_per_s,
                interval_s=min(_LIMIT_TTL_S, interval_s),
            )
            for server, usage in rows.items()
        ]
        self._limits.record_peer_usage(node, usages, now)

    def _set_limit(self, server: int, limit_per_s: float, at: float) -> None:
        self._known[server] = limit_per_s, at
        if limit_per_s == math.inf:
            self._limits.remove(server)
        else:
            self._limits.set_request_rate(server, max(_MIN_LIMIT_PER_S, limit_per_s), self._clock())

    def prune(self, known) -> None:
        """Drop the limits of servers that are gone, and those that no answer confirms.

        :param known: ids of the registered servers
        """
        now = self._clock()
        self._held_until = {
            id: until for id, until in self._held_until.items() if id in known and now < until
        }
        if not self._known:
            return
        hashes = {hash_server_id(server_id) for server_id in known}
        for server, (limit_per_s, at) in list(self._known.items()):
            ttl_s = _WITHDRAWN_TTL_S if limit_per_s == math.inf else _LIMIT_TTL_S
            if server not in hashes or now - at > ttl_s:
                del self._known[server]
                self._limits.remove(server)

    def forget_node(self, node: str) -> None:
        """Drop what a node reported that has ended."""
        self._limits.forget_peer(node)
