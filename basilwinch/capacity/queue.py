"""Queue of the requests of one service that wait for capacity of a chain."""

import bisect
import heapq
import math

from basilwinch.capacity.entry import CapacityEntry, EntryState
from basilwinch.capacity.rate import StartRate
from basilwinch.capacity.start_tags import StartTags
from basilwinch.exception import QUEUE_FULL, Failure

__all__ = ["CapacityQueue"]

# Median of the time to the next start in mean times between starts, for starts at random times. A
# request is refused if its start in time is less likely than not.
_MEDIAN_INTERVAL = 0.7
# Standard deviations of the time until a request starts that are added to its estimate at arrival,
# where a refusal costs its caller least. In a trial with arrivals of three times the capacity, 176
# of 6,004 refusals came after more than 1 s of waiting, instead of 421 of 5,999 without it.
_ARRIVAL_DEVIATIONS = 1.5
# Starts of more urgent new requests after which a waiting less urgent one is tried first, so that
# each priority keeps about a tenth of the starts, however many urgent requests there are.
_MAX_STARTS_PASSED = 9
# Bounds of the base of Retry-After in seconds. A caller that comes back earlier finds the same
# queue; most callers come back to another node, whose queue this node's estimate does not describe.
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 8.0
_RETRY_AFTER_SPREAD = (1.0, 2.0)  # factor drawn at random, so that callers don't return together
# Start tags of one urgency are pruned above this number, or twice the number that was left by the
# last time; a tag takes about 100 bytes.
_MIN_PRUNED_TAGS = 256
_UNMEASURED_RETRY_AFTER_S = (0.5, 2.0)  # drawn at random while no rate has been measured


class _Flow:
    """Waiting requests of one organisation and urgency, the caller that leaves first at the head.

    Each item of ``items`` is a tuple of the time at which the caller leaves, a sequence number and
    the entry.
    """

    __slots__ = ("start_tag", "items")

    def __init__(self, start_tag: float):
        self.start_tag = start_tag
        self.items: list[tuple[float, int, CapacityEntry]] = []


class _Class:
    """Requests of one urgency.

    ``passed`` counts the starts of more urgent new requests since the last start here, whether
    requests wait or not: a request that is refused at arrival would otherwise never have its turn.
    """

    __slots__ = ("flows", "tags", "max_tags", "waiting", "rate", "passed")

    def __init__(self):
        self.flows: dict = {}
        self.tags = StartTags()
        self.max_tags = _MIN_PRUNED_TAGS
        self.waiting = 0
        self.rate = StartRate()
        self.passed = 0

    def prune_tags(self) -> None:
        """Drop start tags that delay no request, and all of them if no request waits."""
        self.tags.prune()
        if not self.flows:
            self.tags.clear()
        self.max_tags = max(_MIN_PRUNED_TAGS, 2 * len(self.tags))

    def iter_in_order(self):
        """Yield the waiting entries by start tag, then by the time at which their callers leave."""
        heap = [(flow.start_tag, *flow.items[0][:2], 0, name) for name, flow in self.flows.items()]
        heapq.heapify(heap)
        while heap:
            start_tag, _, _, index, name = heap[0]
            items = self.flows[name].items
            entry = items[index][2]
            yield entry
            if index + 1 == len(items):
                heapq.heappop(heap)
                continue
            following = (start_tag + entry.tokens, *items[index + 1][:2], index + 1, name)
            heapq.heapreplace(heap, following)


class CapacityQueue:
    """Orders the requests of a service, and decides how long they wait.

    The order is: responses that have begun; a less urgent request whose turn has come after
    :data:`_MAX_STARTS_PASSED` more urgent ones; priority; start tags of organisations; time at
    which the caller leaves. All state belongs to one node.

    :param rng: random numbers for Retry-After

    Notes
    -----
    Joining takes time linear in the organisations that wait with the same urgency, and listing
    O(n log n) for n waiting requests.
    """

    __slots__ = (
        "_rng",
        "_classes",
        "_urgencies",
        "_rate",
        "_sequence",
        "waiting",
        "has_priorities",
    )

    def __init__(self, rng):
        #: Whether the configuration has several priorities. With a single one, requests wait for at
        #: most half of their objective, and none is refused by an estimate.
        self.has_priorities = True
        self._rng = rng
        self._classes: dict[tuple, _Class] = {}
        self._urgencies: list[tuple] = []  # keys of _classes, the most urgent first
        self._rate = StartRate()
        self._sequence = 0
        self.waiting = 0

    def join(self, entry: CapacityEntry, now: float, may_start=None):
        """Admit a new request, queue it, or refuse it.

        :param now: time in seconds
        :param may_start: function of a priority, see :meth:`list_ready`
        :returns: the new state of the entry, or a failure with ``retry_after``; an admitted entry
            may try for a path at once, and is passed to :meth:`enqueue` if there is none
        """
        if not self._is_behind_others(entry, may_start):
            entry.state = EntryState.ADMITTED
            return entry.state
        return self.enqueue(entry, now)

    def enqueue(self, entry: CapacityEntry, now: float) -> EntryState | Failure:
        """Queue a request, or refuse it if it can't be served in time."""
        entry.joined_at = now
        class_ = self._get_class(entry.urgency)
        entry.position = self._count_ahead(class_, entry)
        failure = self._find_refusal(
            entry, entry.position, self._count_own_ahead(class_, entry), now
        )
        if failure is not None:
            entry.state = EntryState.GONE
            return failure
        flow = class_.flows.get(entry.organisation)
        if flow is None:
            flow = _Flow(class_.tags.compute_start(entry.organisation))
            class_.flows[entry.organisation] = flow
        self._sequence += 1
        bisect.insort(flow.items, (entry.leave_at, self._sequence, entry))
        entry.state = EntryState.QUEUED
        self._change_waiting(class_, 1, now)
        return entry.state

    def leave(self, entry: CapacityEntry, now: float) -> None:
        """Remove a request that has not started, if it is queued."""
        if entry.state is EntryState.QUEUED:
            self._remove(entry, now)
        entry.state = EntryState.GONE

    def record_start(self, entry: CapacityEntry, now: float) -> None:
        """Record that a request has got a path, and remove it if it was queued."""
        class_ = self._get_class(entry.urgency)
        start_tag = class_.tags.compute_start(entry.organisation)
        flow = class_.flows.get(entry.organisation)
        if flow is not None:
            start_tag = flow.start_tag
        class_.tags.advance(start_tag)
        finish_tag = class_.tags.charge(entry.organisation, start_tag, entry.tokens)
        if flow is not None:
            flow.start_tag = finish_tag
        self._rate.record_start(now)
        class_.rate.record_start(now)
        class_.passed = 0
        if not entry.has_begun:
            for urgency in self._urgencies[bisect.bisect(self._urgencies, entry.urgency) :]:
                self._classes[urgency].passed += 1
        if entry.state is EntryState.QUEUED:
            self._remove(entry, now)
        entry.state = EntryState.GONE
        if len(class_.tags) > class_.max_tags:
            class_.prune_tags()

    def list_ready(self, now: float, may_start=None) -> list[CapacityEntry]:
        """Return the waiting requests in the order in which they try for a path.

        :param may_start: function of a priority; new requests of a priority for which it returns
            False are left out; None if nothing is reserved
        """
        ready = []
        for urgency in self._list_urgencies():
            class_ = self._classes[urgency]
            if class_.waiting and _is_allowed(urgency, may_start):
                ready.extend(class_.iter_in_order())
        return ready

    def refuse_late(self, now: float) -> list[tuple[CapacityEntry, Failure]]:
        """Remove the requests that can't be served in time any more.

        :returns: pairs of a request and why it is refused
        """
        refused = []
        ahead = 0
        for urgency in self._list_urgencies():
            own_ahead = 0
            for entry in self._classes[urgency].iter_in_order():
                failure = self._find_refusal(entry, ahead, own_ahead, now)
                if failure is None:
                    ahead += 1
                    own_ahead += 1
                else:
                    refused.append((entry, failure))
        for entry, _ in refused:
            self.leave(entry, now)
        return refused

    def is_measured(self, now: float) -> bool:
        """Return whether the rate of starts is measured."""
        return self.has_priorities and self._rate.read(now) is not None

    def refuse(self, entry: CapacityEntry, now: float) -> Failure:
        """Remove a request whose time has passed, and return why it is refused."""
        waited_s = now - entry.joined_at
        self.leave(entry, now)
        rate = self._read_rate(entry, now)
        return QUEUE_FULL.because(
            f"no chain had free KV cache for {entry.tokens} tokens within {waited_s:.2f} s, with "
            f"{entry.position} requests ahead at arrival",
            self._draw_retry_after(None if rate is None else _MEDIAN_INTERVAL / rate),
            cause="late" if self.is_measured(now) or entry.has_begun else "unmeasured",
        )

    def estimate_wait(self, entry: CapacityEntry, now: float) -> float | None:
        """Return the expected wait of a new request in seconds, None if no rate is measured."""
        class_ = self._get_class(entry.urgency)
        return self._estimate(
            entry, self._count_ahead(class_, entry), self._count_own_ahead(class_, entry), now
        )

    def prune(self, now: float) -> None:
        """Drop the state of urgencies and organisations that does not matter any more."""
        for urgency in list(self._urgencies):
            class_ = self._classes[urgency]
            if not class_.waiting and class_.rate.read(now) is None:
                del self._classes[urgency]
                self._urgencies.remove(urgency)

    def _is_behind_others(self, entry: CapacityEntry, may_start) -> bool:
        """Return whether a new request may not try for a path before others do.

        Requests of at least its urgency wait, or less urgent ones whose turn it is, or its priority
        is held back.
        """
        if not entry.has_begun and not _is_allowed(entry.urgency, may_start):
            return True
        for urgency, class_ in self._classes.items():
            if class_.waiting and urgency <= entry.urgency:
                return True
            if not entry.has_begun and _has_turn(class_) and _is_allowed(urgency, may_start):
                return True
        return False

    def _list_urgencies(self) -> list[tuple]:
        """Return the urgencies in order, those first whose turn has come."""
        return sorted(self._urgencies, key=lambda u: (u[0], not _has_turn(self._classes[u]), u))

    def _get_class(self, urgency: tuple) -> _Class:
        class_ = self._classes.get(urgency)
        if class_ is None:
            class_ = self._classes[urgency] = _Class()
            bisect.insort(self._urgencies, urgency)
        return class_

    def _count_ahead(self, class_: _Class, entry: CapacityEntry) -> int:
        more_urgent = self._urgencies[: bisect.bisect_left(self._urgencies, entry.urgency)]
        own_ahead = self._count_own_ahead(class_, entry)
        return sum(self._classes[urgency].waiting for urgency in more_urgent) + own_ahead

    def _count_own_ahead(self, class_: _Class, entry: CapacityEntry) -> int:
        """Return how many requests of the same urgency start before a new one.

        Each other organisation gets about as many starts as this one, or as many as it waits for.
        """
        flow = class_.flows.get(entry.organisation)
        earlier = bisect.bisect(flow.items, (entry.leave_at, self._sequence + 1)) if flow else 0
        others = sum(
            min(len(other.items), earlier + 1)
            for other in class_.flows.values()
            if other is not flow
        )
        return earlier + others

    def _find_refusal(self, entry, ahead: int, own_ahead: int, now: float) -> Failure | None:
        """Return why a request is refused now, or None if it may wait."""
        if entry.has_begun:
            return None  # its caller can't repeat it, so it waits until the caller leaves
        wait_s = self._estimate(entry, ahead, own_ahead, now)
        if wait_s is None:
            if now < entry.unmeasured_until:
                return None
            return QUEUE_FULL.because(
                f"no chain had free KV cache for {entry.tokens} tokens within "
                f"{now - entry.joined_at:.2f} s; {ahead} requests ahead, no rate of starts is "
                f"measured",
                self._draw_retry_after(None),
                cause="unmeasured",
            )
        left_s = entry.latest_start - now
        if wait_s <= left_s:
            return None
        if not ahead and now < entry.unmeasured_until:
            # The rate is measured only while a request waits, so the first one waits in any case.
            return None
        return QUEUE_FULL.because(
            f"expected wait of {wait_s:.2f} s with {ahead} requests ahead is longer than the "
            f"{max(left_s, 0.0):.2f} s left for a useful start",
            self._draw_retry_after(wait_s - left_s),
            cause="estimate",
        )

    def _estimate(self, entry, ahead: int, own_ahead: int, now: float) -> float | None:
        """Return the expected wait in seconds, None if no rate is measured.

        The rate of a priority's own starts shows what more urgent arrivals and the reserve leave
        to it, and the rate of all starts what a queue ahead takes. In any case the priority gets
        its turns.
        """
        rate = self._rate.read(now) if self.has_priorities else None
        if rate is None:
            return None
        # What is still uncertain counts at arrival only: a refusal costs nothing then.
        is_new = entry.state is not EntryState.QUEUED
        margin = _ARRIVAL_DEVIATIONS if is_new else 0.0
        wait_s = _divide(_add_margin(ahead, margin), rate)
        class_ = self._classes[entry.urgency]
        own_rate = class_.rate.read(now)
        if own_rate is not None:
            wait_s = max(wait_s, _divide(_add_margin(own_ahead, margin), own_rate))
        until_turn = max(0, _MAX_STARTS_PASSED - class_.passed)
        starts = until_turn + own_ahead * (_MAX_STARTS_PASSED + 1)
        return min(wait_s, _divide(_add_margin(starts, margin), rate))

    def _read_rate(self, entry: CapacityEntry, now: float) -> float | None:
        """Return the rate of starts that applies to a request, None if it is unmeasured or 0."""
        own_rate = self._get_class(entry.urgency).rate.read(now)
        return (self._rate.read(now) if own_rate is None else own_rate) or None

    def _draw_retry_after(self, wait_s: float | None) -> float:
        if wait_s is None:
            return self._rng.uniform(*_UNMEASURED_RETRY_AFTER_S)
        base_s = min(max(wait_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
        return base_s * self._rng.uniform(*_RETRY_AFTER_SPREAD)

    def _remove(self, entry: CapacityEntry, now: float) -> None:
        class_ = self._classes[entry.urgency]
        flow = class_.flows[entry.organisation]
        index = bisect.bisect_left(flow.items, (entry.leave_at,))
        while flow.items[index][2] is not entry:
            index += 1
        del flow.items[index]
        if not flow.items:
            del class_.flows[entry.organisation]
        self._change_waiting(class_, -1, now)

    def _change_waiting(self, class_: _Class, change: int, now: float) -> None:
        class_.waiting += change
        self.waiting += change
        class_.rate.set_waiting(class_.waiting > 0, now)
        self._rate.set_waiting(self.waiting > 0, now)


def _is_allowed(urgency: tuple, may_start) -> bool:
    """Return whether requests of an urgency may start; responses that have begun always may."""
    is_new, priority = urgency
    return not is_new or may_start is None or may_start(priority)


def _has_turn(class_: _Class) -> bool:
    return class_.waiting > 0 and class_.passed >= _MAX_STARTS_PASSED


def _add_margin(starts: int, deviations: float) -> float:
    """Return a number of intervals between starts, for so many starts and the next one."""
    return starts + _MEDIAN_INTERVAL + deviations * math.sqrt(starts)


def _divide(count: float, rate: float) -> float:
    return count / rate if rate else float("inf")
