"""Line numbers of the tables and keys of a TOML text, which ``tomllib`` does not report."""

import re

__all__ = ["Positions"]

_HEADER_PATTERN = re.compile(r"^\s*\[\[?\s*([^\]]+?)\s*\]")
_KEY_PATTERN = re.compile(r"""^\s*([A-Za-z0-9_.-]+|"[^"]*"|'[^']*')\s*=""")


class Positions:
    """Line numbers, from 1, of the tables of an array and of their keys.

    :param text: a valid TOML text, read in linear time

    >>> positions = Positions('title = "x"\\n[[added.model]]\\nlayers = 4\\n')
    >>> positions.line("added", "model", 0), positions.line("added", "model", 0, "layers")
    (2, 3)
    """

    __slots__ = ("_tables", "_keys")

    def __init__(self, text: str):
        self._tables: dict[tuple, int] = {}
        self._keys: dict[tuple, int] = {}
        self._scan(text)

    def line(self, verb: str, kind: str = "", index: int = 0, key: str = "") -> int:
        """Return the line of a key, of its table if the key is not found, or else 1."""
        table = (verb, kind, index)
        for found in (
            self._keys.get((*table, key)),
            self._tables.get(table),
            self._keys.get(("", "", 0, f"{verb}.{kind}")),
            self._keys.get(("", "", 0, verb)),
        ):
            if found:
                return found
        return 1

    def _scan(self, text: str):
        table, closing, counts = ("", "", 0), "", {}
        for number, line in enumerate(text.splitlines(), 1):
            if closing:
                closing = "" if closing in line else closing
                continue
            if header := _HEADER_PATTERN.match(line):
                verb, _, kind = header.group(1).replace('"', "").replace(" ", "").partition(".")
                index = counts.get((verb, kind), 0)
                counts[verb, kind] = index + 1
                table = (verb, kind, index)
                self._tables[table] = number
            elif key := _KEY_PATTERN.match(line):
                self._keys.setdefault((*table, key.group(1).strip("\"'")), number)
            for quotes in ('"""', "'''"):
                if line.count(quotes) % 2:
                    closing = quotes
