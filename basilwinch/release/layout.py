"""Keys and values of the release state in the key-value service.

The head names the revision in effect. The key of every other value contains the unique id of its
revision, and the value is never changed:

* ``head``: revision, id and note id
* ``table/REVISION-ID``: keys of the pages in effect, the trail (numbers and ids of the latest
  revisions up to this one), and replaced keys to delete later
* ``page/INDEX/REVISION-ID``: entries whose names belong to one bucket
* ``note/REVISION/ID``: the accepted note and its parent
* ``part/ID/NUMBER``: changes of a note that are too long to be stored in the note itself
"""

import json

from basilwinch.exception import RELEASE_MALFORMED, PlatformError
from basilwinch.record import Record
from basilwinch.release.change import Change
from basilwinch.release.state import Revision
from basilwinch.store import KeyValue

__all__ = [
    "HEAD_KEY",
    "Head",
    "NOTE_PREFIX",
    "PAGE_PREFIX",
    "StoredNote",
    "TABLE_PREFIX",
    "Table",
    "note_key",
    "page_key",
]

_ROOT_PREFIX = "basilwinch/release/"
HEAD_KEY = _ROOT_PREFIX + "head"
PAGE_PREFIX = _ROOT_PREFIX + "page/"
NOTE_PREFIX = _ROOT_PREFIX + "note/"
TABLE_PREFIX = _ROOT_PREFIX + "table/"
_PART_PREFIX = _ROOT_PREFIX + "part/"
# Changes up to this size are stored in the note itself, larger ones in parts, so that one call that
# lists 100 notes returns less than 4 MB.
_MAX_INLINE_BYTES = 32_000
# The platform limits a value to 1 MB.
_MAX_PART_BYTES = 400_000


def note_key(number: int, unique_id: str = "") -> str:
    """Return the key of a note, or the prefix of all notes of a revision."""
    return f"{NOTE_PREFIX}{number:012d}/{unique_id}"


def page_key(index: int, revision: Revision) -> str:
    """Return the key of a page."""
    return f"{PAGE_PREFIX}{index:03d}/{revision.number:012d}-{revision.id}"


def revision_of(key: str) -> int:
    """Return the revision number in the key of a page, table or note."""
    return int(
        key.removeprefix(_ROOT_PREFIX).split("/")[2 if key.startswith(PAGE_PREFIX) else 1][:12]
    )


def _encode(fields) -> bytes:
    return json.dumps(fields, ensure_ascii=False, separators=(",", ":")).encode()


def _translate_errors(method):
    """Raise ``PlatformError`` with ``RELEASE_MALFORMED`` if the decorated method finds bad data."""

    def decode(cls, pair: KeyValue, *args):
        try:
            return method(cls, pair, *args)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            reason = f"{pair.key}: {type(error).__name__}: {error}"
            raise PlatformError(RELEASE_MALFORMED.because(reason)) from error

    decode.__doc__ = method.__doc__
    return decode


class Head(Record):
    """The head: revision, note id, and store revision of the last change of its key (0 if none)."""

    __slots__ = ("revision", "note", "mod_revision")

    @classmethod
    def none(cls) -> "Head":
        """Return the head as it is before the first note."""
        return cls(Revision(0, ""), "", 0)

    @classmethod
    @_translate_errors
    def decode(cls, pair: KeyValue) -> "Head":
        """Decode a head."""
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
        return f"{TABLE_PREFIX}{self.revision.number:012d}-{self.revision.id}"


class Table(Record):
    """Table of a revision.

    :param pages: dict of page keys by index
    :param trail: revisions that led to this one, oldest first, itself last
    :param replaced: replaced store keys, as (number of the replacing revision, key) pairs
    :param mod_revision: store revision of the last change of its key, 0 if it is not stored
    """

    __slots__ = ("pages", "trail", "replaced", "mod_revision")
    _defaults = {"mod_revision": 0}

    @classmethod
    @_translate_errors
    def decode(cls, pair: KeyValue) -> "Table":
        """Decode a table."""
        fields = json.loads(pair.value)
        pages = {int(index): str(key) for index, key in fields["pages"].items()}
        trail = tuple(
            Revision(int(number), str(unique_id)) for number, unique_id in fields["trail"]
        )
        replaced = tuple((int(number), str(key)) for number, key in fields["replaced"])
        return cls(pages, trail, replaced, pair.mod_revision)

    def encode(self) -> bytes:
        """Return the stored form."""
        trail = [(revision.number, revision.id) for revision in self.trail]
        return _encode({"pages": self.pages, "trail": trail, "replaced": self.replaced})


class StoredNote(Record):
    """A note in its stored form, accepted or about to be accepted.

    :param revision: :class:`Revision` that the note creates
    :param note: id of the note, the same over several attempts
    :param parent: :class:`Revision` that the note follows
    :param title: title of the note
    :param author: who published it
    :param time: time of publication in seconds since the epoch
    :param changes: tuple of :class:`Change`, empty until read if they are in parts
    :param parts: number of parts, 0 if the changes are stored in the note itself
    :param parents: further revisions that it contains, if it replaces several notes after the
        platform was restored
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
    @_translate_errors
    def decode(cls, pair: KeyValue) -> "StoredNote":
        """Decode a note; changes in parts are not read."""
        return cls.from_dict(json.loads(pair.value))

    @classmethod
    def from_dict(cls, fields: dict) -> "StoredNote":
        """Build a note from its JSON form.

        :raises ValueError, TypeError, KeyError, AttributeError: on a malformed note
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
            parents=tuple(Revision(int(n), str(unique_id)) for n, unique_id in fields["parents"]),
        )

    @classmethod
    @_translate_errors
    def decode_part(cls, pair: KeyValue) -> list[Change]:
        """Decode the changes of one part."""
        return [Change.from_list(fields) for fields in json.loads(pair.value)]

    @property
    def key(self) -> str:
        """Key of the note."""
        return note_key(self.revision.number, self.revision.id)

    def part_key(self, number: int) -> str:
        """Return the key of one part."""
        return f"{_PART_PREFIX}{self.revision.id}/{number:05d}"

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
        """Return the key-value pairs to write: the note and its parts."""
        encoded = [_encode(change.to_list()) for change in self.changes]
        parts: list[list[bytes]] = []
        if sum(map(len, encoded)) > _MAX_INLINE_BYTES:
            size = _MAX_PART_BYTES
            for item in encoded:
                if size + len(item) > _MAX_PART_BYTES:
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
