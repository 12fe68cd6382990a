"""Release notes in TOML, which list the entries that operators add, change and withdraw."""

import enum
import re
import tomllib

from basilwinch.exception import (
    NOTE_DUPLICATE,
    NOTE_EMPTY,
    NOTE_MISSING_KEY,
    NOTE_SYNTAX,
    NOTE_UNKNOWN_KEY,
    NOTE_UNKNOWN_TABLE,
    NOTE_UNREADABLE,
    NOTE_WRONG_NAME,
    NOTE_WRONG_VALUE,
    Failure,
    FailureKind,
)
from basilwinch.record import Record
from basilwinch.release.name import check_name, normalise
from basilwinch.release.position import Positions
from basilwinch.release.schema import KINDS

__all__ = ["Item", "ReleaseNote", "Verb", "read_note", "read_note_file"]

_LINE_PATTERN = re.compile(r"at line (\d+)")


class Verb(enum.StrEnum):
    """What a note does with an entry."""

    ADDED = "added"
    CHANGED = "changed"
    WITHDRAWN = "withdrawn"


class Item(Record):
    """One entry of a note.

    :param verb: :class:`Verb`
    :param kind: kind of the entry, a key of ``KINDS``
    :param name: normalised name
    :param fields: given values by key, without the name
    :param lines: line number by key, with that of the table under the empty key
    """

    __slots__ = ("verb", "kind", "name", "fields", "lines")

    @property
    def key(self) -> str:
        """Key of the entry, ``kind/name``."""
        return f"{self.kind}/{self.name}"


class ReleaseNote(Record):
    """A note with valid values; its references are checked by ``plan_note``.

    :param file: name of the file, for errors
    :param title: text for the history
    :param items: tuple of :class:`Item`
    """

    __slots__ = ("file", "title", "items")

    def failure(
        self, kind: FailureKind, item: Item, reason: str, key: str = "name", **detail
    ) -> Failure:
        """Return a failure with the file, line and key of an entry of this note."""
        line = item.lines.get(key, item.lines[""])
        return _failure(kind, self.file, line, f"{item.key}: {reason}", key, **detail)


def read_note_file(path: str) -> ReleaseNote | list[Failure]:
    """Read a note from a file; see :func:`read_note`."""
    try:
        with open(path, "rb") as file:
            return read_note(file.read(), path)
    except OSError as error:
        return [_failure(NOTE_UNREADABLE, path, 0, str(error))]


def read_note(data: bytes | str, file: str = "note") -> ReleaseNote | list[Failure]:
    """Read a note.

    :param data: TOML text
    :param file: name of the file, for errors
    :returns: the note, or every failure found, each with ``file``, ``line`` and ``key``

    >>> read_note('[[added.modle]]\\nname = "x"', "n.toml")[0].detail["line"]
    1
    """
    if isinstance(data, bytes):
        try:
            data = data.decode("utf-8-sig")
        except UnicodeDecodeError as error:
            line = data.count(b"\n", 0, error.start) + 1
            return [_failure(NOTE_SYNTAX, file, line, str(error))]
    try:
        tables = tomllib.loads(data)
    except tomllib.TOMLDecodeError as error:
        found = _LINE_PATTERN.search(str(error))
        line = int(found.group(1)) if found else data.count("\n") + 1
        return [_failure(NOTE_SYNTAX, file, line, str(error))]
    return _Reader(file, data).read(tables)


def _failure(
    kind: FailureKind, file: str, line: int, reason: str, key: str = "", **detail
) -> Failure:
    return kind.because(reason, file=file, line=line, key=key, **detail)


class _Reader:
    """Collects the items and the failures of one note."""

    def __init__(self, file: str, text: str):
        self._file = file
        self._positions = Positions(text)
        self._failures: list[Failure] = []
        self._items: list[Item] = []
        self._seen: dict[str, int] = {}

    def read(self, tables: dict) -> ReleaseNote | list[Failure]:
        title = tables.pop("title", "")
        if not isinstance(title, str):
            self._fail(
                NOTE_WRONG_VALUE, self._positions.line("title"), "title must be a string", "title"
            )
        for verb, kinds in tables.items():
            if verb not in list(Verb) or not isinstance(kinds, dict):
                reason = (
                    f"{verb!r} is neither title nor one of {', '.join(Verb)} with tables such as"
                    " [[added.server]]"
                )
                self._fail(NOTE_UNKNOWN_TABLE, self._positions.line(verb), reason, verb)
                continue
            for kind, entries in kinds.items():
                self._read_kind(Verb(verb), kind, entries)
        if not self._items and not self._failures:
            self._fail(NOTE_EMPTY, 1, "the note must add, change or withdraw at least one entry")
        return self._failures or ReleaseNote(self._file, title, tuple(self._items))

    def _read_kind(self, verb: Verb, kind: str, entries):
        line = self._positions.line(verb, kind)
        table = f"{verb}.{kind}"
        if kind not in KINDS:
            reason = f"{kind!r} is not one of {', '.join(KINDS)}"
            self._fail(NOTE_UNKNOWN_TABLE, line, reason, table)
            return
        if not isinstance(entries, list) or not all(isinstance(e, dict) for e in entries):
            self._fail(
                NOTE_UNKNOWN_TABLE,
                line,
                f"{table} must be a list of tables, with [[{table}]] before each entry",
                table,
            )
            return
        for index, fields in enumerate(entries):
            lines = {
                key: self._positions.line(verb, kind, index, key) for key in ("", "name", *fields)
            }
            self._read_entry(verb, kind, dict(fields), lines)

    def _read_entry(self, verb: Verb, kind: str, fields: dict, lines: dict):
        if "name" not in fields:
            self._fail(NOTE_MISSING_KEY, lines[""], f"{verb} {kind} lacks a name", "name")
            return
        name = fields.pop("name")
        if problem := check_name(name):
            self._fail(NOTE_WRONG_NAME, lines["name"], f"{name!r}: {problem}", "name")
            return
        item = Item(verb, kind, normalise(name), _normalise_texts(fields), lines)
        if item.key in self._seen:
            reason = f"{item.key} is also in line {self._seen[item.key]}"
            self._fail(NOTE_DUPLICATE, lines["name"], reason, "name")
            return
        self._seen[item.key] = lines["name"]
        self._items.append(item)
        self._check_keys(item)

    def _check_keys(self, item: Item):
        kind = KINDS[item.kind]
        allowed = {} if item.verb is Verb.WITHDRAWN else kind.checks
        for key, value in item.fields.items():
            line = item.lines[key]
            if key not in allowed:
                reason = f"{item.key}: {key!r} is not one of {', '.join(['name', *allowed])}"
                self._fail(NOTE_UNKNOWN_KEY, line, reason, key)
            elif problem := allowed[key](value):
                self._fail(NOTE_WRONG_VALUE, line, f"{item.key}: {key}: {problem}", key)
        if item.verb is Verb.ADDED:
            for key in kind.required:
                if key != "name" and key not in item.fields:
                    self._fail(NOTE_MISSING_KEY, item.lines[""], f"{item.key} lacks {key}", key)
        if item.verb is Verb.CHANGED and not item.fields:
            self._fail(
                NOTE_EMPTY,
                item.lines[""],
                f"{item.key}: a changed entry must have at least one key besides its name",
            )

    def _fail(self, kind: FailureKind, line: int, reason: str, key: str = ""):
        self._failures.append(_failure(kind, self._file, line, reason, key))


def _normalise_texts(fields: dict) -> dict:
    return {key: _normalise_value(value) for key, value in fields.items()}


def _normalise_value(value):
    if isinstance(value, list):
        return [_normalise_value(item) for item in value]
    return normalise(value) if isinstance(value, str) else value
