"""Derives the orders that are safe now from the targets and from what the servers hold."""

from collections import defaultdict

from basilwinch.pipeline import Placement, Stage
from basilwinch.record import Record
from basilwinch.server import OrderKind

__all__ = ["Step", "find_serving_placements", "has_chain", "next_steps", "wanted_ranges"]


class Step(Record):
    """One order to one server, without the fencing token.

    :param server: name of the server
    :param kind: :class:`~basilwinch.server.OrderKind`, load or unload
    :param held: layer range to load or unload, as (model, version, first, end)
    """

    __slots__ = ("server", "kind", "held")


def wanted_ranges(placements) -> dict[str, set[tuple]]:
    """Return the ranges (model, version, first, end) that each server should hold."""
    wanted = defaultdict(set)
    for placement in placements.values():
        for stage in placement.stages:
            wanted[stage.server].add((placement.model, placement.version, stage.first, stage.end))
    return wanted


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
        for entry in sorted(ranges):
            if (server, entry) not in withdrawn:
                model, version, first, end = entry
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
    wanted = wanted_ranges(placements)
    steps, to_withdraw, to_restore = [], [], []
    in_service = defaultdict(list)
    for server, ranges in held.items():
        for entry in ranges:
            if server in servers and (server, entry) not in withdrawn:
                in_service[entry[:2]].append((entry[2:], server))
    for name in sorted(held.keys() & servers.keys()):
        ranges, target_ranges = held[name], wanted.get(name, set())
        missing, surplus = sorted(target_ranges - ranges), sorted(ranges - target_ranges)
        to_restore += [
            (name, entry) for entry in target_ranges & ranges if (name, entry) in withdrawn
        ]
        free_bytes = servers[name].memory_bytes - sum(
            _weight_bytes(entry, models) for entry in ranges
        )
        free_bytes -= sum(
            _weight_bytes(entry, models)
            for server, entry in busy
            if server == name and entry not in ranges
        )
        for entry in missing:
            if (name, entry) in busy:
                continue
            if entry[0] in models and _weight_bytes(entry, models) <= free_bytes:
                free_bytes -= _weight_bytes(entry, models)
                steps.append(Step(name, OrderKind.LOAD, entry))
        if any(step.server == name for step in steps[-len(missing) :]) or any(
            (name, entry) in busy for entry in missing
        ):
            # The server continues to serve its present ranges until the missing ones are loaded.
            continue
        for entry in surplus:
            if (name, entry) in withdrawn:
                if (name, entry) not in busy:
                    steps.append(Step(name, OrderKind.UNLOAD, entry))
            elif _may_withdraw(name, entry, in_service, models):
                to_withdraw.append((name, entry))
                in_service[entry[:2]].remove((entry[2:], name))
    return steps, to_withdraw, to_restore


def _may_withdraw(name, entry, in_service, models) -> bool:
    """Tell whether a range can be withdrawn without the loss of its model's last chain."""
    model = models.get(entry[0])
    if model is None:
        return True
    present = in_service[entry[:2]]
    rest = [span for span, server in present if (span, server) != (entry[2:], name)]
    if has_chain(rest, model.layers):
        return True
    if not has_chain([span for span, _ in present], model.layers):
        return True
    # Another version with a chain can take the requests.
    return any(
        has_chain([span for span, _ in spans], model.layers)
        for (other, version), spans in in_service.items()
        if other == entry[0] and version != entry[1]
    )


def _weight_bytes(entry, models) -> int:
    model = models.get(entry[0])
    return (entry[3] - entry[2]) * model.weight_bytes_per_layer if model else 0
