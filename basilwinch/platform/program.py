"""Command that runs an entry node on the platform."""

import argparse
import os
import random
import sys

import structlog
import trio

from basilwinch.entry.node import EntryNode
from basilwinch.exception import ConfigurationError
from basilwinch.observability.logs import configure_logs
from basilwinch.observability.output import BoundedOutput
from basilwinch.platform.dialect import Dialect
from basilwinch.platform.documents import (
    CONFIGURATION_KEY,
    SERVERS_PREFIX,
    decode_configuration,
    decode_server,
)
from basilwinch.platform.settings import SETTINGS_VARIABLE, read_settings
from basilwinch.platform.store import MetadataStore
from basilwinch.view.source import ViewSource

__all__ = ["main"]

_INVALID_SETTINGS_EXIT_STATUS = 2


def main(arguments=None) -> int:
    """Run a node until it receives a signal to stop; return the exit status."""
    parser = argparse.ArgumentParser(description="Entry node on the users' platform.")
    default = os.environ.get(SETTINGS_VARIABLE, "/etc/basilwinch/node.toml")
    parser.add_argument("--settings", default=default, help="path of the settings file")
    parser.add_argument("--log-level", default="info", help="lowest level of log lines to write")
    parser.add_argument(
        "--seed", type=int, default=None, help="seed of the random number generator"
    )
    options = parser.parse_args(arguments)
    configure_logs("json", options.log_level, BoundedOutput(sys.stdout.fileno()))
    try:
        settings = read_settings(options.settings)
    except ConfigurationError as error:
        structlog.get_logger("node").error("settings invalid", reason=error.failure.reason)
        return _INVALID_SETTINGS_EXIT_STATUS
    seed = options.seed if options.seed is not None else random.SystemRandom().getrandbits(32)
    store = MetadataStore(settings.store.host, settings.store.port)
    source = ViewSource(
        store, CONFIGURATION_KEY, SERVERS_PREFIX, decode_configuration, decode_server
    )
    node = EntryNode.from_config(settings, store, source, Dialect(), seed)
    trio.run(node.run)
    return 0


if __name__ == "__main__":
    sys.exit(main())
