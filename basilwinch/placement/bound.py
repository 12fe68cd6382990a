"""Upper bounds on the token rate of a fleet and of a placement, by linear programming."""

from collections import defaultdict

import numpy as np
import scipy.optimize
import scipy.sparse

from basilwinch.record import Record

__all__ = ["Bound", "Workload", "bound_of_fleet", "bound_of_placements"]


class Workload(Record):
    """Demand on the fleet and size of the sequences.

    :param demand: dict of the share of tokens by model; only the ratios matter
    :param context_tokens: tokens of KV cache that a sequence holds on average; 0 ignores the cache
    :param token_s: minimum time between two tokens of a sequence in seconds. By Little's law,
        the token rate times this time is the number of sequences that hold KV cache.
    """

    __slots__ = ("demand", "context_tokens", "token_s")
    _defaults = {"context_tokens": 0, "token_s": 0.0}

    def kv_bytes_per_rate(self, model) -> float:
        """Return the bytes of KV cache that one token a second through one layer needs."""
        return self.context_tokens * self.token_s * model.kv_bytes_per_token_layer


class Bound(Record):
    """Upper bound on the rate, for models in the proportions of the workload.

    :param tokens_per_s: tokens a second over all models
    :param by_model: tokens a second by model
    """

    __slots__ = ("tokens_per_s", "by_model")


class _Programme:
    """Maximises one variable subject to linear limits, linear equalities to 0 and ``x >= 0``."""

    def __init__(self):
        self._upper: list[float | None] = []
        self._limit_terms = ([], [], [])
        self._limits: list[float] = []
        self._equality_terms = ([], [], [])
        self._equality_count = 0

    def add_variable(self, upper: float | None = None) -> int:
        self._upper.append(upper)
        return len(self._upper) - 1

    def add_limit(self, terms, limit: float) -> None:
        self._append(self._limit_terms, len(self._limits), terms)
        self._limits.append(limit)

    def add_equality(self, terms) -> None:
        self._append(self._equality_terms, self._equality_count, terms)
        self._equality_count += 1

    @staticmethod
    def _append(triplets, row, terms):
        for column, factor in terms:
            triplets[0].append(factor)
            triplets[1].append(row)
            triplets[2].append(column)

    def _matrix(self, triplets, rows):
        if not rows:
            return None
        shape = (rows, len(self._upper))
        return scipy.sparse.csr_matrix((triplets[0], (triplets[1], triplets[2])), shape=shape)

    def maximise(self, variable: int) -> np.ndarray:
        cost = np.zeros(len(self._upper))
        cost[variable] = -1.0
        result = scipy.optimize.linprog(
            cost,
            A_ub=self._matrix(self._limit_terms, len(self._limits)),
            b_ub=self._limits or None,
            A_eq=self._matrix(self._equality_terms, self._equality_count),
            b_eq=np.zeros(self._equality_count) if self._equality_count else None,
            bounds=[(0.0, upper) for upper in self._upper],
            method="highs",
        )
        # All zeros are feasible and all rates are finite, so any other status is a program error.
        if result.status != 0:
            raise ArithmeticError(
                f"linear programme not solved, status {result.status}: {result.message}"
            )
        return result.x


def bound_of_fleet(servers, models, workload: Workload, links=None) -> Bound:
    """Return an upper bound on the rate over all placements and routings.

    :param servers: iterable of :class:`~basilwinch.catalog.Server`; those without a rate are left
        out
    :param models: dict of models by name
    :param workload: demand by model and size of the sequences
    :param links: dict of the capacity in tokens a second by (from, to) pair of server names; a
        missing pair has no capacity. None means unlimited links.
    :returns: an upper bound. No placement can exceed it, but the best one may stay below, because
        layers are treated as divisible and links as one total capacity for each server.

    Notes: a server divides its rate among the layers of the models; it holds at least the fraction
    of a layer that the rate needs; weights and KV cache share its memory. Equal servers are merged,
    which is exact because the programme is convex, so its size does not grow with the fleet unless
    ``links`` are given.

    >>> from basilwinch.catalog import Model, Server
    >>> servers = [Server(n, "", "z", "r", "a", 1, 10, "s", True, 8.0) for n in "ab"]
    >>> bound_of_fleet(servers, {"m": Model("m", 4, 1, 0)}, Workload({"m": 1})).tokens_per_s
    4.0
    """
    shares = _normalise_demand(workload.demand)
    names = [name for name in shares if name in models]
    server_counts: dict[tuple, int] = defaultdict(int)
    link_rates = _sum_link_rates(links)
    for server in servers:
        if server.tokens_per_s > 0:
            link_rate = None if links is None else link_rates.get(server.name, 0.0)
            key = (server.tokens_per_s, server.memory_bytes, link_rate)
            server_counts[key] += 1
    programme = _Programme()
    mix_rate = programme.add_variable()
    supply_terms = {name: [] for name in names}
    for (rate, memory, link_rate), count in server_counts.items():
        rate_terms, memory_terms = [], []
        for name in names:
            model = models[name]
            flow = programme.add_variable()
            held_layers = programme.add_variable(float(model.layers * count))
            # A server with any rate for a model holds at least one of its layers, and flow / rate
            # is at most 1 for each server.
            programme.add_limit([(flow, 1.0 / rate), (held_layers, -1.0)], 0.0)
            if link_rate is not None:
                max_layers = min(model.layers, memory // max(model.weight_bytes_per_layer, 1))
                if max_layers < model.layers:
                    programme.add_limit([(flow, 1.0)], count * link_rate * max(max_layers, 0))
            rate_terms.append((flow, 1.0))
            memory_terms.append((held_layers, model.weight_bytes_per_layer / max(memory, 1)))
            memory_terms.append((flow, workload.kv_bytes_per_rate(model) / max(memory, 1)))
            supply_terms[name].append((flow, -1.0))
        programme.add_limit(rate_terms, count * rate)
        programme.add_limit(memory_terms, float(count))
    for name in names:
        needed = shares[name] * models[name].layers
        programme.add_limit([(mix_rate, needed), *supply_terms[name]], 0.0)
    if any(not terms for terms in supply_terms.values()):
        return _make_bound(0.0, shares)
    if not _fits_one_copy(server_counts, names, models):
        return _make_bound(0.0, shares)
    return _make_bound(programme.maximise(mix_rate)[mix_rate], shares)


def bound_of_placements(
    servers, models, placements, workload: Workload, links=None, whole_stages: bool = True
) -> Bound:
    """Return the maximum rate over all routings on a fixed placement: a maximum flow over stages.

    :param servers: dict of servers by name; stages on other servers are ignored
    :param models: dict of models by name
    :param placements: dict of :class:`~basilwinch.pipeline.Placement` by model
    :param workload: demand by model; KV cache uses the memory that the weights leave free
    :param links: as in :func:`bound_of_fleet`, here for each link between consecutive stages
    :param whole_stages: whether a request runs all layers that a stage holds; otherwise it may
        enter and leave in the middle of a stage, and ``links`` are ignored
    :returns: the bound. With links, the programme has one variable for each pair of consecutive
        stages.
    """
    shares = _normalise_demand(workload.demand)
    programme = _Programme()
    mix_rate = programme.add_variable()
    rate_terms = defaultdict(list)
    cache_terms = defaultdict(list)
    free_bytes = {name: float(server.memory_bytes) for name, server in servers.items()}
    for name, share in shares.items():
        placement = placements.get(name)
        stages = [s for s in placement.stages if s.server in servers] if placement else []
        model = models[name]
        for stage in stages:
            free_bytes[stage.server] -= (stage.end - stage.first) * model.weight_bytes_per_layer
        if whole_stages:
            flows = _add_whole_stages(programme, model, stages, mix_rate, share, links)
        else:
            flows = _add_partial_stages(programme, model, stages, mix_rate, share)
        for server, flow, layers in flows:
            rate_terms[server].append((flow, float(layers)))
            cache_terms[server].append((flow, layers * workload.kv_bytes_per_rate(model)))
    for server, terms in rate_terms.items():
        programme.add_limit(terms, servers[server].tokens_per_s)
        if workload.context_tokens:
            # Both sides are divided by the memory of the server.
            memory_bytes = max(servers[server].memory_bytes, 1)
            terms = [(flow, factor / memory_bytes) for flow, factor in cache_terms[server]]
            programme.add_limit(terms, max(free_bytes[server], 0.0) / memory_bytes)
    return _make_bound(programme.maximise(mix_rate)[mix_rate], shares)


def _add_whole_stages(programme, model, stages, mix_rate, share, links):
    """Add one flow for each stage, conserved at every layer boundary."""
    flows = [programme.add_variable() for _ in stages]
    starts, ends = defaultdict(list), defaultdict(list)
    for index, stage in enumerate(stages):
        starts[stage.first].append(index)
        ends[stage.end].append(index)
    programme.add_equality([(mix_rate, share), *((flows[i], -1.0) for i in starts[0])])
    programme.add_equality([(mix_rate, share), *((flows[i], -1.0) for i in ends[model.layers])])
    for boundary in (set(starts) | set(ends)) - {0, model.layers}:
        if links is None:
            terms = [(flows[i], 1.0) for i in ends[boundary]]
            programme.add_equality(terms + [(flows[i], -1.0) for i in starts[boundary]])
            continue
        outgoing, incoming = defaultdict(list), defaultdict(list)
        for i in ends[boundary]:
            for j in starts[boundary]:
                link_key = (stages[i].server, stages[j].server)
                same_server = stages[i].server == stages[j].server
                link_flow = programme.add_variable(
                    None if same_server else links.get(link_key, 0.0)
                )
                outgoing[i].append((link_flow, -1.0))
                incoming[j].append((link_flow, -1.0))
        for i in ends[boundary]:
            programme.add_equality([(flows[i], 1.0), *outgoing[i]])
        for j in starts[boundary]:
            programme.add_equality([(flows[j], 1.0), *incoming[j]])
    return [(s.server, flow, s.end - s.first) for s, flow in zip(stages, flows, strict=True)]


def _add_partial_stages(programme, model, stages, mix_rate, share):
    """Add one flow for each stage and each layer range between two neighbouring boundaries."""
    bounds = sorted({0, model.layers, *(s.first for s in stages), *(s.end for s in stages)})
    flows = []
    for first, end in zip(bounds, bounds[1:], strict=False):
        supply_terms = []
        for stage in stages:
            if stage.first <= first and end <= stage.end:
                flow = programme.add_variable()
                flows.append((stage.server, flow, end - first))
                supply_terms.append((flow, -1.0))
        programme.add_limit([(mix_rate, share), *supply_terms], 0.0)
    return flows


def _normalise_demand(demand) -> dict[str, float]:
    total = sum(demand.values())
    return {name: weight / total for name, weight in sorted(demand.items()) if weight > 0}


def _sum_link_rates(links) -> dict[str, float]:
    """Return the link capacity of each server in tokens a second, the larger of both directions.

    The first stage of a chain receives no activations and the last one sends none, so the
    larger direction is the only limit that holds for every server.
    """
    if links is None:
        return {}
    sent, received = defaultdict(float), defaultdict(float)
    for (source, target), rate in links.items():
        sent[source] += rate
        received[target] += rate
    return {name: max(sent[name], received[name]) for name in set(sent) | set(received)}


def _fits_one_copy(server_counts, names, models) -> bool:
    """Tell whether the memory of the fleet can hold one copy of the weights of all models."""
    total = sum(memory * count for (_, memory, _), count in server_counts.items())
    needed = sum(models[name].layers * models[name].weight_bytes_per_layer for name in names)
    return total >= needed


def _make_bound(rate: float, shares) -> Bound:
    rate = float(rate)
    return Bound(rate, {name: rate * share for name, share in shares.items()})
