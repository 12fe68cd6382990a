"""Exchange of load reports over UDP among the nodes that the store lists."""

import json

import structlog
import trio

from basilwinch.exception import LEASE_LOST, PlatformError
from basilwinch.peers.codec import decode_report, encode_report
from basilwinch.store import KeyValue

__all__ = ["NODES_PREFIX", "PeerExchange"]

NODES_PREFIX = "basilwinch/nodes/"
_MIN_REPORT_INTERVAL_S = 0.25  # between regular reports to a peer; longer in a large fleet
_MAX_REGULAR_DATAGRAMS_PER_S = 60  # sent by a node; more peers get reports less often
# A failed server is reported before the interval ends, but no sooner than this after the previous
# report, so that a crash causes few reports.
_MIN_EARLY_REPORT_DELAY_S = 0.25
_LEASE_TTL_S = 12.0  # a node that stopped still gets reports until its lease expires
_RENEW_INTERVAL_S = 4.0
_MAX_DATAGRAM_BYTES = 65535


class PeerExchange:
    """Registers this node, sends its load reports to the other nodes and receives theirs.

    :param name: name of this node
    :param ip: IP address of this node
    :param port: UDP port, the same on all nodes
    :param store: key-value service
    :param load: :class:`~basilwinch.chains.load.FleetLoad`
    :param count_servers: function that returns the number of registered servers
    :param rng: random number generator for the jitter of renewals
    """

    __slots__ = (
        "_name",
        "_ip",
        "_port",
        "_store",
        "_load",
        "_count_servers",
        "_peers",
        "_report_requested",
        "_log",
        "_rng",
    )

    def __init__(self, name, ip, port, store, load, count_servers, rng):
        self._name = name
        self._ip = ip
        self._port = port
        self._store = store
        self._load = load
        self._count_servers = count_servers
        self._rng = rng
        self._report_requested = trio.Event()
        load.on_suspect = self._request_report
        self._peers: dict[str, str] = {}
        self._log = structlog.get_logger("peers")

    @property
    def node_count(self) -> int:
        """Number of registered nodes, including this one."""
        return max(1, len(self._peers) + 1)

    def apply(self, key: str, value: bytes | None) -> None:
        """Apply a change of a node's registration.

        :param key: key of the registration in the store
        :param value: its registration, or None if it was deleted
        """
        name = key.removeprefix(NODES_PREFIX)
        if name == self._name:
            return
        if value is None:
            self._peers.pop(name, None)
            return
        try:
            self._peers[name] = json.loads(value)["ip"]
        except (ValueError, KeyError, TypeError) as error:
            self._log.warning("node registration malformed", node=name, error=repr(error))

    async def run(self) -> None:
        """Register, send and receive forever."""
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await sock.bind((self._ip, self._port))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._register)
            nursery.start_soon(self._receive, sock)
            nursery.start_soon(self._send, sock)

    async def _register(self) -> None:
        lease = None
        while True:
            try:
                if lease is None:
                    grant = await self._store.grant(_LEASE_TTL_S)
                    value = json.dumps({"ip": self._ip}).encode()
                    put = KeyValue(NODES_PREFIX + self._name, value, 0, grant.lease)
                    await self._store.transact([], [put])
                    lease = grant.lease
                else:
                    await self._store.keep_alive(lease)
            except PlatformError as error:
                if error.failure.kind is LEASE_LOST:
                    lease = None
                self._log.info("node registration or renewal failed", reason=error.failure.reason)
            await trio.sleep(_RENEW_INTERVAL_S * self._rng.uniform(0.8, 1.0))

    async def _send(self, sock) -> None:
        sequence = 0
        last_was_empty = False
        while True:
            peers = list(self._peers.items())
            self._load.report_interval_s = max(
                _MIN_REPORT_INTERVAL_S, len(peers) / _MAX_REGULAR_DATAGRAMS_PER_S
            )
            await self._wait_until_report_is_due()
            report = self._load.build_report(self._count_servers())
            is_empty = not report.shares and not report.avoided
            if is_empty and last_was_empty:
                continue
            last_was_empty = is_empty
            sequence += 1
            data = encode_report(self._name, sequence, report)
            for name, ip in peers:
                try:
                    await sock.sendto(data, (ip, self._port))
                except OSError as error:
                    self._log.info("load report not sent", node=name, error=repr(error))

    async def _wait_until_report_is_due(self) -> None:
        """Wait for the report interval; a failed server ends the wait early.

        The wait lasts at least ``_MIN_EARLY_REPORT_DELAY_S``.
        """
        await trio.sleep(min(_MIN_EARLY_REPORT_DELAY_S, self._load.report_interval_s))
        with trio.move_on_after(self._load.report_interval_s - _MIN_EARLY_REPORT_DELAY_S):
            await self._report_requested.wait()
        self._report_requested = trio.Event()

    def _request_report(self) -> None:
        self._report_requested.set()

    async def _receive(self, sock) -> None:
        while True:
            try:
                data, _ = await sock.recvfrom(_MAX_DATAGRAM_BYTES)
            except OSError as error:
                self._log.info("receiving load reports failed", error=repr(error))
                continue
            message = decode_report(data)
            if not message:
                self._log.warning("load report malformed", reason=message.reason)
                continue
            node, _, report = message
            self._load.apply_report(node, report)
