"""Attribution of server crashes to the requests that this node had sent to the server."""

import hashlib
import itertools

import structlog
import trio

from basilwinch.exception import Failure
from basilwinch.forward.context import Context
from basilwinch.suspicion import SuspectRegistry, digest_part, digest_request

__all__ = ["FIRST_EVENTS", "CrashAttribution", "SuspectAttempt"]

# A server that crashes on a request does so before it has sent this many events.
FIRST_EVENTS = 2


class CrashAttribution:
    """Connects the attempts of a node with the registry of suspects.

    :param suspects: :class:`~basilwinch.suspicion.SuspectRegistry`
    :param probe: :class:`~basilwinch.forward.members.MemberProbe` of its own: a result from before
        the failure would show a crashed server as running
    :param monitor: :class:`~basilwinch.tunnel.monitor.ReachabilityMonitor`
    """

    __slots__ = ("_suspects", "_probe", "_monitor", "_run_numbers", "_log")

    def __init__(self, suspects: SuspectRegistry, probe, monitor):
        self._suspects = suspects
        self._probe = probe
        self._monitor = monitor
        self._run_numbers = itertools.count(1)
        self._log = structlog.get_logger("crashes")

    def assess(self, context: Context) -> bool | Failure:
        """Return whether a request would try a suspected part, or why it is refused."""
        return self._suspects.assess(
            _digest_context(context), _digest_parts(context), trio.current_time()
        )

    def identify(self, context: Context) -> str:
        """Return the digest of a request, the same whenever its caller sends it again."""
        return _digest_context(context)

    def begin(self, context: Context, servers: list[str], trial: bool) -> "SuspectAttempt":
        """Count an attempt that is about to be sent.

        :param servers: ids of the servers that may crash on it
        :param trial: whether it tries a suspected part, as returned by :meth:`assess`
        """
        attempt = SuspectAttempt(
            self._suspects, _digest_context(context), f"{next(self._run_numbers)}"
        )
        self._suspects.begin_attempt(
            attempt.digest,
            attempt.run_id,
            servers,
            False,
            trio.current_time(),
            _digest_parts(context),
            trial,
        )
        return attempt

    async def report_failure(self, server, request_id: bytes) -> None:
        """Report the death of a server whose connection failed, if it refuses new ones.

        Call it before the attempt on the server ends. A node that reaches no other server reports
        nothing, as its links may be at fault.

        :param server: entry of the server
        :param request_id: id of the request, for the log
        """
        failed_at = trio.current_time()
        dead = await self._probe.find_dead([server])
        if dead is not None and not await self._monitor.can_blame(failed_at):
            self._log.info("no server reached after a failure", server=server.id)
            return
        self._log.info(
            "server checked after a failure",
            server=server.id,
            request=request_id.decode("latin-1"),
            crashed=dead is not None,
        )
        if dead is not None:
            self._suspects.report_death(server.id, trio.current_time())

    def prune(self, known) -> None:
        """Drop the state of servers that are gone.

        :param known: ids of the registered servers
        """
        self._probe.prune(known)


class SuspectAttempt:
    """One attempt that the registry counts as in progress until :meth:`end`."""

    __slots__ = ("_suspects", "digest", "run_id")

    def __init__(self, suspects: SuspectRegistry, digest: str, run_id: str):
        self._suspects = suspects
        self.digest = digest
        self.run_id = run_id

    def record_events(self, count: int) -> None:
        """Record that events of the response arrived."""
        self._suspects.record_frame(self.digest, self.run_id, trio.current_time(), count)

    def finish(self) -> None:
        """Record that the complete response arrived."""
        self._suspects.finish_attempt(self.digest, self.run_id, trio.current_time())

    def end(self) -> None:
        """Stop counting the attempt."""
        self._suspects.end_attempt(self.digest, self.run_id)


def _digest_context(context: Context) -> str:
    if context.request_digest is None:
        exchange = context.exchange
        context.request_digest = digest_request(
            context.organisation or "",
            f"{exchange.method.decode('latin-1')} {exchange.target.decode('latin-1')}",
            hashlib.blake2b(exchange.body, digest_size=16).hexdigest(),
        )
    return context.request_digest


def _digest_parts(context: Context) -> tuple[str, ...]:
    return tuple(digest_part(part) for part in context.info.shared_parts)
