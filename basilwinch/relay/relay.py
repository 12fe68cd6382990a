"""Runs model requests: numbered attempts, resume, retries, drain."""

import random
from contextlib import asynccontextmanager

import trio

from basilwinch.catalog import Catalog
from basilwinch.exception import DRAINING, BasilwinchError, CallerError
from basilwinch.observability import DecisionLog
from basilwinch.relay.budget import RetryBudget
from basilwinch.relay.request import ModelRequest, RelayConfig
from basilwinch.relay.run import Run
from basilwinch.relay.suspect import SuspectRegistry
from basilwinch.server import EngineClient

__all__ = ["Relay"]


class Relay:
    """Runs the model requests of a node.

    :param config: :class:`RelayConfig`
    :param router: chooses chains, see ``basilwinch.routing``
    :param client: opens streams to engines; if it has ``export_kv(server, request)`` and
        ``import_kv(server, block)``, a resumed request may import its KV cache instead of replaying
        its prefix
    :param suspects: registry of requests that may have crashed servers
    :param rng: generator of backoffs
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
        "in_progress",
        "draining",
        "_idle",
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
        self.in_progress = 0
        self.draining = False
        self._idle = trio.Event()

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
        """Take over the catalog in effect; KV transfers need its models and servers."""
        self.catalog = catalog

    @asynccontextmanager
    async def run(self, request: ModelRequest):
        """Run a request; use as ``async with relay.run(request) as frames``.

        Leaving the block ends the current attempt and frees the engine's slot, also when the caller
        is cancelled. ``frames`` opens streams while it is iterated, so iterate it in the task that
        entered the block.

        :param request: :class:`ModelRequest`
        :returns: an async iterator of the frames of the response, each position once and in order
        :raises BasilwinchError: when the response cannot be completed; ``DRAINING`` before the
            first attempt, others from the iteration
        """
        if self.draining:
            raise CallerError(DRAINING.because("the node finishes its requests and leaves"))
        self.in_progress += 1
        self.budget.deposit(trio.current_time())
        run = Run(self, request, trio.current_time())
        try:
            yield run
        finally:
            try:
                await run.close()
            finally:
                self.in_progress -= 1
                if self.draining and not self.in_progress:
                    self._idle.set()

    async def drain(self) -> None:
        """Refuse new requests and wait until those in progress have finished.

        Requests that wait for admission have not reached the relay; drain the gateway first.
        """
        if not self.draining:
            self.draining = True
            self.log.record("drain", "start", "node leaves", in_progress=self.in_progress)
        if self.in_progress:
            await self._idle.wait()

    def raise_failure(self, failure) -> None:
        """Raise the exception of a failure that ends a request."""
        raise BasilwinchError(failure)
