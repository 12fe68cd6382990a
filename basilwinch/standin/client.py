"""In-memory client of the stand-in engines and services."""

import math
from contextlib import asynccontextmanager, suppress

import trio

from basilwinch.catalog import Server
from basilwinch.exception import SERVER_REFUSED, Failure, ServerError
from basilwinch.server import EngineCall, ServerOrder, ServerOrderReply, ServiceCall, ServiceReply
from basilwinch.standin.cache import CacheEvent
from basilwinch.standin.engine import StandinEngines
from basilwinch.standin.sequence import KvBlock

__all__ = ["DirectClient"]


class DirectClient:
    """Implements :class:`~basilwinch.server.EngineClient` and
    :class:`~basilwinch.server.ServiceClient` by calling the stand-ins directly.

    :param engines: simulated engines, or None
    :param services: simulated :class:`~basilwinch.standin.PlainServices`, or None
    :param zone: zone of the caller, which gives the link delay to the first stage
    """

    __slots__ = ("engines", "services", "zone")

    def __init__(self, engines: StandinEngines | None = None, services=None, zone: str = "node"):
        self.engines = engines
        self.services = services
        self.zone = zone

    @asynccontextmanager
    async def open(self, call: EngineCall):
        """Open a stream of frames; leaving the context cancels it.

        :raises ServerError: while iterating, when the stream breaks
        """
        send, receive = trio.open_memory_channel(math.inf)

        def deliver(item) -> None:
            # Frames still in flight when the call is cancelled arrive at a closed channel.
            with suppress(trio.ClosedResourceError):
                send.send_nowait(item)

        sequence = self.engines.start(call, self.zone, deliver, deliver)
        try:
            yield _iterate_frames(receive)
        finally:
            self.engines.cancel(sequence)
            send.close()
            receive.close()

    async def order(self, server: Server, order: ServerOrder) -> ServerOrderReply:
        """Send an order to a server and wait until it is carried out.

        :raises ServerError: ``FENCED`` or ``SERVER_UNREACHABLE``
        """
        seconds, reply = self.engines.order(server.name, order)
        await trio.sleep(seconds + 2 * self.engines.network.delay(self.zone, server.name))
        return reply

    async def export_kv(self, server: Server, request: str) -> KvBlock:
        """Return the KV cache that a server retains of an ended request.

        :raises ServerError: ``SERVER_REFUSED`` or ``SERVER_UNREACHABLE``
        """
        await trio.sleep(2 * self.engines.network.delay(self.zone, server.name))
        return self.engines.export_kv(server.name, request)

    async def import_kv(self, server: Server, block: KvBlock) -> None:
        """Copy the KV cache of a request to a server and wait for the transfer.

        :raises ServerError: ``SERVER_UNREACHABLE``
        """
        await trio.sleep(self.engines.import_kv(server.name, block))

    async def events(self, after: int) -> list[CacheEvent]:
        """Return the cache events with a number above ``after``.

        Events appear after ``cache_event_lag_s``; lost events leave gaps in the numbers.
        """
        await trio.lowlevel.checkpoint()
        return self.engines.caches.events(after, trio.current_time())

    async def call(self, server: Server, call: ServiceCall) -> ServiceReply:
        """Send one call to a plain service, without retries.

        :raises ServerError: ``SERVER_UNREACHABLE`` or ``SERVER_LEAVING`` if the call did not run,
            ``STREAM_LOST`` if it may have run, ``SERVER_REFUSED`` without ``services``
        """
        if self.services is None:
            raise ServerError(
                SERVER_REFUSED.because(f"client has no plain services to call {server.name}")
            )
        return await self.services.call(server.name, call)


async def _iterate_frames(receive):
    async for item in receive:
        if isinstance(item, Failure):
            raise ServerError(item)
        yield item
        if item.final:
            return
