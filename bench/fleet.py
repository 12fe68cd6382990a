"""Fleet, network and requests of the throughput benchmark."""

import math
import random

from basilwinch.catalog import Catalog, Model, Server, Service, ServiceKind
from basilwinch.pipeline import Placement, Stage
from basilwinch.standin import EngineSettings, Network

__all__ = [
    "ACCELERATOR_KINDS",
    "DESIGN_SIZE_ZONES",
    "ENGINE_SETTINGS",
    "MODEL",
    "ZONES",
    "RequestGenerator",
    "compute_prompt_work",
    "make_catalog",
    "make_equal_split",
    "make_network",
]

#: Zones of deployment 1, and regions by zone of the design size: 11 zones in 4 regions.
ZONES = ("cluj-centru", "cluj-somes", "cluj-manastur")
DESIGN_SIZE_ZONES = {f"zone{number}": f"region{number % 4}" for number in range(11)}

#: Kinds of accelerator: tokens/s through one layer at full batch, and layers that fit in memory.
#: The mix delivers 555 tokens/s for each server, as 6.7 M tokens/s on 12,000 servers do.
ACCELERATOR_KINDS = {
    "a5": (32_000.0, 20),
    "b4": (22_000.0, 14),
    "c3": (16_000.0, 11),
    "d2": (10_000.0, 8),
    "e1": (6_000.0, 5),
}

MODEL = Model("hartie-32", 32, 1_000_000_000, 4_096, "asistent-hartie")

ENGINE_SETTINGS = EngineSettings(max_batch=8, prefill_cost_ratio=0.05, prefix_share=0.5)


def make_catalog(seed: int, count: int = 33, zones: dict[str, str] | None = None) -> Catalog:
    """Return a catalog of mixed servers.

    :param zones: regions by zone; the three zones of deployment 1 by default
    """
    zones = zones or dict.fromkeys(ZONES, "ro-nord")
    zone_names = list(zones)
    rng = random.Random(f"{seed}/fleet")
    names = list(ACCELERATOR_KINDS)
    servers = {}
    for number in range(count):
        kind = names[number % len(names)]
        speed, layers = ACCELERATOR_KINDS[kind]
        name = f"s{number:05d}"
        zone = rng.choice(zone_names)
        servers[name] = Server(
            name,
            f"10.0.{number // 250}.{number % 250}:8000",
            zone,
            zones[zone],
            kind,
            2,
            int(layers * MODEL.weight_bytes_per_layer * 1.1),
            MODEL.service,
            number % 2 == 0,
            speed,
        )
    services = {MODEL.service: Service(MODEL.service, ServiceKind.MODEL)}
    return Catalog(1, models={MODEL.name: MODEL}, servers=servers, services=services)


def make_network(catalog: Catalog, seed: int) -> Network:
    """Return links that differ 100-fold, from 20 us inside a zone to 2 ms between zones."""
    zones = {server.name: server.zone for server in catalog.servers.values()}
    return Network(zones, seed, same_zone_s=(0.00002, 0.0004), cross_zone_s=(0.0004, 0.002))


def make_equal_split(catalog: Catalog) -> dict[str, Placement]:
    """Return the placement that gives each server about the same number of layers.

    A stage has at most as many layers as the smallest server holds; the servers take the stages in
    turn.
    """
    max_layers = min(
        server.memory_bytes // MODEL.weight_bytes_per_layer for server in catalog.servers.values()
    )
    stage_count = math.ceil(MODEL.layers / max_layers)
    boundaries = [round(MODEL.layers * number / stage_count) for number in range(stage_count + 1)]
    stages = tuple(
        Stage(name, boundaries[index % stage_count], boundaries[index % stage_count + 1])
        for index, name in enumerate(sorted(catalog.servers))
    )
    return {MODEL.name: Placement(MODEL.name, "", stages)}


def compute_prompt_work(prompt_tokens: int, cache_key: str) -> float:
    """Return what an engine spends on a prompt with a perfect prefix cache.

    The unit is the work of one token in a full batch. A prompt takes one place in a batch, which
    costs the fixed part of a unit, and for each token that is not cached ``prefill_cost_ratio`` of
    the other part.
    """
    fixed = ENGINE_SETTINGS.fixed_step_share
    cached = ENGINE_SETTINGS.prefix_share if cache_key else 0.0
    return fixed + (1 - fixed) * ENGINE_SETTINGS.prefill_cost_ratio * prompt_tokens * (1 - cached)


class RequestGenerator:
    """Draws requests: prompts, lengths and cache keys.

    :param seed: seed of the draws, also part of the request ids
    :param prefixes: number of different cache keys
    """

    __slots__ = ("_seed", "_rng", "_prefixes", "_weights", "_count")

    def __init__(self, seed: int | str, prefixes: int = 200):
        self._seed = seed
        self._rng = random.Random(f"{seed}/work")
        self._prefixes = [f"p{number}" for number in range(prefixes)]
        # Few prefixes make up most of the traffic (Zipf's law).
        self._weights = [1.0 / (rank + 1) for rank in range(prefixes)]
        self._count = 0

    def draw(self) -> tuple[str, str, int, str]:
        """Return request id, prompt, tokens to generate and cache key (empty for half of them)."""
        rng = self._rng
        self._count += 1
        request_id = f"r{self._seed}-{self._count}"
        prompt_length = 4 * min(800, max(20, int(rng.lognormvariate(5.0, 0.6))))
        prompt = request_id.ljust(prompt_length, ".")
        tokens = min(300, max(10, int(rng.expovariate(1 / 100))))
        key = rng.choices(self._prefixes, self._weights)[0] if rng.random() < 0.5 else ""
        return request_id, prompt, tokens, key

    def compute_mean_work(self) -> float:
        """Return the mean work of 2,000 draws, without effect on later draws."""
        rng_state, count = self._rng.getstate(), self._count
        total = 0.0
        for _ in range(2_000):
            _, prompt, tokens, key = self.draw()
            total += tokens - 1 + compute_prompt_work(len(prompt) // 4, key)
        self._rng.setstate(rng_state)
        self._count = count
        return total / 2_000

    def draw_arrival_interval(self, rate: float) -> float:
        """Return the seconds until the next arrival of a Poisson process of ``rate`` per second."""
        return self._rng.expovariate(rate)
