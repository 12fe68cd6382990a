"""Random fleets for the tests."""

import random

from basilwinch.catalog import Model, Server

__all__ = ["KINDS", "make_fleet", "make_model"]

GB = 1_000_000_000
# Tokens a second through one layer and memory bytes by kind of accelerator.
KINDS = {
    "a": (48_000.0, 80 * GB),
    "b": (30_000.0, 48 * GB),
    "c": (20_000.0, 40 * GB),
    "d": (12_000.0, 24 * GB),
    "e": (6_000.0, 16 * GB),
}


def make_model(name="m", layers=48, weight=2 * GB, kv=4_000):
    return Model(name, layers, weight, kv, "s")


def make_fleet(count, seed, zones=3, regions=1):
    """Return servers by name, of random kinds, spread evenly over the zones."""
    rng = random.Random(seed)
    servers = {}
    for index in range(count):
        kind = rng.choice(sorted(KINDS))
        rate, memory = KINDS[kind]
        zone = index % zones
        servers[f"s{index:05d}"] = Server(
            f"s{index:05d}",
            f"10.0.0.{index}:1",
            f"z{zone}",
            f"r{zone % regions}",
            kind,
            1,
            memory,
            "s",
            True,
            rate,
        )
    return servers
