"""Kinds of entries, with the keys of each kind and the checks of their values."""

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
from basilwinch.release.name import check_name

__all__ = ["KINDS", "Kind", "Reference"]


class Reference:
    """A key whose value is the name, or a list of names, of entries of another kind.

    :param key: key that holds the name or names
    :param kind: kind of the named entry
    """

    __slots__ = ("key", "kind")

    def __init__(self, key: str, kind: str):
        self.key = key
        self.kind = kind

    def names(self, entry) -> tuple[str, ...]:
        """Return the names under this key of an entry."""
        value = getattr(entry, self.key)
        if isinstance(value, tuple):
            return value
        return (value,) if value else ()


class Kind:
    """One kind of entry.

    :param name: name of the kind in a note, such as ``server``
    :param section: section of the catalog, such as ``servers``
    :param entry_type: class of the entry
    :param checks: dict by key, without ``name``, of functions that return why a value is not valid,
        or an empty string
    :param references: keys that name other entries
    :param unique_key: key whose value must be unique among the entries, or an empty string
    """

    __slots__ = ("name", "section", "entry_type", "checks", "references", "unique_key")

    def __init__(self, name, section, entry_type, checks, references=(), unique_key=""):
        self.name = name
        self.section = section
        self.entry_type = entry_type
        self.checks = checks
        self.references = references
        self.unique_key = unique_key

    @property
    def required(self) -> tuple[str, ...]:
        """Keys without a default value."""
        return tuple(k for k in self.entry_type.__slots__ if k not in self.entry_type._defaults)

    def build(self, fields: dict):
        """Build an entry; integers are converted to floats where the default value is a float."""
        defaults = self.entry_type._defaults
        floats = {k: float(v) for k, v in fields.items() if isinstance(defaults.get(k), float)}
        return self.entry_type.from_dict(fields | floats)


def _make_integer_check(minimum: int):
    def check(value):
        if isinstance(value, int) and not isinstance(value, bool) and value >= minimum:
            return ""
        return f"must be a whole number of at least {minimum}, got {value!r}"

    return check


def _make_number_check(minimum: float, exclusive: bool = False):
    def check(value):
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if (
            is_number
            and value < float("inf")
            and (value > minimum if exclusive else value >= minimum)
        ):
            return ""
        return (
            f"must be a number {'above' if exclusive else 'of at least'} {minimum:g}, got {value!r}"
        )

    return check


def _make_choice_check(choices):
    allowed = [str(choice) for choice in choices]

    def check(value):
        return "" if value in allowed else f"must be one of {', '.join(allowed)}, got {value!r}"

    return check


def _make_pattern_check(pattern: str, description: str):
    compiled = re.compile(pattern)

    def check(value):
        matches = isinstance(value, str) and compiled.fullmatch(value)
        return "" if matches else f"must be {description}"

    return check


def _make_list_check(item_check):
    def check(value):
        if not isinstance(value, list | tuple):
            return f"must be a list, got {value!r}"
        if len(set(map(str, value))) < len(value):
            return f"must not contain a value twice, got {value!r}"
        return next(filter(None, map(item_check, value)), "")

    return check


def _check_boolean(value):
    return "" if isinstance(value, bool) else f"must be true or false, got {value!r}"


def _check_address(value):
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        valid = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    except ValueError:
        valid = False
    return "" if valid else f"must be an IP address and port such as 10.0.0.1:8000, got {value!r}"


def _check_optional_name(value):
    return "" if value == "" else check_name(value)


_check_digest = _make_pattern_check(
    "[0-9a-f]{64}", "a SHA-256 digest of 64 hexadecimal digits in lower case"
)
_check_short_text = _make_pattern_check(r"\S(.{0,98}\S)?", "a text of 1 to 100 characters")
_check_method_and_prefix = _make_pattern_check(
    r"[A-Z]+ /\S*", 'a method and a path prefix, such as "POST /orders"'
)
_check_path = _make_pattern_check(r"/\S*|\{path\}\S*", 'a path such as "/orders/{order_id}"')
_check_stage = _make_pattern_check(r"[^/]+/[^/]*/\d+/\d+", "a text model/version/first/end")

KINDS = {
    kind.name: kind
    for kind in (
        Kind(
            "service",
            "services",
            Service,
            {
                "kind": _make_choice_check(ServiceKind),
                "non_idempotent": _make_list_check(_check_method_and_prefix),
                "order_query": lambda value: _check_path(value) if value != "" else "",
            },
        ),
        Kind(
            "model",
            "models",
            Model,
            {
                "layers": _make_integer_check(1),
                "weight_bytes_per_layer": _make_integer_check(1),
                "kv_bytes_per_token_layer": _make_integer_check(0),
                "service": _check_optional_name,
            },
            (Reference("service", "service"),),
        ),
        Kind(
            "version",
            "versions",
            Version,
            {"model": check_name, "digest": _check_digest},
            (Reference("model", "model"),),
        ),
        Kind(
            "adapter",
            "adapters",
            Adapter,
            {"model": check_name, "weight_bytes": _make_integer_check(0)},
            (Reference("model", "model"),),
        ),
        Kind(
            "server",
            "servers",
            Server,
            {
                "address": _check_address,
                "zone": _check_short_text,
                "region": _check_short_text,
                "accelerator": lambda value: _check_short_text(value) if value != "" else "",
                "accelerators": _make_integer_check(0),
                "memory_bytes": _make_integer_check(0),
                "service": check_name,
                "checks_fencing": _check_boolean,
                "tokens_per_s": _make_number_check(0),
                "state": _make_choice_check(ServerState),
            },
            (Reference("service", "service"),),
            "address",
        ),
        # A holding has no references, so that a server or model with a holding can be withdrawn.
        Kind("holding", "holdings", Holding, {"stages": _make_list_check(_check_stage)}),
        Kind(
            "organisation",
            "organisations",
            Organisation,
            {
                "key_digest": _check_digest,
                "requests_per_s": _make_number_check(0),
                "tokens_per_s": _make_number_check(0),
                "share": _make_number_check(0, exclusive=True),
                "priority": _make_integer_check(-1000),
                "models": _make_list_check(check_name),
            },
            (Reference("models", "model"),),
            "key_digest",
        ),
    )
}
