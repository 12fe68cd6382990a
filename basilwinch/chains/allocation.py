"""Allocation of the requests of all availability zones to chains, free of I/O.

Each node computes the same allocation from the load reports and sends its requests in proportion to
it. The nodes together then move the load to where requests are done soonest, without all of them
taking the chain that is best at the moment of a report.
"""

import heapq
import math

from basilwinch.record import Record

__all__ = ["ChainState", "allocate_requests"]

# Load that is expected at least, as a fraction of what all chains can run. After a restart, and
# when a burst begins, the reports show less load than is about to come.
_MIN_EXPECTED_FRACTION = 0.5
# What a late response costs, in seconds of duration. It is above the difference between the fastest
# and the slowest chain, so a chain is filled beyond what is on time only when all others are.
_LATE_COST_S = 5.0
# Steps of an allocation, each for an equal number of requests. A chain gets several, so that the
# rounding to whole steps does not matter.
_MIN_STEPS = 96
_STEPS_PER_CHAIN = 4


class ChainState(Record):
    """What a request costs on a chain, and how many the chain can run.

    :param zone: availability zone of the first server, to which callers' nodes connect
    :param requests: requests on it
    :param max_requests: requests for which it has memory and slots, those on it included
    :param idle_s: duration of a request that runs alone, in seconds
    :param request_s: additional duration for each other request on the chain, in seconds
    :param on_time_requests: requests above which the gaps between events exceed their target
    """

    __slots__ = ("zone", "requests", "max_requests", "idle_s", "request_s", "on_time_requests")
    _defaults = {"on_time_requests": math.inf}

    def compute_duration_s(self, requests: float) -> float:
        """Return the duration of a request in seconds while a number of them run."""
        return self.idle_s + self.request_s * requests

    def compute_marginal_cost_s(self, requests: float) -> float:
        """Return by how much one more request raises the sum of all durations, in seconds.

        A request that makes gaps too long costs ``_LATE_COST_S`` more.
        """
        late_s = _LATE_COST_S if requests >= self.on_time_requests else 0.0
        return self.compute_duration_s(requests) + self.request_s * requests + late_s


def allocate_requests(
    chains: list[ChainState],
    demand: dict[str, float],
    horizon_s: float,
    crossing_cost_s: float,
) -> dict[str, list[float]]:
    """Return how many requests of each zone are to start on each chain within a time.

    As many requests start as end within that time. Each is placed where it adds least to the sum of
    all durations, on top of the requests that go on; outside of its own zone it also costs
    ``crossing_cost_s``. So a zone sends requests away only while that saves more than the crossing
    costs, and stops once the other zone's chains are as busy.

    :param chains: chains of a service
    :param demand: requests in progress by the zone of their node
    :param horizon_s: time until the nodes know the load that results, in seconds
    :param crossing_cost_s: what a request must save to be sent to another zone, in seconds
    :returns: requests by zone and chain, in the order of ``chains``

    Notes
    -----
    Water-filling in steps of equal size, in turn by zone, with a heap of the chains of each zone:
    O(s * (z + log c)) for s steps, z zones and c chains.
    """
    loads = [_compute_remaining(chain, horizon_s) for chain in chains]
    running = sum(chain.requests for chain in chains)
    expected = _MIN_EXPECTED_FRACTION * sum(chain.max_requests for chain in chains)
    arriving = max(1.0, running - sum(loads), expected - running)
    total = sum(demand.values())
    shares = {zone: requests / total for zone, requests in demand.items()} if total else {}
    allocation = {zone: [0.0] * len(chains) for zone in shares}
    heaps: dict[str, list[tuple[float, int]]] = {}
    for index, chain in enumerate(chains):
        cost = chain.compute_marginal_cost_s(loads[index])
        heaps.setdefault(chain.zone, []).append((cost, index))
    for heap in heaps.values():
        heapq.heapify(heap)
    steps = max(_MIN_STEPS, _STEPS_PER_CHAIN * len(chains))
    step = arriving / steps
    credit = dict.fromkeys(shares, 0.0)
    for _ in range(steps):
        for zone, share in shares.items():
            credit[zone] += share
        zone = max(credit, key=credit.get)
        credit[zone] -= 1.0
        index = _take_cheapest(heaps, zone, crossing_cost_s)
        while index is not None and loads[index] + step > chains[index].max_requests:
            index = _take_cheapest(heaps, zone, crossing_cost_s)
        if index is None:
            break
        loads[index] += step
        allocation[zone][index] += step
        cost = chains[index].compute_marginal_cost_s(loads[index])
        heapq.heappush(heaps[chains[index].zone], (cost, index))
    return allocation


def _take_cheapest(heaps, zone: str, crossing_cost_s: float) -> int | None:
    """Remove the chain that costs a request of a zone least from its heap; return its index."""
    best, best_cost = None, math.inf
    for chain_zone, heap in heaps.items():
        if not heap:
            continue
        cost = heap[0][0] + (crossing_cost_s if chain_zone != zone else 0.0)
        if cost < best_cost:
            best, best_cost = heap, cost
    return None if best is None else heapq.heappop(best)[1]


def _compute_remaining(chain: ChainState, horizon_s: float) -> float:
    """Return how many requests of a chain will not have ended after a time.

    Ages of requests are spread evenly over their duration.
    """
    duration_s = chain.compute_duration_s(chain.requests)
    if duration_s <= horizon_s:
        return 0.0
    return chain.requests * (1 - horizon_s / duration_s)
