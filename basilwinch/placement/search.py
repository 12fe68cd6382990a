"""Search for the layout of a group with the greatest rate of its slowest segment."""

import math

from basilwinch.placement.layout import Layout, Segment, round_spans

__all__ = ["add_servers", "find_layout", "improve", "shake"]

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
    zones = {server.zone for server in servers}
    reserve = config.zone_reserve if len(zones) > 1 else 0.0
    best, best_score = Layout(servers, bundles, [], reserve), (-1.0, 0.0)
    seen = set()
    for segments in _starts(servers, bundles):
        if tuple(segments) in seen or len(segments) > len(servers):
            continue
        seen.add(tuple(segments))
        layout = Layout(servers, bundles, segments, reserve)
        add_servers(layout, servers)
        improve(layout, config.steps, rng)
        score = _score(layout)
        if score > best_score:
            best, best_score = layout, score
        if score[0] >= GOOD_ENOUGH * target:
            break
    return best


def _score(layout) -> tuple[float, float]:
    return min(layout.values, default=0.0), layout.plain_rate()


def shake(layout: Layout, config, kicks: int, target: float, rng) -> Layout:
    """Search on from a local optimum after random swaps; return the best layout found.

    :param kicks: number of rounds
    """
    best, best_score = layout, _score(layout)
    for _ in range(kicks):
        if best_score[0] >= GOOD_ENOUGH * target or len(best.members) < 2:
            break
        trial = best.copy()
        for _ in range(rng.randint(1, 3)):
            left, right = rng.sample(range(len(trial.members)), 2)
            mine, theirs = trial.members[left], trial.members[right]
            if mine and theirs:
                out, back = rng.choice(mine), rng.choice(theirs)
                trial.place(left, [s for s in mine if s is not out] + [back])
                trial.place(right, [s for s in theirs if s is not back] + [out])
        improve(trial, config.steps, rng)
        score = _score(trial)
        if score > best_score:
            best, best_score = trial, score
    return best


def _starts(servers, bundles):
    """Yield lists of segments: by kind of server first, then equal splits of growing number."""
    for narrow in (1.0, 0.75, 0.5):
        yield _segments(bundles, [_spans_by_kind(servers, bundle, narrow) for bundle in bundles])
    for extra in range(4):
        spans = []
        for bundle in bundles:
            widest = max(_longest(server, bundle) for server in servers)
            spans.append([1.0] * (math.ceil(1.0 / widest) + extra) if widest else [1.0])
        yield _segments(bundles, spans)


def _segments(bundles, spans_by_bundle) -> list[Segment]:
    segments = []
    for index, (bundle, spans) in enumerate(zip(bundles, spans_by_bundle, strict=True)):
        # Every segment holds at least one layer of the deepest model.
        deepest = max(model.layers for model in bundle.models)
        spans = spans[:deepest]
        by_model = [
            round_spans(spans, model.layers, int(model.layers == deepest))
            for model in bundle.models
        ]
        segments += [Segment(index, lengths) for lengths in zip(*by_model, strict=True)]
    return segments


def _spans_by_kind(servers, bundle, narrow) -> list[float]:
    """Give each class of server depth in proportion to its rate, in segments that fit it."""
    classes: dict[float, float] = {}
    for server in servers:
        longest = _longest(server, bundle)
        if longest:
            classes[longest] = classes.get(longest, 0.0) + server.tokens_per_s
    total = sum(classes.values())
    spans, carried = [], 0.0
    for longest, rate in sorted(classes.items()):
        span = carried + rate / total
        # A segment of less than a layer is left to the next class.
        if span * max(model.layers for model in bundle.models) < 1.0:
            carried = span
            continue
        carried = 0.0
        count = math.ceil(span / (longest * narrow))
        spans += [span / count] * count
    return spans or [1.0]


def _longest(server, bundle) -> float:
    """Return the part of the depth that a server can hold at nearly its full rate."""
    whole = bundle.weight_of(tuple(model.layers for model in bundle.models))
    free = server.memory_bytes * (1 - bundle.cache_part)
    if bundle.kv_per_rate:
        free = min(free, server.memory_bytes - 0.9 * server.tokens_per_s * bundle.kv_per_rate)
    least = sum(bundle.weights)
    return min(free / whole, 1.0) if free >= least else 0.0


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
            work = layout.bundles[layout.bundle_of[index]].work_of(layout.lengths[index])
            same_zone = any(member.zone == server.zone for member in members)
            return total / work, same_zone

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
        for segment, members, lengths in best:
            layout.place(segment, members, lengths)
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
        if layout.bundle_of[other] != layout.bundle_of[low]:
            continue
        for place, length in enumerate(layout.lengths[low]):
            if not length:
                continue
            shorter = _with_more(layout.lengths[low], place, -1)
            longer = _with_more(layout.lengths[other], place, 1)
            value = layout.value_with(low, own, shorter)
            if value <= floor:
                continue
            kept = layout.value_with(other, theirs, longer)
            if kept > floor:
                cost = _shifted(layout, low, other)
                yield min(value, kept), cost, ((low, own, shorter), (other, theirs, longer))


def _with_more(lengths, place, step):
    return (*lengths[:place], lengths[place] + step, *lengths[place + 1 :])


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
