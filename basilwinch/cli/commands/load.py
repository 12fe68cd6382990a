"""``basilwinch load``: drives a running daemon over HTTP and reports latencies and errors."""

import sys
import urllib.parse

from basilwinch.cli.arguments import add_setting, add_sub_command
from basilwinch.exception import INVALID_SETTING, ConfigurationError
from basilwinch.load import Caller, LoadConfig, LoadReporter, generate_load

__all__ = ["add_parser", "read_target", "run"]

MAX_CONNECTIONS = 4096


def add_parser(commands) -> None:
    """Add the sub-command."""
    parser = add_sub_command(
        commands,
        "load",
        "Send requests to a daemon at a rate and report latencies and errors.",
        run,
        "Exit codes: 0 every call was answered, 1 some failed.",
    )
    add_setting(
        parser, "--target", "127.0.0.1:8080", "HOST:PORT or http URL of the daemon.", read_target
    )
    add_setting(parser, "--keys", "", "API keys of organisations, with commas.")
    add_setting(parser, "--model", "lekha-bn", "Model of the completions.")
    add_setting(parser, "--rate", "10", "Calls a second.", float)
    add_setting(parser, "--duration", "10", "Seconds during which calls are sent.", float)
    add_setting(parser, "--max-tokens", "32", "Tokens of a completion.", int)
    add_setting(parser, "--order-share", "0", "Part of the calls that are orders, 0 to 1.", float)
    add_setting(parser, "--order-path", "/services/orderdesk/orders", "Path of an order.")
    add_setting(parser, "--answer-timeout", "60", "Seconds without data that end a call.", float)
    add_setting(parser, "--seed", "1", "Seed of arrivals and choices.", int)


def read_target(text: str) -> str:
    """Return host:port of an address or URL.

    :raises ValueError: for anything else, as a path or another scheme, which no call could use

    >>> read_target("http://127.0.0.1:8080/"), read_target("localhost:8080")
    ('127.0.0.1:8080', 'localhost:8080')
    """
    parts = urllib.parse.urlsplit(text if "://" in text else f"http://{text}")
    rest = parts.path.strip("/") or parts.query or parts.fragment or parts.username
    if parts.scheme != "http" or not parts.hostname or not parts.port or rest:
        raise ValueError(text)
    return parts.netloc


async def run(args, context) -> int:
    """Run the sub-command."""
    keys = tuple(filter(None, map(str.strip, args.keys.split(","))))
    if not keys or args.rate <= 0 or args.duration <= 0 or not 0 <= args.order_share <= 1:
        reason = (
            "--keys, a --rate and a --duration above 0 and an --order-share of 0 to 1 are needed"
        )
        raise ConfigurationError(INVALID_SETTING.because(reason))
    config = LoadConfig(
        keys,
        args.model,
        args.rate,
        args.duration,
        args.max_tokens,
        args.order_share,
        args.order_path,
        args.seed,
    )
    reporter = LoadReporter()
    caller = Caller.from_config(args.target, MAX_CONNECTIONS, args.answer_timeout)
    elapsed_s = await generate_load(config, caller, reporter, sys.stderr)
    await caller.close()
    document = reporter.to_dict(elapsed_s)
    context.output.succeed(reporter.render_table(elapsed_s), **document)
    return 0 if set(document["codes"]) <= {"ok"} else 1
