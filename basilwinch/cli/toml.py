"""Rendering of release notes as TOML."""

import json

__all__ = ["format_note"]


def format_note(title: str, changes) -> str:
    """Return the TOML text of a note that adds entries to an empty catalog.

    The text can be published as a note.

    :param title: title of the note
    :param changes: changes that add entries

    >>> from basilwinch.release import Change
    >>> fields = {"name": "a", "kind": "plain"}
    >>> print(format_note("t", [Change("added", "service", "a", fields, None)]))
    title = "t"
    <BLANKLINE>
    [[added.service]]
    name = "a"
    kind = "plain"
    """
    tables = [f"title = {_format_value(title)}"]
    for change in changes:
        values = [f"{key} = {_format_value(value)}" for key, value in change.after.items()]
        tables.append("\n".join([f"[[{change.verb}.{change.kind}]]", *values]))
    return "\n\n".join(tables)


def _format_value(value) -> str:
    # JSON and TOML write strings, numbers, booleans and lists of strings alike, except for the
    # character DEL, which TOML requires to be escaped.
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")
