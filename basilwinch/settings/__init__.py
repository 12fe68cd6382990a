"""Settings from flags and environment variables, all validated at start."""

from basilwinch.settings.daemon import DAEMON_SETTINGS
from basilwinch.settings.kind import (
    AddressKind,
    BooleanKind,
    ChoiceKind,
    CountKind,
    Kind,
    ListKind,
    NumberKind,
    SecretKind,
    TextKind,
)
from basilwinch.settings.reader import (
    Setting,
    Settings,
    add_flags,
    read_or_exit,
    read_settings,
    render_table,
)

__all__ = [
    "AddressKind",
    "BooleanKind",
    "ChoiceKind",
    "CountKind",
    "DAEMON_SETTINGS",
    "Kind",
    "ListKind",
    "NumberKind",
    "SecretKind",
    "Setting",
    "Settings",
    "TextKind",
    "add_flags",
    "read_or_exit",
    "read_settings",
    "render_table",
]
