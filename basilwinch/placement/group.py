"""Division of a fleet into groups of servers and assignment of models to the groups."""

from collections import defaultdict

from basilwinch.placement.bound import Workload, bound_of_fleet
from basilwinch.placement.layout import Bundle, Layout, Segment
from basilwinch.placement.search import find_layout, perturb
from basilwinch.record import Record

__all__ = ["Group", "divide_models", "divide_servers", "make_layout", "plan_group"]

# A model with a smaller share of a group would need a copy of its weights for very few requests.
MIN_MODEL_SHARE_OF_GROUP = 0.03
# Bundling stops at this share of the bound, because each further partition takes up to 0.5 s.
BUNDLING_STOP_SHARE_OF_BOUND = 0.97
# Maximum number of units (a model, or several small models) that are partitioned into bundles.
MAX_BUNDLING_UNITS = 5


class Group(Record):
    """A group of servers, divided among the segments of its bundles of models.

    :param region: region of its servers, empty if they are in several regions
    :param mix: tuple of (model, share) pairs; shares add up to 1
    :param bundles: tuple of bundles, each a tuple of names of models placed on the same servers
    :param segments: tuple of (bundle index, layers by model, tuple of server names)
    :param idle: names of servers that hold no layers
    """

    __slots__ = ("region", "mix", "bundles", "segments", "idle")
    _defaults = {"idle": ()}

    @property
    def servers(self) -> list[str]:
        """Names of all servers of the group."""
        return [name for segment in self.segments for name in segment[2]] + list(self.idle)

    @classmethod
    def from_json_dict(cls, fields: dict) -> "Group":
        """Build a group from its JSON form.

        :raises TypeError, KeyError, ValueError: on a malformed group
        """
        return cls(
            fields["region"],
            tuple((name, share) for name, share in fields["mix"]),
            tuple(tuple(names) for names in fields["bundles"]),
            tuple((bundle, tuple(n), tuple(names)) for bundle, n, names in fields["segments"]),
            tuple(fields["idle"]),
        )


def divide_servers(servers, size: int) -> list[list]:
    """Divide servers into groups of about ``size`` with an even mix of zones, rates and memory.

    :param servers: iterable of servers
    :returns: list of groups, each within one region. Time O(n log n).
    """
    regions = defaultdict(list)
    for server in servers:
        regions[server.region].append(server)
    groups = []
    for _, members in sorted(regions.items()):
        members.sort(key=lambda s: (s.tokens_per_s, s.memory_bytes, s.zone, s.name))
        count = max(1, round(len(members) / size))
        groups += [members[index::count] for index in range(count)]
    return groups


def divide_models(groups, models, workload) -> list[dict[str, float]]:
    """Assign models to groups, so that each region serves the models in proportion to demand.

    :param groups: list of lists of servers, each of one region
    :returns: one dict of shares by model for each group. The models are assigned to the
        groups of a region one after the other in proportion to their work, so most groups have
        one or two models.
    """
    work = {
        name: weight * models[name].layers
        for name, weight in sorted(workload.demand.items())
        if weight > 0 and name in models
    }
    by_region = defaultdict(list)
    for index, group in enumerate(groups):
        by_region[group[0].region].append(index)
    mixes: list[dict[str, float]] = [{} for _ in groups]
    total_work = sum(work.values())
    for indices in by_region.values():
        group_rates = {i: sum(server.tokens_per_s for server in groups[i]) for i in indices}
        total = sum(group_rates.values())
        group_intervals, position = [], 0.0
        for index in indices:
            group_intervals.append((position, position + group_rates[index] / total, index))
            position = group_intervals[-1][1]
        start = 0.0
        for name in sorted(work, key=lambda name: (-work[name], name)):
            end = start + work[name] / total_work
            overlaps = [(min(end, high) - max(start, low), i) for low, high, i in group_intervals]
            widths = {i: group_rates[i] / total for i in indices}
            kept = [
                (overlap, i)
                for overlap, i in overlaps
                if overlap > MIN_MODEL_SHARE_OF_GROUP * widths[i]
            ]
            for overlap, index in kept or [max(overlaps)]:
                # Work divided by the number of layers gives the share of tokens.
                mixes[index][name] = max(overlap, 1e-6) / models[name].layers
            start = end
    return [_normalise(mix) for mix in mixes]


def _normalise(mix):
    total = sum(mix.values())
    return {name: share / total for name, share in mix.items()}


def plan_group(servers, mix, models, workload, config, perturbations, rng) -> Group | None:
    """Plan a group without an earlier plan.

    :param servers: its servers
    :param mix: dict of shares by model
    :param perturbations: rounds of perturbation and search after the first local optimum
    :returns: the group, or None if its servers cannot hold every layer of every model
    """
    group_workload = workload.replace(demand=mix)
    target = bound_of_fleet(servers, models, group_workload).tokens_per_s
    if target <= 0:
        return None
    for reserve in dict.fromkeys((config.zone_reserve, 0.0)):
        best, best_rate = None, 0.0
        group_config = config.replace(zone_reserve=reserve)
        for names in _list_partitions(mix, models):
            # Each bundle needs 4 servers or more; a single bundle is always tried.
            if len(names) * 4 > max(len(servers), 4):
                continue
            bundles = _make_bundles(names, mix, models, group_workload, config)
            layout = find_layout(servers, bundles, group_config, target, rng)
            if (
                min(layout.mix_rates, default=0.0) > 0
                and layout.rate_without_failures() > best_rate
            ):
                best, best_rate = (names, layout), layout.rate_without_failures()
            if best_rate >= BUNDLING_STOP_SHARE_OF_BOUND * target:
                break
        if best is not None:
            layout = perturb(best[1], group_config, perturbations, target, rng)
            return make_group(layout, _find_region(servers), mix, best[0])
    return None


def _make_bundles(names_by_bundle, mix, models, workload, config) -> list[Bundle]:
    return [
        Bundle([(models[n], mix[n]) for n in names], workload, config.cache_memory_share)
        for names in names_by_bundle
    ]


def _find_region(servers) -> str:
    regions = {server.region for server in servers}
    return regions.pop() if len(regions) == 1 else ""


def _list_partitions(mix, models) -> list[tuple]:
    """Return the partitions of the models into bundles.

    Partitions with one bundle for each unit and with a single bundle come first. A single bundle
    gives the best balance but needs the maximum memory for weights.

    With more than ``MAX_BUNDLING_UNITS`` models, those with the least work form one unit, because
    the number of partitions grows as the Bell numbers (52 for five).
    """
    names = sorted(mix, key=lambda name: (-mix[name] * models[name].layers, name))
    units = [(name,) for name in names[: MAX_BUNDLING_UNITS - 1]]
    if names[MAX_BUNDLING_UNITS - 1 :]:
        units.append(tuple(names[MAX_BUNDLING_UNITS - 1 :]))
    found: list[tuple] = [()]
    for unit in units:
        found = [
            bundles[:i] + (bundles[i] + unit,) + bundles[i + 1 :]
            for bundles in found
            for i in range(len(bundles))
        ] + [(*bundles, unit) for bundles in found]
    return sorted(found, key=lambda bundles: (len(bundles) not in (1, len(units)), -len(bundles)))


def make_group(layout: Layout, region: str, mix, bundles) -> Group:
    """Return the group record of a layout."""
    segments, idle = [], set(layout.servers)
    for index, members in enumerate(layout.members):
        names = tuple(sorted(s.name for s in members if layout.rate(s, index) > 0))
        segments.append((layout.bundle_of[index], layout.lengths[index], names))
        idle.difference_update(names)
    return Group(
        region, tuple(sorted(mix.items())), tuple(bundles), tuple(segments), tuple(sorted(idle))
    )


def make_layout(group: Group, servers, models, workload: Workload, config) -> Layout:
    """Return the layout of a group with those of its servers that are still usable.

    :param servers: dict of the usable servers by name
    """
    mix = dict(group.mix)
    group_workload = workload.replace(demand=mix)
    bundles = _make_bundles(group.bundles, mix, models, group_workload, config)
    present = [servers[name] for name in group.servers if name in servers]
    zones = {server.zone for server in present}
    reserve = config.zone_reserve if len(zones) > 1 else 0.0
    segments = [Segment(bundle, lengths) for bundle, lengths, _ in group.segments]
    layout = Layout(present, bundles, segments, reserve)
    for index, (_, _, names) in enumerate(group.segments):
        layout.set_members(index, [servers[name] for name in names if name in servers])
    return layout
