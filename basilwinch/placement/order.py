"""Derives the orders that are safe now from the targets and from what the servers hold."""

from collections import defaultdict

from basilwinch.pipeline import Placement, Stage
from basilwinch.record import Record
from basilwinch.server import OrderKind

__all__ = ["Step", "find_serving_placements", "find_target_ranges", "has_chain", "next_steps"]


class Step(Record):
    """One order to one server, without the fencing token.

    :param server: name of the server
    :param kind: :class:`~basilwinch.server.OrderKind`, load or unload
    :param layer_range: layer range to load or unload, as (model, version, first, end)
    """

    __slots__ = ("server", "kind", "layer_range")


def find_target_ranges(placements) -> dict[str, set[tuple]]:
    """Return the ranges (model, version, first, end) that each server should hold."""
    targets = defaultdict(set)
    for placement in placements.values():
        for stage in placement.stages:
            targets[stage.server].add((placement.model, placement.version, stage.first, stage.end))
    return targets


def has_chain(ranges, layers: int) -> bool:
    """Tell whether ranges (first, end) contain a chain over all layers.

    Linear in the number of distinct ranges after sorting.

    >>> has_chain([(2, 4), (0, 2)], 4), has_chain([(0, 3), (2, 4)], 4)
    (True, False)
    """
    reached = {0}
    for first, end in sorted(set(ranges)):
        if first in reached:
            reached.add(end)
    return layers in reached


def find_serving_placements(held, withdrawn, placements, models) -> dict[str, Placement]:
    """Return the placements that requests may use now.

    :param held: dict of sets of held ranges by server
    :param withdrawn: set of (server, range) withdrawn from service, which get no new requests
    :param placements: targets by model, which give the target version
    :returns: for each model the stages of the target version if they contain a chain, else those of
        another version that has a chain
    """
    by_version = defaultdict(list)
    for server, ranges in sorted(held.items()):
        for layer_range in sorted(ranges):
            if (server, layer_range) not in withdrawn:
                model, version, first, end = layer_range
                by_version[model, version].append(Stage(server, first, end))
    found = {}
    for name, model in sorted(models.items()):
        target = placements[name].version if name in placements else ""
        versions = sorted({v for m, v in by_version if m == name}, key=lambda v: (v != target, v))
        for version in versions:
            stages = by_version[name, version]
            if has_chain([(s.first, s.end) for s in stages], model.layers):
                found[name] = Placement(name, version, tuple(stages))
                break
    return found


def next_steps(placements, held, withdrawn, busy, servers, models):
    """Return the safe next steps.

    Loads come first where the memory suffices. A range is withdrawn from service only if no model
    loses its last chain, and is unloaded only after its streams have ended.

    :param placements: targets
    :param held: dict of sets of held ranges by server, as last read; servers without an entry have
        not been read and get no order
    :param withdrawn: set of (server, range) withdrawn from service
    :param busy: set of (server, range) whose streams have not ended or whose order is in flight
    :param servers: dict of live servers by name
    :param models: dict of models by name
    :returns: (steps, ranges to withdraw from service, ranges to return to service)
    """
    target_ranges_by_server = find_target_ranges(placements)
    steps, to_withdraw, to_restore = [], [], []
    in_service = defaultdict(list)
    for server, ranges in held.items():
        for layer_range in ranges:
            if server in servers and (server, layer_range) not in withdrawn:
                in_service[layer_range[:2]].append((layer_range[2:], server))
    for name in sorted(held.keys() & servers.keys()):
        ranges, target_ranges = held[name], target_ranges_by_server.get(name, set())
        missing, surplus = sorted(target_ranges - ranges), sorted(ranges - target_ranges)
        to_restore += [
            (name, layer_range)
            for layer_range in target_ranges & ranges
            if (name, layer_range) in withdrawn
        ]
        free_bytes = servers[name].memory_bytes - sum(
            _weight_bytes(layer_range, models) for layer_range in ranges
        )
        free_bytes -= sum(
            _weight_bytes(layer_range, models)
            for server, layer_range in busy
            if server == name and layer_range not in ranges
        )
        for layer_range in missing:
            if (name, layer_range) in busy:
                continue
            if layer_range[0] in models and _weight_bytes(layer_range, models) <= free_bytes:
                free_bytes -= _weight_bytes(layer_range, models)
                steps.append(Step(name, OrderKind.LOAD, layer_range))
        if any(step.server == name for step in steps[-len(missing) :]) or any(
            (name, layer_range) in busy for layer_range in missing
        ):
            # Load before unload: surplus ranges stay in service while missing ones that fit in
            # memory are loaded.
            continue
        for layer_range in surplus:
            if (name, layer_range) in withdrawn:
                if (name, layer_range) not in busy:
                    steps.append(Step(name, OrderKind.UNLOAD, layer_range))
            elif _may_withdraw(name, layer_range, in_service, models):
                to_withdraw.append((name, layer_range))
                in_service[layer_range[:2]].remove((layer_range[2:], name))
    return steps, to_withdraw, to_restore


def _may_withdraw(name, layer_range, in_service, models) -> bool:
    """Tell whether a range can be withdrawn without the loss of its model's last chain."""
    model = models.get(layer_range[0])
    if model is None:
        return True
    present = in_service[layer_range[:2]]
    rest = [span for span, server in present if (span, server) != (layer_range[2:], name)]
    if has_chain(rest, model.layers):
        return True
    if not has_chain([span for span, _ in present], model.layers):
        return True
    # Another version with a chain can take the requests.
    return any(
        has_chain([span for span, _ in spans], model.layers)
        for (other, version), spans in in_service.items()
        if other == layer_range[0] and version != layer_range[1]
    )


def _weight_bytes(layer_range, models) -> int:
    model = models.get(layer_range[0])
    return (layer_range[3] - layer_range[2]) * model.weight_bytes_per_layer if model else 0
