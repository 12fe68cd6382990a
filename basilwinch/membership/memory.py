"""Network in memory with faults, for tests and benchmarks."""

import heapq
import math
from random import Random

import trio
import trio.testing

from basilwinch.membership.budget import DATAGRAM_OVERHEAD, STREAM_OVERHEAD, stream_bytes

__all__ = ["MemoryNetwork", "MemoryTransport"]

_QUEUE = 10_000


class MemoryNetwork:
    """Delivers datagrams and streams between :class:`MemoryTransport` objects.

    :param seed: seed of loss, duplication and delay
    :param delay_s: function of two addresses that gives the one-way delay in seconds
    :param loss: share of datagrams lost
    :param duplicate: share of datagrams delivered twice
    :param jitter: extra delay as a share of the delay; values above 0 reorder datagrams
    """

    def __init__(self, seed: int, delay_s=None, loss=0.0, duplicate=0.0, jitter=0.5):
        self._rng = Random(seed)
        self._delay_s = delay_s or (lambda source, target: 0.0005)
        self.loss = loss
        self.duplicate = duplicate
        self.jitter = jitter
        self.transports: dict[str, MemoryTransport] = {}
        self._groups: dict[str, int] = {}
        self._heap = []
        self._count = 0
        self._wake = trio.Event()

    def transport(self, address: str) -> "MemoryTransport":
        """Return a new transport; it replaces a former one with the same address."""
        transport = MemoryTransport(self, address)
        self.transports[address] = transport
        return transport

    def remove(self, address: str) -> None:
        """Stop a node: what is sent to it is lost from now on."""
        self.transports.pop(address, None)

    def partition(self, *groups) -> None:
        """Cut the links between groups of addresses; addresses in no group form one more."""
        self._groups = {
            address: number for number, group in enumerate(groups, 1) for address in group
        }

    def heal(self) -> None:
        """Undo :meth:`partition`."""
        self._groups = {}

    def is_cut(self, source: str, target: str) -> bool:
        """Tell whether a partition lies between two addresses."""
        return self._groups.get(source, 0) != self._groups.get(target, 0)

    def delay(self, source: str, target: str) -> float:
        """Return a delay for one datagram in seconds."""
        return self._delay_s(source, target) * (1 + self.jitter * self._rng.random())

    def post(self, source: str, target: str, data: bytes) -> None:
        """Put a datagram on the way."""
        if self.is_cut(source, target):
            return
        copies = 2 if self._rng.random() < self.duplicate else 1
        for _ in range(copies):
            if self._rng.random() < self.loss:
                continue
            at = trio.current_time() + self.delay(source, target)
            self._count += 1
            heapq.heappush(self._heap, (at, self._count, source, target, data))
            if self._heap[0][1] == self._count:
                self._wake.set()

    async def run(self) -> None:
        """Deliver datagrams until cancelled."""
        while True:
            self._wake = trio.Event()
            at = self._heap[0][0] if self._heap else math.inf
            with trio.move_on_at(at):
                await self._wake.wait()
            now = trio.current_time()
            while self._heap and self._heap[0][0] <= now:
                _, _, source, target, data = heapq.heappop(self._heap)
                transport = self.transports.get(target)
                if transport and not self.is_cut(source, target):
                    transport.deliver(source, data)


class MemoryTransport:
    """One node's end of a :class:`MemoryNetwork`, with counters of bytes on the wire."""

    def __init__(self, network: MemoryNetwork, address: str):
        self._network = network
        self.address = address
        self._post, self._inbox = trio.open_memory_channel(_QUEUE)
        self._handlers = None
        self.sent_bytes = 0
        self.received_bytes = 0
        self.sent_datagrams = 0
        self._paused_until = -math.inf

    def pause(self, until: float) -> None:
        """Hold all calls up to a time, as for a process that stands still."""
        self._paused_until = until

    async def send(self, address: str, data: bytes) -> None:
        """Send a datagram."""
        if self._paused_until > trio.current_time():
            await trio.sleep_until(self._paused_until)
        self.sent_bytes += len(data) + DATAGRAM_OVERHEAD
        self.sent_datagrams += 1
        self._network.post(self.address, address, data)

    def deliver(self, source: str, data: bytes) -> None:
        """Put a datagram into the inbox; a full inbox loses it."""
        self.received_bytes += len(data) + DATAGRAM_OVERHEAD
        try:
            self._post.send_nowait((source, data))
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
        if peer is None or peer._handlers is None or self._network.is_cut(self.address, address):
            raise OSError(f"{address} cannot be reached")
        here, there = trio.testing.memory_stream_pair()
        for transport in (self, peer):
            transport.sent_bytes += STREAM_OVERHEAD // 2
            transport.received_bytes += STREAM_OVERHEAD // 2
        peer._handlers.send_nowait(_CountedStream(there, peer, self))
        return _CountedStream(here, self, peer)

    async def serve_streams(self, handler) -> None:
        """Serve streams."""
        self._handlers, incoming = trio.open_memory_channel(math.inf)
        async with trio.open_nursery() as nursery:
            async for stream in incoming:
                nursery.start_soon(handler, stream)


class _CountedStream(trio.abc.Stream):
    """A memory stream that counts bytes on both ends and breaks at a partition."""

    def __init__(self, stream, own: MemoryTransport, peer: MemoryTransport):
        self._stream = stream
        self._own = own
        self._peer = peer

    async def send_all(self, data):
        network = self._own._network
        await trio.sleep(network.delay(self._own.address, self._peer.address))
        if network.is_cut(self._own.address, self._peer.address):
            raise trio.BrokenResourceError("partition")
        self._own.sent_bytes += stream_bytes(len(data))
        self._peer.received_bytes += stream_bytes(len(data))
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        return await self._stream.receive_some(max_bytes)

    async def aclose(self):
        await self._stream.aclose()
