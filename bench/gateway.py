"""Cost of the router: added time to the first token, and tokens relayed per second and core."""

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
from bench.processes import KEY, Processes, read_metric

__all__ = ["main"]

MODEL = "lekha-small"
CALLS = 150
BASE_PORT = 18400
# Streams of the throughput part: enough for a busy core, few enough for one machine.
RATE = 45.0
DURATION_S = 15.0
TOKENS = 60


async def measure_first_tokens(address: str, platform: str) -> tuple[list, list]:
    """Return times to the first token in seconds, direct and through the router, in turns."""
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
    for number in range(CALLS):
        prompt = f"user: Request {number}\n"
        choice = router.choose(
            RouteRequest(f"d{number}", MODEL, prompt_tokens=5, max_tokens=2), trio.current_time()
        )
        started = trio.current_time()
        async with engines.open(EngineCall(f"d{number}", 1, choice.chain, prompt, 2)) as frames:
            await anext(aiter(frames))
            direct.append(trio.current_time() - started)
        sample = await caller.send_stream(StreamCall(KEY, MODEL, f"Request {number}", 2))
        routed.append(sample.first_token_s)
    await caller.close()
    await engines.close()
    return direct, routed


async def measure_throughput(address: str) -> tuple[LoadReporter, float]:
    """Return the report of a load run and the tokens relayed per second of processor time."""
    caller = Caller.from_config(address, 2048, 60.0)
    config = LoadConfig((KEY,), MODEL, RATE, DURATION_S, TOKENS, seed=3)
    before = await trio.to_thread.run_sync(_read_cost, address)
    reporter = LoadReporter()
    await generate_load(config, caller, reporter, None)
    await caller.close()
    after = await trio.to_thread.run_sync(_read_cost, address)
    return reporter, (after[0] - before[0]) / (after[1] - before[1])


def _read_cost(address: str) -> tuple[float, float]:
    tokens = read_metric(address, "basilwinch_tokens_total")
    return tokens, read_metric(address, "process_cpu_seconds_total")


def quantile(values: list, share: float) -> float:
    """Return a quantile of some values in milliseconds."""
    return 1000 * statistics.quantiles(values, n=100)[round(share * 100) - 1]


def main() -> int:
    """Run the benchmark and print a table and one line of JSON."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="basilwinch-bench-"))
    with Processes(folder, BASE_PORT) as processes:
        processes.start_standins()
        address = processes.start_node(1)
        processes.publish()
        processes.wait_serving(address, MODEL)
        direct, routed = trio.run(measure_first_tokens, address, processes.platform)
        reporter, tokens_per_core = trio.run(measure_throughput, address)
    print(f"{'first token':<16}{'p50 ms':>10}{'p95 ms':>10}")
    for name, values in (("direct", direct), ("through router", routed)):
        print(f"{name:<16}{quantile(values, 0.5):>10.2f}{quantile(values, 0.95):>10.2f}")
    print(reporter.render_table(DURATION_S))
    result = {
        "added_first_token_p50_ms": round(quantile(routed, 0.5) - quantile(direct, 0.5), 2),
        "added_first_token_p95_ms": round(quantile(routed, 0.95) - quantile(direct, 0.95), 2),
        "tokens_per_core_s": round(tokens_per_core),
        "load_failed": sum(reporter.codes.values()) - reporter.codes["ok"],
    }
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
