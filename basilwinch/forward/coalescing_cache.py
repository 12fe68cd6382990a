"""Coalescing of concurrent queries about a server."""

import trio

__all__ = ["CoalescingCache"]


class CoalescingCache:
    """Caches results by server for a short time, and lets tasks wait for a query in progress.

    When a chain goes silent, all its streams query it at the same moment.

    :param ttl_s: time for which a result is valid, in seconds
    :param clock: function that returns the time in seconds
    """

    __slots__ = ("_ttl_s", "_clock", "_results", "_in_progress")

    def __init__(self, ttl_s: float, clock):
        self._ttl_s = ttl_s
        self._clock = clock
        self._results: dict = {}
        self._in_progress: dict[str, trio.Event] = {}

    async def get(self, server_id: str, query):
        """Return the result about a server.

        :param query: async function without arguments that returns a new result
        """
        while True:
            cached = self._results.get(server_id)
            if cached is not None and self._clock() - cached[0] < self._ttl_s:
                return cached[1]
            if server_id not in self._in_progress:
                return await self._run_query(server_id, query)
            await self._in_progress[server_id].wait()

    async def _run_query(self, server_id: str, query):
        done = self._in_progress[server_id] = trio.Event()
        try:
            result = await query()
            self._results[server_id] = (self._clock(), result)
            return result
        finally:
            # A cancelled query leaves no result; one of the waiting tasks then starts its own.
            del self._in_progress[server_id]
            done.set()

    def prune(self, known) -> None:
        """Drop results about servers that are gone.

        :param known: ids of the registered servers
        """
        for server_id in [s for s in self._results if s not in known]:
            del self._results[server_id]
