"""Detection of chains that send nothing because they have stalled."""

import trio

from basilwinch.exception import Failure
from basilwinch.forward.outcome import OutcomeUnknown

__all__ = ["StallDetector"]

# The members of a chain are probed after this multiple of its mean gap between events. A stream
# that then resumes at another chain still meets its objective.
_PROBE_DELAY_GAPS = 2.0
_MIN_PROBE_DELAY_S = 0.08
# First value of the mean gap as a multiple of the estimated time of a pass; above 1 since members
# may still be busy with another pass.
_INITIAL_GAP_PASSES = 1.5
_NEWEST_GAP_WEIGHT = 0.3  # in the moving average of gaps
_MIN_QUERY_DELAY_S = 0.12  # before the first query for the head's report, and between queries
# Delay of the first query as a multiple of the estimated time of a pass.
_QUERY_DELAY_PASSES = 3.0
# Added to the delays of the probe and of the first query until the first event has arrived, as a
# multiple of the estimated prefill time.
_PREFILL_DELAY_FACTOR = 3.0
# A silent chain is abandoned for another one after this fraction of _CALLER_GAP_TIMEOUT_S, even if
# no member is known to be at fault.
_ABANDON_FRACTION = 0.5
_CALLER_GAP_TIMEOUT_S = 2.0  # shortest gap between events after which callers leave


class StallDetector:
    """Waits for the next bytes of a chain, and detects whether it stalls.

    A silent chain is abandoned only if the request can resume elsewhere, since a slow response is
    better than none. ``prefilling`` is true until the first event.

    :param path: path of the request
    :param components: shared :class:`~basilwinch.forward.components.Components`
    :param context: the request
    :param head: entry of the chain's first server
    :param prepare_next: function that takes host:port of the member at fault, or None if it is not
        known; it avoids that member, selects another path, takes a retry from the budget, and
        returns whether there are both
    """

    __slots__ = (
        "_path",
        "_components",
        "_context",
        "head",
        "_prepare_next",
        "_mean_gap_s",
        "prefilling",
    )

    def __init__(self, path, components, context, head, prepare_next):
        self._path = path
        self._components = components
        self._context = context
        self.head = head
        self._prepare_next = prepare_next
        self._mean_gap_s = _INITIAL_GAP_PASSES * path.pass_ms / 1000
        self.prefilling = True

    async def watch(self, receive):
        """Return the result of ``receive``, or ``OutcomeUnknown`` to resume the request elsewhere.

        :param receive: async function without arguments that waits for the next bytes
        """
        start = trio.current_time()
        with trio.move_on_after(self._compute_probe_delay_s()):
            return self._update_gap(await receive(), start)
        dead = await self._components.member_probe.find_dead(self._list_members())
        if dead is not None and self._prepare_next(f"{dead.host}:{dead.port}"):
            return OutcomeUnknown(f"member {dead.id} refuses connections")
        while True:
            with trio.move_on_at(self._compute_next_query_time(start)):
                return self._update_gap(await receive(), start)
            faulty_address = await self._find_faulty_address()
            silent_s = trio.current_time() - start
            abandoned = (
                faulty_address is not None or silent_s > _ABANDON_FRACTION * _CALLER_GAP_TIMEOUT_S
            )
            if abandoned and self._prepare_next(faulty_address):
                return OutcomeUnknown(
                    f"chain stalls at {faulty_address}"
                    if faulty_address
                    else f"chain sent nothing for {silent_s:.2f} s"
                )

    def _update_gap(self, data, start: float):
        """Update the mean gap between events, and return the data."""
        if not self.prefilling:
            gap_s = trio.current_time() - start
            self._mean_gap_s += _NEWEST_GAP_WEIGHT * (gap_s - self._mean_gap_s)
        return data

    def _compute_prefill_delay_s(self) -> float:
        return _PREFILL_DELAY_FACTOR * self._path.prefill_ms / 1000 if self.prefilling else 0.0

    def _compute_probe_delay_s(self) -> float:
        return (
            max(_MIN_PROBE_DELAY_S, _PROBE_DELAY_GAPS * self._mean_gap_s)
            + self._compute_prefill_delay_s()
        )

    def _compute_next_query_time(self, start: float) -> float:
        """Return the time of the next query for the head's report."""
        pass_s = self._path.pass_ms / 1000
        first_query_at = (
            start
            + max(_MIN_QUERY_DELAY_S, _QUERY_DELAY_PASSES * pass_s)
            + self._compute_prefill_delay_s()
        )
        now = trio.current_time()
        return first_query_at if now < first_query_at else now + _MIN_QUERY_DELAY_S

    def _list_members(self) -> list:
        entries = self._components.view.servers
        return [entries[m.server] for m in self._path.members if m.server in entries]

    async def _find_faulty_address(self) -> str | None:
        """Return host:port of the member at which the request is stalled, or None.

        This is taken from the head's report; a head that does not answer is itself at fault.
        """
        report = await self._components.server_reports.fetch(self.head)
        if isinstance(report, Failure):
            return f"{self.head.host}:{self.head.port}"
        return self._components.dialect.find_stalled_server(report, self._context.info.id)
