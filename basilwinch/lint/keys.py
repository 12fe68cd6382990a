"""Checks of organisations and their API keys."""

from collections.abc import Iterator

from basilwinch.lint.draft import Draft, find_repeated
from basilwinch.lint.finding import Finding

__all__ = ["check_callers", "check_keys", "check_organisations"]


def check_organisations(draft: Draft) -> Iterator[Finding]:
    """Report organisations without a key, and repeated names."""
    holders = draft.organisations or ()
    for holder in holders:
        if not holder.keys:
            text = f"organisation {holder.value.name} has no API key, so no request belongs to it"
            yield Finding.warning("organisation-without-key", holder.place, text)
    for holder, first in find_repeated((holder.value.name, holder) for holder in holders):
        text = f"{first.place} has the name {holder.value.name} too"
        place = draft.find_place(holder, "name")
        yield Finding.warning("organisation-name-repeated", place, text)


def check_callers(draft: Draft) -> Iterator[Finding]:
    """Report routes that nobody may use."""
    holders = draft.organisations
    if holders is None or any(holder.keys for holder in holders):
        return
    for entry in draft.routes:
        if not entry.value.open:
            text = f"route {entry.value.name} refuses all requests: no API key exists"
            yield Finding.error("route-without-callers", draft.find_place(entry, "open"), text)


def check_keys(draft: Draft) -> Iterator[Finding]:
    """Report keys that occur twice and empty keys, by their places; a finding holds no key."""
    placed = [
        (key, (f"{draft.find_place(holder, 'keys')}[{index}]", holder))
        for holder in draft.organisations or ()
        for index, key in enumerate(holder.keys)
    ]
    for (place, holder), (first_place, first_holder) in find_repeated(placed):
        text = (
            f"organisation {holder.value.name} has the same key as {first_place} of organisation "
            f"{first_holder.value.name}; requests with it count for the last one"
        )
        yield Finding.error("key-repeated", place, text)
    for key, (place, holder) in placed:
        if not key.strip():
            text = f"organisation {holder.value.name} has an empty key"
            yield Finding.error("key-empty", place, text)
