"""Nodes and engines of the recovery benchmark, and a simple relay to compare with."""

import random

import trio
import trio.testing

from basilwinch.exception import RETRIES_EXHAUSTED, BasilwinchError
from basilwinch.history import Answered, History, Invoked, Outcome
from basilwinch.observability import DecisionLog
from basilwinch.relay import ModelRequest, Relay, RelayConfig
from basilwinch.routing import ChainRouter, RouteRequest, RoutingConfig
from basilwinch.server import EngineCall
from basilwinch.standin import CallbackScheduler, DirectClient, StandinEngines, expected_tokens
from basilwinch.suspicion import SuspectConfig, SuspectRegistry
from bench.fleet import ENGINE_SETTINGS, MODEL, ZONES, make_catalog, make_equal_split, make_network

__all__ = ["ModelFleet", "SimpleRelay"]

NODES = 9
#: Membership sends a packet about this often.
SUSPECT_EXCHANGE_INTERVAL_S = 0.1


class RetryTimeLog(DecisionLog):
    """Records the times at which attempts were given up, by request."""

    __slots__ = ("retry_times",)

    def record(self, kind, outcome, reason, **fields):
        """Record the time if the decision is a retry."""
        if kind == "retry":
            self.retry_times.setdefault(fields["request"], []).append(trio.current_time())


class SimpleRelay:
    """Retries a failed request at once, from its start and on any chain, in up to 5 attempts.

    It reports nothing to the router, so dead and loaded servers are chosen like others.
    """

    max_attempts = 5

    def __init__(self, router, client, log):
        self.router = router
        self.client = client
        self.log = log
        self.in_progress = 0

    async def deliver(self, request, on_frame):
        """Run a request and call ``on_frame`` with the first frame of each position.

        :raises BasilwinchError: if no chain is found or all attempts fail
        """
        position = 0
        for attempt in range(1, self.max_attempts + 1):
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
        raise BasilwinchError(RETRIES_EXHAUSTED.because(f"all {self.max_attempts} attempts failed"))

    async def drain(self):
        """Do nothing; requests in progress go on."""


class ModelFleet:
    """Nine nodes over 33 mixed servers in three zones, with callers and the history they record.

    :param seed: seed of everything random
    :param simple: whether nodes use :class:`SimpleRelay`
    """

    def __init__(self, seed: int, simple: bool):
        self.seed = seed
        self.simple = simple
        self.rng = random.Random(f"{seed}/recovery")
        self.catalog = make_catalog(seed)
        self.placements = make_equal_split(self.catalog)
        self.engines = StandinEngines(
            self.catalog.servers.values(),
            ENGINE_SETTINGS,
            make_network(self.catalog, seed),
            seed,
            CallbackScheduler(),
        )
        self.engines.place(self.placements.values())
        self.history = History()
        self.event_times: dict[str, list[float]] = {}
        self.failures: list = []
        self.log = RetryTimeLog.for_benchmark()
        self.log.retry_times = {}
        self.started_nodes = 0
        self.nodes = [self.make_node(number) for number in range(NODES)]

    def make_node(self, number: int):
        """Return the relay of a newly started node."""
        self.started_nodes += 1
        rng = random.Random(f"{self.seed}/node/{self.started_nodes}")
        decision_log = DecisionLog.for_benchmark()
        zone = ZONES[number % len(ZONES)]
        config = RoutingConfig(f"n{number}", zone, "ro-nord", node_count=NODES, max_batch=8)
        router = ChainRouter.from_config(config, rng, decision_log)
        router.update(self.catalog, self.placements, 0.0)
        client = DirectClient(self.engines, zone=zone)
        if self.simple:
            return SimpleRelay(router, client, self.log)
        suspects = SuspectRegistry(SuspectConfig(f"n{number}.{self.started_nodes}"), decision_log)
        relay = Relay.from_config(RelayConfig(), router, client, suspects, rng, self.log)
        relay.update(self.catalog)
        return relay

    async def exchange_suspects(self) -> None:
        """Exchange suspects between the nodes until cancelled."""
        while not self.simple:
            await trio.sleep(SUSPECT_EXCHANGE_INTERVAL_S)
            now = trio.current_time()
            packets = [relay.suspects.export_bytes(now) for relay in self.nodes]
            for relay in self.nodes:
                for packet in packets:
                    relay.suspects.merge_bytes(packet, now)

    async def send_request(self, name: str, prompt: str, tokens: int, node: int) -> None:
        """Send one request through a node and record what the caller receives."""
        request = ModelRequest(name, "org", MODEL.name, prompt, tokens)
        times, content = self.event_times.setdefault(name, []), []
        now = trio.current_time()
        times.append(now)
        self.history.append(Invoked(now, name, expected_tokens(prompt, tokens)))

        def record_frame(frame):
            times.append(trio.current_time())
            content.append(frame.token)

        relay, outcome = self.nodes[node], Outcome.COMPLETE
        try:
            if self.simple:
                relay.in_progress += 1
                await relay.deliver(request, record_frame)
            else:
                async with relay.run(request) as frames:
                    async for frame in frames:
                        record_frame(frame)
        except BasilwinchError as error:
            outcome = Outcome.FAILED
            self.failures.append((name, error.failure))
        finally:
            if self.simple:
                relay.in_progress -= 1
        self.history.append(Answered(trio.current_time(), name, outcome, content))

    async def generate_load(self, rate: float, duration_s: float, tokens=(30, 110)) -> None:
        """Send requests as a Poisson process and wait for all responses.

        :param rate: requests per second
        :param duration_s: seconds in which requests are sent
        :param tokens: minimum and maximum of the tokens to generate
        """
        end, number = trio.current_time() + duration_s, 0
        async with trio.open_nursery() as callers:
            while trio.current_time() < end:
                number += 1
                name = f"r{number}"
                prompt = name.ljust(self.rng.randint(80, 1200), ".")
                callers.start_soon(
                    self.send_request,
                    name,
                    prompt,
                    self.rng.randint(*tokens),
                    self.rng.randrange(NODES),
                )
                await trio.sleep(self.rng.expovariate(rate))

    def run(self, scenario) -> None:
        """Run ``scenario(fleet)`` on a virtual clock, with the engines and the suspect exchange."""

        async def main():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.engines.run)
                nursery.start_soon(self.exchange_suspects)
                # A relay without stall detection may wait forever.
                with trio.move_on_after(120.0 if self.simple else 2000.0):
                    await scenario(self)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def count_cut_and_wrong(self) -> tuple[int, int]:
        """Return the number of responses cut (failed or without end) and of wrong ones."""
        invoked = {event.request: event.expected for event in self.history.of(Invoked)}
        complete = [a for a in self.history.of(Answered) if a.outcome is Outcome.COMPLETE]
        wrong = sum(answer.content != invoked[answer.request] for answer in complete)
        return len(invoked) - len(complete), wrong

    def measure_recoveries(self, since: float) -> list[tuple[float, float]]:
        """Return (detection, recovery) in seconds for each request that gave up an attempt.

        Only the first attempt given up after ``since`` counts. Detection is the time from
        ``since``, or from the start or last token of the request if that came later, until the
        attempt was given up. Recovery is the time from there to the next token; infinite if none
        came.
        """
        recoveries = []
        for name, retries in self.log.retry_times.items():
            times = self.event_times[name]
            given_up_at = min((at for at in retries if at >= since), default=None)
            if given_up_at is None:
                continue
            interrupted_at = max([since] + [at for at in times if at <= given_up_at])
            resumed_at = min((at for at in times if at > given_up_at), default=float("inf"))
            recoveries.append((given_up_at - interrupted_at, resumed_at - given_up_at))
        return recoveries
