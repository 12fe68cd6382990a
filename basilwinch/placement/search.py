"""Search for the layout of a group with the greatest rate of its slowest segment."""

import math

from basilwinch.placement.layout import Layout, Rates, Segment

__all__ = ["add_servers", "find_layout", "improve"]

# A start that reaches this part of the bound ends the search; the next starts cost more time than
# the rest can gain.
GOOD_ENOUGH = 0.985


def find_layout(servers, bundles, config, target: float, rng) -> Layout:
    """Return the best layout found from several starts.

    :param servers: servers of the group
    :param bundles: list of :class:`~basilwinch.placement.layout.Bundle`
    :param config: :class:`~basilwinch.placement.PlannerConfig`
    :param target: rate of the mix that would be the best possible; a close result ends the search
    :returns: the layout; its rate is 0 if no layout holds every layer
    """
    rates = Rates(bundles, config.cache_part)
    zones = {server.zone for server in servers}
    reserve = config.zone_reserve if len(zones) > 1 else 0.0
    best, best_score = Layout(servers, rates, [], reserve), (-1.0, 0.0)
    seen = set()
    for segments in _starts(servers, bundles, rates):
        if tuple(segments) in seen or len(segments) > len(servers):
            continue
        seen.add(tuple(segments))
        layout = Layout(servers, rates, segments, reserve)
        add_servers(layout, servers)
        improve(layout, config.steps, rng)
        score = (min(layout.values), layout.plain_rate())
        if score > best_score:
            best, best_score = layout, score
        if score[0] >= GOOD_ENOUGH * target:
            break
    return best


def _starts(servers, bundles, rates):
    """Yield lists of segments: by kind of server first, then equal splits of growing number."""
    for narrow in (1.0, 0.75, 0.5):
        yield [
            Segment(index, length)
            for index, bundle in enumerate(bundles)
            for length in _lengths_by_kind(servers, index, bundle, rates, narrow)
        ]
    for extra in range(4):
        segments = []
        for index, bundle in enumerate(bundles):
            widest = max(_longest(rates.of(server)[index]) for server in servers)
            if widest == 0:
                return
            count = min(math.ceil(bundle.layers / widest) + extra, bundle.layers)
            segments += [Segment(index, n) for n in _round([1.0] * count, bundle.layers)]
        yield segments


def _lengths_by_kind(servers, index, bundle, rates, narrow) -> list[int]:
    """Give each class of server layers in proportion to its rate, in segments that fit it."""
    classes: dict[int, float] = {}
    for server in servers:
        longest = _longest(rates.of(server)[index])
        if longest:
            classes[longest] = classes.get(longest, 0.0) + server.tokens_per_s
    total = sum(classes.values())
    spans, carried = [], 0.0
    for longest, rate in sorted(classes.items()):
        span = carried + bundle.layers * rate / total
        if span < 1.0:
            carried = span
            continue
        carried = 0.0
        count = math.ceil(span / max(1, math.floor(longest * narrow)))
        spans += [span / count] * count
    if not spans:
        return [bundle.layers]
    return _round(spans, bundle.layers)


def _longest(rates: list[float]) -> int:
    """Return the greatest length at which a server still reaches nearly its full rate."""
    full = rates[1] if len(rates) > 1 else 0.0
    return max((n for n, rate in enumerate(rates) if n and rate > 0.9 * full > 0), default=0)


def _round(spans: list[float], total: int) -> list[int]:
    """Round spans to positive integers with a given sum, the largest remainders up."""
    scale = total / sum(spans)
    lengths = [max(1, math.floor(span * scale)) for span in spans]
    order = sorted(range(len(spans)), key=lambda i: lengths[i] - spans[i] * scale)
    index = 0
    while sum(lengths) != total:
        step = 1 if sum(lengths) < total else -1
        place = order[index % len(order)] if step > 0 else lengths.index(max(lengths))
        lengths[place] += step
        index += 1
        if lengths[place] == 0:
            del lengths[place]
            order = list(range(len(lengths)))
    return lengths


def add_servers(layout: Layout, servers) -> None:
    """Add servers to the segments that need them most; those that fit nowhere stay out.

    Servers with the fewest possible segments go first, then the fastest ones.
    """
    indices = range(len(layout.lengths))
    fitting = {s.name: [i for i in indices if layout.rate(s, i) > 0] for s in servers}
    for server in sorted(
        servers,
        key=lambda s: (
            (len(fitting[s.name]), -layout.rate(s, fitting[s.name][0]), s.name)
            if fitting[s.name]
            else (0, 0.0, s.name)
        ),
    ):
        choices = fitting[server.name]
        if not choices:
            continue

        def need(index, server=server):
            members = layout.members[index]
            total = sum(layout.rate(member, index) for member in members)
            bundle = layout.rates.bundles[layout.bundle_of[index]]
            same_zone = any(member.zone == server.zone for member in members)
            return total / (bundle.work * layout.lengths[index]), same_zone

        index = min(choices, key=need)
        layout.place(index, layout.members[index] + [server])


def improve(layout: Layout, steps: int, rng, budget: int | None = None, gain: float = 0.0) -> int:
    """Raise the value of the slowest segment by moving servers, swapping them or shifting layers.

    :param layout: changed in place
    :param steps: greatest number of changes
    :param rng: source of randomness, to choose among equal changes
    :param budget: greatest number of servers that may get another layer range, None for no limit
    :param gain: least relative gain of a change for each server that it moves
    :returns: servers that got another layer range

    Notes: each step looks at changes of the slowest segment only. Servers of equal class and zone
    are interchangeable, so one of each is tried: O(segments * classes^2) for a step.
    """
    moved = 0
    for _ in range(steps):
        if not layout.values:
            break
        low = min(range(len(layout.values)), key=layout.values.__getitem__)
        floor = layout.values[low]
        best, best_score = None, 0.0
        for score, cost, change in _changes(layout, low, floor):
            if budget is not None and cost > budget - moved:
                continue
            if score - floor <= gain * cost * floor:
                continue
            # With a budget the gain for each moved server counts, else the result.
            rank = (score - floor) / cost if budget is not None else score
            if rank > best_score:
                best, best_score, best_cost = change, rank, cost
        if best is None:
            break
        for segment, members, length in best:
            layout.place(segment, members, length)
        moved += best_cost
    return moved


def _changes(layout: Layout, low: int, floor: float):
    """Yield (lower value of both segments, servers moved, change) for the slowest segment."""
    own = layout.members[low]
    own_kinds = _distinct(own)
    for other in range(len(layout.values)):
        if other == low:
            continue
        theirs = layout.members[other]
        for server in _distinct(theirs):
            rest = [member for member in theirs if member is not server]
            given = layout.value_with(low, [*own, server])
            if given <= floor:
                continue
            kept = layout.value_with(other, rest)
            if kept > floor:
                yield min(given, kept), 1, ((low, [*own, server], None), (other, rest, None))
            for mine in own_kinds:
                if (mine.tokens_per_s, mine.zone) == (server.tokens_per_s, server.zone):
                    continue
                after = [member for member in own if member is not mine] + [server]
                value = layout.value_with(low, after)
                if value <= floor:
                    continue
                swapped = [*rest, mine]
                kept = layout.value_with(other, swapped)
                if kept > floor:
                    yield min(value, kept), 2, ((low, after, None), (other, swapped, None))
        if layout.bundle_of[other] == layout.bundle_of[low] and layout.lengths[low] > 1:
            shorter, longer = layout.lengths[low] - 1, layout.lengths[other] + 1
            value = layout.value_with(low, own, shorter)
            kept = layout.value_with(other, theirs, longer)
            if value > floor and kept > floor:
                cost = _shifted(layout, low, other)
                yield min(value, kept), cost, ((low, own, shorter), (other, theirs, longer))


def _shifted(layout, low, other) -> int:
    """Return how many servers get another range when a layer moves between two segments."""
    between = range(min(low, other), max(low, other) + 1)
    bundle = layout.bundle_of[low]
    return sum(len(layout.members[i]) for i in between if layout.bundle_of[i] == bundle)


def _distinct(servers):
    """Return one server of each class and zone."""
    found = {}
    for server in servers:
        found.setdefault((server.tokens_per_s, server.memory_bytes, server.zone), server)
    return list(found.values())
