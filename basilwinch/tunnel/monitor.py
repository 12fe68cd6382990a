"""Probes of servers that decide whether this node has lost its links to them."""

import structlog
import trio

from basilwinch.exception import ServerError
from basilwinch.tunnel.reachability import PROBE_TIMEOUT_S, PROBES_PER_ROUND, ProbeRound

__all__ = ["ReachabilityMonitor"]

_MAX_REPORT_BYTES = 1 << 20
_MAX_PROBE_AGE_S = 0.5  # age of a refusal that a check of a server may return


class ReachabilityMonitor:
    """Probes servers when that is due, and tells when the state of the links changes.

    :param links: :class:`~basilwinch.tunnel.reachability.Reachability`
    :param connector: :class:`~basilwinch.tunnel.connector.ServerConnector`
    :param view: :class:`~basilwinch.view.View` with the servers
    :param build_request: function that returns method, target, header and body of a query that
        servers answer without a free slot
    :param rng: random number generator
    :param clock: function that returns the time in seconds
    :param on_change: function that is called after the state has changed
    """

    __slots__ = (
        "_links",
        "_connector",
        "_view",
        "_build_request",
        "_rng",
        "_clock",
        "_on_change",
        "_doubt",
        "_confirming",
        "_log",
    )

    def __init__(self, links, connector, view, build_request, rng, clock, on_change):
        self._links = links
        self._connector = connector
        self._view = view
        self._build_request = build_request
        self._rng = rng
        self._clock = clock
        self._on_change = on_change
        self._doubt = trio.Event()
        self._confirming = trio.Lock()
        self._log = structlog.get_logger("reachability")
        connector.on_doubt = self._notify_doubt

    def _notify_doubt(self) -> None:
        self._doubt.set()

    async def run(self) -> None:
        """Probe forever."""
        while True:
            self._doubt = trio.Event()
            with trio.move_on_at(self._links.compute_round_due()):
                await self._doubt.wait()
            await trio.sleep_until(self._links.compute_round_due())
            await self.probe()

    async def can_blame(self, failed_at: float) -> bool:
        """Return whether a server that refuses connections has crashed.

        While this node is disconnected, a carrier has seen the refusal, unless it is from before.
        Otherwise another server must answer on a connection that was opened after the failure;
        else the links of this node may be at fault. Some are asked if none has answered yet.

        :param failed_at: time of the failure, in seconds
        """
        if self._links.is_disconnected:
            return failed_at - self._links.disconnected_at > _MAX_PROBE_AGE_S
        async with self._confirming:
            if not self._links.has_answered_since(failed_at):
                self._links.record_failure(failed_at)
                await self.probe()
            return self._links.has_answered_since(failed_at)

    async def probe(self) -> None:
        """Run one round of probes."""
        count = self._links.count_probes()
        servers = self._draw_servers(count)
        answered: list[str] = []
        start = self._clock()
        async with trio.open_nursery() as nursery:
            for server in servers:
                nursery.start_soon(self._probe_server, server, answered)
        now = self._clock()
        is_full = count == PROBES_PER_ROUND
        result = ProbeRound(len(answered), len(servers), now - start, is_full)
        was_disconnected = self._links.is_disconnected
        changed = self._links.record_round(result, now)
        if not answered or was_disconnected:
            self._log.info(
                "servers probed",
                asked=[server.id for server in servers],
                answered=answered,
                duration_ms=round(1000 * result.duration_s, 1),
                valid=result.is_valid,
            )
        if changed:
            self._log.info("links to servers changed", disconnected=self._links.is_disconnected)
            self._on_change()

    def _draw_servers(self, count: int) -> list:
        """Return servers to ask, of different zones if there are several; linear in the servers."""
        by_zone: dict[str, list] = {}
        for server in self._view.servers.values():
            by_zone.setdefault(server.zone, []).append(server)
        zones = [by_zone[zone] for zone in sorted(by_zone)]
        zones = [
            self._rng.sample(servers, min(len(servers), PROBES_PER_ROUND)) for servers in zones
        ]
        self._rng.shuffle(zones)
        drawn = []
        while len(drawn) < count and any(zones):
            drawn += [servers.pop() for servers in zones if servers]
        return drawn[:count]

    async def _probe_server(self, server, answered: list[str]) -> None:
        try:
            with trio.fail_after(PROBE_TIMEOUT_S):
                connection = await self._connector.open_direct(*server.address, PROBE_TIMEOUT_S)
                try:
                    await connection.send(*self._build_request())
                    await connection.receive_head()
                    await connection.receive_body(_MAX_REPORT_BYTES)
                finally:
                    connection.close()
        except (ServerError, trio.TooSlowError):
            self._links.record_failure(self._clock())
            return
        answered.append(server.id)
