"""Exchange of load reports and suspects over UDP among the nodes that the store lists."""

import structlog
import trio

from basilwinch.exception import Failure
from basilwinch.peers.codec import decode_report, encode_report
from basilwinch.peers.gathering import Gathering
from basilwinch.peers.registrar import Registrar
from basilwinch.peers.registration import decode_registration, encode_registration
from basilwinch.view import read_boot_clock

__all__ = ["NODES_PREFIX", "PeerExchange"]

NODES_PREFIX = "basilwinch/nodes/"
_MIN_REPORT_INTERVAL_S = 0.25  # between regular reports to a peer; longer in a large fleet
_MAX_REGULAR_DATAGRAMS_PER_S = 60  # sent by a node; more peers get reports less often
_MAX_GATHERER_DATAGRAMS_PER_S = 100  # few nodes, and each report passes through two of them
# A failed server is reported before the interval ends, but no sooner than this after the previous
# report, so that a crash causes few reports.
_MIN_EARLY_REPORT_DELAY_S = 0.25
# New evidence against a suspect is sent sooner, since each request with it costs a server; the wait
# only joins what one crash reveals.
_MIN_SUSPECT_DELAY_S = 0.02
# Time after own evidence in which each report goes to all nodes, as single datagrams may be lost.
# What a node has learned from others goes only where its load goes; else all nodes would repeat it
# to all others.
_OWN_EVIDENCE_RESEND_S = 1.0
_MAX_SUSPECT_BYTES = 8192  # in a report; an entry takes about 150 bytes
_MAX_DATAGRAM_BYTES = 65535


class PeerExchange:
    """Registers this node, sends its load reports to the other nodes and receives theirs.

    :param name: name of this node
    :param ip: IP address of this node
    :param port: UDP port, the same on all nodes
    :param store: key-value service
    :param load: :class:`~basilwinch.chains.load.FleetLoad`
    :param suspects: :class:`~basilwinch.suspicion.SuspectExchange`
    :param server_limits: :class:`~basilwinch.chains.server_limits.ServerLimits`
    :param view: :class:`~basilwinch.view.View`, whose version is exchanged too
    :param rng: random number generator for the jitter of renewals
    :param zone: availability zone of this node
    :param carriers: :class:`~basilwinch.tunnel.Carriers`, which is told of the other nodes
    :param readers: :class:`~basilwinch.fanout.Readers`, which is told of them too
    """

    __slots__ = (
        "_name",
        "_ip",
        "_port",
        "_registrar",
        "_load",
        "_suspects",
        "_server_limits",
        "_view",
        "_carriers",
        "_readers",
        "_gathering",
        "_must_send",
        "_peers",
        "_sequence",
        "_report_requested",
        "_suspects_changed",
        "_own_evidence_at",
        "_log",
    )

    def __init__(
        self,
        name,
        ip,
        port,
        store,
        load,
        suspects,
        server_limits,
        view,
        rng,
        zone,
        carriers,
        readers,
    ):
        self._name = name
        self._ip = ip
        self._port = port
        self._load = load
        self._suspects = suspects
        self._server_limits = server_limits
        self._view = view
        self._carriers = carriers
        self._readers = readers
        self._gathering = Gathering(zone, readers, load)
        self._must_send = False
        self._sequence = 0
        self._report_requested = trio.Event()
        self._suspects_changed = trio.Event()
        self._own_evidence_at = float("-inf")
        value = encode_registration(ip, zone)
        self._registrar = Registrar(NODES_PREFIX + name, value, store, lambda: self.node_count, rng)
        store.history.subscribe(self.request_full_report)
        load.on_suspect = self._request_report
        self._peers: dict[str, str] = {}
        self._log = structlog.get_logger("peers")

    @property
    def node_count(self) -> int:
        """Number of registered nodes, including this one."""
        return max(1, len(self._peers) + 1)

    def count_peers(self) -> int:
        """Return the number of other registered nodes."""
        return len(self._peers)

    def apply(self, key: str, value: bytes | None, revision: int) -> None:
        """Apply a change of a node's registration.

        :param key: key of the registration in the store
        :param value: its registration, or None if it was deleted
        :param revision: revision of the store at the change, 0 if it is not known
        """
        name = key.removeprefix(NODES_PREFIX)
        if name == self._name:
            self._registrar.record_change(revision)
            return
        if value is None:
            self._peers.pop(name, None)
            self._carriers.remove(name)
            self._readers.remove(name)
            self._server_limits.forget_node(name)
            return
        registration = decode_registration(value)
        if isinstance(registration, Failure):
            self._log.warning("node registration malformed", node=name, reason=registration.reason)
            return
        if name not in self._peers:
            self.request_full_report()
        ip, zone = registration.ip, registration.zone
        self._peers[name] = ip
        self._carriers.add(name, ip, zone)
        self._readers.add(name, ip, zone, registration.is_reader_able)

    async def run(self) -> None:
        """Register, send and receive forever."""
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await sock.bind((self._ip, self._port))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._registrar.run)
            nursery.start_soon(self._receive, sock)
            nursery.start_soon(self._send, sock)

    def notify_suspects_changed(self) -> None:
        """Send the suspects to all peers soon if the evidence has changed."""
        now = trio.current_time()
        if self._suspects.refresh(now):
            self._own_evidence_at = now
            self._suspects_changed.set()

    async def _send(self, sock) -> None:
        last_was_empty = False
        while True:
            self._load.nodes = self.node_count
            self._load.report_interval_s = _compute_interval(len(self._peers))
            is_gathered = self._gathering.is_active(self._peers, trio.current_time())
            is_urgent = await self._wait_until_report_is_due(
                self._compute_gathered_interval() if is_gathered else self._load.report_interval_s
            )
            peers = dict(self._peers)
            self._server_limits.set_nodes(self.node_count, self._load.report_interval_s)
            report, suspects = self._build_report(self._must_send)
            usage = self._server_limits.build_report()
            # Limits are divided by what each node reports of itself, so that goes to all nodes.
            if is_gathered and not usage[1]:
                now = trio.current_time()
                is_own_evidence = now - self._own_evidence_at <= _OWN_EVIDENCE_RESEND_S
                is_urgent |= self._must_send or is_own_evidence
                deliveries = self._gathering.divide(
                    report, peers, is_urgent, self._load.report_interval_s, now
                )
            else:
                deliveries = self._gathering.tell_all(report, peers)
            is_empty = not (
                report.shares or report.avoided or report.disconnected or suspects or usage[1]
            ) and not any(_has_load(delivery.report) for delivery in deliveries)
            if not is_empty or not last_was_empty or self._must_send:
                self._must_send = False
                for delivery in deliveries:
                    receivers = {name: peers[name] for name in delivery.names if name in peers}
                    await self._send_report(sock, receivers, delivery.report, suspects, usage)
            last_was_empty = is_empty

    def _compute_gathered_interval(self) -> float:
        """Return the seconds between two reports of this node while its load is gathered."""
        regular = self._gathering.count_regular(self._peers)
        if self._readers.is_reader:
            return _compute_interval(regular, _MAX_GATHERER_DATAGRAMS_PER_S)
        return _compute_interval(regular)

    def _build_report(self, complete: bool = False) -> tuple:
        """Return the load report and the suspects of this node.

        :param complete: whether a node that gets it may have missed earlier reports
        """
        suspects = self._suspects.export(_MAX_SUSPECT_BYTES, trio.current_time(), complete)
        return self._load.build_report(len(self._view.servers)), suspects

    async def _send_report(self, sock, peers: dict[str, str], report, suspects, usage=None):
        if not peers:
            return
        self._sequence += 1
        is_asking = self._view.peer_versions.is_asking
        data = encode_report(
            self._name, self._sequence, report, suspects, usage, self._view.version, is_asking
        )
        for name, ip in peers.items():
            try:
                await _send_datagram(sock, data, (ip, self._port))
            except OSError as error:
                self._log.info("load report not sent", node=name, error=repr(error))

    async def _wait_until_report_is_due(self, interval_s: float) -> bool:
        """Wait for the report interval; a failed server or a new suspect ends the wait early.

        For a failed server the wait lasts at least ``_MIN_EARLY_REPORT_DELAY_S``, for a suspect at
        least ``_MIN_SUSPECT_DELAY_S``.

        :returns: whether there is one of them
        """
        start = trio.current_time()
        await trio.sleep(_MIN_SUSPECT_DELAY_S)
        with trio.move_on_at(start + interval_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._end_wait, nursery, self._suspects_changed, start)
                early = start + min(_MIN_EARLY_REPORT_DELAY_S, interval_s)
                nursery.start_soon(self._end_wait, nursery, self._report_requested, early)
        is_urgent = self._report_requested.is_set() or self._suspects_changed.is_set()
        self._report_requested = trio.Event()
        self._suspects_changed = trio.Event()
        return is_urgent

    async def _end_wait(self, nursery, event: trio.Event, not_before: float) -> None:
        await event.wait()
        await trio.sleep_until(not_before)
        nursery.cancel_scope.cancel()

    def request_full_report(self) -> None:
        """Send a report soon, though it may be empty, so that peers learn of the version."""
        self._must_send = True
        self._suspects_changed.set()

    def _request_report(self) -> None:
        self._report_requested.set()

    async def _receive(self, sock) -> None:
        while True:
            # Trio's recvfrom reads before it waits. Reports arrive one by one, so that this first
            # read fails for most of them, at the cost of a system call and an exception.
            await trio.lowlevel.wait_readable(sock)
            try:
                data, address = sock._sock.recvfrom(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                self._log.info("receiving load reports failed", error=repr(error))
                continue
            message = decode_report(data)
            if not message:
                self._log.warning("load report malformed", reason=message.reason)
                continue
            node, _, report, suspects, usage, version, is_asking = message
            if node in self._peers:
                self._view.record_peer_version(version, read_boot_clock())
            if is_asking or 0 < version < self._view.version:
                await self._answer(sock, node, address[0], is_asking)
            self._load.apply_report(node, report)
            if node in self._peers:
                self._gathering.apply(node, report, trio.current_time())
            self._carriers.set_disconnected(
                node, report.disconnected, trio.current_time(), self._load.report_interval_s
            )
            if usage is not None and node in self._peers:
                self._server_limits.apply_report(node, *usage)
            if suspects:
                await self._merge_suspects(sock, node, suspects)

    async def _answer(self, sock, node: str, ip: str, is_asking: bool) -> None:
        """Send a report to a node whose version is behind or that asks for the version.

        A node asks when it starts, and then knows of no suspects.
        """
        if node != self._name:
            report, suspects = self._build_report(is_asking)
            await self._send_report(sock, {node: ip}, report, suspects)

    async def _merge_suspects(self, sock, node: str, data: bytes) -> None:
        """Merge the suspects of a peer; answer it if this node can vouch for one of them."""
        can_vouch = self._suspects.merge_broadcast(data, trio.current_time())
        if isinstance(can_vouch, Failure):
            self._log.warning("suspects malformed", node=node, reason=can_vouch.reason)
        elif can_vouch and node in self._peers:
            report, suspects = self._build_report()
            await self._send_report(sock, {node: self._peers[node]}, report, suspects)


async def _send_datagram(sock, data: bytes, address: tuple[str, int]) -> None:
    """Send a datagram; a checkpoint only if that must wait.

    Trio's sendto lets all other tasks run after each datagram, at the cost of a round of the
    scheduler with a system call.

    :param sock: trio socket
    :param address: pair of IP address and port
    """
    try:
        sock._sock.sendto(data, address)
    except BlockingIOError:
        await sock.sendto(data, address)


def _compute_interval(receivers: int, datagrams_per_s=_MAX_REGULAR_DATAGRAMS_PER_S) -> float:
    """Return the seconds between two reports of a node to a number of others."""
    return max(_MIN_REPORT_INTERVAL_S, receivers / datagrams_per_s)


def _has_load(report) -> bool:
    return any(load.shares for load in report.zone_loads.values())
