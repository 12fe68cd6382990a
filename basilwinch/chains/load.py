"""Load of servers: the requests of this node, and those that other nodes report.

Reports also name the servers that a node avoids. In a large fleet each node sends few requests to a
server; without these reports every node would lose a request to each server that fails.
"""

import zlib

import structlog

__all__ = ["FleetLoad", "NodeReport", "RequestLoad", "ZoneLoad", "hash_server_id"]

# The load reported by a node is used for this many report intervals, so that the loss of single
# reports does not matter.
_REPORT_TTL_INTERVALS = 4
_INITIAL_REPORT_INTERVAL_S = 0.25
_ZONE_LOAD_TTL_S = 3.0  # several times the interval between reports within a zone
_MIN_SUSPECT_S = 1.0  # a failed server is avoided for this long; doubles with further failures
_MAX_SUSPECT_S = 4.0
# A single node may be wrong about a server, as its own network link may be at fault.
_MIN_REPORTERS = 2
# A node that avoids more than this fraction of the servers is probably faulty itself, and reports
# none of them.
_MAX_REPORTED_FRACTION = 0.25


def hash_server_id(server_id: str) -> int:
    """Return the CRC-32 of a server id, which identifies the server in reports.

    >>> hash_server_id("s1")
    336935152
    """
    return zlib.crc32(server_id.encode())


class RequestLoad:
    """Requests at a server and their KV cache, in tokens times layers."""

    __slots__ = ("requests", "token_layers")

    def __init__(self, requests: int = 0, token_layers: int = 0):
        self.requests = requests
        self.token_layers = token_layers


def _add_shares(total: dict[int, RequestLoad], shares: dict[int, RequestLoad]) -> None:
    for server_hash, load in shares.items():
        sum_ = total.setdefault(server_hash, RequestLoad())
        sum_.requests += load.requests
        sum_.token_layers += load.token_layers


def _count_requests(shares: dict[int, RequestLoad], hashes: set[int]) -> int:
    return sum(shares[server_hash].requests for server_hash in shares.keys() & hashes)


def _count_avoiding_nodes(until_by_node: dict[str, float], now: float) -> int:
    return sum(now < until for until in until_by_node.values())


class ZoneLoad:
    """Load of all nodes of an availability zone together.

    :param shares: :class:`RequestLoad` by server hash, summed over the nodes
    :param age_s: seconds since it was gathered
    """

    __slots__ = ("shares", "age_s")

    def __init__(self, shares: dict[int, RequestLoad], age_s: float):
        self.shares = shares
        self.age_s = age_s


class NodeReport:
    """Load report of a node to the other nodes.

    :param shares: :class:`RequestLoad` by server hash, see :func:`hash_server_id`
    :param avoided: remaining seconds for which the node avoids a server, by server hash
    :param disconnected: whether the node has lost its links to all servers
    :param is_gathered: whether other zones learn of the shares only as part of a zone's load
    :param zone_loads: :class:`ZoneLoad` by availability zone, of a node that gathers or passes on
        the load of zones
    """

    __slots__ = ("shares", "avoided", "disconnected", "is_gathered", "zone_loads")

    def __init__(
        self,
        shares: dict[int, RequestLoad],
        avoided: dict[int, float],
        disconnected: bool = False,
        is_gathered: bool = False,
        zone_loads: dict[str, ZoneLoad] | None = None,
    ):
        self.shares = shares
        self.avoided = avoided
        self.disconnected = disconnected
        self.is_gathered = is_gathered
        self.zone_loads = zone_loads or {}


class FleetLoad:
    """Adds up the load of each server, and records which servers are avoided after a failure.

    ``own`` is this node's :class:`RequestLoad` by server id. ``report_interval_s`` is the time
    between two reports of a node that sends them to all ``nodes``; it grows with their number.
    ``on_suspect`` is called without arguments when this node begins to avoid a server.

    :param clock: function that returns the time in seconds
    :param links: :class:`~basilwinch.tunnel.reachability.Reachability` of this node, or None
    """

    __slots__ = (
        "_clock",
        "own",
        "report_interval_s",
        "nodes",
        "_remote",
        "_zone_loads",
        "_remote_total",
        "_remote_total_at",
        "_suspects",
        "_remote_avoided_until",
        "on_suspect",
        "_links",
        "_log",
    )

    def __init__(self, clock, links=None):
        self._clock = clock
        self._links = links
        self.own: dict[str, RequestLoad] = {}
        self.report_interval_s = _INITIAL_REPORT_INTERVAL_S
        self.nodes = 1
        # By node: time at which its report was received, load by server hash, and whether that
        # load is gathered.
        self._remote: dict[str, tuple[float, dict[int, RequestLoad], bool]] = {}
        # By availability zone: time at which its load was gathered, and load by server hash.
        self._zone_loads: dict[str, tuple[float, dict[int, RequestLoad]]] = {}
        self._remote_total: dict[int, RequestLoad] = {}
        self._remote_total_at = float("-inf")
        # By server id: time until which it is avoided, and length of this period in seconds.
        self._suspects: dict[str, tuple[float, float]] = {}
        # By server hash, then by node: time until which the node avoids the server.
        self._remote_avoided_until: dict[int, dict[str, float]] = {}
        self.on_suspect = None
        self._log = structlog.get_logger("load")

    def add(self, members, tokens: int) -> None:
        """Add a request to the load of the members of its chain."""
        self._adjust(members, tokens, 1)

    def remove(self, members, tokens: int) -> None:
        """Remove a request that was added from the load of the members of its chain."""
        self._adjust(members, tokens, -1)

    def _adjust(self, members, tokens: int, sign: int) -> None:
        for member in members:
            load = self.own.setdefault(member.server, RequestLoad())
            load.requests += sign
            load.token_layers += sign * tokens * (member.end - member.first)

    def build_report(self, servers: int) -> NodeReport:
        """Return the report of this node.

        It names no server as avoided while the links of this node may be at fault.

        :param servers: number of registered servers
        """
        shares = {hash_server_id(s): load for s, load in self.own.items() if load.requests}
        now = self._clock()
        remaining = {hash_server_id(s): until - now for s, (until, _) in self._suspects.items()}
        avoided = {
            server_hash: remaining_s
            for server_hash, remaining_s in remaining.items()
            if remaining_s > 0
        }
        in_doubt = self._links is not None and self._links.is_in_doubt()
        if in_doubt or len(avoided) > _MAX_REPORTED_FRACTION * servers:
            avoided = {}
        return NodeReport(shares, avoided, self._links is not None and self._links.is_disconnected)

    def apply_report(self, node: str, report: NodeReport) -> None:
        """Replace the load that another node reported, and the servers that it avoids.

        A node that finds its own links at fault takes back what it reported before.
        """
        now = self._clock()
        self._remote[node] = (now, report.shares, report.is_gathered)
        self._remote_total_at = float("-inf")
        for server_hash, until_by_node in self._remote_avoided_until.items():
            if server_hash not in report.avoided:
                until_by_node.pop(node, None)
        for server_hash, remaining_s in report.avoided.items():
            until_by_node = self._remote_avoided_until.setdefault(server_hash, {})
            before = _count_avoiding_nodes(until_by_node, now)
            until_by_node[node] = now + min(remaining_s, _MAX_SUSPECT_S)
            if before < _MIN_REPORTERS <= _count_avoiding_nodes(until_by_node, now):
                self._log.info(
                    "server avoided on reports of other nodes",
                    server_hash=server_hash,
                    nodes=sorted(until_by_node),
                )

    def apply_zone_load(self, zone: str, load: ZoneLoad) -> None:
        """Replace the load of another availability zone, unless what is known of it is newer."""
        gathered_at = self._clock() - load.age_s
        if zone not in self._zone_loads or gathered_at > self._zone_loads[zone][0]:
            self._zone_loads[zone] = (gathered_at, load.shares)
            self._remote_total_at = float("-inf")

    def gather_zone_load(self, nodes) -> ZoneLoad:
        """Return the load of this node and of other nodes of its zone whose load is gathered.

        :param nodes: names of the other nodes
        """
        total: dict[int, RequestLoad] = {}
        _add_shares(total, {hash_server_id(s): load for s, load in self.own.items()})
        self._drop_expired(self._clock())
        for node in nodes:
            _, shares, is_gathered = self._remote.get(node, (0.0, {}, False))
            if is_gathered:
                _add_shares(total, shares)
        return ZoneLoad({s: load for s, load in total.items() if load.requests}, 0.0)

    def is_ungathered(self, node: str) -> bool:
        """Return whether the last report of a node had load that is not gathered."""
        known = self._remote.get(node)
        return known is not None and not known[2]

    def list_zone_loads(self) -> dict[str, ZoneLoad]:
        """Return the known loads of other availability zones."""
        now = self._clock()
        self._drop_expired(now)
        return {
            zone: ZoneLoad(shares, now - gathered_at)
            for zone, (gathered_at, shares) in self._zone_loads.items()
        }

    def count_by_zone(self, server_ids, zone: str, get_zone) -> dict[str, int]:
        """Return the requests in progress at some servers, by the availability zone of their node.

        :param server_ids: ids of the servers
        :param zone: zone of this node, and of nodes whose zone is not known
        :param get_zone: function that returns the zone of another node, or None

        Notes
        -----
        Linear in the servers, and in the rows of the reports that are known.
        """
        self._drop_expired(self._clock())
        hashes = {hash_server_id(server_id) for server_id in server_ids}
        counts = {zone: sum(self.own[s].requests for s in server_ids if s in self.own)}
        for node, (_, shares, _) in self._remote.items():
            node_zone = get_zone(node) or zone
            counts[node_zone] = counts.get(node_zone, 0) + _count_requests(shares, hashes)
        for other_zone, (_, shares) in self._zone_loads.items():
            counts[other_zone] = counts.get(other_zone, 0) + _count_requests(shares, hashes)
        return counts

    def get_load(self, server_id: str) -> RequestLoad:
        """Return the load of a server, summed over all nodes."""
        now = self._clock()
        if now - self._remote_total_at > self.report_interval_s:
            self._sum_remote(now)
        own = self.own.get(server_id) or RequestLoad()
        remote = self._remote_total.get(hash_server_id(server_id)) or RequestLoad()
        return RequestLoad(own.requests + remote.requests, own.token_layers + remote.token_layers)

    def _sum_remote(self, now: float) -> None:
        self._remote_total_at = now
        self._remote_total = {}
        self._drop_expired(now)
        for _, shares, _ in self._remote.values():
            _add_shares(self._remote_total, shares)
        for _, shares in self._zone_loads.values():
            _add_shares(self._remote_total, shares)

    def _drop_expired(self, now: float) -> None:
        """Drop loads that were not reported again."""
        node_ttl_s = self.report_interval_s * _REPORT_TTL_INTERVALS
        for loads, ttl_s in ((self._remote, node_ttl_s), (self._zone_loads, _ZONE_LOAD_TTL_S)):
            for name in [name for name, load in loads.items() if now - load[0] > ttl_s]:
                del loads[name]

    def suspect(self, server_id: str, reason: str) -> None:
        """Avoid a server for a while; a server that is avoided already is left as it is.

        :param reason: why, for the log
        """
        now = self._clock()
        until, duration_s = self._suspects.get(server_id, (0.0, 0.0))
        if now < until:
            return
        recent = now - until < _MAX_SUSPECT_S
        duration_s = (
            min(_MAX_SUSPECT_S, duration_s * 2) if duration_s and recent else _MIN_SUSPECT_S
        )
        self._suspects[server_id] = (now + duration_s, duration_s)
        server_hash = hash_server_id(server_id)
        self._log.info(
            "server avoided",
            server=server_id,
            server_hash=server_hash,
            duration_s=duration_s,
            reason=reason,
        )
        if self.on_suspect is not None:
            self.on_suspect()

    def forget_suspects(self) -> None:
        """Avoid no server any more, as the links of this node were at fault."""
        self._suspects.clear()

    def is_suspect(self, server_id: str) -> bool:
        """Return whether a server is avoided, after failures seen here or reported by others."""
        now = self._clock()
        until, _ = self._suspects.get(server_id, (0.0, 0.0))
        if now < until:
            return True
        until_by_node = (
            self._remote_avoided_until.get(hash_server_id(server_id))
            if self._remote_avoided_until
            else None
        )
        return (
            until_by_node is not None
            and _count_avoiding_nodes(until_by_node, now) >= _MIN_REPORTERS
        )

    def prune(self, known) -> None:
        """Drop records that are not needed any more.

        These are load entries without requests, suspicions of servers that are not registered, and
        the times until which other nodes avoid a server, after all of them have passed.

        :param known: ids of the registered servers
        """
        for server_id in [s for s, load in self.own.items() if not load.requests]:
            del self.own[server_id]
        for server_id in [s for s in self._suspects if s not in known]:
            del self._suspects[server_id]
        now = self._clock()
        self._remote_avoided_until = {
            server_hash: until_by_node
            for server_hash, until_by_node in self._remote_avoided_until.items()
            if max(until_by_node.values(), default=now) > now
        }
