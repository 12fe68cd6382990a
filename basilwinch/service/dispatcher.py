"""Sends idempotent calls to servers of plain services, with retries."""

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
# Backoff after a call that failed without a reply, doubled with each further one. A server in
# backoff comes last among the candidates, so a dead server costs few calls a retry. A 503 reply
# sets no backoff.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0


class _ServerStats:
    """Outstanding calls, consecutive failures and backoff of a server, as seen by this node."""

    __slots__ = ("outstanding_calls", "consecutive_failures", "backoff_until")

    def __init__(self):
        self.outstanding_calls = 0
        self.consecutive_failures = 0
        self.backoff_until = 0.0


class ServiceDispatcher:
    """Chooses servers of plain services and retries idempotent calls on other servers.

    :param client: sends one call to one server, without retries
    :param rng: source of randomness
    :param log: decision log
    """

    __slots__ = ("_client", "_rng", "_log", "_servers", "_stats")

    def __init__(self, client: ServiceClient, rng: random.Random, log: DecisionLog):
        self._client = client
        self._rng = rng
        self._log = log
        self._servers: dict[str, list[Server]] = {}
        self._stats: dict[str, _ServerStats] = {}

    def update(self, catalog: Catalog) -> None:
        """Apply a catalog; the statistics of remaining servers are kept. Linear in its servers.

        :param catalog: catalog in effect
        """
        self._servers = {
            name: [s for s in catalog.servers_of(name) if s.state is ServerState.LIVE]
            for name, service in catalog.services.items()
            if service.kind == "plain"
        }
        names = {server.name for servers in self._servers.values() for server in servers}
        self._stats = {name: self._stats.get(name) or _ServerStats() for name in names}

    def mark_leaving(self, server: str) -> None:
        """Remove a server from the candidates until the next catalog."""
        for servers in self._servers.values():
            servers[:] = [entry for entry in servers if entry.name != server]

    def candidates(self, service: str, now: float) -> list[Server]:
        """Return the servers of a service in the order in which to call them.

        Servers in backoff come last; the others are ordered by outstanding calls, ties at random.

        :param now: time in seconds
        """
        ranked = []
        for server in self._servers.get(service, ()):
            stats = self._stats[server.name]
            backoff_s = max(0.0, stats.backoff_until - now)
            ranked.append(((backoff_s, stats.outstanding_calls, self._rng.random()), server))
        return [server for _, server in sorted(ranked, key=lambda item: item[0])]

    async def call(self, service: str, call: ServiceCall, timeout_s: float):
        """Send an idempotent call; retry it on other servers after a failure.

        :param service: name of the service
        :param call: the call
        :param timeout_s: maximum time for all attempts in seconds
        :returns: a :class:`~basilwinch.server.ServiceReply` or a ``Failure``
        """
        with trio.move_on_after(timeout_s):
            return await self._call_servers(service, call)
        return DEADLINE_EXCEEDED.because(f"no reply from service {service} within {timeout_s:g} s")

    async def _call_servers(self, service: str, call: ServiceCall) -> ServiceReply | Failure:
        last_failure: Failure | None = None
        for server in self.candidates(service, trio.current_time())[:MAX_ATTEMPTS]:
            outcome = await self._call_once(server, call)
            if not isinstance(outcome, Failure):
                self._log.record(
                    "service", "replied", "first candidate that replied", server=server.name
                )
                return outcome
            self._log.record("service", "retried", outcome.code, server=server.name)
            last_failure = outcome
        if last_failure is None:
            return NO_CHAIN.because(f"service {service} has no live server")
        return RETRIES_EXHAUSTED.because(
            f"each of at most {MAX_ATTEMPTS} calls to service {service} failed; "
            f"last failure: {last_failure.reason}"
        )

    async def _call_once(self, server: Server, call: ServiceCall) -> ServiceReply | Failure:
        stats = self._stats.setdefault(server.name, _ServerStats())
        stats.outstanding_calls += 1
        try:
            reply = await self._client.call(server, call)
        except ServerError as error:
            stats.consecutive_failures += 1
            backoff_s = min(
                MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (stats.consecutive_failures - 1)
            )
            stats.backoff_until = trio.current_time() + backoff_s
            return error.failure
        finally:
            stats.outstanding_calls -= 1
        if reply.status == 503:
            return SERVER_REFUSED.because(f"{server.name} replied 503", server=server.name)
        stats.consecutive_failures = 0
        return reply
