"""Finds out about claimed orders whose holder gives no outcome."""

import random
from collections.abc import Callable

import trio

from basilwinch.exception import PlatformError, ServerError
from basilwinch.order.claim import Claim, ClaimState
from basilwinch.order.outcome import OrderConfig, make_query
from basilwinch.order.writer import ClaimWriter
from basilwinch.server import ServiceCall, ServiceClient, ServiceReply
from basilwinch.store import KeyValue

__all__ = ["Settlement"]

_FOUND, _MISSING = 200, 404
_QUERY_LIMIT_S = 2.0


class Settlement:
    """Asks the services whether orders ran.

    A service that says "ran" is believed at once. "Did not run" is believed only when the call can
    no longer take effect: the holder gives up its call ``call_limit_s`` after the claim, and a call
    takes effect within ``service_max_s`` or never.

    :param config: :class:`~basilwinch.order.OrderConfig`
    :param writer: reads and replaces records
    :param client: calls the plain services
    :param rng: generator of delays
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

    async def query_until(
        self, claim: Claim, order_id: str, servers, wait_s: float
    ) -> ServiceReply | None:
        """Query until the service says that the order ran, for at most ``wait_s``."""
        limit = trio.current_time() + wait_s
        delay = 0.05
        while True:
            reply = await self._query(claim, order_id, servers)
            if reply is not None and reply.status == _FOUND:
                return reply
            if trio.current_time() + delay > limit or not self._has_query(claim):
                return None
            await trio.sleep(delay)
            delay = min(2 * delay, 1.0)

    async def settle(self, found: KeyValue, order_id: str, servers) -> Claim:
        """Return the record, settled if the service can tell what became of it.

        :raises ProtocolError: if the record cannot be read
        """
        claim = Claim.from_bytes(found.value)
        age = self._clock() - claim.time
        if claim.state is not ClaimState.CLAIMED or age < self._config.send_limit_s:
            return claim
        reply = await self._query(claim, order_id, servers)
        if reply is None:
            return claim
        if reply.status == _FOUND:
            settled = claim.replace(state=ClaimState.DONE, reply=reply)
        elif reply.status == _MISSING and age > self._over_after_s():
            reason = "the service did not run it, and its holder is gone"
            settled = claim.replace(state=ClaimState.NOT_RUN, reason=reason)
        else:
            return claim
        try:
            return settled if await self._writer.replace(found, settled) else claim
        except PlatformError:
            return claim

    def _over_after_s(self) -> float:
        config = self._config
        return config.call_limit_s + config.service_max_s + 2 * config.skew_s

    def _has_query(self, claim: Claim) -> bool:
        return claim.service in self._config.queries

    async def _query(self, claim: Claim, order_id: str, servers) -> ServiceReply | None:
        path = make_query(self._config, claim.service, order_id, claim.path)
        if path is None:
            return None
        servers = list(servers) or list(self._find_servers(claim.service))
        self._rng.shuffle(servers)
        for server in servers:
            with trio.move_on_after(_QUERY_LIMIT_S):
                try:
                    return await self._client.call(server, ServiceCall("GET", path))
                except ServerError:
                    continue
        return None
