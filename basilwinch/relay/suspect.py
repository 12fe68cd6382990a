"""Attribution of server crashes to requests."""

import math
from collections import deque

import trio

from basilwinch.exception import REQUEST_QUARANTINED, Failure
from basilwinch.observability import DecisionLog
from basilwinch.relay.evidence import (
    Evidence,
    Loss,
    Strike,
    SuspectEntry,
    digest_request,
    pack,
    unpack,
)
from basilwinch.relay.settings import SuspectConfig

__all__ = ["SuspectConfig", "SuspectEntry", "SuspectRegistry", "digest_request"]

_POLL_S = 0.02
# Frames of an attempt after which the request is no likely cause of a crash. Crashes come at the
# prefill or right after it, when the request enters the batch.
_PROGRESS_FRAMES = 8
# A server that is reported dead sooner than this after the start of an attempt, and that showed no
# sign of life within a second, was dead before. Otherwise each request that meets the dead servers
# of a lost zone, one after another, would look like their cause.
_PROMPT_S = 0.03
_ALIVE_S = 1.0


class _Running:
    """An attempt in progress on this node."""

    __slots__ = ("digest", "servers", "isolated", "started", "frames", "frame_at")

    def __init__(self, digest, servers, isolated, started):
        self.digest = digest
        self.servers = servers
        self.isolated = isolated
        self.started = started
        self.frames = 0
        self.frame_at = -math.inf


class SuspectRegistry:
    """Requests that may have crashed servers, as this node knows them.

    :param config: :class:`SuspectConfig`
    :param log: decision log
    :param on_change: called when an entry should reach the other nodes soon

    Notes: a death costs time linear in the attempts in progress on the node; all other calls are
    constant or linear in the suspects.
    """

    __slots__ = (
        "_config",
        "_log",
        "_records",
        "_running",
        "_deaths",
        "_reported",
        "_stalls",
        "_testing",
        "_count",
        "on_change",
    )

    def __init__(self, config: SuspectConfig, log: DecisionLog, on_change=None):
        self._config = config
        self._log = log
        self._records: dict[str, Evidence] = {}
        self._running: dict[str, _Running] = {}
        self._deaths: deque[tuple[float, str]] = deque()
        self._reported: dict[str, float] = {}
        self._stalls: deque[tuple[float, str]] = deque()
        self._testing: dict[str, str] = {}
        self._count = 0
        self.on_change = on_change

    # Exchange between nodes.

    def suspects(self, now: float) -> list[SuspectEntry]:
        """Return the unexpired entries, those with the most evidence first, then the newest.

        A message holds few entries. Those of innocent requests that shared a batch must not keep
        back the one that is about to be convicted.
        """
        self._expire(now)
        ordered = sorted(
            self._records.items(), key=lambda item: (item[1].weight(), item[1].until), reverse=True
        )
        return [evidence.to_entry(digest, now) for digest, evidence in ordered]

    def absorb(self, entries: list[SuspectEntry], now: float) -> None:
        """Take over entries of another node."""
        for entry in entries:
            evidence = self._record(entry.digest, now)
            known = set(evidence.strikes)
            evidence.merge(entry, now)
            for id, (strike, at) in evidence.strikes.items():
                if id not in known and strike.loss is Loss.DEATH:
                    self._note_death(strike.server, at)
            self._judge(entry.digest, evidence, now)
        self._expire(now)

    def export(self, now: float, limit: int = 64) -> bytes:
        """Return up to ``limit`` entries as bytes for the exchange between nodes."""
        return pack(self.suspects(now)[:limit])

    def absorb_bytes(self, data: bytes, now: float) -> None:
        """Take over exported entries.

        :raises ProtocolError: on malformed bytes
        """
        self.absorb(unpack(data), now)

    # Life of a request.

    async def enter(self, digest: str, request: str, retry: bool, remaining) -> bool | Failure:
        """Return whether the next attempt must be isolated, or why the request is refused.

        Waits for an isolated run of the same request elsewhere, and for a free slot.

        :param digest: identity of the request
        :param request: name of this run of it, unique on the node
        :param retry: whether this request has run before on this node
        :param remaining: function that returns the seconds left for the request
        """
        config, waited_since = self._config, trio.current_time()
        while True:
            now = trio.current_time()
            evidence = self._records.get(digest)
            if evidence is None or now >= evidence.until:
                return False
            if evidence.is_convicted():
                announced = evidence.convicted_at + config.announce_s
                if now >= announced:
                    return self._refusal(digest, evidence, now)
                await trio.sleep(announced - now)
                continue
            if not evidence.needs_isolation(resent=not retry) or remaining() <= 0:
                return False
            tested = evidence.tester(now) or digest in self._testing.values()
            if not tested and len(self._testing) < config.slots:
                if await self._claim_test(digest, request, evidence):
                    return True
                continue
            patient = tested or len(evidence.active()) >= 2 or not retry
            if not patient and now - waited_since >= config.slot_wait_s:
                self._log.record("suspect", "not_isolated", "no free slot", request=request)
                return False
            await trio.sleep(_POLL_S)

    def begin(self, digest: str, request: str, servers, isolated: bool, now: float) -> None:
        """Count an attempt in progress."""
        self._running[request] = _Running(digest, servers, isolated, now)
        if isolated:
            evidence = self._record(digest, now)
            evidence.begin_test(self._config.node, now + self._config.test_s, tuple(servers))
            self._changed()
        else:
            self._testing.pop(request, None)

    def note_frame(self, digest: str, request: str, now: float) -> None:
        """Note a frame of an attempt; after some, an isolated run ends its isolation."""
        running = self._running[request]
        running.frames += 1
        running.frame_at = now
        if running.frames == _PROGRESS_FRAMES:
            running.isolated = False
            self._end_test(digest, request)

    def end(self, digest: str, request: str) -> None:
        """Count the end of an attempt."""
        self._running.pop(request, None)
        self._end_test(digest, request)

    def clear(self, digest: str, now: float) -> None:
        """Clear a request that finished, unless it is convicted."""
        evidence = self._records.get(digest)
        if evidence is None or evidence.is_convicted() or not evidence.active():
            return
        evidence.cleared.update(evidence.strikes)
        self._log.record("suspect", "cleared", "the request finished", digest=digest)
        self._changed()

    def quarantined(self, digest: str, now: float) -> frozenset[str]:
        """Return the servers on which another suspect runs in isolation."""
        return frozenset(
            server
            for other, evidence in self._records.items()
            if other != digest
            for _, until, servers in evidence.tests.values()
            if now < until
            for server in servers
        )

    # Losses of servers.

    def report_death(self, server: str, now: float) -> None:
        """Record the death of a server; call it before the attempts on it are ended.

        Each attempt reports the death that ended it. The first report covers all attempts on the
        server, the others find them struck already.
        """
        on_server = {
            request: running
            for request, running in self._running.items()
            if server in running.servers
        }
        alive = any(now - running.frame_at < _ALIVE_S for running in on_server.values())
        new = [
            request
            for request, running in on_server.items()
            if running.started > self._reported.get(server, -math.inf)
            and (alive or now - running.started >= _PROMPT_S)
        ]
        if not new:
            return
        self._reported[server] = now
        self._note_death(server, now)
        likely = [
            request
            for request in sorted(new, key=lambda r: -on_server[r].started)
            if on_server[request].frames < _PROGRESS_FRAMES
            and now - on_server[request].started <= self._config.strong_age_s
        ][: self._config.strong]
        alone = sum(running.isolated for running in on_server.values()) == 1
        for request in new:
            running = on_server[request]
            self._strike(
                running.digest,
                server,
                Loss.DEATH,
                request in likely,
                running.isolated and alone,
                now,
            )
        self._log.record(
            "suspect", "death", "server died", server=server, suspects=len(new), strong=len(likely)
        )

    def report_stall(self, digest: str, servers, now: float) -> None:
        """Record that the stream of one request stopped silently."""
        while self._stalls and now - self._stalls[0][0] > self._config.mass_s:
            self._stalls.popleft()
        only_one = not any(other != digest for _, other in self._stalls)
        self._stalls.append((now, digest))
        alone = only_one and any(
            running.isolated and running.digest == digest for running in self._running.values()
        )
        self._strike(digest, "+".join(servers), Loss.STALL, False, alone, now)

    def _strike(self, digest, server, loss, strong, isolated, now) -> None:
        evidence = self._record(digest, now)
        self._count += 1
        id = f"{self._config.node}/{self._count}"
        evidence.strikes[id] = (Strike(id, server, loss, strong, isolated, 0.0), now)
        evidence.until = max(evidence.until, now + self._config.suspect_s)
        if self._is_mass(now):
            self._clear_mass(now)
        self._judge(digest, evidence, now)
        self._changed()

    def _note_death(self, server: str, at: float) -> None:
        self._deaths.append((at, server))
        while at - self._deaths[0][0] > self._config.mass_s:
            self._deaths.popleft()

    def _is_mass(self, now: float) -> bool:
        recent = {server for at, server in self._deaths if now - at <= self._config.mass_s}
        return len(recent) > self._config.mass_servers

    def _clear_mass(self, now: float) -> None:
        """Clear the strikes of a rack or zone loss, so that not everything is isolated at once.

        A request that lost servers in several attempts keeps its strikes: clearing them let one
        request that crashed a server every 0.3 s pass for a mass loss after its fourth.
        """
        count = 0
        for evidence in self._records.values():
            if evidence.spans() > self._config.same_event_s:
                continue
            for id, (_, at) in evidence.strikes.items():
                if now - at <= self._config.mass_s and id not in evidence.cleared:
                    evidence.cleared.add(id)
                    count += 1
        self._log.record("suspect", "mass_loss", "many servers died at once", cleared=count)

    def _judge(self, digest: str, evidence: Evidence, now: float) -> None:
        if not evidence.is_convicted():
            evidence.convicted_at = None
        elif evidence.convicted_at is None:
            evidence.convicted_at = now
            evidence.until = max(evidence.until, now + self._config.convicted_s)
            servers = [strike.server for strike in evidence.active()]
            self._log.record("suspect", "convicted", "servers died", digest=digest, servers=servers)

    def _refusal(self, digest: str, evidence: Evidence, now: float) -> Failure:
        left = evidence.until - now
        return REQUEST_QUARANTINED.because(
            f"servers died {len(evidence.active())} times while they ran this request; "
            f"it is refused for {left:.0f} s",
            retry_after=left,
            digest=digest,
        )

    async def _claim_test(self, digest: str, request: str, evidence: Evidence) -> bool:
        node = self._config.node
        evidence.begin_test(node, trio.current_time() + self._config.test_s)
        self._testing[request] = digest
        self._changed()
        try:
            await trio.sleep(self._config.settle_s)
        except BaseException:
            # Also a cancelled caller must give its claim back, or no node may test the request.
            self._end_test(digest, request)
            raise
        if evidence.tester(trio.current_time()) == node and not evidence.is_convicted():
            self._log.record("suspect", "isolated", "suspect runs alone", request=request)
            return True
        self._end_test(digest, request)
        return False

    def _end_test(self, digest: str, request: str) -> None:
        if self._testing.pop(request, None) is None:
            return
        evidence = self._records.get(digest)
        if evidence is not None and self._config.node in evidence.tests:
            evidence.end_test(self._config.node)
            self._changed()

    def _record(self, digest: str, now: float) -> Evidence:
        evidence = self._records.get(digest)
        if evidence is None or now >= evidence.until:
            evidence = self._records[digest] = Evidence(now + self._config.suspect_s)
        return evidence

    def _expire(self, now: float) -> None:
        for digest in [d for d, e in self._records.items() if now >= e.until]:
            del self._records[digest]
        excess = len(self._records) - self._config.limit
        if excess > 0:
            for digest in sorted(self._records, key=lambda d: self._records[d].until)[:excess]:
                del self._records[digest]

    def _changed(self) -> None:
        if self.on_change is not None:
            self.on_change()
