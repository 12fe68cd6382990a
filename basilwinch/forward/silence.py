"""Finds out whether a chain that sends nothing stalls."""

import trio

from basilwinch.exception import Failure
from basilwinch.forward.outcome import Broken

__all__ = ["Silence"]

# A chain that gives no event for this long is asked whether it stalls.
_LEAST_SILENCE_S = 0.12
_SILENCE_PASSES = 3.0  # or for so many times its estimated pass
_READ_PASSES = 3.0  # the same for the time in which it reads the prompt
# A chain that is silent for this part of the time after which callers leave is given up.
_GIVE_UP_PART = 0.5
_CALLER_PATIENCE_S = 2.0  # callers leave after a gap of at least this


class Silence:
    """Waits for the next bytes of a chain, and finds out whether it stalls."""

    __slots__ = ("_choice", "_services", "_context", "_head", "_tokens", "reading", "culprit")

    def __init__(self, choice, services, context, head, tokens: int):
        self._choice = choice
        self._services = services
        self._context = context
        self._head = head
        self._tokens = tokens
        self.reading = True
        self.culprit: str | None = None

    async def watch(self, receive):
        """Return what ``receive`` returns, or ``Broken`` if the chain stalls."""
        start = trio.current_time()
        pass_s = self._choice.pass_ms / 1000
        wait_s = max(_LEAST_SILENCE_S, _SILENCE_PASSES * pass_s)
        if self.reading:
            wait_s += _READ_PASSES * self._choice.read_ms / 1000
        while True:
            with trio.move_on_after(wait_s):
                return await receive()
            if await self._stalls():
                return Broken(f"chain stalls at {self.culprit}")
            silent_s = trio.current_time() - start
            if silent_s > _GIVE_UP_PART * _CALLER_PATIENCE_S and self._has_other():
                return Broken("chain silent")
            wait_s = _LEAST_SILENCE_S

    def _has_other(self) -> bool:
        """Return whether another path has room; if none has, a slow chain is the best there is."""
        used = frozenset(member.server for member in self._choice.members)
        return self._services.find_path(self._context, self._tokens, used) is not None

    async def _stalls(self) -> bool:
        """Ask the head which member its request waits for."""
        report = await self._services.reports.ask(self._head)
        if isinstance(report, Failure):
            self.culprit = f"{self._head.host}:{self._head.port}"
            return True
        self.culprit = self._services.dialect.stalled_at(report, self._context.info.id)
        return self.culprit is not None
