"""Checks of a release note by itself, without the state that it changes."""

from collections.abc import Iterator

from basilwinch.lint.draft import find_repeated
from basilwinch.lint.finding import Finding
from basilwinch.release import ReleaseNote, Verb

__all__ = ["check_rates", "check_repeated_values"]


def check_repeated_values(note: ReleaseNote) -> Iterator[Finding]:
    """Report keys of organisations and addresses of servers that occur twice in a note."""
    for kind, key, code, noun in (
        ("organisation", "key_digest", "key-repeated", "key"),
        ("server", "address", "address-repeated", "address"),
    ):
        items = (
            (item.fields[key], item)
            for item in note.items
            if item.kind == kind and item.verb is not Verb.WITHDRAWN and key in item.fields
        )
        for item, first in find_repeated(items):
            text = f"{item.key} has the same {noun} as {first.key} in line {first.lines[key]}"
            yield Finding.error(code, _find_place(note, item, key), text)


def check_rates(note: ReleaseNote) -> Iterator[Finding]:
    """Report limits of organisations that contradict each other."""
    for item in note.items:
        requests = item.fields.get("requests_per_s", 0)
        tokens = item.fields.get("tokens_per_s", 0)
        # Every response has at least one token; a limit of 0 means no limit.
        if item.kind != "organisation" or not 0 < tokens < requests:
            continue
        text = (
            f"{item.key} may send {requests:g} requests a second, but get {tokens:g} tokens a "
            "second, which is less than one for each request"
        )
        place = _find_place(note, item, "tokens_per_s")
        yield Finding.error("tokens-below-requests", place, text)


def _find_place(note: ReleaseNote, item, key: str) -> str:
    return f"{note.file}:{item.lines[key]}"
