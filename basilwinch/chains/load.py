"""Load of servers: what this node has sent to them, and what the other nodes report.

What a node avoids is reported too. In a large fleet a node sends to a server so seldom that, alone,
each of them would lose a request of its own to every server that fails.
"""

import zlib

import structlog

__all__ = ["FleetLoad", "NodeReport", "Share", "mark_server"]

_REPORT_INTERVALS = 4  # a report of another node counts for so many intervals; some get lost
_LEAST_INTERVAL_S = 0.25
_SUSPECT_S = 1.0  # first time for which a server that failed is avoided; doubles up to the longest
_LONGEST_SUSPECT_S = 4.0
# One other node may be wrong about a server, as its own link may be at fault.
_WITNESSES = 2
# A node that avoids more than this part of the servers has trouble of its own, and tells nothing.
_TOLD_PART = 0.25


def mark_server(server_id: str) -> int:
    """Return the number that names a server in reports.

    >>> mark_server("s1")
    336935152
    """
    return zlib.crc32(server_id.encode())


class Share:
    """Requests and KV cache, in tokens times layers, at a server."""

    __slots__ = ("requests", "token_layers")

    def __init__(self, requests: int = 0, token_layers: int = 0):
        self.requests = requests
        self.token_layers = token_layers


def _count_active(told: dict[str, float], now: float) -> int:
    return sum(now < end for end in told.values())


class NodeReport:
    """What a node tells the others.

    :param shares: :class:`Share` by server mark
    :param avoided: seconds for which the node still avoids a server, by server mark
    """

    __slots__ = ("shares", "avoided")

    def __init__(self, shares: dict[int, Share], avoided: dict[int, float]):
        self.shares = shares
        self.avoided = avoided


class FleetLoad:
    """Adds up load by server, and remembers which servers are avoided after a failure.

    ``interval_s`` is the time between reports of a node; it grows with the number of nodes.
    ``on_suspect`` is called without arguments when this node begins to avoid a server.

    :param clock: function that returns the time in seconds
    """

    __slots__ = (
        "_clock",
        "own",
        "interval_s",
        "_remote",
        "_total",
        "_total_at",
        "_suspects",
        "_told",
        "on_suspect",
        "_log",
    )

    def __init__(self, clock):
        self._clock = clock
        self.own: dict[str, Share] = {}
        self.interval_s = _LEAST_INTERVAL_S
        self._remote: dict[str, tuple[float, dict[int, Share]]] = {}
        self._total: dict[int, Share] = {}
        self._total_at = float("-inf")
        self._suspects: dict[str, tuple[float, float]] = {}
        self._told: dict[int, dict[str, float]] = {}
        self.on_suspect = None
        self._log = structlog.get_logger("load")

    def add(self, members, tokens: int) -> None:
        """Count a request at the members of its chain."""
        self._change(members, tokens, 1)

    def remove(self, members, tokens: int) -> None:
        """Count a request no longer."""
        self._change(members, tokens, -1)

    def _change(self, members, tokens: int, sign: int) -> None:
        for member in members:
            share = self.own.setdefault(member.server, Share())
            share.requests += sign
            share.token_layers += sign * tokens * (member.end - member.first)

    def build_report(self, servers: int) -> NodeReport:
        """Return what this node has to tell.

        :param servers: number of registered servers
        """
        shares = {mark_server(s): share for s, share in self.own.items() if share.requests}
        now = self._clock()
        left = {mark_server(s): until - now for s, (until, _) in self._suspects.items()}
        avoided = {mark: left_s for mark, left_s in left.items() if left_s > 0}
        return NodeReport(shares, avoided if len(avoided) <= _TOLD_PART * servers else {})

    def take_report(self, node: str, report: NodeReport) -> None:
        """Take over what another node has sent to servers, and which servers it avoids."""
        now = self._clock()
        self._remote[node] = (now, report.shares)
        self._total_at = float("-inf")
        for mark, left_s in report.avoided.items():
            told = self._told.setdefault(mark, {})
            before = _count_active(told, now)
            told[node] = now + min(left_s, _LONGEST_SUSPECT_S)
            if before < _WITNESSES <= _count_active(told, now):
                self._log.info("server avoided on reports", mark=mark, nodes=sorted(told))

    def at(self, server_id: str) -> Share:
        """Return the load of a server over all nodes."""
        now = self._clock()
        if now - self._total_at > self.interval_s:
            self._sum_remote(now)
        own = self.own.get(server_id) or Share()
        remote = self._total.get(mark_server(server_id)) or Share()
        return Share(own.requests + remote.requests, own.token_layers + remote.token_layers)

    def _sum_remote(self, now: float) -> None:
        self._total_at = now
        self._total = {}
        for node, (taken_at, shares) in list(self._remote.items()):
            if now - taken_at > self.interval_s * _REPORT_INTERVALS:
                del self._remote[node]
                continue
            for mark, share in shares.items():
                total = self._total.setdefault(mark, Share())
                total.requests += share.requests
                total.token_layers += share.token_layers

    def suspect(self, server_id: str, reason: str) -> None:
        """Avoid a server for a while."""
        now = self._clock()
        until, span = self._suspects.get(server_id, (0.0, 0.0))
        if now < until:
            return
        recent = now - until < _LONGEST_SUSPECT_S
        span = min(_LONGEST_SUSPECT_S, span * 2) if span and recent else _SUSPECT_S
        self._suspects[server_id] = (now + span, span)
        mark = mark_server(server_id)
        self._log.info("server avoided", server=server_id, mark=mark, for_s=span, reason=reason)
        if self.on_suspect is not None:
            self.on_suspect()

    def is_suspect(self, server_id: str) -> bool:
        """Return whether a server is avoided now, by this node's own or by others' experience."""
        now = self._clock()
        until, _ = self._suspects.get(server_id, (0.0, 0.0))
        if now < until:
            return True
        told = self._told.get(mark_server(server_id)) if self._told else None
        return told is not None and _count_active(told, now) >= _WITNESSES

    def forget(self, known) -> None:
        """Drop what is held about servers that are gone, but for those that requests still use."""
        for server_id in [s for s, share in self.own.items() if not share.requests]:
            del self.own[server_id]
        for server_id in [s for s in self._suspects if s not in known]:
            del self._suspects[server_id]
        now = self._clock()
        self._told = {mark: told for mark, told in self._told.items() if max(told.values()) > now}
