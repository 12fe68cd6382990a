"""A configuration as it is written, including entries that have no effect."""

from collections.abc import Iterable, Iterator
from types import MappingProxyType

from basilwinch.record import Record

__all__ = ["Draft", "Entry", "KeyHolder", "find_repeated", "format_targets", "format_time"]

_NOTHING = MappingProxyType({})


class Entry(Record):
    """An entry of a list.

    :param place: place of the entry in the document, such as ``routes[3]``
    :param value: :class:`~basilwinch.view.Route` or :class:`~basilwinch.view.Service`
    :param field_names: dict of the names that only this entry uses, by field
    """

    __slots__ = ("place", "value", "field_names")
    _defaults = {"field_names": _NOTHING}


class KeyHolder(Record):
    """An organisation with its API keys.

    :param place: place of the entry in the document, such as ``organisations[3]``
    :param value: :class:`~basilwinch.view.Organisation`
    :param keys: its API keys, which no finding may contain
    :param field_names: as in :class:`Entry`
    """

    __slots__ = ("place", "value", "keys", "field_names")
    _defaults = {"field_names": _NOTHING}


class Draft(Record):
    """A configuration that has not been published.

    Unlike :class:`~basilwinch.view.Configuration`, it keeps repeated entries, and organisations
    without a key. Entries that can't be decoded are left out.

    :param version: number of the configuration
    :param routes: tuple of :class:`Entry`
    :param services: tuple of :class:`Entry`
    :param organisations: tuple of :class:`KeyHolder`, None if no keys are needed
    :param limits: :class:`~basilwinch.view.CallerLimits`
    :param field_names: dict of the names that the document uses, by field
    :param server_counts: dict of the number of servers by service, where it is known
    :param complete: whether all entries could be decoded
    """

    __slots__ = (
        "version",
        "routes",
        "services",
        "organisations",
        "limits",
        "field_names",
        "server_counts",
        "complete",
    )
    _defaults = {"field_names": _NOTHING, "server_counts": _NOTHING, "complete": True}

    def find_place(self, entry: Entry | KeyHolder, field: str) -> str:
        """Return the place of a field of an entry."""
        name = entry.field_names.get(field) or self.field_names.get(field, field)
        return f"{entry.place}.{name}"

    def find_limit_place(self, field: str) -> str:
        """Return the place of a limit of callers."""
        return f"limits.{self.field_names.get(field, field)}"


def find_repeated(pairs: Iterable[tuple]) -> Iterator[tuple]:
    """Yield each item whose value has occurred before, with the first item that has the value.

    :param pairs: pairs of a value and an item

    >>> list(find_repeated([("x", 1), ("y", 2), ("x", 3)]))
    [(3, 1)]
    """
    first = {}
    for value, item in pairs:
        if value in first:
            yield item, first[value]
        else:
            first[value] = item


def format_time(seconds: float) -> str:
    """Return a time in the unit that operators use for it.

    >>> format_time(0.25), format_time(12)
    ('250 ms', '12 s')
    """
    return f"{seconds:g} s" if seconds >= 1 else f"{seconds * 1000:g} ms"


def format_targets(targets) -> str:
    """Return the services of a route, with their weights if there are several.

    >>> format_targets((("a", 9), ("b", 1)))
    'a (weight 9) and b (weight 1)'
    """
    if len(targets) == 1:
        return targets[0][0]
    return " and ".join(f"{service} (weight {weight:g})" for service, weight in targets)
