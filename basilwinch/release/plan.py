"""Computes the changes that a note makes to a state and checks the resulting state."""

from basilwinch.exception import (
    NOTE_CONFUSABLE,
    NOTE_EMPTY,
    NOTE_EXISTS,
    NOTE_INVALID,
    NOTE_NOT_FOUND,
    NOTE_NOT_UNIQUE,
    NOTE_STILL_NEEDED,
    NOTE_UNKNOWN_REFERENCE,
    Failure,
)
from basilwinch.release.change import Change
from basilwinch.release.name import skeleton
from basilwinch.release.note import Item, ReleaseNote, Verb
from basilwinch.release.schema import KINDS
from basilwinch.release.state import Revision, State, fields_of

__all__ = ["combine_failures", "plan_note"]


def plan_note(note: ReleaseNote, state: State) -> list[Change] | Failure:
    """Return the changes that a note makes to a state, ordered as in the note.

    Linear in the size of the state, because any other entry may need a withdrawn one.

    :returns: the changes, or ``NOTE_INVALID`` with every failure in its detail ``errors``
    """
    failures: list[Failure] = []
    changes = []
    for item in note.items:
        result = _change(note, item, state)
        if isinstance(result, Failure):
            failures.append(result)
        elif result is not None:
            changes.append(result)
    if failures:
        return combine_failures(failures)
    if not changes:
        reason = "all entries of the note already have these values"
        empty = NOTE_EMPTY.because(reason, file=note.file, line=1, key="")
        return combine_failures([empty])
    merged = state.applied(Revision(state.revision.number + 1, ""), changes)
    failures += _check_references(note, merged)
    failures += _check_withdrawn(note, merged)
    failures += _check_unique(note, merged)
    return combine_failures(failures) if failures else changes


def combine_failures(failures: list[Failure]) -> Failure:
    """Return one ``NOTE_INVALID`` failure with the others in its detail ``errors``."""
    reason = f"{len(failures)} error{'s' if len(failures) > 1 else ''}"
    return NOTE_INVALID.because(reason, errors=[failure.to_dict() for failure in failures])


def _change(note: ReleaseNote, item: Item, state: State) -> Change | Failure | None:
    old = state.entry(item.kind, item.name)
    if item.verb is Verb.ADDED and old is not None:
        return note.failure(NOTE_EXISTS, item, "already exists; use changed instead of added")
    if item.verb is not Verb.ADDED and old is None:
        return note.failure(NOTE_NOT_FOUND, item, "does not exist")
    before = fields_of(old) if old else None
    if item.verb is Verb.WITHDRAWN:
        return Change.between(item.kind, item.name, before, None)
    fields = (before or {"name": item.name}) | item.fields
    after = fields_of(KINDS[item.kind].build(fields))
    return Change.between(item.kind, item.name, before, after)


def _check_references(note: ReleaseNote, merged: State):
    for item in note.items:
        if item.verb is Verb.WITHDRAWN:
            continue
        entry = merged.entry(item.kind, item.name)
        for reference in KINDS[item.kind].references:
            for name in reference.names(entry):
                target = merged.entry(reference.kind, name)
                if target is None:
                    reason = f"{reference.key} names {name!r}, but no such {reference.kind} exists"
                elif item.kind == "model" and target.kind != "model":
                    reason = f"{reference.key} names {name!r}, which is not a model service"
                else:
                    continue
                yield note.failure(NOTE_UNKNOWN_REFERENCE, item, reason, reference.key)


def _check_withdrawn(note: ReleaseNote, merged: State):
    """Yield a failure for each entry of the note that entries outside it still need.

    These are withdrawn entries, and model services that become plain services.
    """
    withdrawn = {item.key: item for item in note.items if item.verb is Verb.WITHDRAWN}
    kind_changed = {
        item.key: item
        for item in note.items
        if item.kind == "service" and item.verb is Verb.CHANGED and item.fields.get("kind")
    }
    if not withdrawn and not kind_changed:
        return
    needed: dict[str, list[str]] = {}
    in_note = {item.key for item in note.items}
    for kind in KINDS.values():
        for name, entry in getattr(merged.catalog, kind.section).items():
            # References of the entries in the note are checked by _check_references.
            if f"{kind.name}/{name}" in in_note:
                continue
            for reference in kind.references:
                for target in reference.names(entry):
                    key = f"{reference.kind}/{target}"
                    if (
                        key in withdrawn
                        or key in kind_changed
                        and _is_model_of_plain_service(kind, merged, target)
                    ):
                        needed.setdefault(key, []).append(f"{kind.name}/{name}")
    for key, users in needed.items():
        item = withdrawn.get(key) or kind_changed[key]
        rest = f" and {len(users) - 3} more" if len(users) > 3 else ""
        reason = f"still needed by {', '.join(sorted(users)[:3])}{rest}"
        yield note.failure(NOTE_STILL_NEEDED, item, reason, needed_by=sorted(users)[:20])


def _is_model_of_plain_service(kind, merged: State, service: str) -> bool:
    return kind.name == "model" and merged.entry("service", service).kind != "model"


def _check_unique(note: ReleaseNote, merged: State):
    remaining = [item for item in note.items if item.verb is not Verb.WITHDRAWN]
    for kind in KINDS.values():
        items = [item for item in remaining if item.kind == kind.name]
        if not items:
            continue
        entries = getattr(merged.catalog, kind.section)
        # Only an added name can newly look like another.
        added = [item for item in items if item.verb is Verb.ADDED]
        if added:
            yield from _find_duplicates(
                note, added, entries, lambda entry: skeleton(entry.name), NOTE_CONFUSABLE, "name"
            )
        if kind.unique_key:
            yield from _find_duplicates(
                note,
                items,
                entries,
                _value_getter(kind.unique_key),
                NOTE_NOT_UNIQUE,
                kind.unique_key,
            )


def _value_getter(key: str):
    return lambda entry: getattr(entry, key)


def _find_duplicates(note, items, entries, value_of, failure_kind, key):
    names_by_value = {value_of(entries[item.name]): [] for item in items}
    for name, entry in entries.items():
        names = names_by_value.get(value_of(entry))
        if names is not None:
            names.append(name)
    for item in items:
        others = [
            name for name in names_by_value[value_of(entries[item.name])] if name != item.name
        ]
        if others:
            if failure_kind is NOTE_CONFUSABLE:
                reason = f"the name looks like {others[0]!r}"
            else:
                reason = f"{key} is the same as that of {others[0]!r}"
            yield note.failure(failure_kind, item, reason, key, other=others[0])
