"""Admission of requests: limits of organisations, then a fair queue for each model."""

import math
from contextlib import asynccontextmanager

import trio

from basilwinch.admission.config import AdmissionConfig, AdmitRequest, Usage
from basilwinch.admission.grid import count_peers
from basilwinch.admission.limits import Limits
from basilwinch.admission.queue import FairQueue, Waiting
from basilwinch.exception import DEADLINE_UNREACHABLE, Failure
from basilwinch.observability import DecisionLog

__all__ = ["Admission", "Ticket"]


class Ticket:
    """An admitted request; true as a value, unlike a failure."""

    __slots__ = ("request", "tokens")

    def __init__(self, request: AdmitRequest):
        self.request = request
        self.tokens = 0

    def count(self, tokens: int) -> None:
        """Count generated tokens."""
        self.tokens += tokens


class Admission:
    """Admits requests on one node.

    :param config: :class:`AdmissionConfig`
    :param log: decision log
    """

    __slots__ = ("_config", "_log", "_limits", "_queues", "_slots", "_coverage", "_coverage_at")

    def __init__(self, config: AdmissionConfig, log: DecisionLog):
        self._config = config
        self._log = log
        self._limits = Limits(config)
        self._queues: dict[str, FairQueue] = {}
        self._slots: dict[str, int] = {}
        self._coverage = 1.0
        self._coverage_at = -math.inf

    @classmethod
    def from_config(cls, config: AdmissionConfig, log: DecisionLog) -> "Admission":
        """Build admission without any organisation."""
        return cls(config, log)

    def update(self, organisations: dict, nodes: int, now: float) -> None:
        """Set the rules in effect and the number of nodes, dead ones not yet given up included.

        :param organisations: dict of :class:`~basilwinch.catalog.Organisation` by name
        """
        self._limits.update(organisations, nodes, self.report_interval(nodes))
        self._coverage_at = -math.inf

    def report_interval(self, nodes: int) -> float:
        """Return the seconds between two usage reports.

        It grows with the number of peers so that the packets stay within a fixed rate.
        """
        return max(self._config.report_s, self._config.report_s_per_peer * count_peers(nodes))

    def set_capacity(self, model: str, slots: int) -> list[Waiting]:
        """Set how many requests of a model may be in progress on this node.

        Fewer slots take effect as requests end; more slots are filled at once.
        """
        self._slots[model] = slots
        queue = self._queues.get(model)
        if queue is None:
            return []
        queue.slots = slots
        changed = queue.fill(trio.current_time()) if queue.queued else []
        _wake(changed)
        return changed

    @asynccontextmanager
    async def enter(self, request: AdmitRequest):
        """Wait for a slot; leaving the context, also by cancellation, frees it at once.

        :returns: a context manager that gives a :class:`Ticket`, or a ``Failure`` of kind
            ``RATE_LIMITED``, ``MODEL_NOT_ALLOWED``, ``QUEUE_FULL`` or ``DEADLINE_UNREACHABLE``
        """
        entry = self.offer(request, trio.current_time())
        if isinstance(entry, Failure):
            yield entry
            return
        ticket = Ticket(request)
        try:
            if entry.state == "queued":
                entry.wake = trio.Event()
                with trio.move_on_at(math.inf if entry.deadline is None else entry.deadline):
                    await entry.wake.wait()
            if entry.state == "running":
                yield ticket
            else:
                yield self._too_late(request)
        finally:
            _wake(self.finish(request, entry, ticket.tokens, trio.current_time()))

    def offer(self, request: AdmitRequest, now: float) -> Waiting | Failure:
        """Decide on a request, without I/O.

        :returns: an entry that is running or queued, or a failure. O(log n) with n organisations
            that wait.
        """
        failure = self._limits.check(request, self._seen(now), now)
        if failure is not None:
            self._log.record("admit", failure.code, failure.reason, request=request.request)
            return failure
        rules = self._limits.organisation(request.organisation)
        queue = self._queues.get(request.model)
        if queue is None:
            slots = self._slots.get(request.model, self._config.default_slots)
            config = self._config
            queue = FairQueue(slots, config.queue_per_organisation, config.queue_total)
            self._queues[request.model] = queue
        deadline = None if request.deadline_s is None else now + request.deadline_s
        entry = Waiting(rules.name, rules.share, rules.priority, request.tokens, deadline)
        failure = queue.offer(entry, now)
        if failure is not None:
            self._limits.settle(rules.name, -request.tokens, -1.0)
            self._log.record("admit", failure.code, failure.reason, request=request.request)
            return failure
        self._log.record("admit", entry.state, "within limits", request=request.request)
        return entry

    def finish(self, request: AdmitRequest, entry: Waiting, tokens: int, now: float) -> list:
        """Give back the slot or the place in the queue.

        :param tokens: tokens that were generated
        :returns: requests that got a slot, or were dropped as too late
        """
        queue = self._queues[request.model]
        self._limits.settle(request.organisation, tokens - request.tokens)
        if entry.state == "queued":
            queue.cancel(entry)
            return []
        return queue.release(entry, tokens, now)

    def usage(self, now: float) -> list[Usage]:
        """Return the rates of this node since the last call, for its report to the others."""
        return self._limits.usage(now)

    def absorb_usage(self, node: str, usages, now: float, nodes: int = 1) -> None:
        """Take in the report of another node. Also an empty report shows that the node is seen.

        :param nodes: number of other nodes that the report covers
        """
        self._limits.absorb(node, usages, now, nodes)

    def _seen(self, now: float) -> float:
        # The part of the fleet that is seen changes with reports, not with requests.
        if now - self._coverage_at >= 0.5:
            self._coverage, self._coverage_at = self._limits.coverage(now), now
        return self._coverage

    def _too_late(self, request: AdmitRequest) -> Failure:
        queue = self._queues[request.model]
        failure = DEADLINE_UNREACHABLE.because(
            f"waited {request.deadline_s:g} s at most behind {queue.queued} requests",
            retry_after=round(queue.expected_wait(Waiting("", 1.0, 0, request.tokens, None)), 3),
        )
        self._log.record("admit", failure.code, failure.reason, request=request.request)
        return failure


def _wake(entries) -> None:
    for entry in entries:
        if entry.wake is not None:
            entry.wake.set()
