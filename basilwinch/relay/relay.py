"""Runs model requests with retries, and drains the node."""

import random
from contextlib import asynccontextmanager

import trio

from basilwinch.catalog import Catalog
from basilwinch.exception import DRAINING, BasilwinchError, CallerError
from basilwinch.failover import ChainActivity
from basilwinch.observability import DecisionLog
from basilwinch.relay.budget import RetryBudget
from basilwinch.relay.request import ModelRequest, RelayConfig
from basilwinch.relay.run import Run
from basilwinch.server import EngineClient
from basilwinch.suspicion import SuspectRegistry

__all__ = ["Relay"]


class Relay:
    """Runs the model requests of a node.

    :param config: :class:`RelayConfig`
    :param router: :class:`~basilwinch.routing.ChainRouter`
    :param client: opens streams to engines; if it has ``export_kv(server, request)`` and
        ``import_kv(server, block)``, a resumed request may import its KV cache instead of replaying
        its prefix
    :param suspects: registry of requests that may have crashed servers
    :param rng: source of randomness for backoffs
    :param log: decision log
    """

    __slots__ = (
        "config",
        "router",
        "client",
        "suspects",
        "rng",
        "log",
        "budget",
        "catalog",
        "activity",
        "attempts",
        "last_backup_at",
        "in_progress",
        "draining",
        "_drained",
    )

    def __init__(self, config, router, client, suspects, rng, log):
        self.config = config
        self.router = router
        self.client = client
        self.suspects = suspects
        self.rng = rng
        self.log = log
        self.budget = RetryBudget(config.retry_ratio, config.retry_window_s, config.retry_reserve)
        self.catalog = Catalog()
        self.activity = ChainActivity()
        #: Attempts in progress of all requests.
        self.attempts = set()
        #: Time at which a backup last began, in seconds.
        self.last_backup_at = float("-inf")
        self.in_progress = 0
        self.draining = False
        self._drained = trio.Event()

    @classmethod
    def from_config(
        cls,
        config: RelayConfig,
        router,
        client: EngineClient,
        suspects: SuspectRegistry,
        rng: random.Random,
        log: DecisionLog,
    ) -> "Relay":
        """Build a relay."""
        return cls(config, router, client, suspects, rng, log)

    def update(self, catalog: Catalog) -> None:
        """Apply the catalog in effect; KV transfers need its models and servers."""
        self.catalog = catalog

    @asynccontextmanager
    async def run(self, request: ModelRequest):
        """Run a request; use as ``async with relay.run(request) as frames``.

        Leaving the block ends the attempts in progress and releases the engines' slots, also when
        the caller is cancelled. Iterating ``frames`` opens streams, so iterate it in the task that
        entered the block.

        :param request: :class:`ModelRequest`
        :returns: an async iterator of the frames of the response, each position exactly once, in
            order
        :raises BasilwinchError: if the response cannot be completed; ``DRAINING`` on entry, other
            failures during iteration
        """
        if self.draining:
            raise CallerError(DRAINING.because("the node is draining and accepts no new requests"))
        self.in_progress += 1
        self.budget.deposit(trio.current_time())
        failure = None
        try:
            async with trio.open_nursery() as nursery:
                run = Run(self, request, nursery, trio.current_time())
                # Raised after the nursery, which would wrap it in an exception group.
                try:
                    try:
                        yield run
                    finally:
                        await run.close()
                except BaseException as error:
                    failure = error
            if failure is not None:
                raise failure
        finally:
            failure = None
            self.in_progress -= 1
            if self.draining and not self.in_progress:
                self._drained.set()

    def have_common_server(self) -> bool:
        """Return whether one server is part of all chains in progress on this node."""
        common = None
        for attempt in self.attempts:
            servers = attempt.choice.chain.servers
            common = set(servers) if common is None else common.intersection(servers)
            if not common:
                return False
        return common is not None

    async def drain(self) -> None:
        """Refuse new requests and wait until the requests in progress have finished.

        Drain the gateway first: requests that wait for admission have not reached the relay.
        """
        if not self.draining:
            self.draining = True
            self.log.record("drain", "start", "the node is draining", in_progress=self.in_progress)
        if self.in_progress:
            await self._drained.wait()

    def raise_failure(self, failure) -> None:
        """Raise the failure that ends a request.

        :raises BasilwinchError: always
        """
        raise BasilwinchError(failure)
