"""Checks of the services that routes send their requests to."""

from collections.abc import Iterator

from basilwinch.lint.draft import Draft, find_repeated
from basilwinch.lint.finding import Finding

__all__ = ["check_missing", "check_repeated", "check_unused", "check_weights"]


def check_missing(draft: Draft) -> Iterator[Finding]:
    """Report targets without a service."""
    names = {entry.value.name for entry in draft.services}
    for entry, place, service, _ in _list_targets(draft):
        if service not in names:
            text = f"route {entry.value.name} sends requests to {service}, which is no service"
            yield Finding.error("service-missing", place, text)


def check_weights(draft: Draft) -> Iterator[Finding]:
    """Report targets that get no requests."""
    for entry, place, service, weight in _list_targets(draft):
        if weight == 0:
            text = f"route {entry.value.name} sends no requests to {service}: its weight is 0"
            yield Finding.warning("weight-zero", place, text)


def check_repeated(draft: Draft) -> Iterator[Finding]:
    """Report services that occur twice."""
    named = ((entry.value.name, entry) for entry in draft.services)
    for entry, first in find_repeated(named):
        text = f"{first.place} has the name {entry.value.name} too; only the last one counts"
        yield Finding.error("service-repeated", draft.find_place(entry, "name"), text)


def check_unused(draft: Draft) -> Iterator[Finding]:
    """Report services that no route uses."""
    used = {service for entry in draft.routes for service, _ in entry.value.targets}
    for entry in draft.services:
        if entry.value.name not in used:
            text = f"service {entry.value.name} gets no requests: no route sends any to it"
            yield Finding.warning("service-unused", draft.find_place(entry, "name"), text)


def _list_targets(draft: Draft) -> Iterator[tuple]:
    """Yield the route's entry, the place, the service and the weight of each target."""
    for entry in draft.routes:
        place = draft.find_place(entry, "targets")
        split = len(entry.value.targets) > 1
        for index, (service, weight) in enumerate(entry.value.targets):
            yield entry, f"{place}[{index}]" if split else place, service, weight
