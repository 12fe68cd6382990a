"""Load of servers: what this node has sent to them, and what the other nodes report."""

import structlog

__all__ = ["FleetLoad", "Share"]

_REPORT_INTERVALS = 4  # a report of another node counts for so many intervals; some get lost
_LEAST_INTERVAL_S = 0.25
_SUSPECT_S = 1.0  # first time for which a server that failed is avoided; doubles up to the longest
_LONGEST_SUSPECT_S = 4.0


class Share:
    """Requests and KV cache, in tokens times layers, at a server."""

    __slots__ = ("requests", "token_layers")

    def __init__(self, requests: int = 0, token_layers: int = 0):
        self.requests = requests
        self.token_layers = token_layers


class FleetLoad:
    """Adds up load by server, and remembers which servers are avoided after a failure.

    ``interval_s`` is the time between reports of a node; it grows with the number of nodes.

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
        "_log",
    )

    def __init__(self, clock):
        self._clock = clock
        self.own: dict[str, Share] = {}
        self.interval_s = _LEAST_INTERVAL_S
        self._remote: dict[str, tuple[float, dict[str, Share]]] = {}
        self._total: dict[str, Share] = {}
        self._total_at = float("-inf")
        self._suspects: dict[str, tuple[float, float]] = {}
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

    def take_report(self, node: str, shares: dict[str, Share]) -> None:
        """Take over what another node has sent to servers."""
        self._remote[node] = (self._clock(), shares)
        self._total_at = float("-inf")

    def at(self, server_id: str) -> Share:
        """Return the load of a server over all nodes."""
        now = self._clock()
        if now - self._total_at > self.interval_s:
            self._sum_remote(now)
        own = self.own.get(server_id) or Share()
        remote = self._total.get(server_id) or Share()
        return Share(own.requests + remote.requests, own.token_layers + remote.token_layers)

    def _sum_remote(self, now: float) -> None:
        self._total_at = now
        self._total = {}
        for node, (taken_at, shares) in list(self._remote.items()):
            if now - taken_at > self.interval_s * _REPORT_INTERVALS:
                del self._remote[node]
                continue
            for server_id, share in shares.items():
                total = self._total.setdefault(server_id, Share())
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
        self._log.info("server avoided", server=server_id, for_s=span, reason=reason)

    def is_suspect(self, server_id: str) -> bool:
        """Return whether a server is avoided now."""
        until, _ = self._suspects.get(server_id, (0.0, 0.0))
        return self._clock() < until

    def forget(self, known) -> None:
        """Drop what is held about servers that are gone, but for those that requests still use."""
        for server_id in [s for s, share in self.own.items() if not share.requests]:
            del self.own[server_id]
        for server_id in [s for s in self._suspects if s not in known]:
            del self._suspects[server_id]
