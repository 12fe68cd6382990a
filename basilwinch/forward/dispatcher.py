"""Wait of requests for a path, in the order of their queue."""

import structlog
import trio

from basilwinch.capacity import (
    CapacityEntry,
    CapacityQueue,
    EntryState,
    PriorityReserve,
    SearchResult,
    compute_free_fraction,
    run_round,
)
from basilwinch.exception import Failure

__all__ = ["PathDispatcher"]

_CAPACITY_POLL_S = 0.1  # capacity that other nodes release is not signalled here
_MIN_ROUND_PAUSE_S = 0.01  # many requests may end at once; one round serves them all
# The same for each waiting request. A round takes 2 to 5 us for each, so at most 5% of a core.
_ROUND_PAUSE_PER_REQUEST_S = 0.0001
# The free memory is computed again after this time, or this time for each server of the service if
# that is longer. Computing it takes 2 to 3 us a server, so at most 2% of a core.
_FREE_MEMORY_TTL_S = 0.2
_FREE_MEMORY_TTL_PER_SERVER_S = 0.00015
_PRUNE_INTERVAL_S = 5.0  # state that does not matter any more takes little memory


class PathDispatcher:
    """Lets the requests of this node try for a path in the order of one queue a service.

    :param view: :class:`~basilwinch.view.View`
    :param load: :class:`~basilwinch.chains.load.FleetLoad`
    :param metrics: :class:`~basilwinch.entry.metrics.Metrics`
    :param rng: random numbers for Retry-After
    """

    __slots__ = ("_view", "_load", "_metrics", "_rng", "_queues", "_joined", "_released", "_log")

    def __init__(self, view, load, metrics, rng):
        self._view = view
        self._load = load
        self._metrics = metrics
        self._rng = rng
        self._queues: dict[str, _ServiceQueue] = {}
        self._joined = trio.Event()
        self._released = trio.Event()
        self._log = structlog.get_logger("capacity")
        metrics.set_capacity_queue(self.count_waiting)

    def count_waiting(self) -> int:
        """Return the number of requests that wait for a path."""
        return sum(service.queue.waiting for service in self._queues.values())

    def signal_release(self) -> None:
        """Let waiting requests try again, as capacity was released at this node."""
        self._released.set()

    async def take(self, service, entry: CapacityEntry, search):
        """Return what a search has found, after a wait if necessary, or a failure.

        :param service: :class:`~basilwinch.view.Service` of the request
        :param entry: the request, which must be new
        :param search: function that returns a pair: a
            :class:`~basilwinch.capacity.SearchResult`, and what it has found or why the request
            ended
        """
        queue = self._get_queue(service)
        state = queue.join(entry)
        if state is EntryState.ADMITTED:
            result, found = search()
            if result is SearchResult.STARTED:
                queue.record_immediate_start(entry)
                return found
            if result is SearchResult.ENDED:
                return found
            queue.record_result(entry, result)
            state = queue.queue.enqueue(entry, trio.current_time())
        if isinstance(state, Failure):
            self._record_refusal(service, entry, state)
            return state
        return await self._wait(service, queue, _Waiter(entry, search))

    async def run(self) -> None:
        """Let waiting requests try for paths, until cancelled."""
        pruned_at = trio.current_time()
        while True:
            if not self.count_waiting():
                await self._joined.wait()
                self._joined = trio.Event()
            with trio.move_on_after(_CAPACITY_POLL_S):
                await self._released.wait()
            self._released = trio.Event()
            for service in self._queues.values():
                self._run_round(service)
            now = trio.current_time()
            if now - pruned_at > _PRUNE_INTERVAL_S:
                pruned_at = now
                self._prune(now)
            waiting = self.count_waiting()
            await trio.sleep(max(_MIN_ROUND_PAUSE_S, _ROUND_PAUSE_PER_REQUEST_S * waiting))

    def _run_round(self, service: "_ServiceQueue") -> None:
        try:
            may_go_on, refused = service.run_round()
        except Exception:
            # The node goes on; requests that wait are still refused when their time has passed.
            self._log.exception("round of the capacity queue failed", service=service.service.name)
            return
        for entry, failure in refused:
            self._record_refusal(service.service, entry, failure)
        if may_go_on:
            self._released.set()

    async def _wait(self, service, queue, waiter):
        entry = waiter.entry
        queue.waiters[entry] = waiter
        self._joined.set()
        if queue.may_find_path(entry):
            self._released.set()
        self._log.info(
            "request queued",
            request=entry.request,
            service=service.name,
            priority=entry.priority,
            has_begun=entry.has_begun,
            ahead=entry.position,
            tokens=entry.tokens,
        )
        try:
            await self._wait_until_late(queue.queue, waiter)
        finally:
            del queue.waiters[entry]
            now = trio.current_time()
            queue.queue.leave(entry, now)
        if not waiter.done.is_set():
            failure = queue.queue.refuse(entry, now)
            self._record_refusal(service, entry, failure)
            return failure
        if waiter.error is not None:
            raise waiter.error
        if waiter.is_started:
            wait_s = now - entry.joined_at
            self._metrics.count_capacity_wait(wait_s)
            self._log.info(
                "request started after a wait",
                request=entry.request,
                service=service.name,
                priority=entry.priority,
                wait_s=round(wait_s, 3),
                ahead=entry.position,
                overtaken=entry.overtaken,
            )
        return waiter.found

    async def _wait_until_late(self, queue: CapacityQueue, waiter: "_Waiter") -> None:
        """Wait until a request has started or ended, or its time has passed."""
        entry = waiter.entry
        if not entry.has_begun:
            with trio.move_on_at(entry.unmeasured_until):
                await waiter.done.wait()
                return
            if not queue.is_measured(trio.current_time()):
                return
        with trio.move_on_at(entry.latest_start):
            await waiter.done.wait()

    def _record_refusal(self, service, entry, failure: Failure) -> None:
        cause = failure.detail.get("cause", failure.code)
        self._metrics.count_capacity_refusal(cause)
        self._log.info(
            "request refused by the capacity queue",
            request=entry.request,
            service=service.name,
            priority=entry.priority,
            cause=cause,
            reason=failure.reason,
            retry_after_s=round(failure.retry_after, 3),
        )

    def _get_queue(self, service) -> "_ServiceQueue":
        queue = self._queues.get(service.name)
        if queue is None:
            queue = self._queues[service.name] = _ServiceQueue(
                service, self._view, self._load, self._rng, self._log
            )
        queue.service = service  # the engine may have changed with the configuration
        return queue

    def _prune(self, now: float) -> None:
        configuration = self._view.configuration
        for name, service in list(self._queues.items()):
            service.queue.prune(now)
            if not service.queue.waiting and name not in configuration.services:
                del self._queues[name]


class _Waiter:
    """A request that waits, and what its search has found."""

    __slots__ = ("entry", "_search", "done", "found", "error", "is_started")

    def __init__(self, entry: CapacityEntry, search):
        self.entry = entry
        self._search = search
        self.done = trio.Event()
        self.found = None
        self.error: Exception | None = None
        self.is_started = False

    def search(self) -> SearchResult:
        """Search for a path, and wake the request if it has one or ends."""
        try:
            result, self.found = self._search()
        except Exception as error:
            # Raised again in the task of the request, which logs it; other requests go on.
            self.error = error
            result = SearchResult.ENDED
        self.is_started = result is SearchResult.STARTED
        if self.is_started or result is SearchResult.ENDED:
            self.done.set()
        return result

    def end(self, failure: Failure) -> None:
        """Wake the request with a failure."""
        self.found = failure
        self.done.set()


class _ServiceQueue:
    """Queue and reserve of a service, with the requests that wait."""

    __slots__ = (
        "service",
        "queue",
        "waiters",
        "_reserve",
        "_version",
        "_view",
        "_load",
        "_free_fraction",
        "_free_until",
        "_least_failed",
        "_log",
    )

    def __init__(self, service, view, load, rng, log):
        self.service = service
        self.queue = CapacityQueue(rng)
        self.waiters: dict[CapacityEntry, _Waiter] = {}
        self._reserve = PriorityReserve()
        self._version = None
        self._view = view
        self._load = load
        self._free_fraction = 1.0
        self._free_until = float("-inf")
        self._least_failed = float("inf")  # tokens that found no path in the last round
        self._log = log

    def join(self, entry: CapacityEntry):
        """Admit, queue or refuse a new request; see :meth:`CapacityQueue.join`."""
        self._update_priorities()
        if not self.queue.waiting:
            self._least_failed = float("inf")
        if not entry.has_begun:
            self._reserve.record_request(entry.priority)
        return self.queue.join(entry, trio.current_time(), self._may_start)

    def record_immediate_start(self, entry: CapacityEntry) -> None:
        """Record that an admitted request has got a path without a wait."""
        if not entry.has_begun:
            self._reserve.record_start(entry.priority)
        self.queue.record_start(entry, trio.current_time())

    def record_result(self, entry: CapacityEntry, result: SearchResult) -> None:
        """Record what became of a search."""
        if result is SearchResult.NO_PATH:
            self._least_failed = min(self._least_failed, entry.tokens)

    def may_find_path(self, entry: CapacityEntry) -> bool:
        """Return whether a request that was queued may find a path before capacity is released.

        Those ahead of it may need more memory, or wait for something else than memory.
        """
        return entry.tokens < self._least_failed

    def run_round(self) -> tuple[bool, list]:
        """Let requests try for a path.

        :returns: whether further ones may find one at once, and pairs of a request that is refused
            and the failure
        """
        if not self.queue.waiting:
            return False, []
        self._update_priorities()
        now = trio.current_time()
        self._least_failed = float("inf")
        may_go_on = run_round(self.queue, now, self._search, self._may_start)
        refused = self.queue.refuse_late(now)
        for entry, failure in refused:
            self.waiters[entry].end(failure)
        return may_go_on, refused

    def _search(self, entry: CapacityEntry) -> SearchResult:
        if not entry.has_begun and not self._may_start(entry.priority):
            return SearchResult.BLOCKED  # the share of its priority has been used up in this round
        result = self.waiters[entry].search()
        self.record_result(entry, result)
        if result is SearchResult.STARTED and not entry.has_begun:
            self._reserve.record_start(entry.priority)
        return result

    def _may_start(self, priority: int) -> bool:
        if not self._reserve.is_needed:
            return True
        before, now = self._reserve.held_from, trio.current_time()
        free_fraction = self._read_free_fraction(now)
        may_start = self._reserve.may_start(priority, free_fraction, now)
        if self._reserve.held_from != before:
            self._log.info(
                "reserve for urgent requests changed",
                service=self.service.name,
                held_from_rank=self._reserve.held_from,
                former_rank=before,
                free_fraction=round(free_fraction, 3),
            )
        return may_start

    def _read_free_fraction(self, now: float) -> float:
        if now >= self._free_until:
            servers = self._view.by_service.get(self.service.name, [])
            ttl_s = max(_FREE_MEMORY_TTL_S, _FREE_MEMORY_TTL_PER_SERVER_S * len(servers))
            self._free_until = now + ttl_s
            self._free_fraction = compute_free_fraction(servers, self.service.engine, self._load)
        return self._free_fraction

    def _update_priorities(self) -> None:
        configuration = self._view.configuration
        if configuration is None or configuration.version == self._version:
            return
        self._version = configuration.version
        self._reserve.set_priorities(configuration.list_stream_priorities(self.service.name))
        self.queue.has_priorities = self._reserve.is_needed
