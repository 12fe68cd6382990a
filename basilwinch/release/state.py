"""The state at one revision, with the ids of the revisions that led to it."""

import json
import sys
import zlib

from basilwinch.catalog import Catalog
from basilwinch.exception import RELEASE_MALFORMED, Failure
from basilwinch.record import Record
from basilwinch.release.mapping import BUCKETS, BucketMapping
from basilwinch.release.schema import KINDS
from basilwinch.release.steps import run_steps

__all__ = ["MAX_TRAIL_REVISIONS", "Revision", "State", "decode_page", "encode_page", "fields_of"]

# A node can tell whether a newer state descends from its own as long as the trail of the newer one
# still holds its revision: 7 minutes at 53,000 changes a day.
MAX_TRAIL_REVISIONS = 256
# Fields whose texts are equal in many entries; interning them saves memory.
_INTERNED_FIELDS = ("zone", "region", "accelerator", "service", "model", "state", "kind")
_DECODE_ERRORS = (ValueError, TypeError, KeyError, AttributeError, IndexError, zlib.error)


class Revision(Record):
    """Number and unique id of an accepted note."""

    __slots__ = ("number", "id")


class State(Record):
    """State at one revision; must not be changed.

    :param revision: :class:`Revision`
    :param trail: revisions that led here, oldest first, its own last, at most
        ``MAX_TRAIL_REVISIONS``
    :param catalog: entries in effect, sections are :class:`BucketMapping`
    """

    __slots__ = ("revision", "trail", "catalog")

    @classmethod
    def empty(cls) -> "State":
        """Return the state before the first note."""
        return cls.from_pages(Revision(0, ""), (), {})

    @classmethod
    def from_pages(cls, revision: Revision, trail, pages: dict[int, bytes]) -> "State | Failure":
        """Build a state from its pages by index, in time linear in the state.

        :returns: a state, or ``RELEASE_MALFORMED``
        """
        return run_steps(cls.build_steps(revision, trail, pages))

    @classmethod
    def build_steps(cls, revision: Revision, trail, pages):
        """Like :meth:`from_pages`, as a generator with one step for each page.

        At 33,000 entries a step takes about 2 ms and all steps 0.5 s.
        """
        buckets = {name: [{} for _ in range(BUCKETS)] for name in KINDS}
        try:
            for index, data in pages.items():
                for name, entries in decode_page(data).items():
                    buckets[name][index] = entries
                yield
        except _DECODE_ERRORS as error:
            return RELEASE_MALFORMED.because(f"page: {type(error).__name__}: {error}")
        sections = {
            kind.section: BucketMapping.from_buckets(buckets[name]) for name, kind in KINDS.items()
        }
        return cls(revision, tuple(trail), Catalog(revision.number, **sections))

    def entry(self, kind: str, name: str):
        """Return an entry, or None if it does not exist."""
        return getattr(self.catalog, KINDS[kind].section).get(name)

    def applied(self, revision: Revision, changes, parents=()) -> "State":
        """Return the state after some changes, in time proportional to the changes.

        :param revision: revision of the new state
        :param changes: list of :class:`Change`, each entry at most once
        :param parents: further revisions that the new one contains
        :raises TypeError, ValueError, KeyError: if an entry is not valid
        """
        puts: dict[str, dict] = {}
        deletes: dict[str, list] = {}
        for change in changes:
            kind = KINDS[change.kind]
            if change.after is None:
                deletes.setdefault(kind.section, []).append(change.name)
            else:
                entry = _build_entry(kind, change.after)
                puts.setdefault(kind.section, {})[change.name] = entry
        sections = {kind.section: getattr(self.catalog, kind.section) for kind in KINDS.values()}
        for section in puts.keys() | deletes.keys():
            sections[section] = sections[section].with_changes(
                puts.get(section, {}), deletes.get(section, ())
            )
        trail = (*self.trail, *parents, revision)
        if parents:
            # The order must not depend on which of the merged histories a node held.
            trail = tuple(sorted(set(trail), key=lambda item: (item.number, item.id)))
        trail = trail[-MAX_TRAIL_REVISIONS:]
        return State(revision, trail, Catalog(revision.number, **sections))

    def contains(self, revision: Revision) -> bool:
        """Tell whether a revision led to this state.

        A revision older than the oldest one in the trail is taken as contained.
        """
        if revision.number == 0 or revision in self.trail:
            return True
        return bool(self.trail) and revision.number < min(r.number for r in self.trail)

    def page(self, index: int) -> tuple[dict, ...]:
        """Return the buckets of one page, in the order of ``KINDS``."""
        return tuple(getattr(self.catalog, kind.section).bucket(index) for kind in KINDS.values())


def fields_of(entry) -> dict:
    """Return the fields of an entry as JSON would return them: lists instead of tuples."""
    return {
        name: list(value) if isinstance(value, tuple) else value
        for name, value in entry.to_dict().items()
    }


def _build_entry(kind, fields: dict):
    fields = {
        name: sys.intern(value) if name in _INTERNED_FIELDS and type(value) is str else value
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
        name: {fields["name"]: _build_entry(KINDS[name], fields) for fields in entries}
        for name, entries in json.loads(data).items()
    }
