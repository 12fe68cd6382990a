"""Admission control: limits of organisations, then a fair queue for each model."""

import math
from contextlib import asynccontextmanager

import trio

from basilwinch.admission.config import AdmissionConfig, AdmitRequest, Usage
from basilwinch.admission.grid import count_peers
from basilwinch.admission.limits import Limits
from basilwinch.admission.queue import FairQueue, QueueEntry
from basilwinch.exception import DEADLINE_UNREACHABLE, Failure
from basilwinch.observability import DecisionLog

__all__ = ["Admission", "Ticket"]


class Ticket:
    """An admitted request. It is truthy, and a ``Failure`` is falsy."""

    __slots__ = ("request", "tokens")

    def __init__(self, request: AdmitRequest):
        self.request = request
        self.tokens = 0

    def count_tokens(self, tokens: int) -> None:
        """Add to the number of generated tokens."""
        self.tokens += tokens


class Admission:
    """Admits requests on one node.

    :param config: :class:`AdmissionConfig`
    :param log: decision log
    """

    __slots__ = (
        "_config",
        "_log",
        "_limits",
        "_queues",
        "_slots",
        "_coverage",
        "_coverage_updated_at",
    )

    def __init__(self, config: AdmissionConfig, log: DecisionLog):
        self._config = config
        self._log = log
        self._limits = Limits(config)
        self._queues: dict[str, FairQueue] = {}
        self._slots: dict[str, int] = {}
        self._coverage = 1.0
        self._coverage_updated_at = -math.inf

    @classmethod
    def from_config(cls, config: AdmissionConfig, log: DecisionLog) -> "Admission":
        """Build admission without any organisation."""
        return cls(config, log)

    def update(self, organisations: dict, nodes: int, now: float) -> None:
        """Set the rules and the number of nodes, dead ones included until removed.

        :param organisations: dict of :class:`~basilwinch.catalog.Organisation` by name
        """
        self._limits.update(organisations, nodes, self.report_interval(nodes))
        self._coverage_updated_at = -math.inf

    def report_interval(self, nodes: int) -> float:
        """Return the seconds between two usage reports.

        It grows with the number of peers, which keeps the packet rate bounded.
        """
        return max(
            self._config.min_report_interval_s,
            self._config.report_interval_per_peer_s * count_peers(nodes),
        )

    def set_capacity(self, model: str, slots: int) -> list[QueueEntry]:
        """Set how many requests of a model may be in progress on this node.

        Fewer slots take effect as requests end; more slots are filled at once.
        """
        self._slots[model] = slots
        queue = self._queues.get(model)
        if queue is None:
            return []
        queue.slots = slots
        changed = queue.grant_free_slots(trio.current_time()) if queue.queued else []
        _wake_entries(changed)
        return changed

    @asynccontextmanager
    async def enter(self, request: AdmitRequest):
        """Wait for a slot; leaving the context frees it at once, also on cancellation.

        :returns: a context manager that yields a :class:`Ticket`, or a ``Failure`` of kind
            ``RATE_LIMITED``, ``MODEL_NOT_ALLOWED``, ``QUEUE_FULL`` or ``DEADLINE_UNREACHABLE``
        """
        entry = self.offer(request, trio.current_time())
        if isinstance(entry, Failure):
            yield entry
            return
        ticket = Ticket(request)
        try:
            if entry.state == "queued":
                entry.wake_event = trio.Event()
                with trio.move_on_at(math.inf if entry.deadline is None else entry.deadline):
                    await entry.wake_event.wait()
            if entry.state == "running":
                yield ticket
            else:
                yield self._make_late_failure(request)
        finally:
            _wake_entries(self.finish(request, entry, ticket.tokens, trio.current_time()))

    def offer(self, request: AdmitRequest, now: float) -> QueueEntry | Failure:
        """Decide on a request, without I/O.

        :returns: an entry that is running or queued, or a failure. O(log n) with n organisations
            that have queued requests.
        """
        failure = self._limits.charge(request, self._get_coverage(now), now)
        if failure is not None:
            self._log.record("admit", failure.code, failure.reason, request=request.request)
            return failure
        rules = self._limits.organisation(request.organisation)
        queue = self._queues.get(request.model)
        if queue is None:
            slots = self._slots.get(request.model, self._config.default_slots)
            config = self._config
            queue = FairQueue(slots, config.max_queued_per_organisation, config.max_queued)
            self._queues[request.model] = queue
        deadline = None if request.deadline_s is None else now + request.deadline_s
        entry = QueueEntry(rules.name, rules.share, rules.priority, request.tokens, deadline)
        failure = queue.offer(entry, now)
        if failure is not None:
            self._limits.adjust_charge(rules.name, -request.tokens, -1.0)
            self._log.record("admit", failure.code, failure.reason, request=request.request)
            return failure
        self._log.record("admit", entry.state, "within limits", request=request.request)
        return entry

    def finish(self, request: AdmitRequest, entry: QueueEntry, tokens: int, now: float) -> list:
        """Free the slot of a request, or remove it from the queue.

        :param tokens: number of generated tokens
        :returns: requests that got a slot, or were dropped because they would miss their deadline
        """
        queue = self._queues[request.model]
        self._limits.adjust_charge(request.organisation, tokens - request.tokens)
        if entry.state == "queued":
            queue.cancel(entry)
            return []
        return queue.release(entry, tokens, now)

    def collect_usage(self, now: float) -> list[Usage]:
        """Return the rates of this node since the last call, for its usage report."""
        return self._limits.collect_usage(now)

    def record_peer_usage(self, node: str, usages, now: float, nodes: int = 1) -> None:
        """Record the usage report of another node.

        An empty report counts too: coverage includes each node whose reports arrive.

        :param nodes: number of nodes that the report covers
        """
        self._limits.record_peer_usage(node, usages, now, nodes)

    def _get_coverage(self, now: float) -> float:
        # Coverage changes with reports, not with requests, so a value up to 0.5 s old is used.
        if now - self._coverage_updated_at >= 0.5:
            self._coverage, self._coverage_updated_at = self._limits.compute_coverage(now), now
        return self._coverage

    def _make_late_failure(self, request: AdmitRequest) -> Failure:
        queue = self._queues[request.model]
        failure = DEADLINE_UNREACHABLE.because(
            f"waited in the queue of {request.model} until the deadline of "
            f"{request.deadline_s:g} s could not be met; {queue.queued} requests are queued",
            retry_after=round(queue.estimate_wait(QueueEntry("", 1.0, 0, request.tokens, None)), 3),
        )
        self._log.record("admit", failure.code, failure.reason, request=request.request)
        return failure


def _wake_entries(entries) -> None:
    for entry in entries:
        if entry.wake_event is not None:
            entry.wake_event.set()
