"""The state in effect at one revision, with the ids of the revisions that led to it."""

import json
import sys
import zlib

from basilwinch.catalog import Catalog
from basilwinch.exception import RELEASE_MALFORMED, Failure
from basilwinch.record import Record
from basilwinch.release.mapping import BUCKETS, BucketMapping
from basilwinch.release.schema import KINDS
from basilwinch.release.steps import finish

__all__ = ["Revision", "State", "TRAIL_LENGTH", "decode_page", "encode_page", "fields_of"]

# A state tells a newer revision of its own history from one of a fork as long as the other holds
# its id in the trail. 256 revisions are 7 minutes at 53,000 changes a day.
TRAIL_LENGTH = 256
# Texts that many entries share; one copy of each saves memory.
_SHARED = ("zone", "region", "accelerator", "service", "model", "state", "kind")
_MALFORMED = (ValueError, TypeError, KeyError, AttributeError, IndexError, zlib.error)


class Revision(Record):
    """Number and unique id of an accepted note."""

    __slots__ = ("number", "id")


class State(Record):
    """State at one revision; immutable by convention.

    :param revision: :class:`Revision`
    :param trail: revisions that led here, oldest first, at most ``TRAIL_LENGTH``
    :param catalog: entries in effect, sections are :class:`BucketMapping`
    """

    __slots__ = ("revision", "trail", "catalog")

    @classmethod
    def empty(cls) -> "State":
        """Return the state before the first note."""
        return cls.from_pages(Revision(0, ""), (), {})

    @classmethod
    def from_pages(cls, revision: Revision, trail, pages: dict[int, bytes]) -> "State | Failure":
        """Build a state from its pages by number. Linear in the state.

        :returns: a state, or ``RELEASE_MALFORMED``
        """
        return finish(cls.build_steps(revision, trail, pages))

    @classmethod
    def build_steps(cls, revision: Revision, trail, pages):
        """Like :meth:`from_pages`, as a generator with one step a page (about 2 ms each at 33,000
        entries, 0.5 s together).
        """
        buckets = {name: [{} for _ in range(BUCKETS)] for name in KINDS}
        try:
            for index, data in pages.items():
                for name, entries in decode_page(data).items():
                    buckets[name][index] = entries
                yield
        except _MALFORMED as error:
            return RELEASE_MALFORMED.because(f"page: {type(error).__name__}: {error}")
        sections = {
            kind.section: BucketMapping.from_buckets(buckets[name]) for name, kind in KINDS.items()
        }
        return cls(revision, tuple(trail), Catalog(revision.number, **sections))

    def entry(self, kind: str, name: str):
        """Return an entry, or None."""
        return getattr(self.catalog, KINDS[kind].section).get(name)

    def applied(self, revision: Revision, changes, parents=()) -> "State":
        """Return the state after changes, in time proportional to the changes.

        :param revision: revision of the new state
        :param changes: list of :class:`Change`, each entry at most once
        :param parents: further revisions that the new one contains
        :raises TypeError, ValueError, KeyError: on values that make no entry
        """
        puts: dict[str, dict] = {}
        deletes: dict[str, list] = {}
        for change in changes:
            kind = KINDS[change.kind]
            if change.after is None:
                deletes.setdefault(kind.section, []).append(change.name)
            else:
                entry = _build(kind, change.after)
                puts.setdefault(kind.section, {})[change.name] = entry
        sections = {kind.section: getattr(self.catalog, kind.section) for kind in KINDS.values()}
        for section in puts.keys() | deletes.keys():
            sections[section] = sections[section].replaced(
                puts.get(section, {}), deletes.get(section, ())
            )
        trail = (*self.trail, *parents, revision)
        if parents:
            # One order, whichever of the merged histories a node held.
            trail = tuple(sorted(set(trail), key=lambda item: (item.number, item.id)))
        trail = trail[-TRAIL_LENGTH:]
        return State(revision, trail, Catalog(revision.number, **sections))

    def contains(self, revision: Revision) -> bool:
        """Tell whether a revision led to this state.

        A revision that is older than the trail counts as contained.
        """
        if revision.number == 0 or revision in self.trail:
            return True
        return bool(self.trail) and revision.number < min(r.number for r in self.trail)

    def page(self, index: int) -> tuple[dict, ...]:
        """Return the buckets of one page, in the order of ``KINDS``."""
        return tuple(getattr(self.catalog, kind.section).bucket(index) for kind in KINDS.values())


def fields_of(entry) -> dict:
    """Return the values of an entry as they are after a round trip through JSON."""
    return {
        name: list(value) if isinstance(value, tuple) else value
        for name, value in entry.to_dict().items()
    }


def _build(kind, fields: dict):
    fields = {
        name: sys.intern(value) if name in _SHARED and type(value) is str else value
        for name, value in fields.items()
    }
    return kind.build(fields)


def encode_page(buckets: tuple[dict, ...]) -> bytes:
    """Return the stored form of a page, empty if it has no entries."""
    kinds = {
        name: [fields_of(entry) for _, entry in sorted(bucket.items())]
        for name, bucket in zip(KINDS, buckets, strict=True)
        if bucket
    }
    return json.dumps(kinds, ensure_ascii=False, separators=(",", ":")).encode() if kinds else b""


def decode_page(data: bytes) -> dict[str, dict]:
    """Return the entries of a page by kind and name.

    :raises ValueError, TypeError, KeyError, AttributeError: on malformed data
    """
    return {
        name: {fields["name"]: _build(KINDS[name], fields) for fields in entries}
        for name, entries in json.loads(data).items()
    }
