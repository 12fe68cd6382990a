"""Liveness of the members of a chain, found by opening connections."""

import structlog
import trio

from basilwinch.exception import ServerError
from basilwinch.forward.shared import SharedAnswers
from basilwinch.wire import connect

__all__ = ["MemberProbe"]

# A refusal takes a round trip of under 2 ms. A server takes a millisecond for each new connection,
# so that many nodes which try it at once wait longer: silence says nothing here.
_CONNECT_S = 0.1
_AGE_S = 0.15  # as long as it takes until a chain is asked again


class MemberProbe:
    """Finds the dead member of a silent chain before the chain's own report shows it.

    A report lags by some hundred milliseconds, so that a stream that waits for it is late; a
    crashed server refuses a connection at once. One that is dark is left to the report.

    :param clock: function that returns the time in seconds
    :param open_connection: coroutine function like :func:`~basilwinch.wire.connect`
    """

    __slots__ = ("_answers", "_clock", "_open", "_log")

    def __init__(self, clock, open_connection=connect):
        self._answers = SharedAnswers(_AGE_S, clock)
        self._clock = clock
        self._open = open_connection
        self._log = structlog.get_logger("members")

    async def find_dead(self, servers: list):
        """Return a server that refuses connections, or None.

        :param servers: entries of the members; they are tried side by side
        """
        dead = []

        async def try_one(server):
            reason = await self._answers.get(server.id, lambda: self._try(server))
            if reason is not None:
                dead.append(server)
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for server in servers:
                nursery.start_soon(try_one, server)
        return dead[0] if dead else None

    async def _try(self, server) -> str | None:
        """Return why a server refuses a connection, or None if it is not known to."""
        start = self._clock()
        try:
            (await self._open(server.host, server.port, _CONNECT_S)).close()
            return None
        except ServerError as error:
            reason = error.failure.reason
        if self._clock() - start >= _CONNECT_S:
            return None
        self._log.info("member refuses connections", server=server.id, reason=reason)
        return reason

    def forget(self, known) -> None:
        """Drop servers that are gone."""
        self._answers.forget(known)
