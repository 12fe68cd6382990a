"""Layout of chains: which server holds which layers."""

from basilwinch.chains.pipe import count_chain_crossings, count_crossings
from basilwinch.record import Record

__all__ = ["Member", "plan_chains"]

# KV cache of a chain, in requests of the usual size. Above the first, further memory hardly adds to
# what a chain serves in time; below the second, a chain is not worth its weights.
_WANTED_REQUESTS = 30
_LEAST_REQUESTS = 8
_REQUESTS = (_WANTED_REQUESTS, _LEAST_REQUESTS)


class Member(Record):
    """A server and the layers that it holds within a chain."""

    __slots__ = ("server", "first", "end")


def plan_chains(
    servers: list, engine, held: list[list[Member]], missed: frozenset = frozenset()
) -> list[list[Member]]:
    """Return the chains of a service.

    :param servers: entries of servers that live and stay
    :param engine: :class:`~basilwinch.view.Engine` of the service
    :param held: chains planned before, which are kept as far as they can be
    :param missed: ids of servers that went a short while ago. A chain that lacks only such servers
        and can't be mended is kept: its other members serve on mixed paths, and a server that
        crashed or is replaced comes back sooner than a new chain is loaded.
    :returns: chains, each in order of layers

    Notes
    -----
    A chain stays within a zone where it can, since all zones share one pipe. Within a zone the fast
    servers come first, so that few chains wait for slow cards. Time O(n log n) for n servers.
    """
    usable = {s.id: s for s in servers if s.kind in engine.kinds}
    allowed = count_chain_crossings(engine)
    free = dict(usable)
    chains, broken = [], []
    for chain in held:
        for member in chain:
            free.pop(member.server, None)
        intact = all(member.server in usable for member in chain)
        (chains if intact else broken).append(chain)
    for chain in broken:
        lost = [member.server for member in chain if member.server not in usable]
        mended = _mend(chain, usable, free, engine, _left(allowed, chains, usable))
        if mended is not None:
            chains.append(mended)
        elif missed.issuperset(lost):
            chains.append(chain)
        else:
            free |= {m.server: usable[m.server] for m in chain if m.server in usable}
    # Beside the chains that there were, only a good one is worth the reserve that mends the others.
    wanted = (_WANTED_REQUESTS,) if held and len(chains) >= len(held) else _REQUESTS
    return chains + _form(free, engine, wanted, _left(allowed, chains, usable))


def _left(allowed: int | None, chains, usable) -> int | None:
    """Return how often further chains may cross between zones; None is without a limit."""
    if allowed is None:
        return None
    return allowed - sum(_count_crossings(chain, usable) for chain in chains)


def _count_crossings(chain, usable) -> int:
    return count_crossings([usable[m.server].zone for m in chain if m.server in usable])


def _mend(chain, usable, free, engine, crossings: int | None) -> list[Member] | None:
    """Fill the holes of a chain from free servers, or return None and take none.

    :param crossings: how often the chain may cross between zones; None is without a limit
    """
    taken: list[str] = []
    mended = []
    zones = [usable[m.server].zone for m in chain if m.server in usable]
    home = max(set(zones), key=zones.count) if zones else ""
    for member in chain:
        if member.server in usable:
            mended.append(member)
            continue
        position = member.first
        spare = [s for s in free.values() if s.id not in taken]
        for server in _sort_spare(spare, home, member.end - member.first, engine):
            if position == member.end:
                break
            count = min(_room(server, engine, _LEAST_REQUESTS), member.end - position)
            if count > 0:
                mended.append(Member(server.id, position, position + count))
                taken.append(server.id)
                position += count
        if position < member.end:
            return None
    if crossings is not None and _count_crossings(mended, usable) > crossings:
        return None
    for server_id in taken:
        del free[server_id]
    return mended


def _sort_spare(spare: list, home: str, layers: int, engine) -> list:
    """Sort free servers for a hole: the same zone first, then the smallest that fills it alone."""

    def rank(server):
        room = _room(server, engine, _LEAST_REQUESTS)
        return (server.zone != home, room < layers, abs(room - layers), server.id)

    return sorted(spare, key=rank)


def _form(free: dict, engine, wanted: tuple, crossings: int | None) -> list[list[Member]]:
    """Form new chains from free servers, within zones first."""
    servers = dict(free)
    chains = []
    for zone in sorted({server.zone for server in free.values()}):
        pool = [server for server in free.values() if server.zone == zone]
        chains += _form_from(pool, free, engine, wanted)
    for chain in _form_from(list(free.values()), free, engine, wanted):
        count = _count_crossings(chain, servers)
        if crossings is None or count <= crossings:
            chains.append(chain)
            crossings = None if crossings is None else crossings - count
    return chains


def _form_from(pool: list, free: dict, engine, wanted: tuple) -> list[list[Member]]:
    chains = []
    pool.sort(key=lambda s: (engine.kinds[s.kind].step_factor, s.zone, s.id))
    while True:
        group = _take_group(pool, engine, wanted)
        if group is None:
            return chains
        chain = _split(group, engine)
        chains.append(chain)
        used = {member.server for member in chain}
        pool = [server for server in pool if server.id not in used]
        for server_id in used:
            free.pop(server_id, None)


def _take_group(pool: list, engine, wanted: tuple) -> list | None:
    """Return the first servers that have room for a chain, or None."""
    for requests in wanted:
        layers = 0
        for count, server in enumerate(pool, 1):
            layers += _room(server, engine, requests)
            if layers >= engine.layers:
                return pool[:count]
    return None


def _split(group: list, engine) -> list[Member]:
    """Divide the layers in proportion to memory, which leaves the same number of tokens to each."""
    group = sorted(group, key=lambda s: (s.zone, engine.kinds[s.kind].step_factor, s.id))
    total = sum(engine.kinds[s.kind].memory_mb for s in group)
    position, memory = 0, 0.0
    members = []
    for server in group:
        memory += engine.kinds[server.kind].memory_mb
        end = round(engine.layers * memory / total)
        end = min(end, position + _room(server, engine, 0))
        if end > position:
            members.append(Member(server.id, position, end))
        position = end
    missing = engine.layers - position
    return members if not missing else _split_greedily(group, engine)


def _split_greedily(group: list, engine) -> list[Member]:
    """Fill each server up to the least KV cache; used where rounding leaves layers over."""
    position = 0
    members = []
    for server in group:
        count = min(_room(server, engine, _LEAST_REQUESTS), engine.layers - position)
        if count > 0:
            members.append(Member(server.id, position, position + count))
            position += count
    return members


def _room(server, engine, requests: int) -> int:
    """Return the layers that fit beside the KV cache of some requests of the usual size."""
    cache_mb = requests * engine.usual_tokens * engine.token_layer_bytes / 1e6
    return int(engine.kinds[server.kind].memory_mb // (engine.layer_mb + cache_mb))
