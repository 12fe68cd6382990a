"""Time and memory of routing decisions and of the planner, by size of the fleet."""

import gc
import random
import time
import tracemalloc

from basilwinch.observability import DecisionLog
from basilwinch.pipeline import LoadReport, TokenFrame
from basilwinch.placement import Planner, PlannerConfig
from basilwinch.routing import ChainRouter, RouteRequest, RoutingConfig
from bench.fleet import DESIGN_SIZE_ZONES, ENGINE_SETTINGS, MODEL, RequestGenerator, make_catalog
from bench.simulation import WORKLOAD, percentile

__all__ = ["FLEET_SIZES", "measure_planner", "measure_router"]

FLEET_SIZES = (33, 330, 3_300, 12_000)

_DECISION_COUNT = 5_000
_DESIGN_SIZE_NODES = 490


def measure_planner(size: int, seed: int = 1):
    """Return (row, catalog, placements); the row holds time and memory of a plan for ``size``
    servers."""
    catalog = make_catalog(seed, size, DESIGN_SIZE_ZONES if size > 1_000 else None)
    planner = Planner(PlannerConfig(), random.Random(seed), DecisionLog.for_benchmark())
    started = time.perf_counter()
    result = planner.plan(catalog.servers, catalog.models, WORKLOAD)
    seconds = time.perf_counter() - started
    tracemalloc.start()
    planner.plan(catalog.servers, catalog.models, WORKLOAD)
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    row = {"servers": size, "plan_s": seconds, "plan_peak_mb": peak_bytes / 1e6}
    return row, catalog, result.placements


def _make_report(stage, catalog) -> LoadReport:
    """Return the load report of a healthy server: a full batch at its nominal speed."""
    speed = catalog.servers[stage.server].tokens_per_s
    step_s = ENGINE_SETTINGS.max_batch * (stage.end - stage.first) / speed
    return LoadReport(stage.server, 3, ENGINE_SETTINGS.max_batch, 0.5, step_s)


def measure_router(catalog, placements, seed: int = 1) -> dict:
    """Return CPU time and memory of one node's decisions, including the counter of decisions."""
    size = len(catalog.servers)
    region = next(iter(catalog.servers.values())).region
    config = RoutingConfig(
        "node0", region=region, node_count=9 if size < 1_000 else _DESIGN_SIZE_NODES
    )
    tracemalloc.start()
    router = ChainRouter.from_config(config, random.Random(seed), DecisionLog.for_benchmark())
    router.update(catalog, placements, 0.0)
    router.capacity(MODEL.name)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started = time.perf_counter()
    router.update(catalog, placements, 0.0)
    update_s = time.perf_counter() - started
    generator = RequestGenerator(seed)
    requests = [
        RouteRequest(name, MODEL.name, key, len(prompt) // 4, tokens)
        for name, prompt, tokens, key in (generator.draw() for _ in range(_DECISION_COUNT))
    ]
    gc.collect()
    gc.freeze()
    times, open_choices, now = [], [], 0.0
    for request in requests:
        now += 0.03
        # CPU time, because wall-clock time includes the time slices of other processes.
        before = time.thread_time()
        choice = router.choose(request, now)
        times.append(time.thread_time() - before)
        router.begin(choice, now)
        load = tuple(_make_report(stage, catalog) for stage in choice.chain.stages)
        for position in range(10):
            frame = TokenFrame("r", 1, position, 1, choice.chain.stages, "", False, load)
            router.observe(choice, frame, 0.03, now)
        open_choices.append(choice)
        if len(open_choices) > 60:
            router.finish(open_choices.pop(0), None, now)
    gc.unfreeze()
    return {
        "servers": size,
        "servers_used": len(router.in_use(MODEL.name)),
        "choose_mean_us": sum(times) / len(times) * 1e6,
        "choose_p50_us": percentile(times, 0.5) * 1e6,
        "choose_p99_us": percentile(times, 0.99) * 1e6,
        "update_ms": update_s * 1e3,
        "router_mb": memory_bytes / 1e6,
    }
