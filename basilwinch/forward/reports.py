"""Reports of servers, asked for once for all requests that want them."""

import json

import structlog
import trio

from basilwinch.exception import SERVER_UNREACHABLE, Failure, ServerError

__all__ = ["ServerReports"]

_ANSWER_S = 0.15  # a server answers without a slot
_AGE_S = 0.15  # a report is good for so long; it lags by some hundred milliseconds anyway
_REPORT_BYTES = 1 << 20


class ServerReports:
    """Asks servers for their reports.

    When a chain falls silent, all its streams ask at the same moment; they share one call.

    :param pool: connections to servers
    :param dialect: spelling of the question
    :param clock: function that returns the time in seconds
    """

    __slots__ = ("_pool", "_dialect", "_clock", "_held", "_asking", "_log")

    def __init__(self, pool, dialect, clock):
        self._pool = pool
        self._dialect = dialect
        self._clock = clock
        self._held: dict[str, tuple[float, dict | Failure]] = {}
        self._asking: dict[str, trio.Event] = {}
        self._log = structlog.get_logger("reports")

    async def ask(self, server) -> dict | Failure:
        """Return a server's report, or ``SERVER_UNREACHABLE``."""
        while True:
            asked_at, report = self._held.get(server.id, (float("-inf"), None))
            if self._clock() - asked_at < _AGE_S:
                return report
            if server.id not in self._asking:
                return await self._ask(server)
            await self._asking[server.id].wait()

    async def _ask(self, server) -> dict | Failure:
        done = self._asking[server.id] = trio.Event()
        try:
            report = await self._call(server)
            self._held[server.id] = (self._clock(), report)
            return report
        finally:
            del self._asking[server.id]
            done.set()

    async def _call(self, server) -> dict | Failure:
        connection = None
        try:
            with trio.fail_after(_ANSWER_S):
                connection = await self._pool.acquire(server.address)
                await connection.send(*self._dialect.report_query())
                await connection.receive_head()
                report = json.loads(await connection.receive_body(_REPORT_BYTES))
            return report if isinstance(report, dict) else self._fail(server, "not a table")
        except (ServerError, trio.TooSlowError, ValueError) as error:
            return self._fail(server, repr(error))
        finally:
            if connection is not None:
                connection.close()

    def _fail(self, server, reason: str) -> Failure:
        self._log.info("no report", server=server.id, reason=reason)
        return SERVER_UNREACHABLE.because(reason)

    def forget(self, known) -> None:
        """Drop servers that are gone."""
        for server_id in [s for s in self._held if s not in known]:
            del self._held[server_id]
