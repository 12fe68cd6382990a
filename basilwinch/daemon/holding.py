"""Release notes that put placements in effect."""

from basilwinch.catalog import Catalog
from basilwinch.placement import render_holdings
from basilwinch.release import ReleaseNote, Verb
from basilwinch.release.note import Item

__all__ = ["build_holding_note"]

# Title of the note, and its name in errors in place of a file name.
NOTE_NAME = "placement"
# The note is not read from a file, so its entries have no line numbers.
_NO_LINES = {"": 0}


def build_holding_note(catalog: Catalog, placements, kept=()) -> ReleaseNote:
    """Return the note that turns the holdings of a catalog into those of some placements.

    Placements are published as release notes, so that they are distributed and stored by the same
    mechanism as every other change.

    :param catalog: the newest catalog on the platform
    :param placements: iterable of :class:`~basilwinch.pipeline.Placement`
    :param kept: holdings to keep even if the placements do not contain them
    :returns: a note, without items if nothing changes. Linear in the number of holdings.
    """
    wanted = {holding.name: holding for holding in kept} | render_holdings(placements)
    items = []
    for name, holding in sorted(wanted.items()):
        held = catalog.holdings.get(name)
        if held is None or held.stages != holding.stages:
            verb = Verb.ADDED if held is None else Verb.CHANGED
            items.append(Item(verb, "holding", name, {"stages": list(holding.stages)}, _NO_LINES))
    for name in sorted(catalog.holdings):
        if name not in wanted:
            items.append(Item(Verb.WITHDRAWN, "holding", name, {}, _NO_LINES))
    return ReleaseNote(NOTE_NAME, NOTE_NAME, tuple(items))
