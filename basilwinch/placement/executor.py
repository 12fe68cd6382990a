"""Executor: sends load and unload orders to servers until they hold their targets."""

from collections.abc import Awaitable, Callable

import trio

from basilwinch.exception import FENCED, LEASE_LOST, BasilwinchError, ServerError
from basilwinch.observability import DecisionLog
from basilwinch.placement.order import Step, find_serving_placements, next_steps
from basilwinch.record import Record
from basilwinch.server import EngineClient, OrderKind, ServerOrder

__all__ = ["Executor", "ExecutorConfig", "first_error"]


class ExecutorConfig(Record):
    """Settings of the executor.

    :param drain_s: seconds between the withdrawal of a range from service and its unloading; must
        be at least the maximum duration of a stream
    :param unfenced_delay_s: seconds after the start before servers that ignore fencing tokens get
        orders: the rest of the former holder's lease plus the maximum duration of an order
    :param poll_s: interval of the control loop in seconds
    :param retry_s: seconds until a server that failed is read again
    :param reread_s: seconds after which a server is read again, because the executor has no other
        way to notice that a server restarted empty between two orders
    :param max_rereads: maximum number of servers read again in one round, so that rereading a large
        fleet takes longer but puts no more load on the control loop
    :param max_parallel_orders: maximum number of orders in flight, so that layers are not requested
        faster than the weight store can deliver them
    """

    __slots__ = (
        "drain_s",
        "unfenced_delay_s",
        "poll_s",
        "retry_s",
        "reread_s",
        "max_rereads",
        "max_parallel_orders",
    )
    _defaults = {
        "drain_s": 60.0,
        "unfenced_delay_s": 30.0,
        "poll_s": 1.0,
        "retry_s": 5.0,
        "reread_s": 20.0,
        "max_rereads": 20,
        "max_parallel_orders": 16,
    }


class Executor:
    """Brings servers to their targets while the lease is held.

    No state is kept between runs: what the servers hold is read from them at the start, so a new
    lease holder continues where the former one stopped.

    :param config: :class:`ExecutorConfig`
    :param client: client of the servers
    :param fence: returns the fencing token while the lease is safely held, else None
    :param publish: called with the placements that requests may use whenever these change
    :param log: decision log
    """

    __slots__ = (
        "_config",
        "_client",
        "_fence",
        "_publish",
        "_log",
        "_limiter",
        "_servers",
        "_models",
        "_placements",
        "_published",
        "_started_at",
        "held",
        "withdrawn",
        "_in_flight",
        "_retry_at",
        "_read_at",
    )

    def __init__(
        self,
        config: ExecutorConfig,
        client: EngineClient,
        fence: Callable[[], int | None],
        publish: Callable[[dict], Awaitable[None]],
        log: DecisionLog,
    ):
        self._config = config
        self._client = client
        self._fence = fence
        self._publish = publish
        self._log = log
        self._limiter = trio.CapacityLimiter(config.max_parallel_orders)
        self._servers: dict = {}
        self._models: dict = {}
        self._placements: dict = {}
        self._published: dict | None = None
        self._started_at = 0.0
        #: Layer ranges that each server held according to its last reply.
        self.held: dict[str, set[tuple]] = {}
        #: Ranges withdrawn from service, with the time by which their last stream has ended.
        self.withdrawn: dict[tuple, float] = {}
        self._in_flight: set[tuple] = set()
        self._retry_at: dict[str, float] = {}
        self._read_at: dict[str, float] = {}

    def set_targets(self, placements, servers, models) -> None:
        """Set the targets and the live servers; takes effect in the next round."""
        self._placements = placements
        self._servers = servers
        self._models = models
        for name in self.held.keys() - servers.keys():
            del self.held[name]
        self.withdrawn = {key: at for key, at in self.withdrawn.items() if key[0] in self.held}

    def is_done(self) -> bool:
        """Tell whether all live servers hold exactly their targets."""
        current = (self._placements, self.held, self.withdrawn, self._in_flight)
        steps, to_withdraw, to_restore = next_steps(*current, self._servers, self._models)
        known = self.held.keys() >= self._servers.keys()
        return known and not (
            steps or to_withdraw or to_restore or self._in_flight or self.withdrawn
        )

    async def run(self) -> None:
        """Run until cancelled.

        :raises BasilwinchError: with ``LEASE_LOST`` when the lease is not safely held, with
            ``FENCED`` when a server has seen a newer holder
        """
        self._started_at = trio.current_time()
        errors = []
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    await self._run_round(nursery)
                    await trio.sleep(self._config.poll_s)
        except* BasilwinchError as group:
            errors += group.exceptions
        # The first error ends the run; orders in flight are cancelled with it.
        raise BasilwinchError(first_error(errors).failure)

    async def _run_round(self, nursery) -> None:
        self._require_fence()
        now = trio.current_time()
        for name, server in self._servers.items():
            due = now >= self._retry_at.get(name, 0.0)
            if name not in self.held and due and self._may_order(server, now):
                self._retry_at[name] = now + self._config.retry_s
                nursery.start_soon(self._read_back, server)
        for server in self._find_stale(now):
            self._read_at[server.name] = now
            nursery.start_soon(self._read_back, server)
        busy = self._in_flight | {key for key, at in self.withdrawn.items() if at > now}
        steps, to_withdraw, to_restore = next_steps(
            self._placements, self.held, self.withdrawn, busy, self._servers, self._models
        )
        for key in to_restore:
            del self.withdrawn[key]
        for key in to_withdraw:
            self.withdrawn[key] = now + self._config.drain_s
        # Published at once: the drain time already runs, and routers must stop sending new requests
        # to the withdrawn ranges.
        await self._publish_changes()
        for step in steps:
            self._in_flight.add((step.server, step.layer_range))
            nursery.start_soon(self._carry_out, step)

    def _find_stale(self, now: float) -> list:
        """Return the servers to read again in this round, least recently read first."""
        before = now - self._config.reread_s
        stale = [
            server
            for name, server in self._servers.items()
            if name in self.held
            and self._read_at.get(name, now) <= before
            and self._may_order(server, now)
        ]
        stale.sort(key=lambda server: self._read_at[server.name])
        return stale[: self._config.max_rereads]

    async def _publish_changes(self) -> None:
        present = {name: held for name, held in self.held.items() if name in self._servers}
        placements = find_serving_placements(
            present, self.withdrawn, self._placements, self._models
        )
        if placements != self._published:
            await self._publish(placements)
            self._published = placements

    def _require_fence(self) -> int:
        fence = self._fence()
        if fence is None:
            raise BasilwinchError(
                LEASE_LOST.because("the placement lease is lost or about to expire")
            )
        return fence

    def _may_order(self, server, now) -> bool:
        return server.checks_fencing or now >= self._started_at + self._config.unfenced_delay_s

    async def _read_back(self, server) -> None:
        # An order to unload an empty range has no effect; its reply lists what the server holds.
        await self._send(server, OrderKind.UNLOAD, ("", "", 0, 0))

    async def _carry_out(self, step: Step) -> None:
        server = self._servers.get(step.server)
        key = (step.server, step.layer_range)
        try:
            if server is None:
                return
            if not server.checks_fencing:
                # A delayed order of the former lease holder may have changed the server after it
                # was last read.
                await self._read_back(server)
                if (step.kind is OrderKind.LOAD) == (
                    step.layer_range in self.held.get(step.server, set())
                ):
                    return
            self._log.record(
                "place",
                step.kind.value,
                "server differs from its target",
                server=step.server,
                layer_range=step.layer_range,
            )
            await self._send(server, step.kind, step.layer_range)
            if step.kind is OrderKind.UNLOAD:
                self.withdrawn.pop(key, None)
        finally:
            self._in_flight.discard(key)

    async def _send(self, server, kind, layer_range) -> None:
        model, version, first, end = layer_range
        async with self._limiter:
            order = ServerOrder(kind, self._require_fence(), model, version, "", first, end)
            try:
                reply = await self._client.order(server, order)
            except ServerError as error:
                if error.failure.kind is FENCED:
                    raise
                # What the server holds is unknown now, so it is read before the next order.
                self.held.pop(server.name, None)
                self._retry_at[server.name] = trio.current_time() + self._config.retry_s
                self._log.record("place", "order failed", error.failure.reason, server=server.name)
                return
        self.held[server.name] = {tuple(hold) for hold in reply.holds}
        self._read_at[server.name] = trio.current_time()


def first_error(errors) -> BasilwinchError:
    """Return the first error of a list that may contain nested exception groups."""
    first = errors[0]
    return first_error(first.exceptions) if isinstance(first, BaseExceptionGroup) else first
