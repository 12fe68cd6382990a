"""Cost of the router: added time to the first token, and tokens relayed per core-second."""

import json
import pathlib
import random
import statistics
import sys
import tempfile

import trio

from basilwinch.load import Caller, LoadConfig, LoadReporter, generate_load
from basilwinch.load.caller import StreamCall
from basilwinch.observability import DecisionLog
from basilwinch.placement import read_placements
from basilwinch.release import load_state
from basilwinch.routing import ChainRouter, RouteRequest, RoutingConfig
from basilwinch.server import EngineCall, HttpEngineClient
from basilwinch.store.etcd import EtcdConfig, EtcdStore
from bench.processes import API_KEY, Processes, read_metric

__all__ = ["main"]

MODEL_NAME = "lekha-small"
LATENCY_CALLS = 150
BASE_PORT = 18400
# Load of the throughput measurement: enough for a busy core, low enough for one machine.
REQUESTS_PER_S = 45.0
DURATION_S = 15.0
TOKENS_PER_RESPONSE = 60


async def measure_first_tokens(address: str, platform: str) -> tuple[list, list]:
    """Return seconds to the first token, direct and through the router, measured alternately."""
    async with EtcdStore.from_config(EtcdConfig((f"http://{platform}",))) as store:
        catalog = (await load_state(store)).catalog
    rng = random.Random(1)
    router = ChainRouter.from_config(
        RoutingConfig(node="bench", zone="howrah"), rng, DecisionLog.for_benchmark()
    )
    router.update(catalog, read_placements(catalog), trio.current_time())
    engines = HttpEngineClient.from_config(catalog.servers.get, 8)
    caller = Caller.from_config(address, 8, 30.0)
    direct, routed = [], []
    for number in range(LATENCY_CALLS):
        prompt = f"user: Request {number}\n"
        choice = router.choose(
            RouteRequest(f"d{number}", MODEL_NAME, prompt_tokens=5, max_tokens=2),
            trio.current_time(),
        )
        started = trio.current_time()
        async with engines.open(EngineCall(f"d{number}", 1, choice.chain, prompt, 2)) as frames:
            await anext(aiter(frames))
            direct.append(trio.current_time() - started)
        sample = await caller.send_stream(StreamCall(API_KEY, MODEL_NAME, f"Request {number}", 2))
        routed.append(sample.first_token_s)
    await caller.close()
    await engines.close()
    return direct, routed


async def measure_throughput(address: str) -> tuple[LoadReporter, float]:
    """Return the report of a load run and the tokens relayed per second of CPU time."""
    caller = Caller.from_config(address, 2048, 60.0)
    config = LoadConfig(
        (API_KEY,), MODEL_NAME, REQUESTS_PER_S, DURATION_S, TOKENS_PER_RESPONSE, seed=3
    )
    before = await trio.to_thread.run_sync(_read_counters, address)
    reporter = LoadReporter()
    await generate_load(config, caller, reporter, None)
    await caller.close()
    after = await trio.to_thread.run_sync(_read_counters, address)
    return reporter, (after[0] - before[0]) / (after[1] - before[1])


def _read_counters(address: str) -> tuple[float, float]:
    tokens = read_metric(address, "basilwinch_tokens_total")
    return tokens, read_metric(address, "process_cpu_seconds_total")


def quantile_ms(values: list, fraction: float) -> float:
    """Return a quantile, in milliseconds, of values in seconds."""
    return 1000 * statistics.quantiles(values, n=100)[round(fraction * 100) - 1]


def main() -> int:
    """Run the benchmark and print a table and one line of JSON."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="basilwinch-bench-"))
    with Processes(folder, BASE_PORT) as processes:
        processes.start_standins()
        address = processes.start_node(1)
        processes.publish()
        processes.wait_until_serving(address, MODEL_NAME)
        direct, routed = trio.run(measure_first_tokens, address, processes.platform)
        reporter, tokens_per_core = trio.run(measure_throughput, address)
    print(f"{'first token':<16}{'p50 ms':>10}{'p95 ms':>10}")
    for name, values in (("direct", direct), ("through router", routed)):
        print(f"{name:<16}{quantile_ms(values, 0.5):>10.2f}{quantile_ms(values, 0.95):>10.2f}")
    print(reporter.render_table(DURATION_S))
    result = {
        "added_first_token_p50_ms": round(quantile_ms(routed, 0.5) - quantile_ms(direct, 0.5), 2),
        "added_first_token_p95_ms": round(quantile_ms(routed, 0.95) - quantile_ms(direct, 0.95), 2),
        "tokens_per_core_s": round(tokens_per_core),
        "load_failed": sum(reporter.codes.values()) - reporter.codes["ok"],
    }
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
