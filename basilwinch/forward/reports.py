"""Reports of servers, asked for once for all requests that want them."""

import json

import structlog
import trio

from basilwinch.exception import SERVER_UNREACHABLE, Failure, ServerError
from basilwinch.forward.shared import SharedAnswers

__all__ = ["ServerReports"]

_ANSWER_S = 0.15  # a server answers without a slot
_AGE_S = 0.15  # a report is good for so long; it lags by some hundred milliseconds anyway
_REPORT_BYTES = 1 << 20


class ServerReports:
    """Asks servers for their reports.

    :param pool: connections to servers
    :param dialect: spelling of the question
    :param clock: function that returns the time in seconds
    """

    __slots__ = ("_pool", "_dialect", "_answers", "_log")

    def __init__(self, pool, dialect, clock):
        self._pool = pool
        self._dialect = dialect
        self._answers = SharedAnswers(_AGE_S, clock)
        self._log = structlog.get_logger("reports")

    async def ask(self, server) -> dict | Failure:
        """Return a server's report, or ``SERVER_UNREACHABLE``."""
        return await self._answers.get(server.id, lambda: self._call(server))

    async def _call(self, server) -> dict | Failure:
        request = self._dialect.build_report_request()
        try:
            with trio.fail_after(_ANSWER_S):
                # A kept connection may have been dropped without notice, which is no sign of death.
                _, body = await self._pool.call(server.address, request, _REPORT_BYTES, fresh=True)
            report = json.loads(body)
            return report if isinstance(report, dict) else self._fail(server, "not a table")
        except (ServerError, trio.TooSlowError, ValueError) as error:
            return self._fail(server, repr(error))

    def _fail(self, server, reason: str) -> Failure:
        self._log.info("no report", server=server.id, reason=reason)
        return SERVER_UNREACHABLE.because(reason)

    def forget(self, known) -> None:
        """Drop servers that are gone."""
        self._answers.forget(known)
