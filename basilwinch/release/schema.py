"""Kinds of entries, the keys that each takes and the values that each key takes."""

import ipaddress
import re

from basilwinch.catalog import (
    Adapter,
    Holding,
    Model,
    Organisation,
    Server,
    ServerState,
    Service,
    ServiceKind,
    Version,
)
from basilwinch.release.name import find_fault

__all__ = ["KINDS", "Kind", "Reference"]


class Reference:
    """A key whose value names an entry, or a list of entries, of another kind.

    :param key: key that holds the name
    :param kind: kind of the named entry
    """

    __slots__ = ("key", "kind")

    def __init__(self, key: str, kind: str):
        self.key = key
        self.kind = kind

    def names(self, entry) -> tuple[str, ...]:
        """Return the names that an entry refers to."""
        value = getattr(entry, self.key)
        if isinstance(value, tuple):
            return value
        return (value,) if value else ()


class Kind:
    """One kind of entry.

    :param name: word in the note, such as ``server``
    :param section: section of the catalog, such as ``servers``
    :param entry_type: class of the entry
    :param checks: for each key but ``name`` a function that returns why a value is wrong, or ``""``
    :param references: keys that name other entries
    :param unique: key whose value no two entries may share, or an empty string
    """

    __slots__ = ("name", "section", "entry_type", "checks", "references", "unique")

    def __init__(self, name, section, entry_type, checks, references=(), unique=""):
        self.name = name
        self.section = section
        self.entry_type = entry_type
        self.checks = checks
        self.references = references
        self.unique = unique

    @property
    def required(self) -> tuple[str, ...]:
        """Keys without a default value."""
        return tuple(k for k in self.entry_type.__slots__ if k not in self.entry_type._defaults)

    def build(self, fields: dict):
        """Build an entry; whole numbers become floats where the type has floats."""
        defaults = self.entry_type._defaults
        floats = {k: float(v) for k, v in fields.items() if isinstance(defaults.get(k), float)}
        return self.entry_type.from_dict(fields | floats)


def _integer(least: int):
    def check(value):
        if isinstance(value, int) and not isinstance(value, bool) and value >= least:
            return ""
        return f"must be a whole number of at least {least}"

    return check


def _number(least: float, beyond: bool = False):
    def check(value):
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if is_number and value < float("inf") and (value > least if beyond else value >= least):
            return ""
        return f"must be a number {'above' if beyond else 'of at least'} {least:g}"

    return check


def _choice(choices):
    words = [str(choice) for choice in choices]

    def check(value):
        return "" if value in words else f"must be one of {', '.join(words)}"

    return check


def _pattern(pattern: str, meaning: str):
    compiled = re.compile(pattern)

    def check(value):
        matches = isinstance(value, str) and compiled.fullmatch(value)
        return "" if matches else f"must be {meaning}"

    return check


def _list_of(item_check):
    def check(value):
        if not isinstance(value, list | tuple):
            return "must be a list"
        if len(set(map(str, value))) < len(value):
            return "must not hold a value twice"
        return next(filter(None, map(item_check, value)), "")

    return check


def _boolean(value):
    return "" if isinstance(value, bool) else "must be true or false"


def _address(value):
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        valid = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    except ValueError:
        valid = False
    return "" if valid else "must be an IP address and a port, such as 10.0.0.1:8000"


def _optional_name(value):
    return "" if value == "" else find_fault(value)


_DIGEST = _pattern("[0-9a-f]{64}", "a SHA-256 digest of 64 hexadecimal digits in lower case")
_WORD = _pattern(r"\S(.{0,98}\S)?", "a text of 1 to 100 characters")
_CALL = _pattern(r"[A-Z]+ /\S*", 'a method and a path prefix, such as "POST /orders"')
_PATH = _pattern(r"/\S*|\{path\}\S*", 'a path such as "/orders/{order_id}"')
_STAGE = _pattern(r"[^/]+/[^/]*/\d+/\d+", "a text model/version/first/end")

KINDS = {
    kind.name: kind
    for kind in (
        Kind(
            "service",
            "services",
            Service,
            {
                "kind": _choice(ServiceKind),
                "non_idempotent": _list_of(_CALL),
                "order_query": lambda value: _PATH(value) if value != "" else "",
            },
        ),
        Kind(
            "model",
            "models",
            Model,
            {
                "layers": _integer(1),
                "weight_bytes_per_layer": _integer(1),
                "kv_bytes_per_token_layer": _integer(0),
                "service": _optional_name,
            },
            (Reference("service", "service"),),
        ),
        Kind(
            "version",
            "versions",
            Version,
            {"model": find_fault, "digest": _DIGEST},
            (Reference("model", "model"),),
        ),
        Kind(
            "adapter",
            "adapters",
            Adapter,
            {"model": find_fault, "weight_bytes": _integer(0)},
            (Reference("model", "model"),),
        ),
        Kind(
            "server",
            "servers",
            Server,
            {
                "address": _address,
                "zone": _WORD,
                "region": _WORD,
                "accelerator": lambda value: _WORD(value) if value != "" else "",
                "accelerators": _integer(0),
                "memory_bytes": _integer(0),
                "service": find_fault,
                "checks_fencing": _boolean,
                "tokens_per_s": _number(0),
                "state": _choice(ServerState),
            },
            (Reference("service", "service"),),
            "address",
        ),
        # Without references: an operator may withdraw a server or a model that is still placed.
        Kind("holding", "holdings", Holding, {"stages": _list_of(_STAGE)}),
        Kind(
            "organisation",
            "organisations",
            Organisation,
            {
                "key_digest": _DIGEST,
                "requests_per_s": _number(0),
                "tokens_per_s": _number(0),
                "share": _number(0, beyond=True),
                "priority": _integer(-1000),
                "models": _list_of(find_fault),
            },
            (Reference("models", "model"),),
            "key_digest",
        ),
    )
}
