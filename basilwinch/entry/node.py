"""An entry node: its parts and their start and stop."""

import random
import signal
import socket

import structlog
import trio

from basilwinch.chains import ChainSelection, FleetLoad, PathFinder
from basilwinch.chains.controller import LAYOUT_PREFIX, LayoutController
from basilwinch.chains.zone_link import ZoneLinkBudget
from basilwinch.entry.metrics import Metrics
from basilwinch.entry.settings import EntrySettings
from basilwinch.exception import DRAINING
from basilwinch.forward.budget import RetryBudget
from basilwinch.forward.components import Components
from basilwinch.forward.forwarder import OTHER_NODE_RETRY_AFTER_S, Forwarder
from basilwinch.forward.members import MemberProbe
from basilwinch.forward.plain import PlainForwarder
from basilwinch.forward.reports import ServerReports
from basilwinch.forward.selection import ServerSelection
from basilwinch.forward.stream import StreamForwarder
from basilwinch.lease import LeaseConfig, LeaseHolder
from basilwinch.peers.exchange import NODES_PREFIX, PeerExchange
from basilwinch.view import CallerLimits, View, read_boot_clock
from basilwinch.view.followed import FollowedStore
from basilwinch.view.follower import Follower, ViewSource
from basilwinch.wire import CallerConnection, ConnectionPool

__all__ = ["EntryNode"]

_CONNECT_TIMEOUT_S = 0.4  # a round trip takes under 2 ms; a lost packet is sent again after 1 s
_KEEP_S = 4.0  # idle connections to servers; servers state no more than a few seconds
_MOST_IDLE = 16  # idle connections to one server
_BACKLOG = 1024  # connections that wait to be taken, so that a burst meets no full queue
# A node whose view is older than the pause between checks and this takes no new callers; it covers
# a slow answer. The balancer needs two misses before the view is too old to serve with.
_READY_SLACK_S = 0.9
# Callers come until the balancer has missed two answers, one a second. A request taken later
# might not end before the kill.
_STOP_ACCEPT_S = 2.5
_STOP_MARGIN_S = 1.0  # before the kill
_DRAIN_LOOK_S = 0.05  # between looks whether the last connection has ended; well below a second
_SWEEP_S = 1.0  # between sweeps; servers come and go over seconds
_LEASE_S = 4.0  # a stopped keeper is replaced after this; renewed four times within it
_LEASE_MARGIN_S = 1.0  # the keeper stops so long before; covers a slow answer of the store
_USER_TIMEOUT_MS = 5000  # callers leave a silent response sooner


class EntryNode:
    """One process between callers and servers.

    :param settings: :class:`~basilwinch.entry.settings.EntrySettings`
    :param store: metadata store
    :param source: where the view comes from
    :param dialect: spelling of header fields
    :param seed: seed of random choices
    """

    def __init__(self, settings: EntrySettings, store, source, dialect, seed: int):
        rng = random.Random(seed)
        clock = trio.current_time
        bounds = settings.bounds
        self._settings = settings
        self._log = structlog.get_logger("node")
        self._stopping = False
        self._refusing = False
        self._front_scope = trio.CancelScope()
        self._dialect = dialect
        self._connections: set[CallerConnection] = set()
        self.view = View()
        self.metrics = Metrics()
        self.load = FleetLoad(clock)
        self._pool = ConnectionPool(clock, _CONNECT_TIMEOUT_S, _KEEP_S, _MOST_IDLE)
        self._store = FollowedStore(store)
        self._peers = PeerExchange(
            settings.name,
            settings.ip,
            settings.peer_port,
            self._store,
            self.load,
            lambda: len(self.view.servers),
            rng,
        )
        self._follower = Follower(source, self.view, rng, read_boot_clock)
        self._follower.on_key = self._take_key
        selection = ServerSelection(settings.zone, clock, rng)
        nodes = self._count_nodes
        budget = RetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s, nodes, clock
        )
        finder = PathFinder(self.load)
        self._selection = selection
        self._members = MemberProbe(clock)
        self._reports = ServerReports(self._pool, dialect, clock)
        self._chains = ChainSelection(self.load, rng)
        components = Components(
            self.view,
            self._pool,
            dialect,
            selection,
            budget,
            self.load,
            finder,
            self._chains,
            ZoneLinkBudget(nodes, clock, rng),
            self._members,
            self._reports,
        )
        self._forwarder = Forwarder(
            components,
            PlainForwarder(components),
            StreamForwarder(components, rng),
            bounds,
            rng,
            self.metrics,
        )
        self._layout_controller = LayoutController(
            self.view, self._store, dialect, self._pool, self.load
        )
        config = LeaseConfig("layout", settings.name, _LEASE_S, _LEASE_MARGIN_S, 0.0)
        self._lease = LeaseHolder.from_config(config, self._store, rng)

    @classmethod
    def from_config(cls, settings, store, source: ViewSource, dialect, seed: int) -> "EntryNode":
        """Build a node from its settings."""
        return cls(settings, store, source, dialect, seed)

    async def run(self) -> None:
        """Serve until a signal asks to stop."""
        self.metrics.watch_view(self.view, read_boot_clock)
        settings = self._settings
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._listen, settings.ready, self._answer_ready)
            nursery.start_soon(self._listen, settings.metrics, self._answer_metrics)
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._peers.run)
            nursery.start_soon(self._sweep)
            nursery.start_soon(self._lease.run, self._layout_controller.run)
            nursery.start_soon(self._listen_front, nursery)
            self._log.info("started", node=settings.name, front=str(settings.front))
            await self._wait_for_signal()
            nursery.cancel_scope.cancel()
        self._log.info("stopped", node=settings.name)

    async def _wait_for_signal(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                if number != signal.SIGHUP:
                    await self._drain()
                    return
                # Every setting is fixed for the life of a process; the file only repeats them.
                self._log.info("settings reloaded", changed=[])

    async def _drain(self) -> None:
        """Serve what has begun, and take no more callers."""
        self._stopping = True
        start = trio.current_time()
        end = start + self._settings.bounds.grace_s - _STOP_MARGIN_S
        self._log.info("stopping", connections=len(self._connections))
        for connection in list(self._connections):
            connection.close_when_idle()
        await trio.sleep_until(start + _STOP_ACCEPT_S)
        self._refusing = True
        self._front_scope.cancel()
        while self._connections and trio.current_time() < end:
            await trio.sleep(_DRAIN_LOOK_S)
        self._log.info("drained", left=len(self._connections))

    async def _listen(self, address, handle) -> None:
        """Serve readiness or metrics."""
        listeners = await self._open(address)

        async def serve(stream):
            await CallerConnection(stream, handle, self._limits).run()

        await trio.serve_listeners(serve, listeners)

    async def _listen_front(self, nursery) -> None:
        """Serve callers; the connections outlive the listener when the node stops."""
        listeners = await self._open(self._settings.front)
        with self._front_scope:
            await trio.serve_listeners(self._serve_caller, listeners, handler_nursery=nursery)

    async def _open(self, address) -> list:
        return await trio.open_tcp_listeners(address.port, host=address.host, backlog=_BACKLOG)

    async def _serve_caller(self, stream) -> None:
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
        connection = CallerConnection(stream, self._handle, self._limits)
        self._connections.add(connection)
        if self._stopping:
            connection.close_after_next()
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    async def _handle(self, exchange) -> None:
        if not self._refusing:
            await self._forwarder.handle(exchange)
            return
        request_id = self._dialect.read_request(exchange.headers).id
        header = self._dialect.build_rejection(request_id, OTHER_NODE_RETRY_AFTER_S)
        await exchange.respond(DRAINING.status, header, b"")
        self._log.info("request refused while stopping", request=request_id.decode("latin-1"))

    async def _answer_ready(self, exchange) -> None:
        await exchange.respond(200 if self._is_ready() else 503, [], b"")

    async def _answer_metrics(self, exchange) -> None:
        header = [(b"Content-Type", b"text/plain; version=0.0.4")]
        await exchange.respond(200, header, self.metrics.render())

    def _is_ready(self) -> bool:
        if self._stopping or self.view.configuration is None:
            return False
        return self.view.age(read_boot_clock()) < self._follower.check_s + _READY_SLACK_S

    def _limits(self) -> CallerLimits:
        configuration = self.view.configuration
        return configuration.limits if configuration else CallerLimits()

    def _take_key(self, key: str, value: bytes | None, revision: int) -> None:
        self._store.publish(key, value, revision)
        if key.startswith(NODES_PREFIX):
            self._peers.apply(key, value)
        elif key.startswith(LAYOUT_PREFIX):
            self._chains.apply(key.removeprefix(LAYOUT_PREFIX), value)

    def _count_nodes(self) -> int:
        return self._peers.nodes

    async def _sweep(self) -> None:
        """Drop what belongs to servers that are gone."""
        while True:
            await trio.sleep(_SWEEP_S)
            self._pool.sweep()
            self._follower.set_nodes(self._peers.nodes)
            self.load.prune(self.view.servers)
            self._selection.prune(self.view.servers)
            self._members.prune(self.view.servers)
            self._reports.prune(self.view.servers)
