"""Keys and values under which release state is kept in the key-value service.

The head names one revision. Each other value is written under a key that holds the unique id of the
revision it belongs to, and is never changed:

* ``head``: revision, id and note id
* ``table/REVISION-ID``: keys of the pages in effect, the trail, and replaced keys to delete later
* ``page/INDEX/REVISION-ID``: entries whose names fall into one bucket
* ``note/REVISION/ID``: the accepted note and its parent
* ``part/ID/NUMBER``: changes of a note that is too long for one value
"""

import json

from basilwinch.exception import RELEASE_MALFORMED, PlatformError
from basilwinch.record import Record
from basilwinch.release.change import Change
from basilwinch.release.state import Revision
from basilwinch.store import KeyValue

__all__ = ["Body", "HEAD", "Head", "NOTES", "PAGES", "TABLES", "Table", "note_key", "page_key"]

_ROOT = "basilwinch/release/"
HEAD = _ROOT + "head"
PAGES = _ROOT + "page/"
NOTES = _ROOT + "note/"
TABLES = _ROOT + "table/"
_PARTS = _ROOT + "part/"
# Notes up to this size stay in their body; longer ones are split. One call that lists 100 bodies
# then returns less than 4 MB.
_INLINE_BYTES = 32_000
# Parts stay well below the limit of 1 MB for a value.
_PART_BYTES = 400_000


def note_key(number: int, unique: str = "") -> str:
    """Return the key of a note, or the prefix of all notes of a revision."""
    return f"{NOTES}{number:012d}/{unique}"


def page_key(index: int, revision: Revision) -> str:
    """Return the key of a page."""
    return f"{PAGES}{index:03d}/{revision.number:012d}-{revision.id}"


def revision_of(key: str) -> int:
    """Return the revision number in the key of a page, table or note."""
    return int(key.removeprefix(_ROOT).split("/")[2 if key.startswith(PAGES) else 1][:12])


def _encode(fields) -> bytes:
    return json.dumps(fields, ensure_ascii=False, separators=(",", ":")).encode()


def _decoding(method):
    """Turn the errors of malformed data into ``PlatformError`` with ``RELEASE_MALFORMED``."""

    def decode(cls, pair: KeyValue, *args):
        try:
            return method(cls, pair, *args)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            reason = f"{pair.key}: {type(error).__name__}: {error}"
            raise PlatformError(RELEASE_MALFORMED.because(reason)) from error

    decode.__doc__ = method.__doc__
    return decode


class Head(Record):
    """The head: revision, note id, and the version of its key (0 if there is none)."""

    __slots__ = ("revision", "note", "mod_revision")

    @classmethod
    def none(cls) -> "Head":
        """Return the head before the first note."""
        return cls(Revision(0, ""), "", 0)

    @classmethod
    @_decoding
    def decode(cls, pair: KeyValue) -> "Head":
        """Read a head."""
        fields = json.loads(pair.value)
        revision = Revision(int(fields["revision"]), str(fields["id"]))
        return cls(revision, str(fields["note"]), pair.mod_revision)

    def encode(self) -> bytes:
        """Return the stored form."""
        fields = {"revision": self.revision.number, "id": self.revision.id, "note": self.note}
        return _encode(fields)

    @property
    def table_key(self) -> str:
        """Key of the table of this revision."""
        return f"{TABLES}{self.revision.number:012d}-{self.revision.id}"


class Table(Record):
    """Page keys by index, the trail, and replaced keys as (revision number, key) pairs.

    ``mod_revision`` is the version of the key that holds the table, 0 if it is not stored.
    """

    __slots__ = ("pages", "trail", "replaced", "mod_revision")
    _defaults = {"mod_revision": 0}

    @classmethod
    @_decoding
    def decode(cls, pair: KeyValue) -> "Table":
        """Read a table."""
        fields = json.loads(pair.value)
        pages = {int(index): str(key) for index, key in fields["pages"].items()}
        trail = tuple(Revision(int(number), str(unique)) for number, unique in fields["trail"])
        replaced = tuple((int(number), str(key)) for number, key in fields["replaced"])
        return cls(pages, trail, replaced, pair.mod_revision)

    def encode(self) -> bytes:
        """Return the stored form."""
        trail = [(revision.number, revision.id) for revision in self.trail]
        return _encode({"pages": self.pages, "trail": trail, "replaced": self.replaced})


class Body(Record):
    """An accepted note, or one that waits for acceptance.

    :param revision: revision that it makes
    :param note: id of the note, the same over several attempts
    :param parent: :class:`Revision` before
    :param title: title of the note
    :param author: who published it
    :param time: seconds since the epoch
    :param changes: tuple of :class:`Change`, empty until read if they are in parts
    :param parts: number of parts, 0 if the changes are in the body
    :param parents: further revisions that it contains, after a restored platform
    """

    __slots__ = (
        "revision",
        "note",
        "parent",
        "title",
        "author",
        "time",
        "changes",
        "parts",
        "parents",
    )
    _defaults = {"parts": 0, "parents": ()}

    @classmethod
    @_decoding
    def decode(cls, pair: KeyValue) -> "Body":
        """Read a body."""
        return cls.from_dict(json.loads(pair.value))

    @classmethod
    def from_dict(cls, fields: dict) -> "Body":
        """Build a body from its JSON form.

        :raises ValueError, TypeError, KeyError, AttributeError: on a malformed body
        """
        return cls(
            revision=Revision(int(fields["revision"]), str(fields["id"])),
            note=str(fields["note"]),
            parent=Revision(int(fields["parent"][0]), str(fields["parent"][1])),
            title=str(fields["title"]),
            author=str(fields["author"]),
            time=float(fields["time"]),
            changes=tuple(map(Change.from_list, fields["changes"])),
            parts=int(fields["parts"]),
            parents=tuple(Revision(int(n), str(unique)) for n, unique in fields["parents"]),
        )

    @classmethod
    @_decoding
    def decode_part(cls, pair: KeyValue) -> list[Change]:
        """Read the changes of one part."""
        return [Change.from_list(fields) for fields in json.loads(pair.value)]

    @property
    def key(self) -> str:
        """Key of the body."""
        return note_key(self.revision.number, self.revision.id)

    def part_key(self, number: int) -> str:
        """Return the key of one part."""
        return f"{_PARTS}{self.revision.id}/{number:05d}"

    def to_json_dict(self) -> dict:
        """Return the JSON form that :meth:`from_dict` reads, with all changes."""
        return {
            "revision": self.revision.number,
            "id": self.revision.id,
            "note": self.note,
            "parent": (self.parent.number, self.parent.id),
            "title": self.title,
            "author": self.author,
            "time": self.time,
            "changes": [change.to_list() for change in self.changes],
            "parts": 0,
            "parents": [(revision.number, revision.id) for revision in self.parents],
        }

    def encode(self) -> list[KeyValue]:
        """Return the pairs to write: the body and its parts."""
        encoded = [_encode(change.to_list()) for change in self.changes]
        parts: list[list[bytes]] = []
        if sum(map(len, encoded)) > _INLINE_BYTES:
            size = _PART_BYTES
            for item in encoded:
                if size + len(item) > _PART_BYTES:
                    parts.append([])
                    size = 0
                parts[-1].append(item)
                size += len(item) + 1
        fields = self.to_json_dict()
        if parts:
            fields |= {"changes": [], "parts": len(parts)}
        pairs = [KeyValue(self.key, _encode(fields), 0)]
        for number, items in enumerate(parts):
            pairs.append(KeyValue(self.part_key(number), b"[" + b",".join(items) + b"]", 0))
        return pairs
