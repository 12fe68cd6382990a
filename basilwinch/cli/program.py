"""Entry point of the command-line tool."""

import argparse
import importlib
import sys

import trio

from basilwinch.cli.context import Context
from basilwinch.cli.output import Output
from basilwinch.exception import BasilwinchError
from basilwinch.observability import configure_logs

__all__ = ["build_parser", "execute", "main"]

# Modules of basilwinch.cli.commands, in the order in which the help lists them.
_COMMANDS = ("check", "plan", "publish", "status", "history", "show", "diff", "load", "scenario")


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the tool with all sub-commands."""
    parser = argparse.ArgumentParser(
        prog="basilwinch",
        description="Checks, publishes and shows release notes; generates load and runs scenarios.",
        epilog="Exit codes: 0 done, 1 failed, 2 invalid usage, 3 the note has errors, 4 conflict, "
        "5 platform unavailable and nothing changed, 6 not known whether the note was accepted, "
        "7 not in effect on every node, 8 unknown revision or note.",
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name in _COMMANDS:
        importlib.import_module(f"basilwinch.cli.commands.{name}").add_parser(commands)
    return parser


async def execute(args: argparse.Namespace, context: Context) -> int:
    """Run one sub-command and return its exit code."""
    try:
        return int(await args.run(args, context))
    except BasilwinchError as error:
        return int(context.output.fail(error.failure))


def main(argv: list[str] | None = None) -> int:
    """Run the tool.

    :param argv: command-line arguments, by default those of the process
    :returns: exit code
    """
    configure_logs("console", "error")
    args = build_parser().parse_args(argv)
    context = Context(Output(sys.stdout, args.json))
    try:
        if "main" in args:
            return int(args.main(args, context))
        return trio.run(execute, args, context)
    except KeyboardInterrupt:
        # The usual exit code of a program that SIGINT has ended: 128 + 2.
        return 130


if __name__ == "__main__":
    sys.exit(main())
