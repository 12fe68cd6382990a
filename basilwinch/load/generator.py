"""Generates calls at a given rate, whatever the answers take (an open loop)."""

import random
import sys

import trio

from basilwinch.load.caller import Caller, OrderCall, StreamCall
from basilwinch.load.report import LoadReporter
from basilwinch.record import Record

__all__ = ["LoadConfig", "generate_load"]

PROGRESS_EVERY_S = 1.0


class LoadConfig(Record):
    """What to send.

    :param keys: API keys of the organisations, used in random order
    :param model: model of the completions
    :param rate: calls a second
    :param duration_s: seconds during which calls are sent
    :param max_tokens: tokens of a completion
    :param order_share: part of the calls that are orders, 0 to 1
    :param order_path: path of an order, e.g. ``/services/orderdesk/orders``
    :param seed: seed of arrivals and choices
    """

    __slots__ = (
        "keys",
        "model",
        "rate",
        "duration_s",
        "max_tokens",
        "order_share",
        "order_path",
        "seed",
    )
    _defaults = {"max_tokens": 32, "order_share": 0.0, "order_path": "", "seed": 1}


async def generate_load(
    config: LoadConfig, caller: Caller, reporter: LoadReporter, progress=sys.stderr
) -> float:
    """Send calls with exponential gaps between them and wait for all answers.

    :param config: what to send
    :param caller: sends single calls
    :param reporter: takes the samples
    :param progress: text stream for a progress line each second, or None
    :returns: seconds from the first call to the last answer
    """
    rng = random.Random(config.seed)
    started = trio.current_time()
    async with trio.open_nursery() as nursery:
        if progress is not None:
            nursery.start_soon(_show_progress, reporter, started, progress)
        async with trio.open_nursery() as calls:
            count = 0
            while trio.current_time() - started < config.duration_s:
                calls.start_soon(_send_one, config, caller, reporter, rng, count)
                count += 1
                await trio.sleep(rng.expovariate(config.rate))
        nursery.cancel_scope.cancel()
    return trio.current_time() - started


async def _send_one(config, caller: Caller, reporter, rng: random.Random, number: int) -> None:
    key = rng.choice(config.keys)
    if rng.random() < config.order_share:
        order_id = f"load-{config.seed}-{number}"
        call = OrderCall(key, config.order_path, order_id, {"order": order_id})
        reporter.add(await caller.send_order(call))
        return
    prompt = f"Request {number}: write {config.max_tokens} tokens."
    call = StreamCall(key, config.model, prompt, config.max_tokens)
    reporter.add(await caller.send_stream(call))


async def _show_progress(reporter: LoadReporter, started: float, stream) -> None:
    while True:
        await trio.sleep(PROGRESS_EVERY_S)
        elapsed_s = trio.current_time() - started
        failed = sum(reporter.codes.values()) - reporter.codes["ok"]
        line = f"{elapsed_s:6.1f} s  {reporter.codes['ok']} answered  {failed} failed"
        print(line, file=stream, flush=True)
