"""Differences from the version in force, in an operator's words."""

from collections import Counter
from collections.abc import Iterator
from functools import singledispatch

from basilwinch.lint.draft import Draft, format_targets, format_time
from basilwinch.lint.finding import Finding
from basilwinch.release import Change, Verb

__all__ = ["compare", "describe_entry_change"]

# Changed fields of a route that are neither times nor targets, with the noun for operators.
_ROUTE_NOUNS = {
    "host": "host",
    "prefix": "prefix",
    "kind": "kind",
    "max_attempts": "maximum number of attempts",
    "priority": "priority",
}
_ROUTE_TIMES = {"timeout_s": "time-out", "objective_s": "objective", "gap_s": "gap target"}
_ROUTE_FLAGS = {
    "open": ("needs no API key any more", "needs an API key now"),
    "resumable": ("may resume streams now", "no longer resumes streams"),
}
_LIMIT_NOUNS = {
    "header_bytes": "maximum header size",
    "body_bytes": "maximum body size",
    "header_s": "time for a header",
    "idle_s": "idle time of connections",
}


def compare(draft: Draft, current: Draft) -> list[Finding]:
    """Return what changes if a draft replaces the version in force.

    Nothing is compared if entries of the draft are in error, because they would seem to be removed.

    :param draft: configuration that is checked
    :param current: configuration in force
    """
    if not draft.complete:
        text = "not compared with the version in force: correct the malformed entries first"
        return [Finding.warning("comparison-left-out", "document", text)]
    findings = []
    for run in (
        _compare_versions,
        _compare_routes,
        _compare_services,
        _compare_organisations,
        _compare_limits,
    ):
        findings += run(draft, current)
    return findings


def _compare_versions(draft: Draft, current: Draft) -> Iterator[Finding]:
    # Nodes ignore a configuration whose version is not above the one that they hold.
    if draft.version <= current.version and draft != current.replace(version=draft.version):
        text = f"version {draft.version} is not above {current.version}, so nodes ignore it"
        yield Finding.error("version-not-increased", "version", text)


def _index(entries) -> dict:
    return {entry.value.name: entry for entry in entries}


def _compare_names(noun: str, new: dict, old: dict) -> Iterator[Finding]:
    """Yield the added and removed entries of a list, by name."""
    for name, entry in new.items():
        if name not in old:
            yield Finding.change(f"{noun}-added", entry.place, f"{noun} {name} is added")
    for name in old:
        if name not in new:
            yield Finding.change(f"{noun}-removed", f"{noun} {name}", f"{noun} {name} is removed")


def _compare_routes(draft: Draft, current: Draft) -> Iterator[Finding]:
    new, old = _index(draft.routes), _index(current.routes)
    yield from _compare_names("route", new, old)
    for name, entry in new.items():
        if name in old:
            yield from _compare_route(draft, entry, old[name].value)


def _compare_route(draft: Draft, entry, before) -> Iterator[Finding]:
    after = entry.value

    def report(code: str, field: str, text: str) -> Finding:
        return Finding.change(code, draft.find_place(entry, field), f"route {after.name} {text}")

    if after.targets != before.targets:
        text = f"moves from {format_targets(before.targets)} to {format_targets(after.targets)}"
        yield report("route-moved", "targets", text)
    for field, noun in _ROUTE_TIMES.items():
        old, new = getattr(before, field), getattr(after, field)
        if old != new:
            text = f"changes its {noun} from {format_time(old)} to {format_time(new)}"
            yield report("route-time-changed", field, text)
    for field, noun in _ROUTE_NOUNS.items():
        old, new = getattr(before, field), getattr(after, field)
        if old != new:
            yield report("route-changed", field, f"changes its {noun} from {old} to {new}")
    for field, (on, off) in _ROUTE_FLAGS.items():
        if getattr(before, field) != getattr(after, field):
            yield report("route-changed", field, on if getattr(after, field) else off)


def _compare_services(draft: Draft, current: Draft) -> Iterator[Finding]:
    new, old = _index(draft.services), _index(current.services)
    yield from _compare_names("service", new, old)
    for name, entry in new.items():
        if name not in old or entry.value == old[name].value:
            continue
        text = _describe_engines(entry.value.engine, old[name].value.engine)
        yield Finding.change("service-changed", entry.place, f"service {name} {text}")


def _describe_engines(after, before) -> str:
    if before is None or after is None:
        return "runs without chains now" if after is None else "runs on chains now"
    fields = [field for field, value in after.to_dict().items() if value != getattr(before, field)]
    return f"has other values of its engine: {', '.join(fields)}"


def _compare_organisations(draft: Draft, current: Draft) -> Iterator[Finding]:
    place = draft.field_names.get("organisations", "organisations")
    if (draft.organisations is None) != (current.organisations is None):
        text = "no longer need API keys" if draft.organisations is None else "need API keys now"
        yield Finding.change("keys-required", place, f"routes {text}")
    new, old = _index(draft.organisations or ()), _index(current.organisations or ())
    yield from _compare_names("organisation", new, old)
    new_keys, old_keys = _collect_keys(draft), _collect_keys(current)
    for name, holder in new.items():
        added = len(new_keys[name] - old_keys.get(name, set()))
        removed = len(old_keys.get(name, set()) - new_keys[name])
        if added or removed:
            text = f"organisation {name}: {_count(added, 'added')}, {_count(removed, 'removed')}"
            key_place = draft.find_place(holder, "keys")
            yield Finding.change("keys-changed", key_place, text)
        if name in old and holder.value.priority != old[name].value.priority:
            before, after = (_name_priority(each) for each in (old[name], holder))
            text = f"organisation {name} changes its priority from {before} to {after}"
            yield Finding.change("organisation-changed", holder.place, text)
    owners = {key: name for name, keys in old_keys.items() for key in keys}
    moves = Counter(
        (owners[key], name)
        for name, keys in new_keys.items()
        for key in keys
        if owners.get(key, name) != name and key in owners
    )
    for (before, after), count in moves.items():
        text = f"{_count(count, 'moved')} from organisation {before} to {after}"
        yield Finding.change("keys-moved", place, text)


def _collect_keys(draft: Draft) -> dict[str, set[str]]:
    keys: dict[str, set[str]] = {}
    for holder in draft.organisations or ():
        keys.setdefault(holder.value.name, set()).update(holder.keys)
    return keys


def _count(number: int, verb: str) -> str:
    return f"{number} key{'' if number == 1 else 's'} {verb}"


def _name_priority(holder) -> str:
    priority = holder.value.priority
    return "that of the route" if priority is None else str(priority)


def _compare_limits(draft: Draft, current: Draft) -> Iterator[Finding]:
    for field, noun in _LIMIT_NOUNS.items():
        old, new = getattr(current.limits, field), getattr(draft.limits, field)
        if old == new:
            continue
        show = format_time if field.endswith("_s") else "{} bytes".format
        text = f"the {noun} changes from {show(old)} to {show(new)}"
        yield Finding.change("limit-changed", draft.find_limit_place(field), text)


def describe_entry_change(change: Change) -> Finding:
    """Return the change of an entry of the product's release notes, without digests of keys."""
    place = f"{change.kind} {change.name}"
    if change.verb is not Verb.CHANGED:
        verb = "added" if change.verb is Verb.ADDED else "withdrawn"
        return Finding.change(f"{change.kind}-{verb}", place, f"{place} is {verb}")
    texts = (
        (
            "its key is replaced"
            if field == "key_digest"
            else f"{field} changes from {_show(old)} to {_show(change.after.get(field))}"
        )
        for field, old in change.before.items()
    )
    return Finding.change(f"{change.kind}-changed", place, f"{place}: {', '.join(texts)}")


@singledispatch
def _show(value) -> str:
    return f"{value}" if value != "" else "none"


@_show.register
def _(value: list) -> str:
    return ", ".join(map(str, value)) or "none"
