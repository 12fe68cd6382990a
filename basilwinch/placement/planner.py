"""Planner: decides which layers of which model each server holds."""

import random
from collections import defaultdict

from basilwinch.catalog import ServerState
from basilwinch.exception import NO_CHAIN, Failure
from basilwinch.observability import DecisionLog
from basilwinch.pipeline import Placement, Stage
from basilwinch.placement.bound import Workload
from basilwinch.placement.group import (
    Group,
    divide_models,
    divide_servers,
    make_group,
    make_layout,
    plan_group,
)
from basilwinch.placement.search import add_servers, improve
from basilwinch.record import Record

__all__ = ["Plan", "Planner", "PlannerConfig", "changed_servers"]


class PlannerConfig(Record):
    """Settings of the planner.

    :param group_size: servers in a group; larger groups balance better and take longer to plan
    :param cache_memory_share: share of each server's memory that is reserved for KV cache
    :param zone_reserve: share of the rate of each segment to be left after the loss of any zone,
        where the servers allow it
    :param max_changes: maximum number of changes from each start of the search
    :param perturbations: rounds of perturbation and search after the first local optimum, divided
        among the groups
    :param max_moves: maximum number of servers of a group that get another layer range in one
        replan; raised by one for each lost and each formerly idle server
    :param min_gain: minimum relative gain in rate for each moved server
    :param min_kept_server_and_rate_share: an adapted group is compared with a new plan if its
        present servers, joined ones included, are at most this share of its former number, or if
        its rate is 0; it is replaced if its rate is below this share of that of the new plan
    :param max_unplaced_share: share of unplaced servers (joined, or idle before) in a group above
        which the adapted group is compared with a new plan in any case
    :param min_rate_share_if_many_unplaced: the group is then replaced if its rate is below this
        share of that of the new plan
    """

    __slots__ = (
        "group_size",
        "cache_memory_share",
        "zone_reserve",
        "max_changes",
        "perturbations",
        "max_moves",
        "min_gain",
        "min_kept_server_and_rate_share",
        "max_unplaced_share",
        "min_rate_share_if_many_unplaced",
    )
    _defaults = {
        "group_size": 40,
        "cache_memory_share": 0.1,
        "zone_reserve": 0.34,
        "max_changes": 300,
        "perturbations": 60,
        "max_moves": 4,
        "min_gain": 0.02,
        "min_kept_server_and_rate_share": 0.5,
        "max_unplaced_share": 0.2,
        "min_rate_share_if_many_unplaced": 0.9,
    }


class Plan(Record):
    """Placement targets.

    :param placements: dict of :class:`~basilwinch.pipeline.Placement` by model
    :param groups: tuple of :class:`~basilwinch.placement.group.Group`
    :param rates: dict of the planned tokens a second by model
    :param failures: dict of ``NO_CHAIN`` failures by model without a chain
    """

    __slots__ = ("placements", "groups", "rates", "failures")
    _defaults = {"failures": {}}


class Planner:
    """Plans placements and adapts them to lost servers, new servers and changed demand.

    :param config: :class:`PlannerConfig`
    :param rng: source of randomness
    :param log: decision log
    """

    __slots__ = ("_config", "_rng", "_log")

    def __init__(self, config: PlannerConfig, rng: random.Random, log: DecisionLog):
        self._config = config
        self._rng = rng
        self._log = log

    @classmethod
    def from_config(cls, config: PlannerConfig, rng: random.Random, log: DecisionLog) -> "Planner":
        """Build a planner from its settings; see the class for the parameters."""
        return cls(config, rng, log)

    def plan(self, servers, models, workload: Workload, versions=None) -> Plan:
        """Plan without an earlier plan.

        :param servers: dict of servers by name; only live ones with a rate and memory are used
        :param models: dict of models by name
        :param workload: demand by model and size of the sequences
        :param versions: dict of the version by model; a missing or empty one means the only version
        :returns: a plan; models without a chain are in its ``failures``
        """
        usable = _select_usable(servers)
        workload = _drop_unknown_models(workload, models)
        divided = divide_servers(usable.values(), self._config.group_size)
        mixes = divide_models(divided, models, workload) if workload.demand else []
        groups = []
        for members, mix in zip(divided, mixes, strict=False):
            perturbations = max(2, self._config.perturbations // len(divided))
            group = self._plan_group(members, mix, models, workload, perturbations) if mix else None
            groups.append(group or _make_idle_group(members, mix))
        groups = self._ensure_chains(groups, usable, models, workload)
        return self._make_plan(groups, usable, models, workload, versions, "fresh")

    def replan(self, plan: Plan, servers, models, workload: Workload, versions=None) -> Plan:
        """Adapt a plan while moving few servers to other layers.

        :param plan: the plan in effect
        :returns: a plan in which groups of unchanged servers keep their stages where possible
        """
        usable = _select_usable(servers)
        workload = _drop_unknown_models(workload, models)
        groups = [g for g in plan.groups if all(n in models for n, _ in g.mix) and g.servers]
        placed = {name for group in groups for name in group.servers if name in usable}
        joined = defaultdict(list)
        for name in sorted(usable.keys() - placed):
            joined[self._group_for(usable[name], groups, joined)].append(usable[name])
        adapted = []
        for index, group in enumerate(groups):
            present = [name for name in group.servers if name in usable]
            if len(present) == len(group.servers) and not joined[index]:
                adapted.append(group)
            elif present or joined[index]:
                adapted.append(self._adapt(group, joined[index], usable, models, workload))
        if joined[-1]:
            # The old plan has no group that the new servers could join.
            return self.plan(servers, models, workload, versions)
        adapted = self._balance(adapted, usable, models, workload)
        adapted = self._ensure_chains(adapted, usable, models, workload)
        return self._make_plan(adapted, usable, models, workload, versions, "replan")

    def _plan_group(self, members, mix, models, workload, perturbations=2) -> Group | None:
        return plan_group(members, mix, models, workload, self._config, perturbations, self._rng)

    def _adapt(self, group, joined, usable, models, workload) -> Group:
        """Adapt a group to lost and new servers.

        It is planned again only if its rate stays far below that of a new plan.
        """
        config = self._config
        known = {n: usable[n] for n in group.servers if n in usable}
        known |= {server.name: server for server in joined}
        candidate = group.replace(idle=(*group.idle, *(server.name for server in joined)))
        layout = make_layout(candidate, known, models, workload, config)
        unplaced = [known[n] for n in candidate.idle if n in known]
        add_servers(layout, unplaced)
        # Each lost server, and each server that was idle before, raises the limit by one.
        move_limit = config.max_moves + len(unplaced) + len(group.servers) - len(layout.servers)
        move_limit = max(move_limit, config.max_moves)
        improve(layout, config.max_changes, self._rng, move_limit, config.min_gain)
        if not min(layout.mix_rates, default=0.0):
            layout.drop_reserve()
            improve(layout, config.max_changes, self._rng, move_limit, config.min_gain)
        kept = make_group(layout, group.region, dict(group.mix), group.bundles)
        rate = layout.rate_without_failures()
        many_unplaced = len(unplaced) > config.max_unplaced_share * len(known)
        if (
            rate
            and not many_unplaced
            and len(known) > config.min_kept_server_and_rate_share * len(group.servers)
        ):
            return kept
        rebuilt = self._plan_group(list(known.values()), dict(group.mix), models, workload)
        if rebuilt is None:
            return kept
        rebuilt_rate = make_layout(rebuilt, known, models, workload, config).rate_without_failures()
        # If many servers must load layers anyway, a better layout justifies loading the others.
        min_share = (
            config.min_rate_share_if_many_unplaced
            if many_unplaced
            else config.min_kept_server_and_rate_share
        )
        return rebuilt if rate < min_share * rebuilt_rate else kept

    def _group_for(self, server, groups, joined) -> int:
        """Return the index of the group that a new server joins, -1 if there is none."""
        candidates = [i for i, group in enumerate(groups) if group.region in (server.region, "")]
        candidates = candidates or range(len(groups))
        size = {i: len(groups[i].servers) + len(joined[i]) for i in candidates}
        return min(candidates, key=size.__getitem__, default=-1)

    def _balance(self, groups, usable, models, workload) -> list[Group]:
        """Plan single groups again until no model is served far below its share of the demand."""
        groups = list(groups)
        shares = _compute_demand_shares(workload)
        for _ in range(max(2, len(groups) // 4)):
            rates = _compute_rates(groups, usable, models, workload, self._config)
            rate_per_share = {name: rates.get(name, 0.0) / share for name, share in shares.items()}
            if not rate_per_share:
                break
            underserved = min(rate_per_share, key=rate_per_share.__getitem__)
            overserved = max(rate_per_share, key=rate_per_share.__getitem__)
            total = sum(rates.values())
            # No model is served far below its share of the demand, or none is served at all.
            if rate_per_share[underserved] >= 0.7 * total or rate_per_share[overserved] <= 0:
                break
            owners = [i for i, group in enumerate(groups) if overserved in dict(group.mix)]
            index = max(owners, key=lambda i: (dict(groups[i].mix)[overserved], -i))
            mix = _shift_mix(dict(groups[index].mix), underserved, shares, rate_per_share, models)
            members = [usable[n] for n in groups[index].servers if n in usable]
            rebuilt = self._plan_group(members, mix, models, workload) if members else None
            if rebuilt is None:
                break
            groups[index] = rebuilt
        return groups

    def _ensure_chains(self, groups, usable, models, workload) -> list[Group]:
        """Replace the groups by one over all servers if that gives more models a chain.

        Models with the least demand are given up first.
        """
        rates = _compute_rates(groups, usable, models, workload, self._config)
        shares = _compute_demand_shares(workload)
        if all(rates.get(name, 0.0) > 0 for name in shares) or not usable:
            return groups
        mix = dict(shares)
        while len(mix) > sum(rates.get(name, 0.0) > 0 for name in shares):
            group = self._plan_group(list(usable.values()), mix, models, workload)
            if group is not None:
                return [group]
            del mix[min(mix, key=lambda name: (mix[name], name))]
        return groups

    def _make_plan(self, groups, usable, models, workload, versions, reason) -> Plan:
        stages = defaultdict(list)
        for group in groups:
            for name, found in _collect_stages(
                group, usable, models, workload, self._config
            ).items():
                stages[name] += found
        versions = versions or {}
        placements = {
            name: Placement(name, versions.get(name, ""), tuple(sorted(found, key=_by_server)))
            for name, found in sorted(stages.items())
        }
        rates = _compute_rates(groups, usable, models, workload, self._config)
        failures: dict[str, Failure] = {
            name: NO_CHAIN.because(f"the live servers cannot hold all layers of model {name}")
            for name in _compute_demand_shares(workload)
            if not rates.get(name)
        }
        self._log.record(
            "place",
            "failed" if failures else "planned",
            reason,
            groups=len(groups),
            servers=len(usable),
            rates=rates,
            failures=sorted(failures),
        )
        return Plan(placements, tuple(groups), rates, failures)


def changed_servers(before: dict, after: dict) -> set[str]:
    """Return the servers whose ranges differ after a replan.

    Servers that hold nothing after it are left out.

    :param before: placements in effect
    :param after: placements of the new plan
    """

    def holdings(placements):
        held = defaultdict(set)
        for placement in placements.values():
            for stage in placement.stages:
                key = (placement.model, placement.version, stage.first, stage.end)
                held[stage.server].add(key)
        return held

    old, new = holdings(before), holdings(after)
    return {name for name, ranges in new.items() if old.get(name) != ranges}


def _by_server(stage: Stage):
    return stage.server, stage.first


def _select_usable(servers) -> dict:
    return {
        name: server
        for name, server in sorted(servers.items())
        if server.state is ServerState.LIVE and server.tokens_per_s > 0 and server.memory_bytes > 0
    }


def _drop_unknown_models(workload, models):
    return workload.replace(demand={n: w for n, w in workload.demand.items() if n in models})


def _compute_demand_shares(workload) -> dict[str, float]:
    total = sum(workload.demand.values())
    return {name: w / total for name, w in sorted(workload.demand.items()) if w > 0}


def _make_idle_group(members, mix) -> Group:
    names = tuple(sorted(server.name for server in members))
    return Group(members[0].region, tuple(sorted(mix.items())), (), (), names)


def _shift_mix(mix, underserved, shares, rate_per_share, models) -> dict[str, float]:
    """Return a mix in which ``underserved`` replaces models served above their share of demand."""
    mean = sum(rate_per_share[name] * shares[name] for name in shares)
    kept = {
        n: share for n, share in mix.items() if rate_per_share.get(n, 0.0) <= mean or len(mix) == 1
    }
    total = sum(kept.values()) or 1.0
    moved_share = shares[underserved] if len(kept) < len(mix) or len(mix) == 1 else 0.5
    mixed = {name: share / total * (1 - moved_share) for name, share in kept.items()}
    mixed[underserved] = mixed.get(underserved, 0.0) + moved_share
    total = sum(mixed.values())
    return {name: share / total for name, share in mixed.items()}


def _compute_rates(groups, usable, models, workload, config) -> dict[str, float]:
    rates: dict[str, float] = defaultdict(float)
    for group in groups:
        if not group.segments:
            continue
        rate = make_layout(group, usable, models, workload, config).rate_without_failures()
        for name, share in group.mix:
            rates[name] += rate * share
    return dict(rates)


def _collect_stages(group, usable, models, workload, config) -> dict[str, list[Stage]]:
    if not group.segments:
        return {}
    return make_layout(group, usable, models, workload, config).stages()
