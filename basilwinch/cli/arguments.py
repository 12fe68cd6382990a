"""Settings that are both a flag and an environment variable."""

import argparse
import os

__all__ = [
    "add_nodes",
    "add_note_file",
    "add_platform",
    "add_setting",
    "add_sub_command",
    "add_switch",
    "split_urls",
]

_TRUE = ("1", "true", "yes", "on")


def add_setting(parser, flag: str, default, help: str, convert=str) -> None:
    """Add a setting with a value; the flag takes precedence over the variable.

    :param flag: such as ``--platform``; the variable is then ``BASILWINCH_PLATFORM``
    :param default: value if neither is given
    :param help: one sentence
    :param convert: function from text to value that raises ``ValueError``
    """
    variable = "BASILWINCH_" + flag.strip("-").replace("-", "_").upper()
    # argparse converts a default that is a string, and reports an error as for the flag.
    value = os.environ.get(variable, default)
    parser.add_argument(flag, default=value, type=convert, help=f"{help} [{variable}]")


def add_switch(parser, flag: str, help: str) -> None:
    """Add a setting that is on or off; the variable is on if it is 1, true, yes or on."""
    variable = "BASILWINCH_" + flag.strip("-").replace("-", "_").upper()
    value = os.environ.get(variable, "").lower() in _TRUE
    parser.add_argument(flag, default=value, action="store_true", help=f"{help} [{variable}]")


def add_sub_command(commands, name: str, help: str, run, epilog: str = ""):
    """Add a sub-command with ``--json`` and return its parser.

    :param commands: what ``add_subparsers`` returned
    :param run: ``async run(args, context) -> int``
    """
    parser = commands.add_parser(
        name,
        help=help,
        description=help,
        epilog=epilog,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add_switch(parser, "--json", "Print one JSON object.")
    parser.set_defaults(run=run)
    return parser


def split_urls(text: str) -> list[str]:
    """Return the URLs of a list with commas.

    An address without a scheme is taken for HTTP, so that one ``BASILWINCH_PLATFORM`` serves the
    daemon, which takes ``IP:PORT``, and the tool.

    >>> split_urls("127.0.0.1:2379, https://10.0.0.2:2379/")
    ['http://127.0.0.1:2379', 'https://10.0.0.2:2379']
    """
    parts = [part.strip().rstrip("/") for part in text.split(",") if part.strip()]
    return [part if "://" in part else f"http://{part}" for part in parts]


def add_platform(parser) -> None:
    """Add the settings of the key-value service."""
    default = "http://127.0.0.1:2379"
    add_setting(
        parser, "--platform", default, "Addresses or URLs of the key-value service, with commas."
    )
    add_setting(parser, "--timeout", "5", "Seconds that one call may take.", _positive)


def add_nodes(parser) -> None:
    """Add the setting that lists the nodes."""
    add_setting(parser, "--nodes", "", "Addresses or URLs of the nodes, with commas.")


def add_note_file(parser) -> None:
    """Add the file of a note as an argument."""
    parser.add_argument("file", help="File of the release note (TOML).")


def _positive(text: str) -> float:
    value = float(text)
    if not 0 < value < float("inf"):
        raise ValueError(text)
    return value
