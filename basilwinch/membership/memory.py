"""In-memory network with fault injection, for tests and benchmarks."""

import heapq
import math
from random import Random

import trio
import trio.testing

from basilwinch.membership.budget import (
    CONNECTION_OVERHEAD_BYTES,
    DATAGRAM_OVERHEAD_BYTES,
    stream_bytes,
)

__all__ = ["MemoryNetwork", "MemoryTransport"]

_INBOX_DATAGRAMS = 10_000


class MemoryNetwork:
    """Delivers datagrams and streams between :class:`MemoryTransport` objects.

    :param seed: seed of the random losses, duplicates and delays
    :param delay_s: function of the addresses of sender and receiver that returns the one-way delay
        in seconds
    :param loss: share of datagrams that are lost
    :param duplicate: share of datagrams that are delivered twice
    :param jitter: maximum extra delay as a share of the delay; values above 0 reorder datagrams
    """

    def __init__(self, seed: int, delay_s=None, loss=0.0, duplicate=0.0, jitter=0.5):
        self._rng = Random(seed)
        self._delay_s = delay_s or (lambda source, target: 0.0005)
        self.loss = loss
        self.duplicate = duplicate
        self.jitter = jitter
        self.transports: dict[str, MemoryTransport] = {}
        self._groups: dict[str, int] = {}
        self._deliveries = []
        self._sequence = 0
        self._wake = trio.Event()

    def transport(self, address: str) -> "MemoryTransport":
        """Return a new transport, which replaces an earlier one with the same address."""
        transport = MemoryTransport(self, address)
        self.transports[address] = transport
        return transport

    def remove(self, address: str) -> None:
        """Remove the transport of an address; datagrams to it are lost from now on."""
        self.transports.pop(address, None)

    def partition(self, *groups) -> None:
        """Cut the links between groups of addresses; all other addresses form one more group."""
        self._groups = {
            address: number for number, group in enumerate(groups, 1) for address in group
        }

    def heal(self) -> None:
        """Undo :meth:`partition`."""
        self._groups = {}

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether a partition separates two addresses."""
        return self._groups.get(source, 0) != self._groups.get(target, 0)

    def delay(self, source: str, target: str) -> float:
        """Return a random delay of one datagram in seconds."""
        return self._delay_s(source, target) * (1 + self.jitter * self._rng.random())

    def send_datagram(self, source: str, target: str, data: bytes) -> None:
        """Schedule the delivery of a datagram, with random loss and duplication."""
        if self.is_cut(source, target):
            return
        copies = 2 if self._rng.random() < self.duplicate else 1
        for _ in range(copies):
            if self._rng.random() < self.loss:
                continue
            deliver_at = trio.current_time() + self.delay(source, target)
            self._sequence += 1
            heapq.heappush(self._deliveries, (deliver_at, self._sequence, source, target, data))
            if self._deliveries[0][1] == self._sequence:
                self._wake.set()

    async def run(self) -> None:
        """Deliver datagrams until cancelled."""
        while True:
            self._wake = trio.Event()
            deliver_at = self._deliveries[0][0] if self._deliveries else math.inf
            with trio.move_on_at(deliver_at):
                await self._wake.wait()
            now = trio.current_time()
            while self._deliveries and self._deliveries[0][0] <= now:
                _, _, source, target, data = heapq.heappop(self._deliveries)
                transport = self.transports.get(target)
                if transport and not self.is_cut(source, target):
                    transport.deliver(source, data)


class MemoryTransport:
    """Transport of one node on a :class:`MemoryNetwork`; counts bytes on the wire."""

    def __init__(self, network: MemoryNetwork, address: str):
        self._network = network
        self.address = address
        self._inbox_sender, self._inbox = trio.open_memory_channel(_INBOX_DATAGRAMS)
        self._stream_sender = None
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_datagrams = 0
        self._paused_until = -math.inf

    def pause(self, until: float) -> None:
        """Block datagrams in both directions until a time, as if the process were suspended.
        Streams go on."""
        self._paused_until = until

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram."""
        if self._paused_until > trio.current_time():
            await trio.sleep_until(self._paused_until)
        self.sent_bytes += len(data) + DATAGRAM_OVERHEAD_BYTES
        self.sent_datagrams += 1
        self._network.send_datagram(self.address, address, data)

    def deliver(self, source: str, data: bytes) -> None:
        """Put a datagram into the inbox; it is lost if the inbox is full."""
        self.received_bytes += len(data) + DATAGRAM_OVERHEAD_BYTES
        try:
            self._inbox_sender.send_nowait((source, data))
        except trio.WouldBlock:
            return

    async def receive(self) -> tuple[str, bytes]:
        """Return the next datagram."""
        item = await self._inbox.receive()
        if self._paused_until > trio.current_time():
            await trio.sleep_until(self._paused_until)
        return item

    async def open_stream(self, address: str) -> "_CountedStream":
        """Open a stream after one round trip."""
        await trio.sleep(2 * self._network.delay(self.address, address))
        peer = self._network.transports.get(address)
        if (
            peer is None
            or peer._stream_sender is None
            or self._network.is_cut(self.address, address)
        ):
            raise OSError(f"no listener at {address}, or a partition cuts it off")
        own_end, peer_end = trio.testing.memory_stream_pair()
        for transport in (self, peer):
            transport.sent_bytes += CONNECTION_OVERHEAD_BYTES // 2
            transport.received_bytes += CONNECTION_OVERHEAD_BYTES // 2
        peer._stream_sender.send_nowait(_CountedStream(peer_end, peer, self))
        return _CountedStream(own_end, self, peer)

    async def serve_streams(self, handler) -> None:
        """Call the handler in a task of its own for each stream that is opened."""
        self._stream_sender, incoming = trio.open_memory_channel(math.inf)
        async with trio.open_nursery() as nursery:
            async for stream in incoming:
                nursery.start_soon(handler, stream)


class _CountedStream(trio.abc.Stream):
    """A memory stream that counts bytes at both ends and breaks when a partition cuts it."""

    def __init__(self, stream, own: MemoryTransport, peer: MemoryTransport):
        self._stream = stream
        self._own = own
        self._peer = peer

    async def send_all(self, data):
        network = self._own._network
        await trio.sleep(network.delay(self._own.address, self._peer.address))
        if network.is_cut(self._own.address, self._peer.address):
            raise trio.BrokenResourceError("a partition cut the stream")
        self._own.sent_bytes += stream_bytes(len(data))
        self._peer.received_bytes += stream_bytes(len(data))
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        return await self._stream.receive_some(max_bytes)

    async def aclose(self):
        await self._stream.aclose()
