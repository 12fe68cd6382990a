"""Checks of routes that can never match a request."""

from collections.abc import Iterator

from basilwinch.lint.draft import Draft, find_repeated
from basilwinch.lint.finding import Finding

__all__ = ["check_hosts", "check_prefixes", "check_repeated_routes"]


def check_repeated_routes(draft: Draft) -> Iterator[Finding]:
    """Report routes that a later route replaces, and names that occur twice.

    A node keeps the last route of a host and prefix.
    """
    latest_first = [
        ((entry.value.host, entry.value.prefix), entry) for entry in reversed(draft.routes)
    ]
    for entry, latest in find_repeated(latest_first):
        route = entry.value
        text = (
            f"route {route.name} never matches: {latest.place} ({latest.value.name}) has the same "
            f"host {route.host} and prefix {route.prefix} and replaces it"
        )
        yield Finding.error("route-replaced", draft.find_place(entry, "prefix"), text)
    named = ((entry.value.name, entry) for entry in draft.routes)
    for entry, first in find_repeated(named):
        text = f"{first.place} has the name {entry.value.name} too; logs and metrics mix both"
        yield Finding.warning("route-name-repeated", draft.find_place(entry, "name"), text)


def check_prefixes(draft: Draft) -> Iterator[Finding]:
    """Report prefixes that no path can match.

    A node looks up the parts of a path that end in a slash, without the query.
    """
    for entry in draft.routes:
        prefix = entry.value.prefix
        if not prefix.startswith("/") or not prefix.endswith("/"):
            reason = "a prefix must begin and end with a slash"
        elif "?" in prefix or "#" in prefix:
            reason = "a path contains no ? or #"
        else:
            continue
        text = f"route {entry.value.name} never matches with prefix {prefix!r}: {reason}"
        yield Finding.error("prefix-unmatchable", draft.find_place(entry, "prefix"), text)


def check_hosts(draft: Draft) -> Iterator[Finding]:
    """Report hosts that no request can match.

    A node compares the host of a request in lower case and without its port.
    """
    for entry in draft.routes:
        host = entry.value.host
        if host == host.lower() and ":" not in host and "/" not in host and host == host.strip():
            continue
        text = (
            f"route {entry.value.name} never matches with host {host!r}: give the host in lower "
            "case, without scheme, port and spaces"
        )
        yield Finding.error("host-unmatchable", draft.find_place(entry, "host"), text)
