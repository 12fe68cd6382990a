"""Liveness check of the members of a chain by opening connections."""

import structlog
import trio

from basilwinch.exception import TUNNEL_UNAVAILABLE, ServerError
from basilwinch.forward.coalescing_cache import CoalescingCache
from basilwinch.wire import connect

__all__ = ["MemberProbe"]

# A crashed server refuses a connection within one round trip, under 2 ms. A running one needs 1 ms
# for each new connection, so many nodes that try it at once wait longer: a time-out proves nothing.
_CONNECT_TIMEOUT_S = 0.1
_RESULT_TTL_S = 0.15  # about the interval at which a silent chain is queried again


class MemberProbe:
    """Finds a crashed member of a silent chain before the report of the chain's head shows it.

    The report lags by several hundred milliseconds, and a stream that waits for it misses its
    objective. A crashed server refuses a connection at once; one that does not respond at all is
    found from the report.

    :param clock: function that returns the time in seconds
    :param open_connection: async function like :func:`~basilwinch.wire.connect`
    """

    __slots__ = ("_results", "_clock", "_open", "_log")

    def __init__(self, clock, open_connection=connect):
        self._results = CoalescingCache(_RESULT_TTL_S, clock)
        self._clock = clock
        self._open = open_connection
        self._log = structlog.get_logger("members")

    async def find_dead(self, servers: list):
        """Return a server that refuses connections, or None.

        :param servers: entries of the members, which are tried concurrently
        """
        dead = []

        async def try_one(server):
            reason = await self._results.get(server.id, lambda: self._try(server))
            if reason is not None:
                dead.append(server)
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for server in servers:
                nursery.start_soon(try_one, server)
        return dead[0] if dead else None

    async def _try(self, server) -> str | None:
        """Return why a server refuses a connection, or None if it connects or times out.

        A tunnel that no node carries says nothing about the server.
        """
        start = self._clock()
        try:
            (await self._open(server.host, server.port, _CONNECT_TIMEOUT_S)).close()
            return None
        except ServerError as error:
            if error.failure.kind is TUNNEL_UNAVAILABLE:
                return None
            reason = error.failure.reason
        if self._clock() - start >= _CONNECT_TIMEOUT_S:
            return None
        self._log.info("member refuses connections", server=server.id, reason=reason)
        return reason

    def prune(self, known) -> None:
        """Drop results about servers that are gone.

        :param known: ids of the registered servers
        """
        self._results.prune(known)
