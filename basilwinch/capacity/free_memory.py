"""Free share of the KV cache of a service's chains."""

from collections import defaultdict

__all__ = ["compute_free_fraction"]


def compute_free_fraction(servers, engine, load) -> float:
    """Return the free share of the KV cache at the layers that have the least, from 0 to 1.

    A chain needs a server for each layer, so the scarcest layers decide how many requests start.

    :param servers: entries of the service's servers
    :param engine: :class:`~basilwinch.view.Engine`
    :param load: :class:`~basilwinch.chains.load.FleetLoad`

    Notes
    -----
    Time O(s + b log b) for s servers and b boundaries of their layer ranges.
    """
    # By boundary: change of the tokens that fit, and of those that are free, from there on.
    changes: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for entry in servers:
        if entry.layers is None or entry.leaving:
            continue
        kind = engine.kinds.get(entry.kind)
        first, end = entry.layers
        layer_count = end - first
        if kind is None or layer_count <= 0 or load.is_suspect(entry.id):
            continue
        memory_mb = kind.memory_mb - layer_count * engine.layer_mb
        tokens = max(memory_mb, 0.0) * 1e6 / engine.token_layer_bytes / layer_count
        free_tokens = max(tokens - load.get_load(entry.id).token_layers / layer_count, 0.0)
        for boundary, sign in ((first, 1), (end, -1)):
            change = changes[boundary]
            change[0] += sign * tokens
            change[1] += sign * free_tokens
    least, total, free, covered_to = 1.0, 0.0, 0.0, 0
    for boundary in sorted(changes):
        if boundary >= engine.layers:
            break
        if boundary > covered_to:
            return 0.0
        change = changes[boundary]
        total += change[0]
        free += change[1]
        # Sums of floats leave a rest of 1e-9 or so where no server holds a layer.
        if total < 1.0:
            return 0.0
        least = min(least, max(free, 0.0) / total)
        covered_to = engine.layers
    return least if covered_to else 0.0
