"""Arguments of sub-commands, and settings that are both a flag and an environment variable."""

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

_TRUE_WORDS = ("1", "true", "yes", "on")


def add_setting(parser, flag: str, default, help: str, convert=str) -> None:
    """Add a setting with a value; the flag takes precedence over the variable.

    :param flag: such as ``--platform``; the variable is then ``BASILWINCH_PLATFORM``
    :param default: value if neither the flag nor the variable is given
    :param help: description, one sentence
    :param convert: function that converts the text and raises ``ValueError`` if it is not valid
    """
    variable = "BASILWINCH_" + flag.strip("-").replace("-", "_").upper()
    # argparse converts a string default too, so a wrong variable is reported like a wrong flag.
    value = os.environ.get(variable, default)
    parser.add_argument(flag, default=value, type=convert, help=f"{help} [{variable}]")


def add_switch(parser, flag: str, help: str) -> None:
    """Add a setting that is on or off. The variable turns it on with 1, true, yes or on."""
    variable = "BASILWINCH_" + flag.strip("-").replace("-", "_").upper()
    value = os.environ.get(variable, "").lower() in _TRUE_WORDS
    parser.add_argument(flag, default=value, action="store_true", help=f"{help} [{variable}]")


def add_sub_command(commands, name: str, help: str, run, epilog: str = ""):
    """Add a sub-command with ``--json`` and return its parser.

    :param commands: return value of ``add_subparsers``
    :param run: async function ``run(args, context)`` that returns the exit code
    :param epilog: text at the end of the help
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
    """Return the URLs of a comma-separated list.

    An address without a scheme becomes an HTTP URL, so that one ``BASILWINCH_PLATFORM`` suits both
    the daemon, which expects ``IP:PORT``, and this tool.

    >>> split_urls("127.0.0.1:2379, https://10.0.0.2:2379/")
    ['http://127.0.0.1:2379', 'https://10.0.0.2:2379']
    """
    parts = [part.strip().rstrip("/") for part in text.split(",") if part.strip()]
    return [part if "://" in part else f"http://{part}" for part in parts]


def add_platform(parser) -> None:
    """Add the settings of the key-value service."""
    default = "http://127.0.0.1:2379"
    add_setting(
        parser,
        "--platform",
        default,
        "Addresses or URLs of the key-value service, comma-separated.",
    )
    add_setting(parser, "--timeout", "5", "Maximum time of one call in seconds.", _positive_seconds)


def add_nodes(parser) -> None:
    """Add the setting that lists the nodes."""
    add_setting(parser, "--nodes", "", "Addresses or URLs of the nodes, comma-separated.")


def add_note_file(parser) -> None:
    """Add the argument for the file of a note."""
    parser.add_argument("file", help="File of the release note (TOML).")


def _positive_seconds(text: str) -> float:
    value = float(text)
    if not 0 < value < float("inf"):
        raise ValueError(text)
    return value
