"""Weighted fair queue of one model."""

import heapq
from collections import deque

from basilwinch.exception import DEADLINE_UNREACHABLE, QUEUE_FULL, Failure

__all__ = ["FairQueue", "Waiting"]

# Weight of a new sample of the service time.
_LEARN = 0.05
# Up to this many waiting organisations the estimate is exact; beyond, it costs constant time.
_EXACT_FLOWS = 64


class Waiting:
    """A request in the queue or in progress.

    :param organisation: name
    :param share: weight of the organisation
    :param priority: larger goes first among equal start tags
    :param tokens: expected tokens, the cost in the queue
    :param deadline: time at which the response must be complete, or None
    """

    __slots__ = (
        "organisation",
        "share",
        "priority",
        "tokens",
        "deadline",
        "state",
        "start",
        "granted_at",
        "wake",
    )

    def __init__(self, organisation, share, priority, tokens, deadline):
        self.organisation = organisation
        self.share = max(share, 1e-6)
        self.priority = priority
        self.tokens = max(tokens, 1)
        self.deadline = deadline
        self.state = "new"
        self.start = 0.0
        self.granted_at = 0.0
        self.wake = None


class _Flow:
    """Waiting requests of one organisation."""

    __slots__ = ("waiting", "live", "tokens", "finish", "share")

    def __init__(self):
        self.waiting: deque[Waiting] = deque()
        self.live = 0
        self.tokens = 0
        self.finish = 0.0
        self.share = 1.0


class FairQueue:
    """Start-time fair queueing [1]_ of requests for a number of slots.

    Each organisation gets slots in proportion to its share while it has requests waiting; among
    equal start tags, the higher priority goes first.

    :param slots: requests in progress at most
    :param per_organisation: requests of one organisation that may wait
    :param total: requests that may wait

    Notes: O(log n) for each request with n organisations that wait. Cancelled requests are removed
    when they reach the head.

    .. [1] Goyal, Vin, Cheng, "Start-time fair queuing", SIGCOMM 1996.
    """

    __slots__ = (
        "slots",
        "running",
        "queued",
        "_per_organisation",
        "_total",
        "_flows",
        "_heap",
        "_sequence",
        "_virtual",
        "_shares",
        "_tokens",
        "_token_s",
    )

    def __init__(self, slots: int, per_organisation: int, total: int):
        self.slots = slots
        self.running = 0
        self.queued = 0
        self._per_organisation = per_organisation
        self._total = total
        self._flows: dict[str, _Flow] = {}
        self._heap: list[tuple] = []
        self._sequence = 0
        self._virtual = 0.0
        self._shares = 0.0
        self._tokens = 0
        self._token_s = 0.0

    def offer(self, entry: Waiting, now: float) -> Failure | None:
        """Grant a slot, queue the request, or refuse it.

        :returns: None if ``entry.state`` is now ``running`` or ``queued``, else ``QUEUE_FULL`` or
            ``DEADLINE_UNREACHABLE`` with ``retry_after``
        """
        service = self._token_s * entry.tokens
        wait = self.expected_wait(entry)
        if entry.deadline is not None and now + wait + service > entry.deadline:
            late = now + wait + service - entry.deadline
            return DEADLINE_UNREACHABLE.because(
                f"expected {wait:.2f} s in the queue and {service:.2f} s of service, "
                f"{late:.2f} s too long",
                retry_after=round(max(late, self._token_s), 3),
            )
        flow = self._flows.get(entry.organisation)
        if self.running < self.slots and not self.queued:
            self._start_tag(flow, entry)
            self._virtual = max(self._virtual, entry.start)
            self._grant(entry, now)
            return None
        if self.queued >= self._total or (flow and flow.live >= self._per_organisation):
            return QUEUE_FULL.because(
                f"{self.queued} requests wait, {flow.live if flow else 0} of {entry.organisation}",
                retry_after=round(max(wait, self._token_s), 3),
            )
        self._start_tag(flow, entry)
        flow = self._flows[entry.organisation]
        if flow.live == 0:
            self._shares += entry.share
            flow.share = entry.share
        flow.live += 1
        flow.tokens += entry.tokens
        self.queued += 1
        self._tokens += entry.tokens
        entry.state = "queued"
        flow.waiting.append(entry)
        if len(flow.waiting) == 1:
            self._push(entry)
        return None

    def expected_wait(self, entry: Waiting) -> float:
        """Return the expected seconds in the queue for a new request."""
        if self.running < self.slots and not self.queued:
            return 0.0
        flow = self._flows.get(entry.organisation)
        ahead = flow.tokens if flow else 0
        if len(self._flows) <= _EXACT_FLOWS:
            tokens = self._count_served_before(ahead, entry)
        else:
            shares = self._shares + (0.0 if ahead else entry.share)
            # Its own backlog is served at its share; it waits no longer than for the whole queue.
            tokens = min(ahead * shares / entry.share, self._tokens)
        return (tokens + entry.tokens) * self._token_s / max(self.slots, 1)

    def _count_served_before(self, ahead: float, entry: Waiting) -> float:
        """Return the tokens that fair queueing serves before an organisation's own backlog ends.

        An organisation with a short backlog takes no more than that. Counting it as backlogged all
        the time made the estimate up to twice too long, and requests were refused that would have
        come in time.
        """
        return sum(
            min(flow.tokens, ahead * flow.share / entry.share) for flow in self._flows.values()
        )

    def cancel(self, entry: Waiting) -> None:
        """Take a request out of the queue."""
        if entry.state == "queued":
            entry.state = "gone"
            self._leave(entry)

    def release(self, entry: Waiting, tokens: int, now: float) -> list[Waiting]:
        """Free the slot of a request in progress.

        :param tokens: tokens that it generated
        :returns: requests that got a slot
        """
        if entry.state == "running":
            entry.state = "done"
            self.running -= 1
            if tokens:
                sample = (now - entry.granted_at) / tokens
                weight = _LEARN if self._token_s else 1.0
                self._token_s += weight * (sample - self._token_s)
        return self.fill(now)

    def fill(self, now: float) -> list[Waiting]:
        """Grant free slots in order of start tags; requests that are too late are dropped.

        :returns: requests whose state changed to ``running`` or ``late``
        """
        changed = []
        while self._heap and self.running < self.slots:
            entry = heapq.heappop(self._heap)[-1]
            flow = self._flows[entry.organisation]
            flow.waiting.popleft()
            if entry.state == "queued":
                changed.append(entry)
                self._leave(entry)
                if entry.deadline is not None and (
                    now + self._token_s * entry.tokens > entry.deadline
                ):
                    # To run it would use a slot for a response that nobody waits for.
                    entry.state = "late"
                else:
                    self._virtual = max(self._virtual, entry.start)
                    self._grant(entry, now)
            if flow.waiting:
                self._push(flow.waiting[0])
        if not self.running and not self._heap:
            self._flows.clear()
            self._virtual = 0.0
        elif len(self._flows) > 64 and len(self._flows) > 4 * (len(self._heap) + self.slots):
            self._flows = {
                name: flow
                for name, flow in self._flows.items()
                if flow.waiting or flow.finish > self._virtual
            }
        return changed

    def _start_tag(self, flow: _Flow | None, entry: Waiting) -> None:
        if flow is None:
            flow = self._flows[entry.organisation] = _Flow()
        entry.start = max(self._virtual, flow.finish)
        flow.finish = entry.start + entry.tokens / entry.share

    def _push(self, entry: Waiting) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (entry.start, -entry.priority, self._sequence, entry))

    def _grant(self, entry: Waiting, now: float) -> None:
        entry.state = "running"
        entry.granted_at = now
        self.running += 1

    def _leave(self, entry: Waiting) -> None:
        flow = self._flows[entry.organisation]
        flow.live -= 1
        flow.tokens -= entry.tokens
        self.queued -= 1
        self._tokens -= entry.tokens
        if flow.live == 0:
            self._shares = max(0.0, self._shares - flow.share) if self.queued else 0.0
