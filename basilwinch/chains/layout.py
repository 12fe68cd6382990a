"""Layout of chains: which servers hold which layers."""

from basilwinch.chains.zone_link import compute_crossing_limit, count_crossings
from basilwinch.record import Record

__all__ = ["ChainMember", "plan_chains"]

# KV cache of a chain, in requests of mean size. Memory above this hardly raises the number of
# requests that a chain serves within the objective.
_TARGET_CHAIN_REQUESTS = 30
# With less KV cache than this, a chain serves too few requests for the memory of its weights.
_MIN_CHAIN_REQUESTS = 8
# Sizes of the KV cache of a new chain, in order of preference.
_CACHE_SIZES_REQUESTS = (_TARGET_CHAIN_REQUESTS, _MIN_CHAIN_REQUESTS)


class ChainMember(Record):
    """A server of a chain and the layers that it holds: from ``first`` up to, without, ``end``."""

    __slots__ = ("server", "first", "end")


def plan_chains(
    servers: list,
    engine,
    current_chains: list[list[ChainMember]],
    recently_lost: frozenset = frozenset(),
) -> list[list[ChainMember]]:
    """Return the chains of a service.

    :param servers: entries of registered servers that are not leaving
    :param engine: :class:`~basilwinch.view.Engine` of the service
    :param current_chains: chains planned before, which are kept where possible
    :param recently_lost: ids of servers that disappeared a short while ago. A chain that lacks only
        such servers and can't be repaired is kept: its other members still serve on paths that join
        members of several chains, and a server that crashed or is replaced comes back sooner than
        a new chain is loaded.
    :returns: chains, each in order of layers

    Notes
    -----
    A chain stays within one zone where possible, since all zones share one link. Within a zone,
    chains are built from the fastest servers first, so that few chains include slow accelerators.
    Time O(n log n) for n servers.
    """
    usable = {s.id: s for s in servers if s.kind in engine.kinds}
    max_crossings = compute_crossing_limit(engine)
    free = dict(usable)
    chains, broken = [], []
    for chain in current_chains:
        for member in chain:
            free.pop(member.server, None)
        intact = all(member.server in usable for member in chain)
        (chains if intact else broken).append(chain)
    for chain in broken:
        lost = [member.server for member in chain if member.server not in usable]
        repaired = _repair(
            chain, usable, free, engine, _compute_remaining_crossings(max_crossings, chains, usable)
        )
        if repaired is not None:
            chains.append(repaired)
        elif recently_lost.issuperset(lost):
            chains.append(chain)
        else:
            free |= {m.server: usable[m.server] for m in chain if m.server in usable}
    # While no chain is lost, free servers are kept as spares to repair chains, unless they can form
    # a further chain of the target size.
    cache_sizes = (
        (_TARGET_CHAIN_REQUESTS,)
        if current_chains and len(chains) >= len(current_chains)
        else _CACHE_SIZES_REQUESTS
    )
    return chains + _build_chains(
        free, engine, cache_sizes, _compute_remaining_crossings(max_crossings, chains, usable)
    )


def _compute_remaining_crossings(max_crossings: int | None, chains, usable) -> int | None:
    """Return how many crossings further chains may have, or None for no limit."""
    if max_crossings is None:
        return None
    return max_crossings - sum(_count_crossings(chain, usable) for chain in chains)


def _count_crossings(chain, usable) -> int:
    return count_crossings([usable[m.server].zone for m in chain if m.server in usable])


def _repair(chain, usable, free, engine, max_crossings: int | None) -> list[ChainMember] | None:
    """Replace the lost members of a chain by free servers, or return None and take none.

    :param max_crossings: how many crossings between zones the chain may have, None for no limit
    :returns: the repaired chain; the servers that it takes are removed from ``free``
    """
    taken: list[str] = []
    repaired = []
    zones = [usable[m.server].zone for m in chain if m.server in usable]
    main_zone = max(set(zones), key=zones.count) if zones else ""
    for member in chain:
        if member.server in usable:
            repaired.append(member)
            continue
        position = member.first
        candidates = [s for s in free.values() if s.id not in taken]
        for server in _sort_candidates(candidates, main_zone, member.end - member.first, engine):
            if position == member.end:
                break
            count = min(
                _compute_layer_capacity(server, engine, _MIN_CHAIN_REQUESTS), member.end - position
            )
            if count > 0:
                repaired.append(ChainMember(server.id, position, position + count))
                taken.append(server.id)
                position += count
        if position < member.end:
            return None
    if max_crossings is not None and _count_crossings(repaired, usable) > max_crossings:
        return None
    for server_id in taken:
        del free[server_id]
    return repaired


def _sort_candidates(candidates: list, main_zone: str, layers: int, engine) -> list:
    """Sort free servers as replacements of a lost member.

    Servers of the main zone come first. Within each group, those that can hold all the layers come
    first, the smallest of them in front; then the others, the largest in front.
    """

    def rank(server):
        capacity = _compute_layer_capacity(server, engine, _MIN_CHAIN_REQUESTS)
        return (server.zone != main_zone, capacity < layers, abs(capacity - layers), server.id)

    return sorted(candidates, key=rank)


def _build_chains(
    free: dict, engine, cache_sizes: tuple, max_crossings: int | None
) -> list[list[ChainMember]]:
    """Build new chains from free servers, first within zones, then across them.

    :param cache_sizes: sizes of the KV cache in requests of mean size, in order of preference
    :param max_crossings: how many crossings between zones they may have together, None for no limit
    """
    servers = dict(free)
    chains = []
    for zone in sorted({server.zone for server in free.values()}):
        pool = [server for server in free.values() if server.zone == zone]
        chains += _build_from_pool(pool, free, engine, cache_sizes)
    for chain in _build_from_pool(list(free.values()), free, engine, cache_sizes):
        count = _count_crossings(chain, servers)
        if max_crossings is None or count <= max_crossings:
            chains.append(chain)
            max_crossings = None if max_crossings is None else max_crossings - count
    return chains


def _build_from_pool(pool: list, free: dict, engine, cache_sizes: tuple) -> list[list[ChainMember]]:
    chains = []
    pool.sort(key=lambda s: (engine.kinds[s.kind].step_factor, s.zone, s.id))
    while True:
        group = _pick_servers(pool, engine, cache_sizes)
        if group is None:
            return chains
        chain = _split_layers(group, engine)
        chains.append(chain)
        used = {member.server for member in chain}
        pool = [server for server in pool if server.id not in used]
        for server_id in used:
            free.pop(server_id, None)


def _pick_servers(pool: list, engine, cache_sizes: tuple) -> list | None:
    """Return the shortest prefix of the pool that has memory for a chain, or None.

    The KV cache has the first of the sizes for which there is such a prefix.
    """
    for requests in cache_sizes:
        layers = 0
        for count, server in enumerate(pool, 1):
            layers += _compute_layer_capacity(server, engine, requests)
            if layers >= engine.layers:
                return pool[:count]
    return None


def _split_layers(group: list, engine) -> list[ChainMember]:
    """Divide the layers in proportion to memory.

    All members then have KV cache for the same number of tokens.
    """
    group = sorted(group, key=lambda s: (s.zone, engine.kinds[s.kind].step_factor, s.id))
    total = sum(engine.kinds[s.kind].memory_mb for s in group)
    position, memory = 0, 0.0
    members = []
    for server in group:
        memory += engine.kinds[server.kind].memory_mb
        end = round(engine.layers * memory / total)
        end = min(end, position + _compute_layer_capacity(server, engine, 0))
        if end > position:
            members.append(ChainMember(server.id, position, end))
        position = end
    missing = engine.layers - position
    return members if not missing else _split_layers_greedily(group, engine)


def _split_layers_greedily(group: list, engine) -> list[ChainMember]:
    """Give each server the layers that fit beside the minimum KV cache.

    This is used where rounding leaves layers unassigned.
    """
    position = 0
    members = []
    for server in group:
        count = min(
            _compute_layer_capacity(server, engine, _MIN_CHAIN_REQUESTS), engine.layers - position
        )
        if count > 0:
            members.append(ChainMember(server.id, position, position + count))
            position += count
    return members


def _compute_layer_capacity(server, engine, requests: int) -> int:
    """Return how many layers fit beside the KV cache of a number of requests of mean size."""
    cache_mb = requests * engine.mean_request_tokens * engine.token_layer_bytes / 1e6
    return int(engine.kinds[server.kind].memory_mb // (engine.layer_mb + cache_mb))
