"""An entry node: its components, start and shutdown."""

import contextlib
import random
import resource
import signal
import socket

import structlog
import trio

from basilwinch.chains import ChainSelection, FleetLoad, PathFinder
from basilwinch.chains.controller import LAYOUT_PREFIX, LayoutController
from basilwinch.chains.server_limits import ServerLimits
from basilwinch.chains.zone_link import ZoneLinkBudget
from basilwinch.entry.metrics import Metrics
from basilwinch.entry.process import ResidentMemory, count_descriptors
from basilwinch.entry.settings import EntrySettings
from basilwinch.exception import DRAINING
from basilwinch.fanout import FanoutStore, Readers, ReaderServer
from basilwinch.fanout.client import ReaderClient
from basilwinch.fanout.message import READ_PROTOCOL_LINE
from basilwinch.fanout.relays import Relays
from basilwinch.fanout.shared_reads import SharedReads
from basilwinch.forward.budget import RetryBudget
from basilwinch.forward.components import Components
from basilwinch.forward.crashes import FIRST_EVENTS, CrashAttribution
from basilwinch.forward.dispatcher import PathDispatcher
from basilwinch.forward.forwarder import OTHER_NODE_RETRY_AFTER_S, Forwarder
from basilwinch.forward.members import MemberProbe
from basilwinch.forward.plain import PlainForwarder
from basilwinch.forward.reports import ServerReports
from basilwinch.forward.scheduling import SchedulingDelay
from basilwinch.forward.selection import ServerSelection
from basilwinch.forward.stream import StreamForwarder
from basilwinch.intake import Intake, IntakeBudget
from basilwinch.lease import LeaseConfig, LeaseHolder
from basilwinch.observability import DecisionLog
from basilwinch.peers.convictions import CONVICTIONS_PREFIX, ConvictionRecords
from basilwinch.peers.exchange import NODES_PREFIX, PeerExchange
from basilwinch.suspicion import SuspectConfig, SuspectExchange, SuspectRegistry
from basilwinch.tunnel import (
    Carriers,
    Reachability,
    ReachabilityMonitor,
    ServerConnector,
    TunnelListener,
)
from basilwinch.view import CallerLimits, View, read_boot_clock
from basilwinch.view.shared_watch import SharedWatchStore
from basilwinch.view.source import ViewSource
from basilwinch.view.timing import WatchTiming
from basilwinch.view.watcher import StoreWatcher
from basilwinch.wire import CallerConnection, ConnectionPool

__all__ = ["EntryNode"]

# Requests of this node on a crashed server that had not begun to write count as suspects, at most
# this many; more than that wait in the server's queue only under overload.
_MAX_SUSPECTS_PER_CRASH = 16
_MAX_PREFILL_S = 10.0  # a request that waits longer for its first event is queued, not running
_MIN_CRASH_AGE_S = 0.005  # a server that was dead before resets a connection within a round trip
_SAME_EVENT_S = 0.25  # nodes notice the loss of a rack within this time of each other
# A resumed request needs a prefill, so it crashes the next server later than this.
_SAME_REQUEST_EVENT_S = 0.1
# A stream without an event at two crashes; most of those that were there by chance have written
# in between.
_CONVICTION_DEATHS = 2
_SUSPECT_RESEND_PERIOD_S = 1.0  # four reports, as single datagrams may be lost
_MAX_SUSPECTS_PER_REPORT = 32  # about 150 bytes each, in a datagram of at most 64 KB

# A round trip takes under 2 ms. A lost packet is sent again after 1 s, too late to wait for it.
_CONNECT_TIMEOUT_S = 0.4
_IDLE_TIMEOUT_S = 4.0  # of connections to servers, which close idle ones after a few seconds
_MAX_IDLE_CONNECTIONS = 16  # to each server
_LISTEN_BACKLOG = 1024  # connections not yet accepted; large enough for bursts
# A node is not ready if its view is older than the check interval plus this margin, which covers a
# slow answer of the store. The load balancer needs two failed readiness checks to remove the node,
# and this must happen before the view is too old to serve requests.
_READY_MARGIN_S = 0.9
# A stopping node accepts connections for this long, since callers arrive until two readiness checks
# of the load balancer, one a second, have failed. A request accepted later might not end before the
# kill.
_ACCEPT_AFTER_STOP_S = 2.5
_KILL_MARGIN_S = 1.0  # the drain ends this long before the kill
# Interval between checks for open connections; short against the margin before the kill.
_DRAIN_POLL_S = 0.05
_MAINTENANCE_INTERVAL_S = 1.0  # servers come and go over seconds
# A stopped layout controller is replaced after this time. A running one renews its lease every
# (_LEASE_TTL_S - _LEASE_MARGIN_S) / 4 seconds.
_LEASE_TTL_S = 4.0
# The layout controller stops this long before its lease ends; covers a slow answer of the store.
_LEASE_MARGIN_S = 1.0
# A node that learns of changes through others leaves a free lease to them for this time; they take
# it within a second.
_INDIRECT_LEASE_DELAY_S = 2.0
# A connection is closed if sent data stays unacknowledged for this long; callers abandon a silent
# response sooner.
_TCP_USER_TIMEOUT_MS = 5000
# A crowd fills the budget of bodies within a second.
_MEMORY_SAMPLE_INTERVAL_S = 0.25


class EntryNode:
    """One process that routes requests from callers to servers.

    :param settings: :class:`~basilwinch.entry.settings.EntrySettings`
    :param store: key-value store
    :param source: :class:`~basilwinch.view.source.ViewSource` of the view
    :param dialect: decoder and encoder of header fields
    :param seed: seed of the random number generator
    """

    def __init__(self, settings: EntrySettings, store, source, dialect, seed: int):
        rng = random.Random(seed)
        clock = trio.current_time
        bounds = settings.bounds
        self._settings = settings
        self._log = structlog.get_logger("node")
        self._stopping = False
        self._rejecting = False
        self._front_scope = trio.CancelScope()
        self._dialect = dialect
        self._connections: set[CallerConnection] = set()
        self.view = View()
        self.metrics = Metrics()
        self._budget = IntakeBudget.from_limits(
            settings.memory_mb,
            settings.max_fds,
            resource.getrlimit(resource.RLIMIT_NOFILE)[0],
        )
        self._intake = Intake(
            self._budget, self.metrics.count_refused_client, self._report_refusals
        )
        self._parsing = trio.StrictFIFOLock()
        self.metrics.set_intake(self._intake, count_descriptors)
        self._links = Reachability()
        self.load = FleetLoad(clock, self._links)
        self._carriers = Carriers(settings.zone, rng)
        self._connector = ServerConnector(
            self._links, self._carriers, self.view, settings.ip, settings.peer_port, clock, rng
        )
        self._monitor = ReachabilityMonitor(
            self._links,
            self._connector,
            self.view,
            dialect.build_report_request,
            rng,
            clock,
            self._handle_links_changed,
        )
        self._tunnels = TunnelListener(
            self._links, self._monitor, self._carriers, self.view, settings.ip, clock
        )
        self._tunnels.max_tunnels = self._budget.tunnels
        self._pool = ConnectionPool(
            clock,
            _CONNECT_TIMEOUT_S,
            _IDLE_TIMEOUT_S,
            _MAX_IDLE_CONNECTIONS,
            self._connector.open,
        )
        self._readers = Readers(settings.name, settings.zone)
        reads = SharedReads(
            store.history, f"{settings.name}-{rng.getrandbits(64):016x}", read_boot_clock
        )
        timing = WatchTiming.from_config(bounds)
        reader_client, relay_client = (
            ReaderClient(
                choice,
                settings.ip,
                settings.peer_port,
                read_boot_clock,
                timing.answer_timeout_s,
            )
            for choice in (self._readers, Relays(self._readers))
        )
        fanout_store = FanoutStore(
            store,
            self._readers,
            reader_client,
            reads,
            timing.max_reader_age_s,
            relay_client,
            read_boot_clock,
        )
        fanout_store.count_relayed = self.metrics.count_relayed
        source = source.replace_store(fanout_store)
        self._tunnels.protocols[READ_PROTOCOL_LINE] = ReaderServer(
            reads, self._budget.reader_connections
        ).serve
        self._store = SharedWatchStore(store)
        self._suspects = SuspectRegistry(
            SuspectConfig(
                settings.name,
                progress_frames=FIRST_EVENTS,
                weak_strikes=False,
                max_strong_strikes=_MAX_SUSPECTS_PER_CRASH,
                strong_max_age_s=_MAX_PREFILL_S,
                event_s=_SAME_EVENT_S,
                request_event_s=_SAME_REQUEST_EVENT_S,
                mass_loss_window_s=_SAME_EVENT_S,
                conviction_deaths=_CONVICTION_DEATHS,
                min_attempt_age_s=_MIN_CRASH_AGE_S,
            ),
            DecisionLog(self.metrics.registry),
        )
        self._server_limits = ServerLimits(clock)
        self._peers = PeerExchange(
            settings.name,
            settings.ip,
            settings.peer_port,
            self._store,
            self.load,
            SuspectExchange(self._suspects, _MAX_SUSPECTS_PER_REPORT, _SUSPECT_RESEND_PERIOD_S),
            self._server_limits,
            self.view,
            rng,
            settings.zone,
            self._carriers,
            self._readers,
        )
        self.view.set_peers(self._peers.count_peers, self._peers.request_full_report)
        self._convictions = ConvictionRecords(self._suspects, self._store, rng)
        self._suspects.on_change = self._peers.notify_suspects_changed
        self._store_watcher = StoreWatcher(source, self.view, rng, read_boot_clock, timing)
        self._store_watcher.node_keys.on_key = self._apply_key
        selection = ServerSelection(settings.zone, clock, rng)
        nodes = self._count_nodes
        retry_budget = RetryBudget(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s, nodes, clock
        )
        path_finder = PathFinder(self.load)
        self._server_selection = selection
        self._member_probe = MemberProbe(clock, self._connector.open)
        self._server_reports = ServerReports(self._pool, dialect, clock)
        self._chain_selection = ChainSelection(
            self.load, rng, clock, settings.name, settings.zone, self._readers.get_zone
        )
        self.metrics.set_links(self._links, self._tunnels)
        self.metrics.set_left_fraction(self._chain_selection.get_left_fraction)
        self.metrics.set_limited_servers(self._server_limits.count_limited)
        self._crash_attribution = CrashAttribution(
            self._suspects, MemberProbe(clock, self._connector.open), self._monitor
        )
        self._path_dispatcher = PathDispatcher(self.view, self.load, self.metrics, rng)
        components = Components(
            self.view,
            self._pool,
            dialect,
            selection,
            retry_budget,
            self.load,
            path_finder,
            self._chain_selection,
            ZoneLinkBudget(nodes, clock, rng),
            self._member_probe,
            self._server_reports,
            self._crash_attribution,
            self._server_limits,
            self._connector,
            SchedulingDelay(self.metrics.count_held_up),
            self._path_dispatcher,
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
        config = LeaseConfig("layout", settings.name, _LEASE_TTL_S, _LEASE_MARGIN_S, 0.0)
        self._lease = LeaseHolder.from_config(config, self._store, rng)
        self._lease.is_known_held = lambda: self._lease.key in self._store_watcher.node_keys
        self._lease.get_delay_s = self._get_lease_delay

    @classmethod
    def from_config(cls, settings, store, source: ViewSource, dialect, seed: int) -> "EntryNode":
        """Build a node; the parameters are those of the class."""
        return cls(settings, store, source, dialect, seed)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain."""
        self.metrics.set_view(self.view, read_boot_clock)
        settings = self._settings
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._listen, settings.ready, self._handle_ready)
            nursery.start_soon(self._listen, settings.metrics, self._handle_metrics)
            nursery.start_soon(self._store_watcher.run)
            nursery.start_soon(self._peers.run)
            nursery.start_soon(self._convictions.run)
            nursery.start_soon(self._monitor.run)
            nursery.start_soon(self._listen_tunnels)
            nursery.start_soon(self._run_maintenance)
            nursery.start_soon(self._sample_memory)
            nursery.start_soon(self._lease.run, self._layout_controller.run)
            nursery.start_soon(self._path_dispatcher.run)
            nursery.start_soon(self._listen_front, nursery)
            self._log.info("started", node=settings.name, front=str(settings.front))
            await self._wait_for_signal()
            nursery.cancel_scope.cancel()
        self._log.info("stopped", node=settings.name)

    async def _wait_for_signal(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for signal_number in signals:
                if signal_number != signal.SIGHUP:
                    await self._drain()
                    return
                # Settings are fixed for the life of a process, so a reload changes none.
                self._log.info("settings reloaded", changed=[])

    async def _drain(self) -> None:
        """Accept callers for a short while longer, then finish the requests in progress."""
        self._stopping = True
        self._forwarder.stop_holding()
        start = trio.current_time()
        end = start + self._settings.bounds.grace_s - _KILL_MARGIN_S
        self._log.info("drain started", connections=len(self._connections))
        self._tunnels.stop()
        for connection in list(self._connections):
            connection.close_when_idle()
        await trio.sleep_until(start + _ACCEPT_AFTER_STOP_S)
        self._rejecting = True
        self._front_scope.cancel()
        # The task of a connection that was accepted last counts it only once it has started.
        await trio.sleep(_DRAIN_POLL_S)
        while self._is_busy() and trio.current_time() < end:
            await trio.sleep(_DRAIN_POLL_S)
        self._log.info(
            "drain finished",
            connections=len(self._connections),
            tunnels=self._tunnels.count_tunnels(),
        )

    def _is_busy(self) -> bool:
        """Return whether callers of this node, or of nodes that it carries, wait for responses."""
        return bool(self._connections) or not self._tunnels.is_quiet()

    async def _listen(self, address, handle) -> None:
        """Serve the readiness check or the metrics."""
        budget = self._budget.for_service_port()
        listeners = await self._open_listeners(address, budget.receive_buffer_bytes)
        intake = Intake(budget, self.metrics.count_refused_client, self._report_refusals)

        async def serve(stream):
            connection = CallerConnection(stream, handle, self._get_limits, intake, self._parsing)
            await connection.run()

        await trio.serve_listeners(serve, listeners)

    async def _listen_tunnels(self) -> None:
        listeners = await trio.open_tcp_listeners(
            self._settings.peer_port, host=self._settings.ip, backlog=_LISTEN_BACKLOG
        )
        await trio.serve_listeners(self._tunnels.serve, listeners)

    def _handle_links_changed(self) -> None:
        """Give up what this node has learned and opened on links that are lost, or back."""
        self._pool.close_all_idle()
        self.load.forget_suspects()
        self._peers.request_full_report()

    async def _listen_front(self, nursery) -> None:
        """Serve callers; when the node stops, their connections outlive the listener."""
        listeners = await self._open_listeners(
            self._settings.front, self._budget.receive_buffer_bytes
        )
        with self._front_scope:
            await trio.serve_listeners(self._serve_caller, listeners, handler_nursery=nursery)

    async def _open_listeners(self, address, receive_buffer_bytes: int) -> list:
        listeners = await trio.open_tcp_listeners(
            address.port, host=address.host, backlog=_LISTEN_BACKLOG
        )
        for listener in listeners:
            # Accepted connections inherit it. The system doubles the value for its overhead.
            listener.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes // 2
            )
        return listeners

    async def _serve_caller(self, stream) -> None:
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS)
        connection = CallerConnection(
            stream, self._handle_request, self._get_limits, self._intake, self._parsing
        )
        self._connections.add(connection)
        if self._stopping:
            connection.close_after_next()
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    async def _handle_request(self, exchange) -> None:
        if not self._rejecting:
            await self._forwarder.handle(exchange)
            return
        request_id = self._dialect.read_request(exchange.headers).id
        header = self._dialect.build_rejection(request_id, OTHER_NODE_RETRY_AFTER_S)
        await exchange.respond(DRAINING.status, header, b"")
        self._log.info("request rejected, node is stopping", request=request_id.decode("latin-1"))

    async def _handle_ready(self, exchange) -> None:
        await exchange.respond(200 if self._is_ready() else 503, [], b"")

    async def _handle_metrics(self, exchange) -> None:
        header = [(b"Content-Type", b"text/plain; version=0.0.4")]
        await exchange.respond(200, header, self.metrics.render())

    def _is_ready(self) -> bool:
        if self._stopping or self.view.configuration is None or self._connector.is_isolated():
            return False
        return (
            self.view.age(read_boot_clock())
            < self._store_watcher.check_interval_s + _READY_MARGIN_S
        )

    def _get_limits(self) -> CallerLimits:
        configuration = self.view.configuration
        return configuration.limits if configuration else CallerLimits()

    def _apply_key(self, key: str, value: bytes | None, revision: int) -> None:
        self._store.publish(key, value, revision)
        if key.startswith(NODES_PREFIX):
            self._peers.apply(key, value, revision)
        elif key.startswith(CONVICTIONS_PREFIX):
            self._convictions.apply(key, value)
        elif key.startswith(LAYOUT_PREFIX):
            self._chain_selection.apply(key.removeprefix(LAYOUT_PREFIX), value)

    def _get_lease_delay(self) -> float:
        """Return how long this node leaves a free lease to the readers of the store."""
        return 0.0 if self._readers.is_reader else _INDIRECT_LEASE_DELAY_S

    def _count_nodes(self) -> int:
        return self._peers.node_count

    def _report_refusals(self, cause, count: int) -> None:
        self._log.warning(
            "clients refused",
            cause=cause.value,
            count=count,
            body_bytes=self._intake.held_bytes,
            connections=self._intake.connections,
        )

    async def _sample_memory(self) -> None:
        """Adapt the budget of bodies to the memory of the process, at intervals."""
        with contextlib.closing(ResidentMemory()) as memory:
            while True:
                self._intake.adapt(memory.read_bytes())
                if self._intake.is_short:
                    # Idle connections to servers take descriptors that callers need.
                    self._intake.is_short = False
                    self._pool.close_all_idle()
                await trio.sleep(_MEMORY_SAMPLE_INTERVAL_S)

    async def _run_maintenance(self) -> None:
        """Close idle connections and drop the state of servers that are gone, at intervals.

        The store watcher is also adapted to the number of nodes.
        """
        while True:
            await trio.sleep(_MAINTENANCE_INTERVAL_S)
            self._pool.close_expired()
            self._intake.report_due(trio.current_time())
            self._links.set_nodes(self._peers.node_count)
            self._store_watcher.set_nodes(self._peers.node_count, self._readers.count_reading())
            self.load.prune(self.view.servers)
            self._server_selection.prune(self.view.servers)
            self._member_probe.prune(self.view.servers)
            self._server_reports.prune(self.view.servers)
            self._crash_attribution.prune(self.view.servers)
            self._server_limits.prune(self.view.servers)
            if self.view.configuration is not None:
                self._chain_selection.prune(self.view.configuration.services.keys())
