"""Finds out whether a chain that sends nothing stalls."""

import trio

from basilwinch.exception import Failure
from basilwinch.forward.outcome import Broken

__all__ = ["Silence"]

# A chain that gives no event for this long is asked whether it stalls.
_LEAST_SILENCE_S = 0.12
_SILENCE_PASSES = 3.0  # or for so many times its estimated pass
_READ_PASSES = 3.0  # the same for the time in which it reads the prompt
# A chain that is silent for this part of the time after which callers leave is given up for
# another.
_GIVE_UP_PART = 0.5
_CALLER_PATIENCE_S = 2.0  # callers leave after a gap of at least this


class Silence:
    """Waits for the next bytes of a chain, and finds out whether it stalls.

    A silent chain is left only for a sure successor: a slow response is worth more than none.

    :param choice: path of the request
    :param services: shared :class:`~basilwinch.forward.services.Services`
    :param context: the request
    :param head: entry of the chain's first server
    :param reserve: function that takes host:port of the member at fault, or None for a chain that
        is silent as a whole; it returns whether the request can go on elsewhere, and then has
        reserved what that needs
    """

    __slots__ = ("_choice", "_services", "_context", "_head", "_reserve", "reading")

    def __init__(self, choice, services, context, head, reserve):
        self._choice = choice
        self._services = services
        self._context = context
        self._head = head
        self._reserve = reserve
        self.reading = True

    async def watch(self, receive):
        """Return what ``receive`` returns, or ``Broken`` if the request goes on elsewhere."""
        start = trio.current_time()
        pass_s = self._choice.pass_ms / 1000
        wait_s = max(_LEAST_SILENCE_S, _SILENCE_PASSES * pass_s)
        if self.reading:
            wait_s += _READ_PASSES * self._choice.read_ms / 1000
        while True:
            with trio.move_on_after(wait_s):
                return await receive()
            culprit = await self._find_culprit()
            silent_s = trio.current_time() - start
            given_up = culprit is not None or silent_s > _GIVE_UP_PART * _CALLER_PATIENCE_S
            if given_up and self._reserve(culprit):
                return Broken(f"chain stalls at {culprit}" if culprit else "chain silent")
            wait_s = _LEAST_SILENCE_S

    async def _find_culprit(self) -> str | None:
        """Return host:port of the member that the request waits for, by the head's report."""
        report = await self._services.reports.ask(self._head)
        if isinstance(report, Failure):
            return f"{self._head.host}:{self._head.port}"
        return self._services.dialect.stalled_at(report, self._context.info.id)
