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
    return min(layout.mix_rates, default=0.0), layout.rate_without_failures()


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
    """Yield lists of segments.

    They are first divided by class of server, then into a growing number of equal segments.
    """
    for share_factor in (1.0, 0.75, 0.5):
        yield _segments(
            bundles, [_spans_by_class(servers, bundle, share_factor) for bundle in bundles]
        )
    for extra in range(4):
        spans = []
        for bundle in bundles:
            max_layer_share = max(_find_max_layer_share(server, bundle) for server in servers)
            spans.append(
                [1.0] * (math.ceil(1.0 / max_layer_share) + extra) if max_layer_share else [1.0]
            )
        yield _segments(bundles, spans)


def _segments(bundles, spans_by_bundle) -> list[Segment]:
    segments = []
    for index, (bundle, spans) in enumerate(zip(bundles, spans_by_bundle, strict=True)):
        # Every segment holds at least one layer of the model with the maximum number of layers.
        max_layers = max(model.layers for model in bundle.models)
        spans = spans[:max_layers]
        by_model = [
            round_spans(spans, model.layers, int(model.layers == max_layers))
            for model in bundle.models
        ]
        segments += [Segment(index, lengths) for lengths in zip(*by_model, strict=True)]
    return segments


def _spans_by_class(servers, bundle, share_factor) -> list[float]:
    """Return the share of all layers for each segment.

    Servers that can hold the same share of the layers form a class. Each class gets layers in
    proportion to its rate.

    :param share_factor: factor on the maximum share of the layers in a segment, for each class
    """
    rate_by_max_layer_share: dict[float, float] = {}
    for server in servers:
        max_layer_share = _find_max_layer_share(server, bundle)
        if max_layer_share:
            rate_by_max_layer_share[max_layer_share] = (
                rate_by_max_layer_share.get(max_layer_share, 0.0) + server.tokens_per_s
            )
    total = sum(rate_by_max_layer_share.values())
    spans, pending_span = [], 0.0
    for max_layer_share, rate in sorted(rate_by_max_layer_share.items()):
        span = pending_span + rate / total
        # A span of less than one layer is added to that of the next class.
        if span * max(model.layers for model in bundle.models) < 1.0:
            pending_span = span
            continue
        pending_span = 0.0
        count = math.ceil(span / (max_layer_share * share_factor))
        spans += [span / count] * count
    return spans or [1.0]


def _find_max_layer_share(server, bundle) -> float:
    """Return the share of the layers that a server can hold at nearly its full rate."""
    whole = bundle.weight_bytes_of(tuple(model.layers for model in bundle.models))
    free_bytes = server.memory_bytes * (1 - bundle.cache_memory_share)
    if bundle.kv_bytes_per_rate:
        free_bytes = min(
            free_bytes, server.memory_bytes - 0.9 * server.tokens_per_s * bundle.kv_bytes_per_rate
        )
    min_bytes = sum(bundle.weight_bytes_per_layer)
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

        def rank_segment(index, server=server):
            """Slowest first; among equals, segments without a server in this zone first."""
            members = layout.members[index]
            total = sum(layout.rate(member, index) for member in members)
            work = layout.bundles[layout.bundle_of[index]].work_of(layout.lengths[index])
            same_zone = any(member.zone == server.zone for member in members)
            return total / work, same_zone

        index = min(choices, key=rank_segment)
        layout.set_members(index, layout.members[index] + [server])


def improve(
    layout: Layout, max_changes: int, rng, max_moves: int | None = None, min_gain: float = 0.0
) -> int:
    """Raise the mix rate of the slowest segment by moving or swapping servers or shifting layers.

    :param layout: changed in place
    :param max_changes: maximum number of changes
    :param rng: not used
    :param max_moves: maximum number of servers that get another layer range, None for no limit
    :param min_gain: minimum relative gain of a change for each server that it moves
    :returns: number of servers that got another layer range

    Notes: each round tries changes of the slowest segment only. Servers with equal rate, memory
    and zone are interchangeable, so one of each combination is tried:
    O(segments * combinations^2) for a round.
    """
    moved = 0
    for _ in range(max_changes):
        if not layout.mix_rates:
            break
        slowest = min(range(len(layout.mix_rates)), key=layout.mix_rates.__getitem__)
        min_mix_rate = layout.mix_rates[slowest]
        best, best_score = None, 0.0
        for score, cost, change in _changes(layout, slowest, min_mix_rate):
            if max_moves is not None and cost > max_moves - moved:
                continue
            if score - min_mix_rate <= min_gain * cost * min_mix_rate:
                continue
            # With a limit, changes are ranked by gain for each moved server, else by result.
            rank = (score - min_mix_rate) / cost if max_moves is not None else score
            if rank > best_score:
                best, best_score, best_cost = change, rank, cost
        if best is None:
            break
        for segment, members, lengths in best:
            layout.set_members(segment, members, lengths)
        moved += best_cost
    return moved


def _changes(layout: Layout, slowest: int, min_mix_rate: float):
    """Yield changes that leave the slowest and the other changed segment above ``min_mix_rate``.

    Each is a tuple of the lower mix rate of both changed segments, the number of moved servers, and
    the (segment, members, lengths) of both.
    """
    own = layout.members[slowest]
    own_distinct = _find_distinct(own)
    for other in range(len(layout.mix_rates)):
        if other == slowest:
            continue
        theirs = layout.members[other]
        for server in _find_distinct(theirs):
            rest = [member for member in theirs if member is not server]
            raised_mix_rate = layout.mix_rate_with(slowest, [*own, server])
            if raised_mix_rate <= min_mix_rate:
                continue
            other_mix_rate = layout.mix_rate_with(other, rest)
            if other_mix_rate > min_mix_rate:
                yield min(raised_mix_rate, other_mix_rate), 1, (
                    (slowest, [*own, server], None),
                    (other, rest, None),
                )
            for mine in own_distinct:
                if (mine.tokens_per_s, mine.zone) == (server.tokens_per_s, server.zone):
                    continue
                after = [member for member in own if member is not mine] + [server]
                mix_rate = layout.mix_rate_with(slowest, after)
                if mix_rate <= min_mix_rate:
                    continue
                swapped = [*rest, mine]
                other_mix_rate = layout.mix_rate_with(other, swapped)
                if other_mix_rate > min_mix_rate:
                    yield min(mix_rate, other_mix_rate), 2, (
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
            mix_rate = layout.mix_rate_with(slowest, own, shorter)
            if mix_rate <= min_mix_rate:
                continue
            other_mix_rate = layout.mix_rate_with(other, theirs, longer)
            if other_mix_rate > min_mix_rate:
                cost = _count_moved_servers(layout, slowest, other)
                yield min(mix_rate, other_mix_rate), cost, (
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
    """Return one server of each combination of rate, memory and zone."""
    found = {}
    for server in servers:
        found.setdefault((server.tokens_per_s, server.memory_bytes, server.zone), server)
    return list(found.values())
