"""Detection of chains that send nothing because they have stalled."""

import trio

from basilwinch.exception import Failure
from basilwinch.failover import Silence, should_back_up
from basilwinch.record import Record

__all__ = ["Stall", "StallDetector"]

# The members of a chain are probed after this multiple of its mean gap between events. A stream
# that then resumes at another chain still meets its objective.
_PROBE_DELAY_GAPS = 2.0
_MIN_PROBE_DELAY_S = 0.08
# First value of the mean gap as a multiple of the estimated time of a pass; above 1 since members
# may still be busy with another pass.
_INITIAL_GAP_PASSES = 1.5
_NEWEST_GAP_WEIGHT = 0.3  # in the moving average of gaps
_MIN_QUERY_DELAY_S = 0.12  # before the first query for the head's report, and between queries
# Delay of the first query as a multiple of the estimated time of a pass.
_QUERY_DELAY_PASSES = 3.0
# Added to the delays of the probe and of the first query until the first event has arrived, as a
# multiple of the estimated prefill time.
_PREFILL_DELAY_FACTOR = 3.0
# A silent chain is backed up after this fraction of _CALLER_GAP_TIMEOUT_S, even if no member is
# known to be at fault.
_BACKUP_FRACTION = 0.5
_CALLER_GAP_TIMEOUT_S = 2.0  # shortest gap between events after which callers leave
# A chain counts as silent beside another one if it has been silent for this fraction of its time.
_COMMON_SILENCE_FRACTION = 0.5
_MIN_COMMON_SILENCE_S = 0.1  # but not before this; chains that write send something more often
# Probes and queries time out before this; what they take beyond it, this node was held up.
_MAX_CHECK_S = 0.2


class Stall(Record):
    """A silence for which the request is worth a second run.

    :param reason: what is known, for the log
    :param faulty_address: host:port of the member at fault, None if it is not known
    :param silence: :class:`~basilwinch.failover.Silence`
    """

    __slots__ = ("reason", "faulty_address", "silence")


class StallDetector:
    """Waits for the next bytes of a chain, and detects whether it stalls.

    ``prefilling`` is true until the first event.

    :param path: path of the request
    :param components: shared :class:`~basilwinch.forward.components.Components`
    :param context: the request
    :param head: entry of the chain's first server
    """

    __slots__ = (
        "_path",
        "_components",
        "_context",
        "_head",
        "_mean_gap_s",
        "_silent_since",
        "_held_up_s",
        "_is_probed",
        "prefilling",
    )

    def __init__(self, path, components, context, head):
        self._path = path
        self._components = components
        self._context = context
        self._head = head
        self._mean_gap_s = _INITIAL_GAP_PASSES * path.pass_ms / 1000
        self._silent_since: float | None = None
        self._held_up_s = 0.0
        self._is_probed = False
        self.prefilling = True

    async def wait(self, receive):
        """Return the result of ``receive``, or a :class:`Stall`.

        After a stall it may be called again: the silence goes on.

        :param receive: async function without arguments that waits for the next bytes; it loses
            nothing if it is cancelled
        """
        if self._silent_since is None:
            self._silent_since = trio.current_time()
            self._held_up_s = 0.0
            self._is_probed = False
        if not self._is_probed:
            probe_at = self._silent_since + self._compute_probe_delay_s()
            received = await self._receive_until(receive, probe_at)
            if received is not None:
                return received
            self._is_probed = True
            dead = await self._run_check(self._find_dead)
            if dead is not None:
                address = f"{dead.host}:{dead.port}"
                return self._describe(f"member {dead.id} refuses connections", address)
        while True:
            received = await self._receive_until(receive, self._compute_next_query_time())
            if received is not None:
                return received
            address = await self._run_check(self._find_faulty_address)
            stall = self._describe(f"chain stalls at {address}" if address else None, address)
            if should_back_up(stall.silence, _BACKUP_FRACTION * _CALLER_GAP_TIMEOUT_S):
                return stall

    def describe_silence(self) -> Silence:
        """Return what is known of the present silence, which may be short."""
        now = trio.current_time()
        silent_s = 0.0 if self._silent_since is None else now - self._silent_since
        silent_chains, chains = self._components.activity.count_silent(
            now, max(_MIN_COMMON_SILENCE_S, silent_s * _COMMON_SILENCE_FRACTION)
        )
        since_backup_s = now - self._components.last_backup_at
        return Silence(silent_s, self._held_up_s, False, chains, silent_chains, since_backup_s)

    def _describe(self, reason: str | None, address: str | None) -> Stall:
        silence = self.describe_silence().replace(is_fault_known=address is not None)
        return Stall(reason or f"chain sent nothing for {silence.silent_s:.2f} s", address, silence)

    async def _receive_until(self, receive, at: float):
        """Return what arrives before a time, None if nothing does."""
        with trio.move_on_at(at):
            received = await receive()
            self.end_silence()
            return received
        self._record_held_up(at)
        return None

    async def _run_check(self, check):
        """Return the result of a check, None if this node was held up meanwhile.

        A check that timed out because the node stood still says nothing about a server.
        """
        due_at = trio.current_time() + _MAX_CHECK_S
        result = await check()
        return None if self._record_held_up(due_at) else result

    def _record_held_up(self, due_at: float) -> float:
        """Add by how many seconds a wait has ended late, and return it."""
        late_s = self._components.scheduling_delay.record(due_at, trio.current_time())
        self._held_up_s += late_s
        return late_s

    def end_silence(self) -> None:
        """Record that something has arrived."""
        if not self.prefilling and self._silent_since is not None:
            gap_s = trio.current_time() - self._silent_since
            self._mean_gap_s += _NEWEST_GAP_WEIGHT * (gap_s - self._mean_gap_s)
        self._silent_since = None

    def _compute_prefill_delay_s(self) -> float:
        return _PREFILL_DELAY_FACTOR * self._path.prefill_ms / 1000 if self.prefilling else 0.0

    def _compute_probe_delay_s(self) -> float:
        return (
            max(_MIN_PROBE_DELAY_S, _PROBE_DELAY_GAPS * self._mean_gap_s)
            + self._compute_prefill_delay_s()
        )

    def _compute_next_query_time(self) -> float:
        """Return the time of the next query for the head's report."""
        pass_s = self._path.pass_ms / 1000
        first_query_at = (
            self._silent_since
            + max(_MIN_QUERY_DELAY_S, _QUERY_DELAY_PASSES * pass_s)
            + self._compute_prefill_delay_s()
        )
        now = trio.current_time()
        return first_query_at if now < first_query_at else now + _MIN_QUERY_DELAY_S

    async def _find_dead(self):
        entries = self._components.view.servers
        members = [entries[m.server] for m in self._path.members if m.server in entries]
        return await self._components.member_probe.find_dead(members)

    async def _find_faulty_address(self) -> str | None:
        """Return host:port of the member at which the request is stalled, or None.

        This is taken from the head's report. A head that does not answer is itself at fault, unless
        nothing arrives from the other chains either.
        """
        report = await self._components.server_reports.fetch(self._head)
        if isinstance(report, Failure):
            is_common = self.describe_silence().is_common
            return None if is_common else f"{self._head.host}:{self._head.port}"
        return self._components.dialect.find_stalled_server(report, self._context.info.id)
