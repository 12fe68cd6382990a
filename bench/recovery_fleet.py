"""Nodes and engines of the recovery benchmark, and the simplest policy to compare with."""

import random

import trio
import trio.testing

from basilwinch.exception import RETRIES_EXHAUSTED, BasilwinchError
from basilwinch.history import Answered, History, Invoked, Outcome
from basilwinch.observability import DecisionLog
from basilwinch.relay import ModelRequest, Relay, RelayConfig, SuspectConfig, SuspectRegistry
from basilwinch.routing import ChainRouter, RouteRequest, RoutingConfig
from basilwinch.server import EngineCall
from basilwinch.standin import CallbackScheduler, DirectClient, StandinEngines, expected_tokens
from bench.fleet import MODEL, SETTINGS, ZONES, equal_split, make_catalog, make_network

__all__ = ["ModelFleet", "SimpleRelay"]

NODES = 9
#: Interval in which nodes exchange suspects; membership sends a packet about this often.
EXCHANGE_S = 0.1


class TimedLog(DecisionLog):
    """Notes when attempts of requests were given up."""

    __slots__ = ("detected",)

    def record(self, kind, outcome, reason, **fields):
        """Note a decision."""
        if kind == "retry":
            self.detected.setdefault(fields["request"], []).append(trio.current_time())


class SimpleRelay:
    """Tries a failed request again from its start on any chain, at once, up to 5 times.

    It tells the router nothing, so dead servers and loaded ones are chosen like others.
    """

    attempts = 5

    def __init__(self, router, client, log):
        self.router = router
        self.client = client
        self.log = log
        self.in_progress = 0

    async def deliver(self, request, on_frame):
        """Run a request and call ``on_frame`` for each new position."""
        position = 0
        for attempt in range(1, self.attempts + 1):
            now = trio.current_time()
            choice = self.router.choose(RouteRequest(request.request, request.model), now)
            if not choice:
                raise BasilwinchError(choice)
            call = EngineCall(request.request, attempt, choice.chain, request.prompt, 1)
            call.max_tokens = request.max_tokens
            try:
                async with self.client.open(call) as frames:
                    async for frame in frames:
                        if frame.position == position:
                            on_frame(frame)
                            position += 1
                return
            except BasilwinchError as error:
                self.log.record("retry", "again", str(error), request=request.request)
        raise BasilwinchError(RETRIES_EXHAUSTED.because("all attempts failed"))

    async def drain(self):
        """Stop at once."""


class ModelFleet:
    """Nine nodes over 33 mixed servers in three zones, and callers with a history.

    :param seed: seed of everything random
    :param simple: whether to use the simplest policy
    """

    def __init__(self, seed: int, simple: bool):
        self.seed = seed
        self.simple = simple
        self.rng = random.Random(f"{seed}/recovery")
        self.catalog = make_catalog(seed)
        self.placements = equal_split(self.catalog)
        self.engines = StandinEngines(
            self.catalog.servers.values(),
            SETTINGS,
            make_network(self.catalog, seed),
            seed,
            CallbackScheduler(),
        )
        self.engines.place(self.placements.values())
        self.history = History()
        self.times: dict[str, list[float]] = {}
        self.failures: list = []
        self.log = TimedLog.for_benchmark()
        self.log.detected = {}
        self.started = 0
        self.nodes = [self.make_node(number) for number in range(NODES)]

    def make_node(self, number: int):
        """Return a relay as a newly started node has it."""
        self.started += 1
        rng = random.Random(f"{self.seed}/node/{self.started}")
        quiet = DecisionLog.for_benchmark()
        zone = ZONES[number % len(ZONES)]
        config = RoutingConfig(f"n{number}", zone, "ro-nord", node_count=NODES, max_batch=8)
        router = ChainRouter.from_config(config, rng, quiet)
        router.update(self.catalog, self.placements, 0.0)
        client = DirectClient(self.engines, zone=zone)
        if self.simple:
            return SimpleRelay(router, client, self.log)
        suspects = SuspectRegistry(SuspectConfig(f"n{number}.{self.started}"), quiet)
        relay = Relay.from_config(RelayConfig(), router, client, suspects, rng, self.log)
        relay.update(self.catalog)
        return relay

    async def exchange(self) -> None:
        """Spread suspects between the nodes until cancelled."""
        while not self.simple:
            await trio.sleep(EXCHANGE_S)
            now = trio.current_time()
            packets = [relay.suspects.export_bytes(now) for relay in self.nodes]
            for relay in self.nodes:
                for packet in packets:
                    relay.suspects.merge_bytes(packet, now)

    async def ask(self, name: str, prompt: str, tokens: int, node: int) -> None:
        """Send one request through a node and note what the caller sees."""
        request = ModelRequest(name, "org", MODEL.name, prompt, tokens)
        times, content = self.times.setdefault(name, []), []
        now = trio.current_time()
        times.append(now)
        self.history.append(Invoked(now, name, expected_tokens(prompt, tokens)))

        def take(frame):
            times.append(trio.current_time())
            content.append(frame.token)

        relay, outcome = self.nodes[node], Outcome.COMPLETE
        try:
            if self.simple:
                relay.in_progress += 1
                await relay.deliver(request, take)
            else:
                async with relay.run(request) as frames:
                    async for frame in frames:
                        take(frame)
        except BasilwinchError as error:
            outcome = Outcome.FAILED
            self.failures.append((name, error.failure))
        finally:
            if self.simple:
                relay.in_progress -= 1
        self.history.append(Answered(trio.current_time(), name, outcome, content))

    async def load(self, rate: float, duration_s: float, tokens=(30, 110)) -> None:
        """Send requests at a rate (Poisson) and wait for all responses."""
        end, number = trio.current_time() + duration_s, 0
        async with trio.open_nursery() as callers:
            while trio.current_time() < end:
                number += 1
                name = f"r{number}"
                prompt = name.ljust(self.rng.randint(80, 1200), ".")
                callers.start_soon(
                    self.ask,
                    name,
                    prompt,
                    self.rng.randint(*tokens),
                    self.rng.randrange(NODES),
                )
                await trio.sleep(self.rng.expovariate(rate))

    def run(self, scenario) -> None:
        """Run ``scenario(fleet)`` on a virtual clock, with engines and exchange beside it."""

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.engines.run)
                nursery.start_soon(self.exchange)
                # A policy without stall detection may wait for ever.
                with trio.move_on_after(120.0 if self.simple else 2000.0):
                    await scenario(self)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def count_bad(self) -> tuple[int, int]:
        """Return the responses cut (failed or without end) and the wrong ones."""
        invoked = {event.request: event.expected for event in self.history.of(Invoked)}
        complete = [a for a in self.history.of(Answered) if a.outcome is Outcome.COMPLETE]
        wrong = sum(answer.content != invoked[answer.request] for answer in complete)
        return len(invoked) - len(complete), wrong

    def resumed_gaps(self, since: float) -> list[tuple[float, float]]:
        """Return (detection, recovery) for each attempt given up after ``since``, in seconds.

        Detection is the time from the failure, or from the last token if that came later.
        Recovery is the time from there to the next token; infinite if none came.
        """
        gaps = []
        for name, detected in self.log.detected.items():
            times = self.times[name]
            first = min((at for at in detected if at >= since), default=None)
            if first is None:
                continue
            before = max([since] + [at for at in times if at <= first])
            after = min((at for at in times if at > first), default=float("inf"))
            gaps.append((first - before, after - first))
        return gaps
