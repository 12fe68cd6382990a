"""Reports of servers, queried once for all requests that need them at the same time."""

import structlog
import trio

from basilwinch.document import parse_object
from basilwinch.exception import SERVER_UNREACHABLE, DocumentError, Failure, ServerError
from basilwinch.forward.coalescing_cache import CoalescingCache

__all__ = ["ServerReports"]

_CALL_TIMEOUT_S = 0.15  # short, as a report needs no free slot
_REPORT_TTL_S = 0.15  # short against the lag of a report, several hundred milliseconds
_MAX_REPORT_BYTES = 1 << 20


class ServerReports:
    """Queries servers for their reports.

    :param pool: connections to servers
    :param dialect: encoder of the query
    :param clock: function that returns the time in seconds
    """

    __slots__ = ("_pool", "_dialect", "_reports", "_log")

    def __init__(self, pool, dialect, clock):
        self._pool = pool
        self._dialect = dialect
        self._reports = CoalescingCache(_REPORT_TTL_S, clock)
        self._log = structlog.get_logger("reports")

    async def fetch(self, server) -> dict | Failure:
        """Return a server's report, or ``SERVER_UNREACHABLE``."""
        return await self._reports.get(server.id, lambda: self._call(server))

    async def _call(self, server) -> dict | Failure:
        request = self._dialect.build_report_request()
        try:
            with trio.fail_after(_CALL_TIMEOUT_S):
                # On a new connection: a server may have closed an idle one without notice, and its
                # reset would look like a failure of the server.
                _, body = await self._pool.call(
                    server.address, request, _MAX_REPORT_BYTES, fresh=True
                )
            return parse_object(body, "report")
        except (ServerError, trio.TooSlowError, DocumentError) as error:
            return self._fail(server, repr(error))

    def _fail(self, server, reason: str) -> Failure:
        self._log.info("server report not available", server=server.id, reason=reason)
        return SERVER_UNREACHABLE.because(reason)

    def prune(self, known) -> None:
        """Drop reports of servers that are gone.

        :param known: ids of the registered servers
        """
        self._reports.prune(known)
