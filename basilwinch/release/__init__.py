"""Release notes: reading, checks, acceptance, history and the state in effect."""

from basilwinch.release.change import Change, combine
from basilwinch.release.follower import Follower, FollowerConfig
from basilwinch.release.layout import StoredNote
from basilwinch.release.loader import load_state, read_head, read_history, read_recent
from basilwinch.release.note import ReleaseNote, Verb, read_note, read_note_file
from basilwinch.release.plan import plan_note
from basilwinch.release.publisher import Publication, Publisher
from basilwinch.release.replica import Replica
from basilwinch.release.state import Revision, State
from basilwinch.release.steps import run_steps, run_steps_cooperatively

__all__ = [
    "Change",
    "Follower",
    "FollowerConfig",
    "Publication",
    "Publisher",
    "ReleaseNote",
    "Replica",
    "Revision",
    "State",
    "StoredNote",
    "Verb",
    "combine",
    "load_state",
    "plan_note",
    "read_head",
    "read_history",
    "read_note",
    "read_note_file",
    "read_recent",
    "run_steps",
    "run_steps_cooperatively",
]
