"""``basilwinch load``: sends requests to a daemon over HTTP, reports latencies and errors."""

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
        "Exit codes: 0 all calls succeeded, 1 some failed.",
    )
    add_setting(
        parser, "--target", "127.0.0.1:8080", "HOST:PORT or http URL of the daemon.", read_target
    )
    add_setting(parser, "--keys", "", "API keys of organisations, comma-separated.")
    add_setting(parser, "--model", "lekha-bn", "Model of the chat completions.")
    add_setting(parser, "--rate", "10", "Calls per second.", float)
    add_setting(parser, "--duration", "10", "Time during which calls are sent, in seconds.", float)
    add_setting(parser, "--max-tokens", "32", "Maximum number of tokens of a completion.", int)
    add_setting(parser, "--order-share", "0", "Share of the calls that are orders, 0 to 1.", float)
    add_setting(parser, "--order-path", "/services/orderdesk/orders", "Path of an order.")
    add_setting(
        parser,
        "--answer-timeout",
        "60",
        "Time without data after which a call fails, in seconds.",
        float,
    )
    add_setting(parser, "--seed", "1", "Seed of arrivals and choices.", int)


def read_target(text: str) -> str:
    """Return the ``HOST:PORT`` of an address or HTTP URL.

    :raises ValueError: if host or port is missing, or if there is a path, query, fragment, user or
        another scheme, which a call could not use

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
            f"expected at least one key in --keys, --rate above 0 (got {args.rate:g}), "
            f"--duration above 0 (got {args.duration:g}) and --order-share from 0 to 1 "
            f"(got {args.order_share:g})"
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
