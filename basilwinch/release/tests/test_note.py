"""Tests of reading and checking notes."""

import pathlib

import pytest

from basilwinch.exception import Failure
from basilwinch.release import ReleaseNote, Revision, State, plan_note, read_note, read_note_file

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
BASE = """
title = "first"
[[added.service]]
name = "proofwriter"
kind = "model"
[[added.model]]
name = "lekha"
layers = 4
weight_bytes_per_layer = 10
kv_bytes_per_token_layer = 1
service = "proofwriter"
[[added.server]]
name = "howrah-1"
address = "10.0.0.1:8000"
zone = "howrah"
region = "kolkata"
service = "proofwriter"
[[added.organisation]]
name = "a"
key_digest = "%s"
models = ["lekha"]
""" % ("0" * 64)


def apply(text, state):
    """Apply a note that must be valid."""
    note = read_note(text)
    assert isinstance(note, ReleaseNote), note
    changes = plan_note(note, state)
    assert not isinstance(changes, Failure), changes.detail
    return state.applied(Revision(state.revision.number + 1, "x"), changes)


def errors_of(text, state):
    """Return (code, line, key) of each error of a note."""
    note = read_note(text, "n.toml")
    if isinstance(note, list):
        return [(f.code, f.detail["line"], f.detail["key"]) for f in note]
    result = plan_note(note, state)
    assert isinstance(result, Failure), result
    details = [(e["code"], e["detail"]) for e in result.detail["errors"]]
    assert all(detail["file"] == "n.toml" for _, detail in details)
    return [(code, detail["line"], detail["key"]) for code, detail in details]


ADD = '[[added.server]]\nname = "{}"\naddress = "{}"\nzone = "z"\nregion = "r"\nservice = "{}"\n'
PLAIN = '[[added.service]]\nname="s"\nkind="plain"\n'


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("a = ", [("note_syntax", 1, "")]),
        (b'title = "\xff"', [("note_syntax", 1, "")]),
        ("", [("note_empty", 1, "")]),
        ("\n[[adds.model]]\n", [("note_unknown_table", 1, "adds")]),
        ("\n[[added.modle]]\n", [("note_unknown_table", 2, "added.modle")]),
        ("[added.model]\nname = 'x'\n", [("note_unknown_table", 1, "added.model")]),
        ("[[added.version]]\nname = 'a/b'\n", [("note_wrong_name", 2, "name")]),
        (
            PLAIN + "non_idempotent = ['post /x']\ncolour = 1\n",
            [("note_wrong_value", 4, "non_idempotent"), ("note_unknown_key", 5, "colour")],
        ),
        ("[[added.service]]\nname='s'\n", [("note_missing_key", 1, "kind")]),
        (PLAIN + "[[withdrawn.service]]\nname='s'\n", [("note_duplicate", 5, "name")]),
        ("[[changed.service]]\nname='s'\n", [("note_empty", 1, "")]),
        ("[[changed.service]]\nname='s'\nkind='plain'\n", [("note_not_found", 2, "name")]),
        (PLAIN.replace('"s"', '"proofwriter"'), [("note_exists", 2, "name")]),
        ("[[changed.model]]\nname='lekha'\nlayers=4\n", [("note_empty", 1, "")]),
        ("[[changed.model]]\nname='lekha'\nlayers=true\n", [("note_wrong_value", 3, "layers")]),
        (PLAIN.replace('"s"', '"рroofwriter"'), [("note_confusable", 2, "name")]),
        (ADD.format("b", "10.0.0.1:8000", "proofwriter"), [("note_not_unique", 3, "address")]),
        (ADD.format("b", "10.0.0.2:8000", "none"), [("note_unknown_reference", 6, "service")]),
        ("[[withdrawn.model]]\nname='lekha'\n", [("note_still_needed", 2, "name")]),
        (
            "[[changed.service]]\nname='proofwriter'\nkind='plain'\n",
            [("note_still_needed", 2, "name")],
        ),
    ],
)
def test_each_error_has_code_line_and_key(text, expected):
    """Guards against errors that an operator cannot locate."""
    assert errors_of(text, apply(BASE, State.empty())) == expected


def test_references_are_checked_on_the_merged_state():
    """Guards against the refusal of a note whose entries are valid only together."""
    state = apply(BASE, State.empty())
    gone = (
        "[[withdrawn.model]]\nname='lekha'\n[[changed.organisation]]\nname='a'\nmodels=[]\n"
        "[[changed.server]]\nname='howrah-1'\nstate='leaving'\n"
    )
    after = apply(gone, state)
    assert not after.catalog.models and after.catalog.servers["howrah-1"].state == "leaving"
    assert state.catalog.models, "the old state must not change"


def test_names_are_compared_in_one_normal_form():
    """Guards against two entries whose names differ only in their code points."""
    composed, decomposed = "caf\u00e9", "cafe\u0301"
    state = apply(PLAIN.replace('"s"', f'"{composed}"'), State.empty())
    assert errors_of(PLAIN.replace('"s"', f'"{decomposed}"'), state)[0][0] == "note_exists"


@pytest.mark.parametrize("name", ["first", "second"])
def test_the_example_notes_are_valid(name):
    """Guards against example notes that no longer match the format."""
    note = read_note_file(str(EXAMPLES / f"{name}.toml"))
    assert isinstance(note, ReleaseNote), note
    changes = plan_note(note, State.empty())
    assert not isinstance(changes, Failure), changes.detail
    servers = [change.after for change in changes if change.kind == "server"]
    assert len(servers) == 36 and len({server["zone"] for server in servers}) == 3
