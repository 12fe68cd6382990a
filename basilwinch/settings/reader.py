"""Reads settings from flags and environment variables."""

import argparse
import os
import sys
from types import SimpleNamespace

from basilwinch.exception import INVALID_SETTING, ConfigurationError, Failure
from basilwinch.record import Record
from basilwinch.settings.kind import BooleanKind, SecretKind

__all__ = [
    "Setting",
    "Settings",
    "add_flags",
    "read_or_exit",
    "read_settings",
    "render_table",
]

EXIT_USAGE = 2


class Setting(Record):
    """Definition of one setting.

    :param name: name with underscores; ``body_limit`` is ``--body-limit`` and
        ``BASILWINCH_BODY_LIMIT``
    :param kind: :class:`~basilwinch.settings.kind.Kind` of the value
    :param default: default value as a text
    :param help: description of the setting, with the unit
    """

    __slots__ = ("name", "kind", "default", "help")

    @property
    def flag(self) -> str:
        """The command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The environment variable."""
        return "BASILWINCH_" + self.name.upper()


class Settings(SimpleNamespace):
    """Parsed settings as attributes."""


def add_flags(parser: argparse.ArgumentParser, definitions) -> None:
    """Add a flag for each setting to an argument parser.

    :param definitions: the settings to add
    """
    for setting in definitions:
        argument_options = {"metavar": "VALUE"}
        if isinstance(setting.kind, BooleanKind):
            argument_options = {"action": "store_const", "const": "true"}
        default = f" (default: {setting.default})" if setting.default else ""
        description = f"{setting.help}; {setting.kind.allowed}{default} [{setting.variable}]"
        parser.add_argument(
            setting.flag,
            dest=setting.name,
            default=None,
            help=description.replace("%", "%%"),
            **argument_options,
        )


def read_settings(definitions, flags: dict, environ: dict) -> Settings:
    """Read and validate all settings.

    A flag overrides its environment variable, which overrides the default.

    :param definitions: the settings to read
    :param flags: texts of the flags by setting name, None for a flag that was not given
    :param environ: environment variables
    :returns: the parsed settings
    :raises ConfigurationError: ``INVALID_SETTING`` with all errors in ``detail["faults"]``
    """
    values, faults = {}, []
    for setting in definitions:
        text, source = _find_text_and_source(setting, flags, environ)
        value = setting.kind.parse(text)
        if isinstance(value, Failure):
            faults.append(f"{source}: {_describe_failure(setting, value)}")
        else:
            values[setting.name] = value
    if faults:
        raise ConfigurationError(INVALID_SETTING.because("; ".join(faults), faults=faults))
    return Settings(**values)


def read_or_exit(parser: argparse.ArgumentParser, definitions, argv=None) -> Settings:
    """Read the settings from the command line and the environment.

    If any is not valid, print all errors and exit with ``EXIT_USAGE``.

    :param parser: parser to which :func:`add_flags` was applied
    :param argv: command-line arguments, by default those of the process
    """
    flags = vars(parser.parse_args(argv))
    try:
        settings = read_settings(definitions, flags, dict(os.environ))
    except ConfigurationError as error:
        for fault in error.failure.detail["faults"]:
            print(f"{parser.prog}: {error.failure.code}: {fault}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    return settings


def render_table(definitions) -> str:
    """Return the settings as a Markdown table.

    :param definitions: the settings to include
    """
    rows = ["| flag | variable | default | allowed | meaning |", "|---|---|---|---|---|"]
    for setting in definitions:
        default = f"`{setting.default}`" if setting.default else ""
        cells = (f"`{setting.flag}`", f"`{setting.variable}`", default)
        rows.append("| " + " | ".join((*cells, setting.kind.allowed, setting.help)) + " |")
    return "\n".join(rows) + "\n"


def _find_text_and_source(setting: Setting, flags: dict, environ: dict) -> tuple[str, str]:
    if flags.get(setting.name) is not None:
        return flags[setting.name], setting.flag
    if setting.variable in environ:
        return environ[setting.variable], setting.variable
    return setting.default, setting.flag


def _describe_failure(setting: Setting, failure: Failure) -> str:
    """Return the reason of a failure, without the value of a secret setting."""
    if isinstance(getattr(setting.kind, "item", setting.kind), SecretKind):
        return f"the value is not allowed; expected {setting.kind.allowed}"
    return failure.reason
