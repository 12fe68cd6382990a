"""Entry point of ``basilwinchd``."""

import argparse
import random
import secrets
import sys

import structlog
import trio

from basilwinch.daemon.node import Node
from basilwinch.exception import BasilwinchError
from basilwinch.observability import configure_logs
from basilwinch.settings import DAEMON_SETTINGS, Settings, add_flags, read_or_exit

__all__ = ["main"]

EXIT_FAILURE = 1


def main(argv=None) -> None:
    """Run the daemon; exit with 2 if a setting cannot be parsed, 1 if the node cannot start.

    A node cannot start without ``--platform`` or with invalid ``--cluster-keys``, for example.

    :param argv: command-line arguments, by default those of the process
    """
    parser = argparse.ArgumentParser("basilwinchd", description="Entry node of basilwinch.")
    add_flags(parser, DAEMON_SETTINGS)
    settings = read_or_exit(parser, DAEMON_SETTINGS, argv)
    configure_logs(settings.log_style, settings.log_level)
    if settings.seed == 0:
        settings.seed = secrets.randbits(31)
    try:
        trio.run(run_daemon, settings)
    except BasilwinchError as error:
        structlog.get_logger("daemon").error("node failed to start", **error.failure.to_dict())
        sys.exit(EXIT_FAILURE)


async def run_daemon(settings: Settings) -> None:
    """Run one node until SIGTERM or SIGINT.

    :param settings: settings of the daemon
    :raises BasilwinchError: if the node cannot start
    """
    node = await Node.from_config(settings, random.Random(settings.seed))
    await node.run()
