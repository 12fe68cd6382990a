"""Weighted fair queue of one model."""

import heapq
from collections import deque

from basilwinch.capacity.start_tags import StartTags
from basilwinch.exception import DEADLINE_UNREACHABLE, QUEUE_FULL, Failure

__all__ = ["FairQueue", "QueueEntry"]

# Weight of a new sample in the moving average of the service time.
_SERVICE_TIME_SMOOTHING_WEIGHT = 0.05
# With more flows than this, the wait is estimated in constant time from totals instead of from each
# flow.
_MAX_FLOWS_SUMMED = 64


class QueueEntry:
    """A request in the queue or in progress.

    :param organisation: name of the organisation
    :param share: weight of the organisation
    :param priority: larger goes first among equal start tags
    :param tokens: expected tokens, used as the cost of the request
    :param deadline: time at which the response must be complete, or None
    """

    __slots__ = (
        "organisation",
        "share",
        "priority",
        "tokens",
        "deadline",
        "state",
        "start_tag",
        "granted_at",
        "wake_event",
    )

    def __init__(self, organisation, share, priority, tokens, deadline):
        self.organisation = organisation
        self.share = max(share, 1e-6)
        self.priority = priority
        self.tokens = max(tokens, 1)
        self.deadline = deadline
        self.state = "new"
        self.start_tag = 0.0
        self.granted_at = 0.0
        self.wake_event = None


class _Flow:
    """Queued requests of one organisation."""

    __slots__ = ("entries", "queued", "tokens", "share")

    def __init__(self):
        self.entries: deque[QueueEntry] = deque()
        self.queued = 0
        self.tokens = 0
        self.share = 1.0


class FairQueue:
    """Start-time fair queueing of requests for a number of slots, see :class:`StartTags`.

    Each organisation gets slots in proportion to its share while it has queued requests; among
    equal start tags, the higher priority goes first.

    :param slots: largest number of requests in progress
    :param max_queued_per_organisation: largest number of queued requests of one organisation
    :param max_queued: largest number of queued requests

    Notes: O(log n) for each request, with n organisations that have queued requests. Cancelled
    requests are removed when they reach the head of their queue.
    """

    __slots__ = (
        "slots",
        "running",
        "queued",
        "_max_queued_per_organisation",
        "_max_queued",
        "_flows",
        "_heap",
        "_sequence",
        "_tags",
        "_backlogged_shares",
        "_queued_tokens",
        "_service_s_per_token",
    )

    def __init__(self, slots: int, max_queued_per_organisation: int, max_queued: int):
        self.slots = slots
        self.running = 0
        self.queued = 0
        self._max_queued_per_organisation = max_queued_per_organisation
        self._max_queued = max_queued
        self._flows: dict[str, _Flow] = {}
        self._heap: list[tuple] = []
        self._sequence = 0
        self._tags = StartTags()
        self._backlogged_shares = 0.0
        self._queued_tokens = 0
        self._service_s_per_token = 0.0

    def offer(self, entry: QueueEntry, now: float) -> Failure | None:
        """Grant a slot to the request, queue it, or refuse it.

        :returns: None if ``entry.state`` is now ``running`` or ``queued``, else ``QUEUE_FULL`` or
            ``DEADLINE_UNREACHABLE`` with ``retry_after``
        """
        service_s = self._service_s_per_token * entry.tokens
        wait_s = self.estimate_wait(entry)
        if entry.deadline is not None and now + wait_s + service_s > entry.deadline:
            excess_s = now + wait_s + service_s - entry.deadline
            return DEADLINE_UNREACHABLE.because(
                f"expected {wait_s:.2f} s in the queue and {service_s:.2f} s of service, "
                f"{excess_s:.2f} s past the deadline",
                retry_after=round(max(excess_s, self._service_s_per_token), 3),
            )
        flow = self._flows.get(entry.organisation)
        if self.running < self.slots and not self.queued:
            self._assign_start_tag(flow, entry)
            self._tags.advance(entry.start_tag)
            self._grant(entry, now)
            return None
        if self.queued >= self._max_queued or (
            flow and flow.queued >= self._max_queued_per_organisation
        ):
            return QUEUE_FULL.because(
                f"{self.queued} of at most {self._max_queued} requests are queued, "
                f"{flow.queued if flow else 0} of at most {self._max_queued_per_organisation} "
                f"of {entry.organisation}",
                retry_after=round(max(wait_s, self._service_s_per_token), 3),
            )
        self._assign_start_tag(flow, entry)
        flow = self._flows[entry.organisation]
        if flow.queued == 0:
            self._backlogged_shares += entry.share
            flow.share = entry.share
        flow.queued += 1
        flow.tokens += entry.tokens
        self.queued += 1
        self._queued_tokens += entry.tokens
        entry.state = "queued"
        flow.entries.append(entry)
        if len(flow.entries) == 1:
            self._push(entry)
        return None

    def estimate_wait(self, entry: QueueEntry) -> float:
        """Return the estimated seconds that a new request would be queued."""
        if self.running < self.slots and not self.queued:
            return 0.0
        flow = self._flows.get(entry.organisation)
        backlog_tokens = flow.tokens if flow else 0
        if len(self._flows) <= _MAX_FLOWS_SUMMED:
            tokens = self._estimate_tokens_ahead(backlog_tokens, entry)
        else:
            backlogged_shares = self._backlogged_shares + (0.0 if backlog_tokens else entry.share)
            # The organisation's own backlog is served at its share, and the wait never exceeds the
            # time to serve the whole queue.
            tokens = min(backlog_tokens * backlogged_shares / entry.share, self._queued_tokens)
        return (tokens + entry.tokens) * self._service_s_per_token / max(self.slots, 1)

    def _estimate_tokens_ahead(self, backlog_tokens: float, entry: QueueEntry) -> float:
        """Return the tokens served until an organisation's own backlog has been served.

        Each other organisation counts with at most its backlog. Counting it as backlogged for the
        whole time would make the estimate up to twice too long and refuse requests that would be
        answered in time.
        """
        return sum(
            min(flow.tokens, backlog_tokens * flow.share / entry.share)
            for flow in self._flows.values()
        )

    def cancel(self, entry: QueueEntry) -> None:
        """Remove a request from the queue."""
        if entry.state == "queued":
            entry.state = "gone"
            self._remove_from_counts(entry)

    def release(self, entry: QueueEntry, tokens: int, now: float) -> list[QueueEntry]:
        """Free the slot of a request in progress.

        :param tokens: tokens that it generated
        :returns: requests whose state changed to ``running`` or ``late``
        """
        if entry.state == "running":
            entry.state = "done"
            self.running -= 1
            if tokens:
                sample = (now - entry.granted_at) / tokens
                weight = _SERVICE_TIME_SMOOTHING_WEIGHT if self._service_s_per_token else 1.0
                self._service_s_per_token += weight * (sample - self._service_s_per_token)
        return self.grant_free_slots(now)

    def grant_free_slots(self, now: float) -> list[QueueEntry]:
        """Grant free slots in order of start tags; drop requests that would miss their deadline.

        :returns: requests whose state changed to ``running`` or ``late``
        """
        changed = []
        while self._heap and self.running < self.slots:
            entry = heapq.heappop(self._heap)[-1]
            flow = self._flows[entry.organisation]
            flow.entries.popleft()
            if entry.state == "queued":
                changed.append(entry)
                self._remove_from_counts(entry)
                if entry.deadline is not None and (
                    now + self._service_s_per_token * entry.tokens > entry.deadline
                ):
                    # Running it would use a slot for a response that comes after the deadline.
                    entry.state = "late"
                else:
                    self._tags.advance(entry.start_tag)
                    self._grant(entry, now)
            if flow.entries:
                self._push(flow.entries[0])
        if not self.running and not self._heap:
            self._flows.clear()
            self._tags.clear()
        elif len(self._flows) > 64 and len(self._flows) > 4 * (len(self._heap) + self.slots):
            # Flows without requests do not affect start tags once their finish tag has passed.
            self._flows = {
                name: flow
                for name, flow in self._flows.items()
                if flow.entries or self._tags.is_ahead(name)
            }
            self._tags.prune()
        return changed

    def _assign_start_tag(self, flow: _Flow | None, entry: QueueEntry) -> None:
        if flow is None:
            self._flows[entry.organisation] = _Flow()
        entry.start_tag = self._tags.compute_start(entry.organisation)
        self._tags.charge(entry.organisation, entry.start_tag, entry.tokens / entry.share)

    def _push(self, entry: QueueEntry) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (entry.start_tag, -entry.priority, self._sequence, entry))

    def _grant(self, entry: QueueEntry, now: float) -> None:
        entry.state = "running"
        entry.granted_at = now
        self.running += 1

    def _remove_from_counts(self, entry: QueueEntry) -> None:
        flow = self._flows[entry.organisation]
        flow.queued -= 1
        flow.tokens -= entry.tokens
        self.queued -= 1
        self._queued_tokens -= entry.tokens
        if flow.queued == 0:
            self._backlogged_shares = (
                max(0.0, self._backlogged_shares - flow.share) if self.queued else 0.0
            )
