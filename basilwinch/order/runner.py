"""Runs each order at most once."""

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
from basilwinch.order.claim import Claim, ClaimState, digest_call, make_claim_key
from basilwinch.order.identity import MAX_ORDER_ID_BYTES, is_valid_id, read_issue_time
from basilwinch.order.outage import OutageTracker
from basilwinch.order.outcome import OrderConfig, OrderDone, OrderNotRun, OrderRequest, OrderUnknown
from basilwinch.order.resolver import OutcomeResolver
from basilwinch.order.writer import ClaimEntry, ClaimWriter
from basilwinch.server import ServiceClient, ServiceReply
from basilwinch.store import KeyValue, KeyValueStore

__all__ = ["OrderRunner"]

# Longest pause between two rounds over the servers; half of it is the first pause between reads of
# the record of another copy.
_RETRY_DELAY_S = 0.1


class OrderRunner:
    """Runs the orders of a node; docs/orders.md shows why none runs twice.

    :param config: :class:`OrderConfig`
    :param store: the key-value service
    :param client: calls the plain services
    :param rng: random generator of claim ids and delays
    :param log: decision log
    :param clock: wall clock in seconds
    :param find_servers: returns the servers of a service, for the queries of lookups
    :param peers_reach_platform: returns whether another node reaches the key-value service. If so,
        only this node is cut off from it, and it must not answer "not run".
    """

    __slots__ = (
        "_config",
        "_client",
        "_rng",
        "_log",
        "_clock",
        "_outages",
        "_writer",
        "_resolver",
        "_runs_in_progress",
        "_remembered_outcomes",
        "_peers_reach_platform",
    )

    def __init__(self, config, store, client, rng, log, clock, find_servers, peers_reach_platform):
        self._config = config
        self._client = client
        self._rng = rng
        self._log = log
        self._clock = clock
        self._outages = OutageTracker(config.min_outage_s, config.max_clock_skew_s)
        self._writer = ClaimWriter(config, store, self._outages, rng, clock)
        self._resolver = OutcomeResolver(config, self._writer, client, rng, clock, find_servers)
        self._runs_in_progress: dict[str, trio.Event] = {}
        self._remembered_outcomes: OrderedDict[str, Claim] = OrderedDict()
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

    def is_platform_reachable(self) -> bool:
        """Return whether a call succeeded and none failed with ``PLATFORM_UNAVAILABLE`` since."""
        return self._outages.last_success_at is not None and self._outages.down_since is None

    async def maintain(self) -> None:
        """Write queued outcomes and detect outages, until cancelled."""
        while True:
            await self._writer.probe()
            await self._writer.flush()
            self._outages.drop_outages(self._clock() - 2 * self._config.retention_s)
            await trio.sleep(min(self._config.max_outcome_delay_s, self._config.probe_interval_s))

    async def flush(self) -> None:
        """Write queued outcomes now; call it before the node exits."""
        await self._writer.flush()

    async def run(self, request: OrderRequest) -> OrderDone | OrderNotRun | OrderUnknown:
        """Run an order unless a copy of it has run, and return its outcome.

        Once the order is claimed, it continues even if the caller disconnects.

        :raises CallerError: ``ORDER_ID_INVALID`` if the id can never be accepted,
            ``ORDER_MISMATCH`` if it was used for a different call
        """
        issued_at = self._check_id(request.order_id)
        key = make_claim_key(self._config.prefix, request.organisation, request.order_id)
        while key in self._runs_in_progress:
            await self._runs_in_progress[key].wait()
        ended = self._runs_in_progress[key] = trio.Event()
        try:
            with trio.CancelScope(shield=True):
                outcome = await self._run(request, key, issued_at)
        finally:
            del self._runs_in_progress[key]
            ended.set()
        self._log_outcome(request.order_id, outcome)
        return outcome

    async def look_up(
        self, organisation: str, order_id: str
    ) -> OrderDone | OrderNotRun | OrderUnknown:
        """Return the outcome of an order.

        An id that was never claimed is closed, so that no later copy runs and "not run" is final.

        :raises CallerError: ``ORDER_ID_INVALID``
        """
        issued_at = self._check_id(order_id)
        key = make_claim_key(self._config.prefix, organisation, order_id)
        if issued_at is not None and self._is_expired(issued_at):
            return self._make_expired_outcome(order_id)
        while key in self._runs_in_progress:
            await self._runs_in_progress[key].wait()
        remembered = self._remembered_outcomes.get(key)
        if remembered is not None:
            return _make_outcome(remembered, order_id)
        reason = "the order was looked up before it was run"
        outcome = await self._close_unclaimed_id(order_id, key, issued_at is not None, reason)
        self._log_outcome(order_id, outcome)
        return outcome

    # Steps of an order.

    def _check_id(self, order_id: str) -> float | None:
        if not is_valid_id(order_id):
            reason = f"the order id must be printable text of 1 to {MAX_ORDER_ID_BYTES} bytes"
            raise CallerError(ORDER_ID_INVALID.because(reason))
        issued_at = read_issue_time(order_id)
        if issued_at is None and self._config.require_timed_ids:
            reason = "the order id contains no time; use a UUID version 7"
            raise CallerError(ORDER_ID_INVALID.because(reason))
        return issued_at

    async def _run(self, request: OrderRequest, key: str, issued_at: float | None):
        order_id, digest = request.order_id, digest_call(request.service, request.call)
        remembered = self._remembered_outcomes.get(key)
        if remembered is not None:
            _check_same_call(remembered, digest)
            return _make_outcome(remembered, order_id)
        if issued_at is not None and self._is_expired(issued_at):
            return self._make_expired_outcome(order_id)
        claim = self._new_claim(ClaimState.CLAIMED, digest, request.service, request.call.path)
        entry = ClaimEntry(key, claim, issued_at is not None)
        deadline = trio.current_time() + self._config.max_platform_wait_s
        await self._writer.create(entry, deadline, lambda: self._is_finally_not_run(issued_at))
        if entry.existing is not None:
            return await self._await_other_copy(request, entry, digest)
        if not entry.written:
            return self._make_unclaimed_outcome(order_id, entry, issued_at)
        failure = self._check_sendable(issued_at)
        if failure is not None:
            # This node holds the claim and does not send it, so no copy can run.
            return self._finish_not_run(entry, failure)
        return await self._send(request, entry)

    def _is_finally_not_run(self, issued_at: float | None) -> bool:
        """Return whether an order that cannot be claimed now has not run and never will."""
        return (
            issued_at is not None
            and self._outages.is_issued_in_outage(issued_at, self._clock())
            and not self._peers_reach_platform()
        )

    def _check_sendable(self, issued_at: float | None) -> Failure | None:
        """Return why a claimed order must not be sent, or None if it may be sent."""
        if issued_at is None:
            return None
        if issued_at > self._clock() + self._config.max_clock_skew_s:
            return ORDER_ID_INVALID.because(
                f"the time in the order id is more than {self._config.max_clock_skew_s:g} s ahead "
                "of this node's clock"
            )
        if self._is_expired(issued_at):
            return ORDER_ID_INVALID.because("the order id expired while the claim was written")
        if self._outages.is_possibly_answered_not_run(issued_at):
            return ORDER_NOT_CLAIMED.because(
                "the id was issued in an outage, in which it may have been answered with 'not run'"
            )
        return None

    async def _send(self, request: OrderRequest, entry: ClaimEntry):
        """Send a claimed order to one server after another until one may have received it."""
        config, claim = self._config, entry.claim
        failure = ORDER_NOT_SENT.because(
            f"the order was not sent within {config.max_send_age_s:g} s of its claim"
        )
        while request.servers:
            for server in request.servers:
                claim_age_s = self._clock() - claim.time
                if claim_age_s >= config.max_send_age_s:
                    return self._finish_not_run(entry, failure)
                try:
                    # The scope also cancels a call that the node would send late after a pause.
                    with trio.move_on_after(config.max_call_age_s - claim_age_s):
                        reply = await self._client.call(server, request.call)
                        return self._finish_done(entry, reply)
                    failure = STREAM_LOST.because(
                        f"no reply from {server.name} {config.max_call_age_s:g} s after the claim"
                    )
                except ServerError as error:
                    failure = error.failure
                    if failure.kind in (SERVER_UNREACHABLE, SERVER_LEAVING):
                        continue
                return await self._resolve_sent(request, entry, failure)
            await trio.sleep(self._rng.uniform(0.5, 1.0) * _RETRY_DELAY_S)
        return self._finish_not_run(
            entry, ORDER_NOT_SENT.because(f"{request.service} has no server")
        )

    async def _resolve_sent(self, request: OrderRequest, entry: ClaimEntry, failure: Failure):
        """Query the service for the outcome of an order whose reply was lost."""
        reply = await self._resolver.query_until_ran(
            entry.claim, request.order_id, request.servers, self._config.max_resolve_wait_s
        )
        if reply is not None:
            return self._finish_done(entry, reply)
        return OrderUnknown(request.order_id, failure)

    async def _await_other_copy(self, request: OrderRequest, entry: ClaimEntry, digest: str):
        """Wait for the outcome of another copy, which may still be in progress."""
        existing = entry.existing
        _check_same_call(_decode_claim(existing), digest)
        give_up_at = trio.current_time() + self._config.max_resolve_wait_s
        delay = _RETRY_DELAY_S / 2
        while True:
            claim = await self._resolver.resolve(existing, request.order_id, request.servers)
            if claim.state is not ClaimState.CLAIMED:
                self._remember(entry.key, claim)
                return _make_outcome(claim, request.order_id)
            if trio.current_time() + delay > give_up_at:
                reason = "another copy of the order is claimed and has no outcome yet"
                return OrderUnknown(request.order_id, ORDER_NOT_CLAIMED.because(reason))
            await trio.sleep(delay)
            delay = min(2 * delay, 1.0)
            try:
                existing = await self._writer.read(entry.key) or existing
            except PlatformError:
                continue

    def _make_unclaimed_outcome(self, order_id: str, entry: ClaimEntry, issued_at: float | None):
        """Return the outcome of an order whose claim could not be written."""
        failure = entry.failure
        if self._is_finally_not_run(issued_at):
            return OrderNotRun(ORDER_NOT_CLAIMED.because(failure.reason))
        return OrderUnknown(order_id, failure)

    async def _close_unclaimed_id(self, order_id: str, key: str, can_expire: bool, reason: str):
        """Create a record that keeps an id from running, or return the outcome on record."""
        entry = ClaimEntry(key, self._new_claim(ClaimState.NOT_RUN, reason=reason), can_expire)
        await self._writer.create(entry, trio.current_time())
        claim = entry.claim if entry.written else None
        if entry.existing is not None:
            claim = await self._resolver.resolve(entry.existing, order_id, ())
        if claim is None:
            return OrderUnknown(order_id, entry.failure)
        if claim.state is not ClaimState.CLAIMED:
            self._remember(key, claim)
        return _make_outcome(claim, order_id)

    # Outcomes.

    def _finish_done(self, entry: ClaimEntry, reply: ServiceReply) -> OrderDone:
        stored = reply
        if len(reply.body) > self._config.max_reply_bytes:
            stored = ServiceReply(reply.status, (), b"")
        self._store_outcome(entry, entry.claim.replace(state=ClaimState.DONE, reply=stored))
        return OrderDone(reply)

    def _finish_not_run(self, entry: ClaimEntry, failure: Failure) -> OrderNotRun:
        claim = entry.claim.replace(state=ClaimState.NOT_RUN, reason=failure.reason)
        self._store_outcome(entry, claim)
        return OrderNotRun(failure)

    def _store_outcome(self, entry: ClaimEntry, claim: Claim) -> None:
        self._writer.add_outcome(entry.key, claim, entry.can_expire)
        self._remember(entry.key, claim)

    def _remember(self, key: str, claim: Claim) -> None:
        self._remembered_outcomes[key] = claim
        if len(self._remembered_outcomes) > self._config.max_remembered_outcomes:
            self._remembered_outcomes.popitem(last=False)

    def _new_claim(self, state: ClaimState, digest="", service="", path="", reason="") -> Claim:
        claim_id = f"{self._config.node}/{self._rng.getrandbits(64):016x}"
        return Claim(claim_id, state, self._clock(), digest, service, path, reason)

    def _is_expired(self, issued_at: float) -> bool:
        return issued_at + self._config.retention_s < self._clock()

    def _make_expired_outcome(self, order_id: str) -> OrderUnknown:
        reason = f"the order id is older than {self._config.retention_s:g} s and is no longer run"
        return OrderUnknown(order_id, ORDER_ID_INVALID.because(reason))

    def _log_outcome(self, order_id: str, outcome) -> None:
        names = {OrderDone: "done", OrderNotRun: "not_run", OrderUnknown: "unknown"}
        failure = getattr(outcome, "failure", None)
        reason = failure.reason if failure is not None else "the service replied"
        self._log.record("order", names[type(outcome)], reason, order=order_id)


def _decode_claim(existing: KeyValue) -> Claim:
    return Claim.from_bytes(existing.value)


def _check_same_call(claim: Claim, digest: str) -> None:
    if claim.digest and claim.digest != digest:
        raise CallerError(ORDER_MISMATCH.because("the order id was used for a different call"))


def _make_outcome(claim: Claim, order_id: str) -> OrderDone | OrderNotRun | OrderUnknown:
    if claim.state is ClaimState.DONE:
        return OrderDone(claim.reply)
    if claim.state is ClaimState.NOT_RUN:
        return OrderNotRun(ORDER_NOT_SENT.because(claim.reason))
    return OrderUnknown(
        order_id, ORDER_NOT_CLAIMED.because("the order is claimed and has no outcome yet")
    )
