"""Division of a fleet into groups of servers, and of the models among the groups."""

from collections import defaultdict

from basilwinch.placement.bound import Workload, bound_of_fleet
from basilwinch.placement.layout import Bundle, Layout, Segment
from basilwinch.placement.search import find_layout, shake
from basilwinch.record import Record

__all__ = ["Group", "divide_models", "divide_servers", "layout_of", "plan_group"]

# A slice of a model below this part of a group costs a copy of its weights for next to no requests.
LEAST_SLICE = 0.03
# No more ways to bundle are tried from this part of the bound on; each takes up to 0.5 s.
GOOD_BUNDLING = 0.97
# Models of a group that are bundled freely.
MOST_UNITS = 5


class Group(Record):
    """A group of servers in one region that share segment boundaries.

    :param region: region of its servers, empty if they are of several
    :param mix: tuple of (model, share) pairs; shares add up to 1
    :param bundles: tuple of tuples of model names that share boundaries
    :param segments: tuple of (bundle index, layers by model, tuple of server names)
    :param idle: names of servers that hold nothing because nothing fits them
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
    """Divide servers into groups of about ``size``, each with an even mix of zones and kinds.

    :param servers: iterable of servers
    :returns: list of groups, none across regions. O(n log n).
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
    """Give each group its mix of models, so that each region carries the mix of the workload.

    :param groups: list of lists of servers, those of a region next to each other
    :returns: one dict of shares by model for each group. The models of a region are laid along its
        groups in proportion to their work, so all but a few groups have one or two models.
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
        supply = {i: sum(server.tokens_per_s for server in groups[i]) for i in indices}
        total = sum(supply.values())
        end_of_group, reach = [], 0.0
        for index in indices:
            end_of_group.append((reach, reach + supply[index] / total, index))
            reach = end_of_group[-1][1]
        start = 0.0
        for name in sorted(work, key=lambda name: (-work[name], name)):
            end = start + work[name] / total_work
            parts = [(min(end, high) - max(start, low), i) for low, high, i in end_of_group]
            widths = {i: supply[i] / total for i in indices}
            kept = [(part, i) for part, i in parts if part > LEAST_SLICE * widths[i]]
            for part, index in kept or [max(parts)]:
                # Work divided by layers is the share of tokens.
                mixes[index][name] = max(part, 1e-6) / models[name].layers
            start = end
    return [_normalised(mix) for mix in mixes]


def _normalised(mix):
    total = sum(mix.values())
    return {name: share / total for name, share in mix.items()}


def plan_group(servers, mix, models, workload, config, kicks, rng) -> Group | None:
    """Plan a group from nothing.

    :param servers: its servers
    :param mix: dict of shares by model
    :param kicks: rounds of search after the first local optimum
    :returns: the group, or None if its servers cannot hold every layer of every model
    """
    own = workload.replace(demand=mix)
    target = bound_of_fleet(servers, models, own).tokens_per_s
    if target <= 0:
        return None
    for reserve in dict.fromkeys((config.zone_reserve, 0.0)):
        best, best_rate = None, 0.0
        chosen = config.replace(zone_reserve=reserve)
        for names in _partitions(mix, models):
            if len(names) * 4 > max(len(servers), 4):
                continue
            bundles = _bundles(names, mix, models, own, config)
            layout = find_layout(servers, bundles, chosen, target, rng)
            if min(layout.values, default=0.0) > 0 and layout.plain_rate() > best_rate:
                best, best_rate = (names, layout), layout.plain_rate()
            if best_rate >= GOOD_BUNDLING * target:
                break
        if best is not None:
            layout = shake(best[1], chosen, kicks, target, rng)
            return group_of(layout, _region(servers), mix, best[0])
    return None


def _bundles(names_by_bundle, mix, models, workload, config) -> list[Bundle]:
    return [
        Bundle([(models[n], mix[n]) for n in names], workload, config.cache_part)
        for names in names_by_bundle
    ]


def _region(servers) -> str:
    regions = {server.region for server in servers}
    return regions.pop() if len(regions) == 1 else ""


def _partitions(mix, models) -> list[tuple]:
    """Return the ways to bundle the models: each on its own, all in one, then all others.

    All in one balances best but needs the most memory for weights.

    With more than ``MOST_UNITS`` models, those with the least work stay together, because the
    number of partitions grows as the Bell numbers (52 for five).
    """
    names = sorted(mix, key=lambda name: (-mix[name] * models[name].layers, name))
    units = [(name,) for name in names[: MOST_UNITS - 1]]
    if names[MOST_UNITS - 1 :]:
        units.append(tuple(names[MOST_UNITS - 1 :]))
    found: list[tuple] = [()]
    for unit in units:
        found = [
            bundles[:i] + (bundles[i] + unit,) + bundles[i + 1 :]
            for bundles in found
            for i in range(len(bundles))
        ] + [(*bundles, unit) for bundles in found]
    return sorted(found, key=lambda bundles: (len(bundles) not in (1, len(units)), -len(bundles)))


def group_of(layout: Layout, region: str, mix, bundles) -> Group:
    """Return the value form of a layout."""
    segments, idle = [], set(layout.servers)
    for index, members in enumerate(layout.members):
        names = tuple(sorted(s.name for s in members if layout.rate(s, index) > 0))
        segments.append((layout.bundle_of[index], layout.lengths[index], names))
        idle.difference_update(names)
    return Group(
        region, tuple(sorted(mix.items())), tuple(bundles), tuple(segments), tuple(sorted(idle))
    )


def layout_of(group: Group, servers, models, workload: Workload, config) -> Layout:
    """Return the layout of a group with the servers that are left of it.

    :param servers: dict of the usable servers by name
    """
    mix = dict(group.mix)
    own = workload.replace(demand=mix)
    bundles = _bundles(group.bundles, mix, models, own, config)
    present = [servers[name] for name in group.servers if name in servers]
    zones = {server.zone for server in present}
    reserve = config.zone_reserve if len(zones) > 1 else 0.0
    segments = [Segment(bundle, lengths) for bundle, lengths, _ in group.segments]
    layout = Layout(present, bundles, segments, reserve)
    for index, (_, _, names) in enumerate(group.segments):
        layout.place(index, [servers[name] for name in names if name in servers])
    return layout
