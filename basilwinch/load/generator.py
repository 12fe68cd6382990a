"""Open-loop load generator: sends calls at a given rate, independent of response times."""

import random
import sys

import trio

from basilwinch.load.caller import Caller, OrderCall, StreamCall
from basilwinch.load.report import LoadReporter
from basilwinch.record import Record

__all__ = ["LoadConfig", "generate_load"]

PROGRESS_INTERVAL_S = 1.0


class LoadConfig(Record):
    """Configuration of a load run.

    :param api_keys: API keys of the organisations, of which each call uses a random one
    :param model: model of the completions
    :param rate: mean number of calls per second
    :param duration_s: time during which calls are sent in seconds
    :param max_tokens: maximum number of tokens of a completion
    :param order_share: share of the calls that are orders, 0 to 1
    :param order_path: path of an order, e.g. ``/services/orderdesk/orders``
    :param seed: seed of arrival times and random choices
    """

    __slots__ = (
        "api_keys",
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
    """Send calls with exponential inter-arrival times and wait for all responses.

    :param config: configuration of the run
    :param caller: sends single calls
    :param reporter: collects the samples
    :param progress: text stream for a progress line each second, or None
    :returns: seconds from the first call to the last response
    """
    rng = random.Random(config.seed)
    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        if progress is not None:
            nursery.start_soon(_show_progress, reporter, started_at, progress)
        async with trio.open_nursery() as calls:
            count = 0
            while trio.current_time() - started_at < config.duration_s:
                calls.start_soon(_send_one, config, caller, reporter, rng, count)
                count += 1
                await trio.sleep(rng.expovariate(config.rate))
        nursery.cancel_scope.cancel()
    return trio.current_time() - started_at


async def _send_one(config, caller: Caller, reporter, rng: random.Random, number: int) -> None:
    api_key = rng.choice(config.api_keys)
    if rng.random() < config.order_share:
        order_id = f"load-{config.seed}-{number}"
        call = OrderCall(api_key, config.order_path, order_id, {"order": order_id})
        reporter.add(await caller.send_order(call))
        return
    prompt = f"Request {number}: write {config.max_tokens} tokens."
    call = StreamCall(api_key, config.model, prompt, config.max_tokens)
    reporter.add(await caller.send_stream(call))


async def _show_progress(reporter: LoadReporter, started_at: float, stream) -> None:
    while True:
        await trio.sleep(PROGRESS_INTERVAL_S)
        elapsed_s = trio.current_time() - started_at
        failed = sum(reporter.codes.values()) - reporter.codes["ok"]
        line = f"{elapsed_s:6.1f} s  {reporter.codes['ok']} answered  {failed} failed"
        print(line, file=stream, flush=True)
