"""Kept connections to servers."""

from basilwinch.wire.client import ServerConnection, connect

__all__ = ["ConnectionPool"]


class ConnectionPool:
    """Keeps idle connections by address.

    :param clock: function that returns the time in seconds
    :param connect_timeout_s: longest time to open a connection
    :param keep_s: longest idle time of a kept connection
    :param most_idle: most idle connections of an address
    """

    __slots__ = ("_clock", "_connect_timeout_s", "_keep_s", "_most_idle", "_idle")

    def __init__(self, clock, connect_timeout_s: float, keep_s: float, most_idle: int):
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self._keep_s = keep_s
        self._most_idle = most_idle
        self._idle: dict[tuple[str, int], list[ServerConnection]] = {}

    async def acquire(self, address: tuple[str, int], fresh: bool = False) -> ServerConnection:
        """Return a connection.

        :param address: pair of IP address and port
        :param fresh: whether a kept connection will not do, as its loss would leave it unknown
            whether a request ran that must not be repeated
        :raises ServerError: ``SERVER_UNREACHABLE``
        """
        kept = [] if fresh else self._idle.get(address, [])
        while kept:
            connection = kept.pop()
            if self._usable(connection):
                return connection
            connection.close()
        return await connect(*address, self._connect_timeout_s)

    async def call(
        self, address: tuple[str, int], request: tuple, limit: int, fresh: bool = False
    ) -> tuple[int, bytes]:
        """Make a call; return status and body of the response.

        :param address: pair of IP address and port
        :param request: method, target, header and body
        :param limit: most bytes of the response
        :param fresh: as for :meth:`acquire`
        :raises ServerError: ``SERVER_UNREACHABLE``, or ``OUTCOME_UNKNOWN``
        """
        connection = await self.acquire(address, fresh)
        kept = False
        try:
            await connection.send(*request)
            response = await connection.receive_head()
            body = await connection.receive_body(limit)
            kept = True
            return response.status_code, body
        finally:
            if kept:
                self.release(connection)
            else:
                connection.close()

    def release(self, connection: ServerConnection) -> None:
        """Keep a connection whose response is complete, or close it."""
        kept = self._idle.setdefault((connection.host, connection.port), [])
        if len(kept) < self._most_idle and connection.finish(self._clock()):
            kept.append(connection)
        else:
            connection.close()

    def sweep(self) -> None:
        """Close connections that were idle for too long."""
        for kept in self._idle.values():
            for connection in [c for c in kept if not self._fresh_enough(c)]:
                kept.remove(connection)
                connection.close()

    def _usable(self, connection) -> bool:
        return self._fresh_enough(connection) and connection.is_quiet()

    def _fresh_enough(self, connection) -> bool:
        told_s = connection.keep_s
        keep_s = self._keep_s if told_s is None else min(self._keep_s, told_s)
        return self._clock() - connection.idle_since < keep_s
