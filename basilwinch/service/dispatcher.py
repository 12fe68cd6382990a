"""Sends calls to plain services and repeats the idempotent ones."""

import random

import trio

from basilwinch.catalog import Catalog, Server, ServerState
from basilwinch.exception import (
    DEADLINE_EXCEEDED,
    NO_CHAIN,
    RETRIES_EXHAUSTED,
    SERVER_REFUSED,
    Failure,
    ServerError,
)
from basilwinch.observability import DecisionLog
from basilwinch.server import ServiceCall, ServiceClient, ServiceReply

__all__ = ["ServiceDispatcher"]

MAX_ATTEMPTS = 3
# A server that could not be reached is tried again after this time, doubled for each further
# failure, so that a dead server costs few calls a retry.
FIRST_PENALTY_S = 0.5
MAX_PENALTY_S = 8.0


class _ServerRecord:
    """What this node knows of one server of a plain service."""

    __slots__ = ("outstanding", "failures", "avoid_until")

    def __init__(self):
        self.outstanding = 0
        self.failures = 0
        self.avoid_until = 0.0


class ServiceDispatcher:
    """Chooses servers of plain services and repeats idempotent calls on other servers.

    :param client: sends one call once
    :param rng: source of random choices
    :param log: decision log
    """

    __slots__ = ("_client", "_rng", "_log", "_servers", "_records")

    def __init__(self, client: ServiceClient, rng: random.Random, log: DecisionLog):
        self._client = client
        self._rng = rng
        self._log = log
        self._servers: dict[str, list[Server]] = {}
        self._records: dict[str, _ServerRecord] = {}

    def update(self, catalog: Catalog) -> None:
        """Take over the plain servers of a catalog; records of servers that stay are kept.

        :param catalog: the state in force. Linear in the number of its servers.
        """
        self._servers = {
            name: [s for s in catalog.servers_of(name) if s.state is ServerState.LIVE]
            for name, service in catalog.services.items()
            if service.kind == "plain"
        }
        names = {server.name for servers in self._servers.values() for server in servers}
        self._records = {name: self._records.get(name) or _ServerRecord() for name in names}

    def mark_leaving(self, server: str) -> None:
        """Take a server out of the candidates until the next catalog."""
        for servers in self._servers.values():
            servers[:] = [entry for entry in servers if entry.name != server]

    def candidates(self, service: str, now: float) -> list[Server]:
        """Return the servers of a service, the best first.

        Servers that failed lately come last; among the others the one with the fewest
        outstanding calls comes first, ties in random order.

        :param now: time in seconds
        """
        keyed = []
        for server in self._servers.get(service, ()):
            record = self._records[server.name]
            penalty = max(0.0, record.avoid_until - now)
            keyed.append(((penalty, record.outstanding, self._rng.random()), server))
        return [server for _, server in sorted(keyed, key=lambda item: item[0])]

    async def call(self, service: str, call: ServiceCall, timeout_s: float):
        """Send an idempotent call and repeat it on other servers after a failure.

        :param timeout_s: longest time over all attempts in seconds
        :returns: a :class:`~basilwinch.server.ServiceReply` or a ``Failure``
        """
        with trio.move_on_after(timeout_s):
            return await self._attempt(service, call)
        return DEADLINE_EXCEEDED.because(f"no reply of {service} within {timeout_s:g} s")

    async def _attempt(self, service: str, call: ServiceCall) -> ServiceReply | Failure:
        last: Failure | None = None
        for server in self.candidates(service, trio.current_time())[:MAX_ATTEMPTS]:
            outcome = await self._send(server, call)
            if not isinstance(outcome, Failure):
                self._log.record("service", "replied", "least outstanding", server=server.name)
                return outcome
            self._log.record("service", "retried", outcome.code, server=server.name)
            last = outcome
        if last is None:
            return NO_CHAIN.because(f"no live server of {service}")
        return RETRIES_EXHAUSTED.because(f"last failure: {last.reason}")

    async def _send(self, server: Server, call: ServiceCall) -> ServiceReply | Failure:
        record = self._records.setdefault(server.name, _ServerRecord())
        record.outstanding += 1
        try:
            reply = await self._client.call(server, call)
        except ServerError as error:
            record.failures += 1
            penalty = min(MAX_PENALTY_S, FIRST_PENALTY_S * 2 ** (record.failures - 1))
            record.avoid_until = trio.current_time() + penalty
            return error.failure
        finally:
            record.outstanding -= 1
        if reply.status == 503:
            return SERVER_REFUSED.because(f"{server.name} replied 503", server=server.name)
        record.failures = 0
        return reply
