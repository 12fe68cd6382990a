"""Pool of idle connections to servers."""

from basilwinch.wire.client import ServerConnection, connect

__all__ = ["ConnectionPool"]


class ConnectionPool:
    """Keeps idle connections by address, to be reused.

    :param clock: function that returns the time in seconds
    :param connect_timeout_s: maximum time to open a connection, in seconds
    :param max_idle_s: maximum idle time of a connection, in seconds
    :param max_idle_connections: maximum number of idle connections to an address
    :param open_connection: async function like :func:`~basilwinch.wire.client.connect`
    """

    __slots__ = (
        "_clock",
        "_connect_timeout_s",
        "_max_idle_s",
        "_max_idle_connections",
        "_open",
        "_idle",
    )

    def __init__(
        self,
        clock,
        connect_timeout_s: float,
        max_idle_s: float,
        max_idle_connections: int,
        open_connection=connect,
    ):
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self._max_idle_s = max_idle_s
        self._max_idle_connections = max_idle_connections
        self._open = open_connection
        self._idle: dict[tuple[str, int], list[ServerConnection]] = {}

    async def acquire(self, address: tuple[str, int], fresh: bool = False) -> ServerConnection:
        """Return an idle connection, or open a new one.

        :param address: pair of IP address and port
        :param fresh: whether to open a new connection. If an idle one is lost, it is unknown
            whether the request ran, so a request that must not be repeated needs a new one
        :raises ServerError: with ``SERVER_UNREACHABLE``
        """
        idle = [] if fresh else self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if self._is_usable(connection):
                return connection
            connection.close()
        return await self._open(*address, self._connect_timeout_s)

    async def call(
        self, address: tuple[str, int], request: tuple, max_body_bytes: int, fresh: bool = False
    ) -> tuple[int, bytes]:
        """Make a call; return status and body of the response.

        The parameters are those of :meth:`exchange`.
        """
        status, _, body = await self.exchange(address, request, max_body_bytes, fresh)
        return status, body

    async def exchange(
        self, address: tuple[str, int], request: tuple, max_body_bytes: int, fresh: bool = False
    ) -> tuple[int, dict, bytes]:
        """Make a call; return status, header and body of the response.

        :param address: pair of IP address and port
        :param request: method, target, header and body
        :param max_body_bytes: maximum size of the response body
        :param fresh: as for :meth:`acquire`
        :raises ServerError: with ``SERVER_UNREACHABLE`` or ``OUTCOME_UNKNOWN``
        """
        connection = await self.acquire(address, fresh)
        complete = False
        try:
            await connection.send(*request)
            response = await connection.receive_head()
            body = await connection.receive_body(max_body_bytes)
            complete = True
            return response.status_code, dict(response.headers), body
        finally:
            if complete:
                self.release(connection)
            else:
                connection.close()

    def release(self, connection: ServerConnection) -> None:
        """Return a connection to the pool.

        It is closed if its response is incomplete, if it cannot be reused, or if the pool holds the
        maximum number of idle connections to its address.
        """
        idle = self._idle.setdefault((connection.host, connection.port), [])
        if len(idle) < self._max_idle_connections and connection.finish(self._clock()):
            idle.append(connection)
        else:
            connection.close()

    def close_idle(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address, which may be dead without a sign of it.

        :param address: pair of IP address and port
        """
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close_all_idle(self) -> None:
        """Close all idle connections, as their way to the servers is lost."""
        for address in list(self._idle):
            self.close_idle(address)

    def close_expired(self) -> None:
        """Close connections that have been idle for longer than their limit."""
        for idle in self._idle.values():
            for connection in [c for c in idle if not self._is_within_idle_limit(c)]:
                idle.remove(connection)
                connection.close()

    def _is_usable(self, connection) -> bool:
        return self._is_within_idle_limit(connection) and connection.is_open_and_silent()

    def _is_within_idle_limit(self, connection) -> bool:
        server_max_idle_s = connection.server_max_idle_s
        max_idle_s = (
            self._max_idle_s
            if server_max_idle_s is None
            else min(self._max_idle_s, server_max_idle_s)
        )
        return self._clock() - connection.idle_since < max_idle_s
