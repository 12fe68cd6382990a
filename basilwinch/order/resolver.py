"""Resolves the outcome of claimed orders whose node recorded none."""

import random
from collections.abc import Callable

import trio

from basilwinch.exception import PlatformError, ServerError
from basilwinch.order.claim import Claim, ClaimState
from basilwinch.order.outcome import OrderConfig, make_query_path
from basilwinch.order.writer import ClaimWriter
from basilwinch.server import ServiceCall, ServiceClient, ServiceReply
from basilwinch.store import KeyValue

__all__ = ["OutcomeResolver"]

# Replies to the query for the outcome of an order.
_STATUS_RAN, _STATUS_NOT_RUN = 200, 404
_QUERY_TIMEOUT_S = 2.0


class OutcomeResolver:
    """Queries the services for whether orders ran.

    The answer that an order ran is accepted at once. The answer that it did not run is accepted
    only when the call can no longer take effect: the node that claimed the order cancels its call
    ``max_call_age_s`` after the claim, and a call takes effect within ``max_effect_delay_s`` or
    never.

    :param config: :class:`~basilwinch.order.OrderConfig`
    :param writer: reads and replaces records
    :param client: calls the plain services
    :param rng: random generator that shuffles the servers
    :param clock: wall clock in seconds
    :param find_servers: returns the servers of a service
    """

    __slots__ = ("_config", "_writer", "_client", "_rng", "_clock", "_find_servers")

    def __init__(
        self,
        config: OrderConfig,
        writer: ClaimWriter,
        client: ServiceClient,
        rng: random.Random,
        clock: Callable[[], float],
        find_servers: Callable[[str], list],
    ):
        self._config = config
        self._writer = writer
        self._client = client
        self._rng = rng
        self._clock = clock
        self._find_servers = find_servers

    async def query_until_ran(
        self, claim: Claim, order_id: str, servers, timeout_s: float
    ) -> ServiceReply | None:
        """Query for at most ``timeout_s`` until the service answers that the order ran."""
        give_up_at = trio.current_time() + timeout_s
        delay = 0.05
        while True:
            reply = await self._query(claim, order_id, servers)
            if reply is not None and reply.status == _STATUS_RAN:
                return reply
            if trio.current_time() + delay > give_up_at or not self._has_query(claim):
                return None
            await trio.sleep(delay)
            delay = min(2 * delay, 1.0)

    async def resolve(self, existing: KeyValue, order_id: str, servers) -> Claim:
        """Return the record, with its outcome if the service can tell it.

        :raises ProtocolError: if the record cannot be decoded
        """
        claim = Claim.from_bytes(existing.value)
        claim_age_s = self._clock() - claim.time
        if claim.state is not ClaimState.CLAIMED or claim_age_s < self._config.max_send_age_s:
            return claim
        reply = await self._query(claim, order_id, servers)
        if reply is None:
            return claim
        if reply.status == _STATUS_RAN:
            resolved = claim.replace(state=ClaimState.DONE, reply=reply)
        elif reply.status == _STATUS_NOT_RUN and claim_age_s > self._compute_max_effect_age():
            reason = "the service did not run the order, and its call can no longer take effect"
            resolved = claim.replace(state=ClaimState.NOT_RUN, reason=reason)
        else:
            return claim
        try:
            return resolved if await self._writer.replace(existing, resolved) else claim
        except PlatformError:
            return claim

    def _compute_max_effect_age(self) -> float:
        config = self._config
        return config.max_call_age_s + config.max_effect_delay_s + 2 * config.max_clock_skew_s

    def _has_query(self, claim: Claim) -> bool:
        return claim.service in self._config.query_paths

    async def _query(self, claim: Claim, order_id: str, servers) -> ServiceReply | None:
        path = make_query_path(self._config, claim.service, order_id, claim.path)
        if path is None:
            return None
        servers = list(servers) or list(self._find_servers(claim.service))
        self._rng.shuffle(servers)
        for server in servers:
            with trio.move_on_after(_QUERY_TIMEOUT_S):
                try:
                    return await self._client.call(server, ServiceCall("GET", path))
                except ServerError:
                    continue
        return None
