"""Fixtures: a small fleet of engines for two layer ranges, with routers and relays."""

import random

import pytest
import trio

from basilwinch.catalog import Catalog, Model, Server, Service
from basilwinch.observability import DecisionLog
from basilwinch.pipeline import Placement, Stage
from basilwinch.relay import ModelRequest, Relay, RelayConfig
from basilwinch.routing import ChainRouter, RoutingConfig
from basilwinch.standin import DirectClient, EngineSettings, StandinEngines, expected_tokens
from basilwinch.suspicion import SuspectConfig, SuspectRegistry

LAYERS = 8


class Fleet:
    """Engines ``a0...`` for the first half of the layers and ``b0...`` for the second, and nodes.

    :param servers_per_range: number of engines per layer range
    """

    def __init__(self, servers_per_range: int = 4):
        names = [f"{half}{number}" for half in "ab" for number in range(servers_per_range)]
        servers = {
            name: Server(name, "", f"z{name[1]}", "r", "x", 1, 1 << 40, "s", tokens_per_s=20_000.0)
            for name in names
        }
        half = LAYERS // 2
        stages = tuple(
            Stage(name, 0, half) if name[0] == "a" else Stage(name, half, LAYERS) for name in names
        )
        self.placements = {"m": Placement("m", "", stages)}
        self.catalog = Catalog(
            1,
            models={"m": Model("m", LAYERS, 1 << 20, 1 << 10, "s")},
            servers=servers,
            services={"s": Service("s", "model")},
        )
        self.engines = StandinEngines(servers.values(), EngineSettings(failure_detection_s=0.1))
        self.engines.place(self.placements.values())
        self.client = DirectClient(self.engines)
        self.relays = []

    def add_node(self, client=None, **config) -> Relay:
        number = len(self.relays)
        log = DecisionLog.for_benchmark()
        router = ChainRouter.from_config(
            RoutingConfig(f"n{number}"), random.Random(f"router{number}"), log
        )
        router.update(self.catalog, self.placements, 0.0)
        suspects = SuspectRegistry(SuspectConfig(f"n{number}"), log)
        relay = Relay.from_config(
            RelayConfig(**config),
            router,
            client or self.client,
            suspects,
            random.Random(number),
            log,
        )
        relay.update(self.catalog)
        self.relays.append(relay)
        return relay

    async def exchange(self, delay_s: float = 0.05):
        """Exchange suspect entries between all nodes until cancelled."""
        while True:
            await trio.sleep(delay_s)
            now = trio.current_time()
            packets = [relay.suspects.export_bytes(now) for relay in self.relays]
            for relay in self.relays:
                for packet in packets:
                    relay.suspects.merge_bytes(packet, now)

    def count_alive(self) -> int:
        return sum(state.alive for state in self.engines.states.values())


def make_request(number, prompt="hello", tokens=40, **changes) -> ModelRequest:
    return ModelRequest(f"r{number}", "org", "m", prompt, tokens, **changes)


async def collect(relay, request, on_frame=None):
    """Return the tokens of a response; check the request and position of each frame."""
    tokens = []
    async with relay.run(request) as frames:
        async for frame in frames:
            assert (frame.request, frame.position) == (request.request, len(tokens))
            tokens.append(frame.token)
            if on_frame is not None:
                on_frame(frame)
    return tokens


@pytest.fixture
def fleet():
    return Fleet()


@pytest.fixture
def run_trio():
    """Run an async function with the fleet's engines on a virtual clock."""

    def run(function, fleet):
        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fleet.engines.run)
                with trio.fail_after(600):
                    await function()
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return run


@pytest.fixture
def right_tokens():
    return lambda request: expected_tokens(request.prompt, request.max_tokens)
