"""Release notes as TOML text."""

import json

__all__ = ["format_note"]


def format_note(title: str, changes) -> str:
    """Return a note that makes the given changes from nothing; it can be published again.

    >>> from basilwinch.release import Change
    >>> fields = {"name": "a", "kind": "plain"}
    >>> print(format_note("t", [Change("added", "service", "a", fields, None)]))
    title = "t"
    <BLANKLINE>
    [[added.service]]
    name = "a"
    kind = "plain"
    """
    tables = [f"title = {_format(title)}"]
    for change in changes:
        values = [f"{key} = {_format(value)}" for key, value in change.after.items()]
        tables.append("\n".join([f"[[{change.verb}.{change.kind}]]", *values]))
    return "\n\n".join(tables)


def _format(value) -> str:
    # JSON writes strings, numbers, booleans and lists of strings as TOML does, but for DEL.
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")
