"""Local search for the layout of a group whose slowest segment has the maximum rate."""

import math

from basilwinch.placement.layout import Layout, Segment, round_spans

__all__ = ["add_servers", "find_layout", "improve", "perturb"]

# The search stops at this share of the bound, because the possible gain does not justify the time.
SEARCH_STOP_SHARE_OF_BOUND = 0.985


def find_layout(servers, bundles, config, target: float, rng) -> Layout:
    """Return the best layout found from several starts.

    :param servers: servers of the group
    :param bundles: list of :class:`~basilwinch.placement.layout.Bundle`
    :param config: :class:`~basilwinch.placement.PlannerConfig`
    :param target: upper bound on the rate of the mix; a result close to it ends the search
    :returns: the layout; its rate is 0 if no layout holds every layer
    """
    zones = {server.zone for server in servers}
    reserve = config.zone_reserve if len(zones) > 1 else 0.0
    best, best_score = Layout(servers, bundles, [], reserve), (-1.0, 0.0)
    seen = set()
    for segments in _generate_starts(servers, bundles):
        if tuple(segments) in seen or len(segments) > len(servers):
            continue
        seen.add(tuple(segments))
        layout = Layout(servers, bundles, segments, reserve)
        add_servers(layout, servers)
        improve(layout, config.max_changes, rng)
        score = _score(layout)
        if score > best_score:
            best, best_score = layout, score
        if score[0] >= SEARCH_STOP_SHARE_OF_BOUND * target:
            break
    return best


def _score(layout) -> tuple[float, float]:
    return min(layout.values, default=0.0), layout.unreserved_rate()


def perturb(layout: Layout, config, perturbations: int, target: float, rng) -> Layout:
    """Escape a local optimum by random swaps of servers; return the best layout found.

    :param perturbations: number of rounds of swaps and search
    :param target: upper bound on the rate of the mix; a result close to it ends the search
    """
    best, best_score = layout, _score(layout)
    for _ in range(perturbations):
        if best_score[0] >= SEARCH_STOP_SHARE_OF_BOUND * target or len(best.members) < 2:
            break
        trial = best.copy()
        for _ in range(rng.randint(1, 3)):
            left, right = rng.sample(range(len(trial.members)), 2)
            mine, theirs = trial.members[left], trial.members[right]
            if mine and theirs:
                outgoing, incoming = rng.choice(mine), rng.choice(theirs)
                trial.set_members(left, [s for s in mine if s is not outgoing] + [incoming])
                trial.set_members(right, [s for s in theirs if s is not incoming] + [outgoing])
        improve(trial, config.max_changes, rng)
        score = _score(trial)
        if score > best_score:
            best, best_score = trial, score
    return best


def _generate_starts(servers, bundles):
    """Yield lists of segments: by class of server first, then in more and more equal segments."""
    for depth_factor in (1.0, 0.75, 0.5):
        yield _segments(
            bundles, [_spans_by_kind(servers, bundle, depth_factor) for bundle in bundles]
        )
    for extra in range(4):
        spans = []
        for bundle in bundles:
            max_depth = max(_find_max_depth(server, bundle) for server in servers)
            spans.append([1.0] * (math.ceil(1.0 / max_depth) + extra) if max_depth else [1.0])
        yield _segments(bundles, spans)


def _segments(bundles, spans_by_bundle) -> list[Segment]:
    segments = []
    for index, (bundle, spans) in enumerate(zip(bundles, spans_by_bundle, strict=True)):
        # Every segment holds at least one layer of the deepest model.
        max_layers = max(model.layers for model in bundle.models)
        spans = spans[:max_layers]
        by_model = [
            round_spans(spans, model.layers, int(model.layers == max_layers))
            for model in bundle.models
        ]
        segments += [Segment(index, lengths) for lengths in zip(*by_model, strict=True)]
    return segments


def _spans_by_kind(servers, bundle, depth_factor) -> list[float]:
    """Return spans of depth: each class of servers gets depth in proportion to its rate.

    :param depth_factor: factor on the maximum depth of a segment for each class
    """
    classes: dict[float, float] = {}
    for server in servers:
        max_depth = _find_max_depth(server, bundle)
        if max_depth:
            classes[max_depth] = classes.get(max_depth, 0.0) + server.tokens_per_s
    total = sum(classes.values())
    spans, pending_span = [], 0.0
    for max_depth, rate in sorted(classes.items()):
        span = pending_span + rate / total
        # A span of less than one layer is added to that of the next class.
        if span * max(model.layers for model in bundle.models) < 1.0:
            pending_span = span
            continue
        pending_span = 0.0
        count = math.ceil(span / (max_depth * depth_factor))
        spans += [span / count] * count
    return spans or [1.0]


def _find_max_depth(server, bundle) -> float:
    """Return the share of the layers that a server can hold at nearly its full rate."""
    whole = bundle.weight_of(tuple(model.layers for model in bundle.models))
    free_bytes = server.memory_bytes * (1 - bundle.cache_memory_share)
    if bundle.kv_per_rate:
        free_bytes = min(
            free_bytes, server.memory_bytes - 0.9 * server.tokens_per_s * bundle.kv_per_rate
        )
    min_bytes = sum(bundle.weights)
    return min(free_bytes / whole, 1.0) if free_bytes >= min_bytes else 0.0


def add_servers(layout: Layout, servers) -> None:
    """Add each server to the slowest segment that fits it; servers that fit none are left out.

    Servers with the fewest possible segments are added first, then the fastest ones.
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

        def coverage(index, server=server):
            members = layout.members[index]
            total = sum(layout.rate(member, index) for member in members)
            work = layout.bundles[layout.bundle_of[index]].work_of(layout.lengths[index])
            same_zone = any(member.zone == server.zone for member in members)
            return total / work, same_zone

        index = min(choices, key=coverage)
        layout.set_members(index, layout.members[index] + [server])


def improve(
    layout: Layout, max_changes: int, rng, max_moves: int | None = None, min_gain: float = 0.0
) -> int:
    """Raise the value of the slowest segment by moving servers, swapping them or shifting layers.

    :param layout: changed in place
    :param max_changes: maximum number of changes
    :param rng: source of randomness
    :param max_moves: maximum number of servers that get another layer range, None for no limit
    :param min_gain: minimum relative gain of a change for each server that it moves
    :returns: number of servers that got another layer range

    Notes: each round tries changes of the slowest segment only. Servers of equal class and zone
    are interchangeable, so one of each is tried: O(segments * classes^2) for a round.
    """
    moved = 0
    for _ in range(max_changes):
        if not layout.values:
            break
        slowest = min(range(len(layout.values)), key=layout.values.__getitem__)
        min_value = layout.values[slowest]
        best, best_score = None, 0.0
        for score, cost, change in _changes(layout, slowest, min_value):
            if max_moves is not None and cost > max_moves - moved:
                continue
            if score - min_value <= min_gain * cost * min_value:
                continue
            # With a limit, changes are ranked by gain for each moved server, else by result.
            rank = (score - min_value) / cost if max_moves is not None else score
            if rank > best_score:
                best, best_score, best_cost = change, rank, cost
        if best is None:
            break
        for segment, members, lengths in best:
            layout.set_members(segment, members, lengths)
        moved += best_cost
    return moved


def _changes(layout: Layout, slowest: int, min_value: float):
    """Yield changes of the slowest segment that raise its value above ``min_value``.

    Each is a tuple of the lower value of both changed segments, the number of moved servers, and
    the (segment, members, lengths) of both.
    """
    own = layout.members[slowest]
    own_kinds = _find_distinct(own)
    for other in range(len(layout.values)):
        if other == slowest:
            continue
        theirs = layout.members[other]
        for server in _find_distinct(theirs):
            rest = [member for member in theirs if member is not server]
            raised_value = layout.value_with(slowest, [*own, server])
            if raised_value <= min_value:
                continue
            other_value = layout.value_with(other, rest)
            if other_value > min_value:
                yield min(raised_value, other_value), 1, (
                    (slowest, [*own, server], None),
                    (other, rest, None),
                )
            for mine in own_kinds:
                if (mine.tokens_per_s, mine.zone) == (server.tokens_per_s, server.zone):
                    continue
                after = [member for member in own if member is not mine] + [server]
                value = layout.value_with(slowest, after)
                if value <= min_value:
                    continue
                swapped = [*rest, mine]
                other_value = layout.value_with(other, swapped)
                if other_value > min_value:
                    yield min(value, other_value), 2, (
                        (slowest, after, None),
                        (other, swapped, None),
                    )
        if layout.bundle_of[other] != layout.bundle_of[slowest]:
            continue
        for model_index, length in enumerate(layout.lengths[slowest]):
            if not length:
                continue
            shorter = _change_layers(layout.lengths[slowest], model_index, -1)
            longer = _change_layers(layout.lengths[other], model_index, 1)
            value = layout.value_with(slowest, own, shorter)
            if value <= min_value:
                continue
            other_value = layout.value_with(other, theirs, longer)
            if other_value > min_value:
                cost = _count_moved_servers(layout, slowest, other)
                yield min(value, other_value), cost, (
                    (slowest, own, shorter),
                    (other, theirs, longer),
                )


def _change_layers(lengths, model_index, delta):
    return (*lengths[:model_index], lengths[model_index] + delta, *lengths[model_index + 1 :])


def _count_moved_servers(layout, slowest, other) -> int:
    """Return how many servers get another range when a layer moves between two segments."""
    between = range(min(slowest, other), max(slowest, other) + 1)
    bundle = layout.bundle_of[slowest]
    return sum(len(layout.members[i]) for i in between if layout.bundle_of[i] == bundle)


def _find_distinct(servers):
    """Return one server of each class and zone."""
    found = {}
    for server in servers:
        found.setdefault((server.tokens_per_s, server.memory_bytes, server.zone), server)
    return list(found.values())
