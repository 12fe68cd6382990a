"""Greatest token rate that any placement and routing could reach, as a linear programme."""

from collections import defaultdict

import numpy as np
import scipy.optimize
import scipy.sparse

from basilwinch.record import Record

__all__ = ["Bound", "Workload", "bound_of_fleet", "bound_of_placements"]


class Workload(Record):
    """What the fleet is asked to do.

    :param demand: dict of the share of tokens by model; only the ratios count
    :param context_tokens: tokens of KV cache that a sequence holds on average; 0 ignores the cache
    :param token_s: least time between two tokens of a sequence in seconds. By Little's law,
        rate times this time is the number of sequences that hold KV cache.
    """

    __slots__ = ("demand", "context_tokens", "token_s")
    _defaults = {"context_tokens": 0, "token_s": 0.0}

    def kv_bytes_per_rate(self, model) -> float:
        """Return bytes of KV cache for one token a second through one layer of a model."""
        return self.context_tokens * self.token_s * model.kv_bytes_per_token_layer


class Bound(Record):
    """The greatest rate in the mix of the workload.

    :param tokens_per_s: tokens a second over all models
    :param by_model: tokens a second by model
    """

    __slots__ = ("tokens_per_s", "by_model")


class _Programme:
    """Maximises one variable under ``rows @ x <= limits`` and ``equal @ x == 0``, ``x >= 0``."""

    def __init__(self):
        self._upper: list[float | None] = []
        self._rows = ([], [], [])
        self._limits: list[float] = []
        self._equal = ([], [], [])
        self._equals = 0

    def add_variable(self, upper: float | None = None) -> int:
        self._upper.append(upper)
        return len(self._upper) - 1

    def add_limit(self, terms, limit: float) -> None:
        self._append(self._rows, len(self._limits), terms)
        self._limits.append(limit)

    def add_equality(self, terms) -> None:
        self._append(self._equal, self._equals, terms)
        self._equals += 1

    @staticmethod
    def _append(store, row, terms):
        for column, factor in terms:
            store[0].append(factor)
            store[1].append(row)
            store[2].append(column)

    def _matrix(self, store, rows):
        if not rows:
            return None
        shape = (rows, len(self._upper))
        return scipy.sparse.csr_matrix((store[0], (store[1], store[2])), shape=shape)

    def maximise(self, variable: int) -> np.ndarray:
        cost = np.zeros(len(self._upper))
        cost[variable] = -1.0
        result = scipy.optimize.linprog(
            cost,
            A_ub=self._matrix(self._rows, len(self._limits)),
            b_ub=self._limits or None,
            A_eq=self._matrix(self._equal, self._equals),
            b_eq=np.zeros(self._equals) if self._equals else None,
            bounds=[(0.0, upper) for upper in self._upper],
            method="highs",
        )
        # All-zero is feasible and every rate is finite, so anything but success is a defect.
        if result.status != 0:
            raise ArithmeticError(f"linear programme not solved: {result.message}")
        return result.x


def bound_of_fleet(servers, models, workload: Workload, links=None) -> Bound:
    """Return the bound over all placements and routings.

    :param servers: iterable of :class:`~basilwinch.catalog.Server`; those without a rate are left
        out
    :param models: dict of models by name
    :param workload: mix of models and size of sequences
    :param links: dict of the capacity in tokens a second by (from, to) pair of server names; a
        missing pair carries nothing. None ignores links.
    :returns: an upper bound. Layers are divisible here and links are only counted as the total of
        each server, so no placement can exceed it, but the best one may stay below.

    Notes: a server spends its rate on layer tokens of the models; it holds at least the part of a
    layer that the spent rate needs; weights and KV cache share its memory. Equal servers are merged
    because the programme is convex, so the cost does not grow with the fleet unless ``links`` are
    given.

    >>> from basilwinch.catalog import Model, Server
    >>> servers = [Server(n, "", "z", "r", "a", 1, 10, "s", True, 8.0) for n in "ab"]
    >>> bound_of_fleet(servers, {"m": Model("m", 4, 1, 0)}, Workload({"m": 1})).tokens_per_s
    4.0
    """
    shares = _shares(workload.demand)
    names = [name for name in shares if name in models]
    groups: dict[tuple, int] = defaultdict(int)
    carried = _carried_by_server(links)
    for server in servers:
        if server.tokens_per_s > 0:
            carry = None if links is None else carried.get(server.name, 0.0)
            key = (server.tokens_per_s, server.memory_bytes, carry)
            groups[key] += 1
    programme = _Programme()
    scale = programme.add_variable()
    supply = {name: [] for name in names}
    for (rate, memory, carry), count in groups.items():
        spent, used = [], []
        for name in names:
            model = models[name]
            flow = programme.add_variable()
            held = programme.add_variable(float(model.layers * count))
            # Layers are whole in reality: spending any rate needs a whole layer in memory.
            programme.add_limit([(flow, 1.0 / rate), (held, -1.0)], 0.0)
            if carry is not None:
                most = min(model.layers, memory // max(model.weight_bytes_per_layer, 1))
                if most < model.layers:
                    programme.add_limit([(flow, 1.0)], count * carry * max(most, 0))
            spent.append((flow, 1.0))
            used.append((held, model.weight_bytes_per_layer / max(memory, 1)))
            used.append((flow, workload.kv_bytes_per_rate(model) / max(memory, 1)))
            supply[name].append((flow, -1.0))
        programme.add_limit(spent, count * rate)
        programme.add_limit(used, float(count))
    for name in names:
        needed = shares[name] * models[name].layers
        programme.add_limit([(scale, needed), *supply[name]], 0.0)
    if any(not terms for terms in supply.values()):
        return _bound(0.0, shares)
    if not _fits_once(groups, names, models):
        return _bound(0.0, shares)
    return _bound(programme.maximise(scale)[scale], shares)


def bound_of_placements(
    servers, models, placements, workload: Workload, links=None, whole_stages: bool = True
) -> Bound:
    """Return the bound over all routings on a fixed placement: a maximum flow over stages.

    :param servers: dict of servers by name; stages on others are left out
    :param models: dict of models by name
    :param placements: dict of :class:`~basilwinch.pipeline.Placement` by model
    :param workload: mix of models; KV cache is counted beside the weights that the stages hold
    :param links: as in :func:`bound_of_fleet`, here for each link between consecutive stages
    :param whole_stages: whether a request runs all layers that a stage holds; otherwise it may
        enter and leave in the middle of a stage, and ``links`` are ignored
    :returns: the bound. With links, one variable for each pair of consecutive stages.
    """
    shares = _shares(workload.demand)
    programme = _Programme()
    scale = programme.add_variable()
    spent = defaultdict(list)
    cache = defaultdict(list)
    room = {name: float(server.memory_bytes) for name, server in servers.items()}
    for name, share in shares.items():
        placement = placements.get(name)
        stages = [s for s in placement.stages if s.server in servers] if placement else []
        model = models[name]
        for stage in stages:
            room[stage.server] -= (stage.end - stage.first) * model.weight_bytes_per_layer
        if whole_stages:
            flows = _add_whole_stages(programme, model, stages, scale, share, links)
        else:
            flows = _add_segments(programme, model, stages, scale, share)
        for server, flow, layers in flows:
            spent[server].append((flow, float(layers)))
            cache[server].append((flow, layers * workload.kv_bytes_per_rate(model)))
    for server, terms in spent.items():
        programme.add_limit(terms, servers[server].tokens_per_s)
        if workload.context_tokens:
            unit = max(servers[server].memory_bytes, 1)
            terms = [(flow, factor / unit) for flow, factor in cache[server]]
            programme.add_limit(terms, max(room[server], 0.0) / unit)
    return _bound(programme.maximise(scale)[scale], shares)


def _add_whole_stages(programme, model, stages, scale, share, links):
    """Add one flow for each stage, conserved at every layer boundary."""
    flows = [programme.add_variable() for _ in stages]
    starts, ends = defaultdict(list), defaultdict(list)
    for index, stage in enumerate(stages):
        starts[stage.first].append(index)
        ends[stage.end].append(index)
    programme.add_equality([(scale, share), *((flows[i], -1.0) for i in starts[0])])
    programme.add_equality([(scale, share), *((flows[i], -1.0) for i in ends[model.layers])])
    for boundary in (set(starts) | set(ends)) - {0, model.layers}:
        if links is None:
            terms = [(flows[i], 1.0) for i in ends[boundary]]
            programme.add_equality(terms + [(flows[i], -1.0) for i in starts[boundary]])
            continue
        out, into = defaultdict(list), defaultdict(list)
        for i in ends[boundary]:
            for j in starts[boundary]:
                ends_of_link = (stages[i].server, stages[j].server)
                same = stages[i].server == stages[j].server
                pair = programme.add_variable(None if same else links.get(ends_of_link, 0.0))
                out[i].append((pair, -1.0))
                into[j].append((pair, -1.0))
        for i in ends[boundary]:
            programme.add_equality([(flows[i], 1.0), *out[i]])
        for j in starts[boundary]:
            programme.add_equality([(flows[j], 1.0), *into[j]])
    return [(s.server, flow, s.end - s.first) for s, flow in zip(stages, flows, strict=True)]


def _add_segments(programme, model, stages, scale, share):
    """Add one flow for each stage and segment between two neighbouring boundaries."""
    bounds = sorted({0, model.layers, *(s.first for s in stages), *(s.end for s in stages)})
    flows = []
    for first, end in zip(bounds, bounds[1:], strict=False):
        supply = []
        for stage in stages:
            if stage.first <= first and end <= stage.end:
                flow = programme.add_variable()
                flows.append((stage.server, flow, end - first))
                supply.append((flow, -1.0))
        programme.add_limit([(scale, share), *supply], 0.0)
    return flows


def _shares(demand) -> dict[str, float]:
    total = sum(demand.values())
    return {name: weight / total for name, weight in sorted(demand.items()) if weight > 0}


def _carried_by_server(links) -> dict[str, float]:
    """Return the tokens a second that each server can exchange, the larger of both directions.

    The first stage of a chain receives no activations and the last one sends none, so only the
    larger direction limits every server.
    """
    if links is None:
        return {}
    sent, received = defaultdict(float), defaultdict(float)
    for (source, target), rate in links.items():
        sent[source] += rate
        received[target] += rate
    return {name: max(sent[name], received[name]) for name in set(sent) | set(received)}


def _fits_once(groups, names, models) -> bool:
    """Tell whether the memory of the fleet holds the weights of all models once."""
    total = sum(memory * count for (_, memory, _), count in groups.items())
    needed = sum(models[name].layers * models[name].weight_bytes_per_layer for name in names)
    return total >= needed


def _bound(rate: float, shares) -> Bound:
    rate = float(rate)
    return Bound(rate, {name: rate * share for name, share in shares.items()})
