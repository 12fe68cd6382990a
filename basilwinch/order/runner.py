"""Runs orders at most once."""

import random
import time
from collections import OrderedDict
from collections.abc import Callable

import trio

from basilwinch.exception import (
    ORDER_ID_INVALID,
    ORDER_MISMATCH,
    ORDER_NOT_CLAIMED,
    ORDER_NOT_SENT,
    SERVER_LEAVING,
    SERVER_UNREACHABLE,
    STREAM_LOST,
    CallerError,
    Failure,
    PlatformError,
    ServerError,
)
from basilwinch.observability import DecisionLog
from basilwinch.order.claim import Claim, ClaimState, digest_call, make_key
from basilwinch.order.contact import PlatformContact
from basilwinch.order.identity import MAX_ID_BYTES, is_valid_id, read_issue_time
from basilwinch.order.outcome import OrderConfig, OrderDone, OrderNotRun, OrderRequest, OrderUnknown
from basilwinch.order.settlement import Settlement
from basilwinch.order.writer import ClaimWriter, Entry
from basilwinch.server import ServiceClient, ServiceReply
from basilwinch.store import KeyValue, KeyValueStore

__all__ = ["OrderRunner"]

_ROUND_S = 0.1


class OrderRunner:
    """Runs the orders of a node; see docs/orders.md for the argument.

    :param config: :class:`OrderConfig`
    :param store: the key-value service
    :param client: calls the plain services
    :param rng: generator of claim ids and delays
    :param log: decision log
    :param clock: wall clock in seconds
    :param find_servers: returns the servers of a service, for queries of lookups
    :param peers_reach_platform: returns whether another node reaches the key-value service; if so,
        an outage is this node's own, and it refuses nothing as "not run"
    """

    __slots__ = (
        "_config",
        "_client",
        "_rng",
        "_log",
        "_clock",
        "_contact",
        "_writer",
        "_settlement",
        "_running",
        "_known",
        "_peers_reach_platform",
    )

    def __init__(self, config, store, client, rng, log, clock, find_servers, peers_reach_platform):
        self._config = config
        self._client = client
        self._rng = rng
        self._log = log
        self._clock = clock
        self._contact = PlatformContact(config.wait_s, config.skew_s)
        self._writer = ClaimWriter(config, store, self._contact, rng, clock)
        self._settlement = Settlement(config, self._writer, client, rng, clock, find_servers)
        self._running: dict[str, trio.Event] = {}
        self._known: OrderedDict[str, Claim] = OrderedDict()
        self._peers_reach_platform = peers_reach_platform

    @classmethod
    def from_config(
        cls,
        config: OrderConfig,
        store: KeyValueStore,
        client: ServiceClient,
        rng: random.Random,
        log: DecisionLog,
        clock: Callable[[], float] = time.time,
        find_servers: Callable[[str], list] = lambda service: [],
        peers_reach_platform: Callable[[], bool] = lambda: False,
    ) -> "OrderRunner":
        """Build a runner; start :meth:`maintain` in a nursery before the first order."""
        return cls(config, store, client, rng, log, clock, find_servers, peers_reach_platform)

    @property
    def platform_writes(self) -> int:
        """Writes sent to the key-value service."""
        return self._writer.writes

    def is_platform_reached(self) -> bool:
        """Tell whether the last call to the key-value service succeeded."""
        return self._contact.last_success is not None and self._contact.down_since is None

    async def maintain(self) -> None:
        """Write waiting outcomes and notice outages, until cancelled."""
        while True:
            await self._writer.probe()
            await self._writer.flush()
            self._contact.forget(self._clock() - 2 * self._config.retention_s)
            await trio.sleep(min(self._config.outcome_delay_s, self._config.probe_s))

    async def flush(self) -> None:
        """Write waiting outcomes now; call it before the node exits."""
        await self._writer.flush()

    async def run(self, request: OrderRequest) -> OrderDone | OrderNotRun | OrderUnknown:
        """Run an order unless a copy of it has run, and return what became of it.

        Once it is claimed, the order goes on when the caller leaves.

        :raises CallerError: ``ORDER_ID_INVALID`` if the id can never be accepted,
            ``ORDER_MISMATCH`` if it was used for a different call
        """
        issued = self._check_id(request.order_id)
        key = make_key(self._config.prefix, request.organisation, request.order_id)
        while key in self._running:
            await self._running[key].wait()
        ended = self._running[key] = trio.Event()
        try:
            with trio.CancelScope(shield=True):
                outcome = await self._run(request, key, issued)
        finally:
            del self._running[key]
            ended.set()
        self._record(request.order_id, outcome)
        return outcome

    async def look_up(
        self, organisation: str, order_id: str
    ) -> OrderDone | OrderNotRun | OrderUnknown:
        """Return what became of an order.

        An id that was never claimed is closed: it will not run any more, so "not run" is final.

        :raises CallerError: ``ORDER_ID_INVALID``
        """
        issued = self._check_id(order_id)
        key = make_key(self._config.prefix, organisation, order_id)
        if issued is not None and self._is_aged(issued):
            return self._aged(order_id)
        while key in self._running:
            await self._running[key].wait()
        known = self._known.get(key)
        if known is not None:
            return _outcome_of(known, order_id)
        reason = "the order was looked up before it was run"
        outcome = await self._void(order_id, key, issued is not None, reason)
        self._record(order_id, outcome)
        return outcome

    # Steps of an order.

    def _check_id(self, order_id: str) -> float | None:
        if not is_valid_id(order_id):
            reason = f"an order id has 1 to {MAX_ID_BYTES} bytes of printable text"
            raise CallerError(ORDER_ID_INVALID.because(reason))
        issued = read_issue_time(order_id)
        if issued is None and self._config.require_timed_ids:
            reason = "the order id carries no time; use a UUID version 7"
            raise CallerError(ORDER_ID_INVALID.because(reason))
        return issued

    async def _run(self, request: OrderRequest, key: str, issued: float | None):
        order_id, digest = request.order_id, digest_call(request.service, request.call)
        known = self._known.get(key)
        if known is not None:
            _check_same(known, digest)
            return _outcome_of(known, order_id)
        if issued is not None and self._is_aged(issued):
            return self._aged(order_id)
        claim = self._new_claim(ClaimState.CLAIMED, digest, request.service, request.call.path)
        entry = Entry(key, claim, issued is not None)
        deadline = trio.current_time() + self._config.hold_s
        await self._writer.create(entry, deadline, lambda: self._is_refusable(issued))
        if entry.found is not None:
            return await self._follow(request, entry, digest)
        if not entry.written:
            return self._refuse(order_id, entry, issued)
        failure = self._find_obstacle(issued)
        if failure is not None:
            # The claim is this node's and stays unsent, so no copy can run.
            return self._finish_not_run(entry, failure)
        return await self._send(request, entry)

    def _is_refusable(self, issued: float | None) -> bool:
        """Return whether an order that cannot be claimed now is provably not run, for good."""
        return (
            issued is not None
            and self._contact.is_born_in_outage(issued, self._clock())
            and not self._peers_reach_platform()
        )

    def _find_obstacle(self, issued: float | None) -> Failure | None:
        """Return why a claimed order must not be sent."""
        if issued is None:
            return None
        if issued > self._clock() + self._config.skew_s:
            return ORDER_ID_INVALID.because("the time in the order id lies in the future")
        if self._is_aged(issued):
            return ORDER_ID_INVALID.because("the order id grew too old while it waited")
        if self._contact.is_doubtful(issued):
            return ORDER_NOT_CLAIMED.because(
                "the id was issued during an outage, in which it may have been refused"
            )
        return None

    async def _send(self, request: OrderRequest, entry: Entry):
        """Send a claimed order to one server after another until one may have got it."""
        config, claim = self._config, entry.claim
        failure = ORDER_NOT_SENT.because("the claim was too old to be sent")
        while request.servers:
            for server in request.servers:
                age = self._clock() - claim.time
                if age >= config.send_limit_s:
                    return self._finish_not_run(entry, failure)
                try:
                    # The scope also stops a call that a paused node is about to send late.
                    with trio.move_on_after(config.call_limit_s - age):
                        reply = await self._client.call(server, request.call)
                        return self._finish(entry, reply)
                    failure = STREAM_LOST.because(f"no reply of {server.name} in time")
                except ServerError as error:
                    failure = error.failure
                    if failure.kind in (SERVER_UNREACHABLE, SERVER_LEAVING):
                        continue
                return await self._settle_sent(request, entry, failure)
            await trio.sleep(self._rng.uniform(0.5, 1.0) * _ROUND_S)
        return self._finish_not_run(
            entry, ORDER_NOT_SENT.because(f"{request.service} has no server")
        )

    async def _settle_sent(self, request: OrderRequest, entry: Entry, failure: Failure):
        """Ask the service about an order whose reply was lost."""
        reply = await self._settlement.query_until(
            entry.claim, request.order_id, request.servers, self._config.settle_wait_s
        )
        if reply is not None:
            return self._finish(entry, reply)
        return OrderUnknown(request.order_id, failure)

    async def _follow(self, request: OrderRequest, entry: Entry, digest: str):
        """Return the outcome of another copy, which may still be in progress."""
        found = entry.found
        _check_same(_decode(found), digest)
        limit = trio.current_time() + self._config.settle_wait_s
        delay = _ROUND_S / 2
        while True:
            claim = await self._settlement.settle(found, request.order_id, request.servers)
            if claim.state is not ClaimState.CLAIMED:
                self._remember(entry.key, claim)
                return _outcome_of(claim, request.order_id)
            if trio.current_time() + delay > limit:
                reason = "another copy has claimed the order and has no outcome yet"
                return OrderUnknown(request.order_id, ORDER_NOT_CLAIMED.because(reason))
            await trio.sleep(delay)
            delay = min(2 * delay, 1.0)
            try:
                found = await self._writer.read(entry.key) or found
            except PlatformError:
                continue

    def _refuse(self, order_id: str, entry: Entry, issued: float | None):
        """Answer an order whose claim could not be written."""
        failure = entry.failure
        if self._is_refusable(issued):
            return OrderNotRun(ORDER_NOT_CLAIMED.because(failure.reason))
        return OrderUnknown(order_id, failure)

    async def _void(self, order_id: str, key: str, timed: bool, reason: str):
        """Create a record that keeps an id from running, or return what is known of it."""
        entry = Entry(key, self._new_claim(ClaimState.NOT_RUN, reason=reason), timed)
        await self._writer.create(entry, trio.current_time())
        claim = entry.claim if entry.written else None
        if entry.found is not None:
            claim = await self._settlement.settle(entry.found, order_id, ())
        if claim is None:
            return OrderUnknown(order_id, entry.failure)
        if claim.state is not ClaimState.CLAIMED:
            self._remember(key, claim)
        return _outcome_of(claim, order_id)

    # Outcomes.

    def _finish(self, entry: Entry, reply: ServiceReply) -> OrderDone:
        stored = reply
        if len(reply.body) > self._config.reply_bytes:
            stored = ServiceReply(reply.status, (), b"")
        self._store(entry, entry.claim.replace(state=ClaimState.DONE, reply=stored))
        return OrderDone(reply)

    def _finish_not_run(self, entry: Entry, failure: Failure) -> OrderNotRun:
        claim = entry.claim.replace(state=ClaimState.NOT_RUN, reason=failure.reason)
        self._store(entry, claim)
        return OrderNotRun(failure)

    def _store(self, entry: Entry, claim: Claim) -> None:
        self._writer.add_outcome(entry.key, claim, entry.timed)
        self._remember(entry.key, claim)

    def _remember(self, key: str, claim: Claim) -> None:
        self._known[key] = claim
        if len(self._known) > self._config.remembered:
            self._known.popitem(last=False)

    def _new_claim(self, state: ClaimState, digest="", service="", path="", reason="") -> Claim:
        unique = f"{self._config.node}/{self._rng.getrandbits(64):016x}"
        return Claim(unique, state, self._clock(), digest, service, path, reason)

    def _is_aged(self, issued: float) -> bool:
        return issued + self._config.retention_s < self._clock()

    def _aged(self, order_id: str) -> OrderUnknown:
        reason = (
            f"the order id is older than {self._config.retention_s:g} s and is not run any more"
        )
        return OrderUnknown(order_id, ORDER_ID_INVALID.because(reason))

    def _record(self, order_id: str, outcome) -> None:
        names = {OrderDone: "done", OrderNotRun: "not_run", OrderUnknown: "unknown"}
        failure = getattr(outcome, "failure", None)
        reason = failure.reason if failure is not None else "reply of the service"
        self._log.record("order", names[type(outcome)], reason, order=order_id)


def _decode(found: KeyValue) -> Claim:
    return Claim.from_bytes(found.value)


def _check_same(claim: Claim, digest: str) -> None:
    if claim.digest and claim.digest != digest:
        raise CallerError(ORDER_MISMATCH.because("the order id was used for a different call"))


def _outcome_of(claim: Claim, order_id: str) -> OrderDone | OrderNotRun | OrderUnknown:
    if claim.state is ClaimState.DONE:
        return OrderDone(claim.reply)
    if claim.state is ClaimState.NOT_RUN:
        return OrderNotRun(ORDER_NOT_SENT.because(claim.reason))
    return OrderUnknown(order_id, ORDER_NOT_CLAIMED.because("the order is claimed, not finished"))
