"""Answers about servers, asked for once for all requests that want them."""

import trio

__all__ = ["SharedAnswers"]


class SharedAnswers:
    """Keeps answers for a short time, and lets requests wait for a question that is under way.

    When a chain falls silent, all its streams ask at the same moment.

    :param age_s: time for which an answer is good, in seconds
    :param clock: function that returns the time in seconds
    """

    __slots__ = ("_age_s", "_clock", "_held", "_asking")

    def __init__(self, age_s: float, clock):
        self._age_s = age_s
        self._clock = clock
        self._held: dict = {}
        self._asking: dict[str, trio.Event] = {}

    async def get(self, server_id: str, ask):
        """Return the answer about a server.

        :param ask: async function without arguments that returns a new answer
        """
        while True:
            held = self._held.get(server_id)
            if held is not None and self._clock() - held[0] < self._age_s:
                return held[1]
            if server_id not in self._asking:
                return await self._ask(server_id, ask)
            await self._asking[server_id].wait()

    async def _ask(self, server_id: str, ask):
        done = self._asking[server_id] = trio.Event()
        try:
            answer = await ask()
            self._held[server_id] = (self._clock(), answer)
            return answer
        finally:
            # A cancelled question leaves no answer; one of those who wait asks anew.
            del self._asking[server_id]
            done.set()

    def forget(self, known) -> None:
        """Drop servers that are gone."""
        for server_id in [s for s in self._held if s not in known]:
            del self._held[server_id]
