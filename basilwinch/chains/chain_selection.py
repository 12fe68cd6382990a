"""Selection of a planned chain, for large fleets whose nodes exchange load rarely.

If every node took the best path, they would all choose the same one until the next report, exceed
its memory and leave other chains idle. A node therefore draws a chain at random, in proportion to
how many requests of its availability zone are to start there until the nodes know the load that
results.
"""

import bisect
import itertools
import math
import zlib

import structlog

from basilwinch.chains.allocation import ChainState, allocate_requests
from basilwinch.chains.layout import ChainMember
from basilwinch.chains.path import Path, Stage
from basilwinch.chains.priority_mix import PriorityMix
from basilwinch.chains.record import decode_layout
from basilwinch.chains.zone_link import count_crossings
from basilwinch.exception import Failure

__all__ = ["ChainSelection"]

# An allocation is used for this long; short against the time in which load reports arrive.
_ALLOCATION_TTL_S = 0.3
# Reports within a zone take one interval to arrive. Those of other zones pass through two readers,
# which adds about this time.
_GATHERING_DELAY_S = 0.4
# What leaving the zone must save a request, in seconds of its duration: its bytes are paid for, and
# each of its events takes the way between the zones.
_CROSSING_COST_S = 0.25
# Fraction of a chain's memory and slots that an allocation may fill. The rest covers requests that
# are larger than the mean, and random differences between what nodes send.
_USABLE_FRACTION = 0.6
# Cost of each member for each pass, in milliseconds: the transfer and the wait for its next pass.
_MEMBER_OVERHEAD_MS = 1.0
# A pass takes longer than the sum of its steps, as it waits at members that run another one.
_PASS_WAIT_FACTOR = 1.2
# Longest gap of a stream in mean passes, as the prompts of others are processed between the passes.
_LONGEST_GAP_PASSES = 2.0
# Width of the part of an allocation that a node uses, as a fraction. A node that sends its requests
# to few chains finds open connections to them; the parts of all nodes together cover all chains.
_NODE_PART = 0.3
# A request takes a chain on which it ends in the time to its deadline divided by this, if there is
# one, as durations vary with the load.
_DURATION_MARGIN = 1.3
_MIN_LOGGED_CHANGE = 0.1  # of the fraction of requests that leave the zone


class ChainSelection:
    """Selects a planned chain by the allocation of the node's availability zone.

    Within the allocation, the more urgent requests take the chains on which they are done sooner.

    :param load: :class:`~basilwinch.chains.load.FleetLoad`
    :param rng: random numbers
    :param clock: function that returns the time in seconds
    :param node: name of this node
    :param zone: availability zone of this node
    :param get_zone: function that returns the availability zone of another node, or None
    """

    __slots__ = (
        "_load",
        "_rng",
        "_clock",
        "_node_position",
        "_zone",
        "_get_zone",
        "_layouts",
        "_allocations",
        "_priorities",
        "_left_fractions",
        "_log",
    )

    def __init__(self, load, rng, clock=lambda: 0.0, node="", zone="", get_zone=lambda node: None):
        self._load = load
        self._rng = rng
        self._clock = clock
        self._node_position = zlib.crc32(node.encode()) / (1 << 32)
        self._zone = zone
        self._get_zone = get_zone
        self._layouts: dict[str, list[list[ChainMember]]] = {}
        self._allocations: dict[str, _Allocation] = {}
        self._priorities: dict[str, PriorityMix] = {}
        self._left_fractions: dict[str, float] = {}
        self._log = structlog.get_logger("chains")

    def apply(self, service: str, value: bytes | None) -> None:
        """Replace the layout of a service.

        :param value: layout as the layout controller stores it, or None if it was deleted
        """
        self._allocations.pop(service, None)
        if value is None:
            self._layouts.pop(service, None)
            return
        chains = decode_layout(value)
        if isinstance(chains, Failure):
            self._log.error(
                "layout cannot be decoded, keeping the previous one",
                service=service,
                reason=chains.reason,
            )
            return
        self._layouts[service] = chains

    def get_left_fraction(self) -> float:
        """Return the largest fraction of a service's requests that leaves this zone."""
        return max(self._left_fractions.values(), default=0.0)

    def prune(self, services) -> None:
        """Drop what is kept of services that are gone.

        :param services: names of the services of the configuration
        """
        for state in (self._allocations, self._priorities, self._left_fractions):
            for service in state.keys() - services:
                del state[service]

    def count_request(self, service: str, priority: int) -> None:
        """Count a request of a caller.

        :param priority: 0 is the highest
        """
        mix = self._priorities.setdefault(service, PriorityMix())
        mix.count(priority, self._clock())

    def find(
        self,
        service: str,
        entries: dict,
        engine,
        tokens: int,
        prompt_tokens: int,
        avoid=frozenset(),
        cross_zones=True,
        avoid_heads=frozenset(),
        priority: int = 0,
        time_left_s: float = math.inf,
        gap_s: float = 0.0,
    ):
        """Return a chain as a path, or None if no complete chain has enough free memory.

        :param service: name of the service
        :param entries: servers by id
        :param engine: :class:`~basilwinch.view.Engine`
        :param tokens: tokens of the request's KV cache
        :param prompt_tokens: tokens of the prompt, which are processed first
        :param avoid: ids of servers to leave out
        :param cross_zones: whether the chain may cross between zones
        :param avoid_heads: ids of servers that must not be the first of the chain
        :param priority: priority of the request, 0 is the highest
        :param time_left_s: time until the deadline of the request, in seconds
        :param gap_s: shortest objective for gaps of the service's streams in seconds, 0 for none
        :returns: :class:`~basilwinch.chains.path.Path` or None

        Notes
        -----
        Time linear in the number of servers.
        """

        def build_path(chain):
            if chain[0].server in avoid_heads:
                return None
            stages = self._build_stages(chain, entries, engine, avoid)
            if stages is None:
                return None
            free_requests = _count_free_requests(stages, tokens)
            crossings = count_crossings([stage.entry.zone for stage in stages])
            if free_requests < 1 or (crossings and not cross_zones):
                return None
            pass_ms = sum(stage.layer_ms * stage.layer_count for stage in stages)
            prefill_ms = _compute_prefill_ms(stages) * prompt_tokens
            return Path(chain, pass_ms, prefill_ms, crossings), free_requests / pass_ms

        allocation = self._get_allocation(service, entries, engine, gap_s or math.inf)
        # A request of the mean size may take this long to end before its deadline.
        size = max(1.0, tokens - prompt_tokens) / max(1.0, engine.mean_output_tokens)
        drawn = allocation.draw(
            self._draw_position(service, priority), time_left_s / (size * _DURATION_MARGIN)
        )
        if drawn is not None:
            option = build_path(drawn)
            if option is not None:
                return option[0]
        options = [
            (*option, allocation.get_share(index))
            for index, chain in enumerate(self._layouts.get(service, ()))
            if (option := build_path(chain)) is not None
        ]
        if not options:
            return None
        paths, weights, shares = zip(*options, strict=True)
        return self._rng.choices(paths, shares if any(shares) else weights)[0]

    def _draw_position(self, service: str, priority: int) -> float:
        """Return a random position in the allocation, between 0 and 1.

        The chains on which requests are done soonest come first, and so do the more urgent ones.
        """
        part = (self._node_position + _NODE_PART * self._rng.random()) % 1.0
        mix = self._priorities.get(service)
        first, end = (0.0, 1.0) if mix is None else mix.find_range(priority)
        return first + part * (end - first)

    def _get_allocation(self, service: str, entries: dict, engine, gap_s: float) -> "_Allocation":
        now = self._clock()
        allocation = self._allocations.get(service)
        if allocation is None or not 0 <= now - allocation.computed_at < _ALLOCATION_TTL_S:
            allocation = self._allocate(service, entries, engine, gap_s, now)
            self._allocations[service] = allocation
        return allocation

    def _allocate(self, service: str, entries: dict, engine, gap_s, now: float) -> "_Allocation":
        chains, indices, states = self._layouts.get(service, []), [], []
        for index, chain in enumerate(chains):
            stages = self._build_stages(chain, entries, engine, frozenset())
            if stages is not None:
                indices.append(index)
                states.append(self._describe(stages, engine, gap_s))
        heads = [chains[index][0].server for index in indices]
        demand = self._load.count_by_zone(heads, self._zone, self._get_zone)
        # A zone whose load is not known still has the requests that are about to start.
        demand[self._zone] = max(1, demand[self._zone])
        horizon_s = self._load.report_interval_s + _GATHERING_DELAY_S
        requests = allocate_requests(states, demand, horizon_s, _CROSSING_COST_S)[self._zone]
        self._record_left_fraction(service, states, requests)
        order = sorted(
            range(len(states)), key=lambda i: states[i].compute_duration_s(states[i].requests)
        )
        return _Allocation(
            [chains[indices[i]] for i in order],
            [requests[i] for i in order],
            [states[i].compute_duration_s(states[i].requests) for i in order],
            {indices[i]: requests[i] for i in order},
            now,
        )

    def _describe(self, stages, engine, gap_s: float) -> ChainState:
        passes = max(1.0, engine.mean_output_tokens / engine.stride)
        requests = max(stage.requests for stage in stages)
        idle_ms = sum(stage.idle_layer_ms * stage.layer_count for stage in stages)
        idle_ms = idle_ms * _PASS_WAIT_FACTOR + _MEMBER_OVERHEAD_MS * len(stages)
        request_ms = sum(stage.request_layer_ms * stage.layer_count for stage in stages)
        prompt_tokens = max(0.0, engine.mean_request_tokens - engine.mean_output_tokens)
        prefills_ms = [
            stage.prefill_token_layer_ms * stage.layer_count * prompt_tokens for stage in stages
        ]
        request_ms *= _PASS_WAIT_FACTOR
        max_pass_ms = 1000 * gap_s / _LONGEST_GAP_PASSES
        on_time = (max_pass_ms - idle_ms) / request_ms if request_ms else math.inf
        # In its time, each other request also has its prompt processed once at each member.
        request_ms = request_ms * passes + max(prefills_ms)
        free_requests = _count_free_requests(stages, engine.mean_request_tokens)
        slots = _USABLE_FRACTION * stages[0].entry.slots
        return ChainState(
            stages[0].entry.zone,
            requests,
            min(_USABLE_FRACTION * (requests + max(0.0, free_requests)), slots),
            (passes * idle_ms + sum(prefills_ms)) / 1000,
            request_ms / 1000,
            on_time,
        )

    def _record_left_fraction(self, service: str, states, requests) -> None:
        total = sum(requests)
        if not total:
            return
        pairs = zip(states, requests, strict=True)
        fraction = sum(count for state, count in pairs if state.zone != self._zone) / total
        known = self._left_fractions.get(service)
        if known is not None and abs(fraction - known) < _MIN_LOGGED_CHANGE:
            return
        self._left_fractions[service] = fraction
        self._log.info(
            "fraction of requests that leave the zone",
            service=service,
            zone=self._zone,
            fraction=round(fraction, 3),
            chains=len(states),
            requests=sum(state.requests for state in states),
        )

    def _build_stages(self, chain, entries, engine, avoid) -> list[Stage] | None:
        """Return the stages of a chain, or None if one of them cannot serve."""
        stages = []
        for member in chain:
            entry = entries.get(member.server)
            if entry is None or entry.leaving or entry.id in avoid:
                return None
            if entry.layers != (member.first, member.end) or self._load.is_suspect(entry.id):
                return None
            kind = engine.kinds.get(entry.kind)
            if kind is None:
                return None
            stages.append(Stage(entry, kind, engine, self._load))
        return stages


class _Allocation:
    """Chains in the order in which requests are done, and the requests that are to start on each.

    :param chains: chains
    :param requests: requests for each of the chains
    :param durations_s: duration of a request of mean size on each of the chains, in seconds
    :param by_index: requests by index of the chain in the layout
    :param computed_at: time in seconds
    """

    __slots__ = ("_chains", "_durations_s", "_ends", "_by_index", "computed_at")

    def __init__(self, chains, requests, durations_s, by_index, computed_at: float):
        self._chains = chains
        self._durations_s = durations_s
        self._ends = list(itertools.accumulate(requests))
        self._by_index = by_index
        self.computed_at = computed_at

    def draw(self, position: float, max_duration_s: float):
        """Return the chain at a position between 0 and 1, or None if nothing is allocated.

        :param max_duration_s: a chain on which requests take longer, in seconds, is passed over for
            the last faster one
        """
        if not self._ends or not self._ends[-1]:
            return None
        index = min(bisect.bisect_right(self._ends, position * self._ends[-1]), len(self._ends) - 1)
        fast_enough = bisect.bisect_right(self._durations_s, max_duration_s)
        return self._chains[min(index, max(0, fast_enough - 1))]

    def get_share(self, index: int) -> float:
        """Return the requests that are to start on a chain.

        :param index: index of the chain in the layout
        """
        return self._by_index.get(index, 0.0)


def _count_free_requests(stages, tokens: float) -> float:
    """Return how many requests of a size fit into the free memory of all stages.

    :param tokens: tokens of the KV cache of a request
    """
    return min(stage.free_token_layers / (tokens * stage.layer_count) for stage in stages)


def _compute_prefill_ms(stages) -> float:
    """Return the milliseconds to process one token of a prompt at all stages."""
    return sum(stage.prefill_token_layer_ms * stage.layer_count for stage in stages)
