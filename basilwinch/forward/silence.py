"""Finds out whether a chain that sends nothing stalls."""

import trio

from basilwinch.exception import Failure
from basilwinch.forward.outcome import Broken

__all__ = ["Silence"]

# A chain that gives no event for so many times its usual gap has its members tried, this long at
# least: a stream that goes on elsewhere after that is still in time.
_TRY_GAPS = 2.0
_LEAST_TRY_S = 0.08
_WAIT_FACTOR = 1.5  # of the estimated pass to the first gap; members wait for a running pass
_LAST_GAP_PART = 0.3  # weight of the last gap in the usual one
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

    __slots__ = ("_choice", "_services", "_context", "_head", "_reserve", "_gap_s", "reading")

    def __init__(self, choice, services, context, head, reserve):
        self._choice = choice
        self._services = services
        self._context = context
        self._head = head
        self._reserve = reserve
        self._gap_s = _WAIT_FACTOR * choice.pass_ms / 1000
        self.reading = True

    async def watch(self, receive):
        """Return what ``receive`` returns, or ``Broken`` if the request goes on elsewhere."""
        start = trio.current_time()
        with trio.move_on_after(self._try_after_s()):
            return self._learn(await receive(), start)
        dead = await self._services.members.find_dead(self._members())
        if dead is not None and self._reserve(f"{dead.host}:{dead.port}"):
            return Broken(f"member {dead.id} refuses connections")
        while True:
            with trio.move_on_at(self._ask_at(start)):
                return self._learn(await receive(), start)
            culprit = await self._find_culprit()
            silent_s = trio.current_time() - start
            given_up = culprit is not None or silent_s > _GIVE_UP_PART * _CALLER_PATIENCE_S
            if given_up and self._reserve(culprit):
                return Broken(f"chain stalls at {culprit}" if culprit else "chain silent")

    def _learn(self, data, start: float):
        """Take the gap into the usual one."""
        if not self.reading:
            gap_s = trio.current_time() - start
            self._gap_s += _LAST_GAP_PART * (gap_s - self._gap_s)
        return data

    def _reading_s(self) -> float:
        return _READ_PASSES * self._choice.prefill_ms / 1000 if self.reading else 0.0

    def _try_after_s(self) -> float:
        return max(_LEAST_TRY_S, _TRY_GAPS * self._gap_s) + self._reading_s()

    def _ask_at(self, start: float) -> float:
        """Return when the chain is to be asked next."""
        pass_s = self._choice.pass_ms / 1000
        first_at = start + max(_LEAST_SILENCE_S, _SILENCE_PASSES * pass_s) + self._reading_s()
        now = trio.current_time()
        return first_at if now < first_at else now + _LEAST_SILENCE_S

    def _members(self) -> list:
        entries = self._services.view.servers
        return [entries[m.server] for m in self._choice.members if m.server in entries]

    async def _find_culprit(self) -> str | None:
        """Return host:port of the member that the request waits for, by the head's report."""
        report = await self._services.reports.ask(self._head)
        if isinstance(report, Failure):
            return f"{self._head.host}:{self._head.port}"
        return self._services.dialect.stalled_at(report, self._context.info.id)
