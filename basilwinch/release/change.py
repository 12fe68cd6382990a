"""Changes of entries, as a note makes them or as the difference of two revisions."""

from collections.abc import Iterable

from basilwinch.record import Record
from basilwinch.release.note import Verb

__all__ = ["Change", "changed_entry_keys", "combine"]


class Change(Record):
    """The change of one entry.

    :param verb: :class:`~basilwinch.release.Verb`
    :param kind: kind of the entry
    :param name: name of the entry
    :param after: all values after the change, None if withdrawn
    :param before: old values of the changed fields; all old values if withdrawn; None if added
    """

    __slots__ = ("verb", "kind", "name", "after", "before")

    def __init__(self, *args, **fields):
        super().__init__(*args, **fields)
        self.verb = Verb(self.verb)

    @classmethod
    def between(cls, kind: str, name: str, before: dict | None, after: dict | None):
        """Return the change from all old to all new values of an entry, None if they are equal."""
        if before == after:
            return None
        if before is None:
            return cls(Verb.ADDED, kind, name, after, None)
        if after is None:
            return cls(Verb.WITHDRAWN, kind, name, None, before)
        old = {key: value for key, value in before.items() if after.get(key) != value}
        return cls(Verb.CHANGED, kind, name, after, old)

    @classmethod
    def from_list(cls, fields: list) -> "Change":
        """Build a change from its JSON form.

        :raises TypeError, ValueError: on a malformed change
        """
        verb, kind, name, after, before = fields
        return cls(verb, kind, name, after, before)

    @property
    def key(self) -> str:
        """Key of the entry, ``kind/name``."""
        return f"{self.kind}/{self.name}"

    @property
    def full_before(self) -> dict | None:
        """All values before the change, None if the entry did not exist."""
        return self.after | self.before if self.verb is Verb.CHANGED else self.before

    def to_list(self) -> list:
        """Return the JSON form that :meth:`from_list` reads."""
        return [self.verb, self.kind, self.name, self.after, self.before]

    def to_dict(self) -> dict:
        """Return the JSON form for operators.

        For a changed entry, it holds only the old and new values of the changed fields.
        """
        fields = {"verb": self.verb, "kind": self.kind, "name": self.name}
        if self.verb is Verb.CHANGED:
            new = {key: self.after[key] for key in self.before}
            return fields | {"before": self.before, "after": new}
        return fields | ({"after": self.after} if self.after is not None else {})


def combine(changes: Iterable[Change]) -> list[Change]:
    """Return the net changes of a sequence of changes, ordered by kind and name.

    >>> added = Change("added", "server", "a", {"name": "a", "zone": "x"}, None)
    >>> moved = Change("changed", "server", "a", {"name": "a", "zone": "y"}, {"zone": "x"})
    >>> [(change.verb.value, change.after["zone"]) for change in combine([added, moved])]
    [('added', 'y')]
    """
    first: dict[str, Change] = {}
    last: dict[str, Change] = {}
    for change in changes:
        first.setdefault(change.key, change)
        last[change.key] = change
    net = (
        Change.between(change.kind, change.name, first[key].full_before, change.after)
        for key, change in last.items()
    )
    return sorted(filter(None, net), key=lambda change: (change.kind, change.name))


def changed_entry_keys(changes: Iterable[Change]) -> frozenset[str]:
    """Return the keys ``kind/name`` of the changed entries."""
    return frozenset(change.key for change in changes)
