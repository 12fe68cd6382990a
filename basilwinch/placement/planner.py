"""Planner: which server holds which layers of which model."""

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
    group_of,
    layout_of,
    plan_group,
)
from basilwinch.placement.search import add_servers, improve
from basilwinch.record import Record

__all__ = ["Plan", "Planner", "PlannerConfig", "changed_servers"]


class PlannerConfig(Record):
    """Settings of the planner.

    :param group_size: servers in a group; larger groups balance better and take longer to plan
    :param cache_part: part of each server's memory that stays free of weights
    :param zone_reserve: part of the rate of each segment that stays after the loss of any zone
    :param steps: changes tried from each start of the search
    :param kicks: rounds of search after the first local optimum, shared by the groups
    :param max_moves: servers of a group that may get another layer range in one replan
    :param min_gain: least relative gain in rate for each moved server
    :param rebuild_below: part of the rate of a fresh plan of a group below which it is taken
    :param rebuild_joined: part of a group that joins at once from which on it is planned afresh if
        it stays below ``rebuild_gain``
    :param rebuild_gain: part of the rate of a fresh plan of such a group
    """

    __slots__ = (
        "group_size",
        "cache_part",
        "zone_reserve",
        "steps",
        "kicks",
        "max_moves",
        "min_gain",
        "rebuild_below",
        "rebuild_joined",
        "rebuild_gain",
    )
    _defaults = {
        "group_size": 40,
        "cache_part": 0.1,
        "zone_reserve": 0.34,
        "steps": 300,
        "kicks": 60,
        "max_moves": 4,
        "min_gain": 0.02,
        "rebuild_below": 0.5,
        "rebuild_joined": 0.2,
        "rebuild_gain": 0.9,
    }


class Plan(Record):
    """Declared targets.

    :param placements: dict of :class:`~basilwinch.pipeline.Placement` by model
    :param groups: tuple of :class:`~basilwinch.placement.group.Group`
    :param rates: dict of the planned tokens a second by model
    :param failures: dict of ``NO_CHAIN`` failures by model that has no chain
    """

    __slots__ = ("placements", "groups", "rates", "failures")
    _defaults = {"failures": {}}


class Planner:
    """Plans placements and adapts them to losses, joins and changed demand.

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
        """Build a planner."""
        return cls(config, rng, log)

    def plan(self, servers, models, workload: Workload, versions=None) -> Plan:
        """Plan from nothing.

        :param servers: dict of servers by name; only live ones with a rate are used
        :param models: dict of models by name
        :param workload: mix of models and size of sequences
        :param versions: dict of the version by model, empty for the only one
        :returns: a plan; models that fit nowhere are in its ``failures``
        """
        usable = _usable(servers)
        workload = _known(workload, models)
        divided = divide_servers(usable.values(), self._config.group_size)
        mixes = divide_models(divided, models, workload) if workload.demand else []
        groups = []
        for members, mix in zip(divided, mixes, strict=False):
            kicks = max(2, self._config.kicks // len(divided))
            group = self._plan_group(members, mix, models, workload, kicks) if mix else None
            groups.append(group or _idle_group(members, mix))
        groups = self._cover(groups, usable, models, workload)
        return self._finish(groups, usable, models, workload, versions, "fresh")

    def replan(self, plan: Plan, servers, models, workload: Workload, versions=None) -> Plan:
        """Adapt a plan with few moves.

        :param plan: the plan in force
        :returns: a plan in which groups without a change keep their stages
        """
        usable = _usable(servers)
        workload = _known(workload, models)
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
            # No group is left, or none was there.
            return self.plan(servers, models, workload, versions)
        adapted = self._balance(adapted, usable, models, workload)
        adapted = self._cover(adapted, usable, models, workload)
        return self._finish(adapted, usable, models, workload, versions, "replan")

    def _plan_group(self, members, mix, models, workload, kicks=2) -> Group | None:
        return plan_group(members, mix, models, workload, self._config, kicks, self._rng)

    def _adapt(self, group, joined, usable, models, workload) -> Group:
        """Fill the gaps of a group; plan it afresh only if it stays far below what is possible."""
        config = self._config
        known = {n: usable[n] for n in group.servers if n in usable}
        known |= {server.name: server for server in joined}
        candidate = group.replace(idle=(*group.idle, *(server.name for server in joined)))
        layout = layout_of(candidate, known, models, workload, config)
        waiting = [known[n] for n in candidate.idle if n in known]
        add_servers(layout, waiting)
        # New servers load anyway, so a wave of joins or losses may move as many others.
        budget = config.max_moves + len(waiting) + len(group.servers) - len(layout.servers)
        budget = max(budget, config.max_moves)
        improve(layout, config.steps, self._rng, budget, config.min_gain)
        if not min(layout.values, default=0.0):
            layout.relax()
            improve(layout, config.steps, self._rng, budget, config.min_gain)
        kept = group_of(layout, group.region, dict(group.mix), group.bundles)
        rate = layout.plain_rate()
        grown = len(waiting) > config.rebuild_joined * len(known)
        if rate and not grown and len(known) > config.rebuild_below * len(group.servers):
            return kept
        fresh = self._plan_group(list(known.values()), dict(group.mix), models, workload)
        if fresh is None:
            return kept
        fresh_rate = layout_of(fresh, known, models, workload, config).plain_rate()
        # While a large part loads anyway, a good layout is worth loading the rest too.
        least = config.rebuild_gain if grown else config.rebuild_below
        return fresh if rate < least * fresh_rate else kept

    def _group_for(self, server, groups, joined) -> int:
        """Return the index of the group that a new server joins, -1 if there is none."""
        near = [i for i, group in enumerate(groups) if group.region in (server.region, "")]
        near = near or range(len(groups))
        size = {i: len(groups[i].servers) + len(joined[i]) for i in near}
        return min(near, key=size.__getitem__, default=-1)

    def _balance(self, groups, usable, models, workload) -> list[Group]:
        """Plan single groups afresh until no model is far short of its share of the demand."""
        groups = list(groups)
        shares = _shares(workload)
        for _ in range(max(2, len(groups) // 4)):
            rates = _rates(groups, usable, models, workload, self._config)
            served = {name: rates.get(name, 0.0) / share for name, share in shares.items()}
            if not served:
                break
            short = min(served, key=served.__getitem__)
            rich = max(served, key=served.__getitem__)
            total = sum(rates.values())
            if served[short] >= 0.7 * total or served[rich] <= 0:
                break
            owners = [i for i, group in enumerate(groups) if rich in dict(group.mix)]
            index = max(owners, key=lambda i: (dict(groups[i].mix)[rich], -i))
            mix = _shifted_mix(dict(groups[index].mix), short, shares, served, models)
            members = [usable[n] for n in groups[index].servers if n in usable]
            fresh = self._plan_group(members, mix, models, workload) if members else None
            if fresh is None:
                break
            groups[index] = fresh
        return groups

    def _cover(self, groups, usable, models, workload) -> list[Group]:
        """Make sure that every model has a chain, if need be with one group over all servers."""
        held = _rates(groups, usable, models, workload, self._config)
        wanted = _shares(workload)
        if all(held.get(name, 0.0) > 0 for name in wanted) or not usable:
            return groups
        mix = dict(wanted)
        while len(mix) > sum(held.get(name, 0.0) > 0 for name in wanted):
            group = self._plan_group(list(usable.values()), mix, models, workload)
            if group is not None:
                return [group]
            del mix[min(mix, key=lambda name: (mix[name], name))]
        return groups

    def _finish(self, groups, usable, models, workload, versions, reason) -> Plan:
        stages = defaultdict(list)
        for group in groups:
            for name, found in _stages(group, usable, models, workload, self._config).items():
                stages[name] += found
        versions = versions or {}
        placements = {
            name: Placement(name, versions.get(name, ""), tuple(sorted(found, key=_by_server)))
            for name, found in sorted(stages.items())
        }
        rates = _rates(groups, usable, models, workload, self._config)
        failures: dict[str, Failure] = {
            name: NO_CHAIN.because(f"the live servers cannot hold model {name}")
            for name in _shares(workload)
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
    """Return the servers that hold something else after a replan, without those that were lost.

    :param before: placements in force
    :param after: placements to come
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


def _usable(servers) -> dict:
    return {
        name: server
        for name, server in sorted(servers.items())
        if server.state is ServerState.LIVE and server.tokens_per_s > 0 and server.memory_bytes > 0
    }


def _known(workload, models):
    return workload.replace(demand={n: w for n, w in workload.demand.items() if n in models})


def _shares(workload) -> dict[str, float]:
    total = sum(workload.demand.values())
    return {name: w / total for name, w in sorted(workload.demand.items()) if w > 0}


def _idle_group(members, mix) -> Group:
    names = tuple(sorted(server.name for server in members))
    return Group(members[0].region, tuple(sorted(mix.items())), (), (), names)


def _shifted_mix(mix, short, shares, served, models) -> dict[str, float]:
    """Return a mix that serves ``short`` instead of the models that have more than their share."""
    mean = sum(served[name] * shares[name] for name in shares)
    kept = {n: share for n, share in mix.items() if served.get(n, 0.0) <= mean or len(mix) == 1}
    total = sum(kept.values()) or 1.0
    part = shares[short] if len(kept) < len(mix) or len(mix) == 1 else 0.5
    mixed = {name: share / total * (1 - part) for name, share in kept.items()}
    mixed[short] = mixed.get(short, 0.0) + part
    total = sum(mixed.values())
    return {name: share / total for name, share in mixed.items()}


def _rates(groups, usable, models, workload, config) -> dict[str, float]:
    rates: dict[str, float] = defaultdict(float)
    for group in groups:
        if not group.segments:
            continue
        rate = layout_of(group, usable, models, workload, config).plain_rate()
        for name, share in group.mix:
            rates[name] += rate * share
    return dict(rates)


def _stages(group, usable, models, workload, config) -> dict[str, list[Stage]]:
    if not group.segments:
        return {}
    return layout_of(group, usable, models, workload, config).stages()
