"""Conversion between placements and the holdings of servers in the catalog."""

from collections import defaultdict

from basilwinch.catalog import Catalog, Holding
from basilwinch.pipeline import Placement, Stage

__all__ = ["read_placements", "render_holdings"]


def render_holdings(placements) -> dict[str, Holding]:
    """Return the holding of each server that the placements use.

    :param placements: iterable of :class:`~basilwinch.pipeline.Placement`

    >>> holding = render_holdings([Placement("m", "v1", (Stage("s1", 0, 4),))])["s1"]
    >>> holding.stages
    ('m/v1/0/4',)
    """
    stages = defaultdict(list)
    for placement in placements:
        for stage in placement.stages:
            text = f"{placement.model}/{placement.version}/{stage.first}/{stage.end}"
            stages[stage.server].append(text)
    return {server: Holding(server, tuple(sorted(texts))) for server, texts in stages.items()}


def read_placements(catalog: Catalog) -> dict[str, Placement]:
    """Return the placements by model according to the holdings of a catalog.

    Holdings of withdrawn servers and models are left out, because requests are no longer routed
    to them.

    :param catalog: the state in effect. Linear in the number of holdings.
    """
    stages = defaultdict(list)
    versions = {}
    for server, holding in catalog.holdings.items():
        if server not in catalog.servers:
            continue
        for text in holding.stages:
            model, version, first, end = text.split("/")
            if model in catalog.models:
                stages[model].append(Stage(server, int(first), int(end)))
                versions[model] = version
    return {
        model: Placement(model, versions[model], tuple(found)) for model, found in stages.items()
    }
