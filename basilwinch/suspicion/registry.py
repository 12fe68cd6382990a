"""Registry of requests that may have crashed servers, without I/O."""

import math
import zlib
from collections import deque

from basilwinch.exception import CRASH_SUSPECT, REQUEST_QUARANTINED, Failure
from basilwinch.observability import DecisionLog
from basilwinch.suspicion.evidence import (
    Evidence,
    Loss,
    Strike,
    SuspectEntry,
    is_part,
    pack,
    unpack,
)
from basilwinch.suspicion.isolation import IsolationClaim, IsolationWait, NextAttempt
from basilwinch.suspicion.part import (
    KnownParts,
    attribute_strikes,
    is_ambiguous,
    list_lost_parts,
)
from basilwinch.suspicion.settings import SuspectConfig

__all__ = ["SuspectRegistry"]

_POLL_INTERVAL_S = 0.02
_CRC32_RANGE = 1 << 32
# A request with a suspected part that another request is trying comes back after this time; a trial
# ends with the first events of a stream.
_TRIAL_WAIT_S = 0.5
_RECENT_FRAME_S = 1.0  # see min_attempt_age_s
_MAX_LOGGED_DIGESTS = 32  # in one log line
# Other nodes hold a part for up to twice the configured time, by the hash of their name.
_LONGEST_HOLD_FACTOR = 2
# Strikes of this node are sent first while they are younger; other nodes have no other source.
_FRESH_STRIKE_S = 1.0


class _RunningAttempt:
    """An attempt in progress on this node."""

    __slots__ = (
        "digest",
        "servers",
        "isolated",
        "started_at",
        "parts",
        "trial",
        "frame_count",
        "frame_at",
    )

    def __init__(self, digest, servers, isolated, started_at, parts, trial):
        self.digest = digest
        self.servers = servers
        self.isolated = isolated
        self.started_at = started_at
        self.parts = parts
        self.trial = trial
        self.frame_count = 0
        self.frame_at = -math.inf


class SuspectRegistry:
    """Requests that may have crashed servers, as this node knows them.

    :param config: :class:`SuspectConfig`
    :param log: decision log
    :param on_change: called when an entry should be sent to other nodes soon

    Notes: reporting a death is linear in the attempts in progress on the node; other calls take
    constant time or are linear in the suspects.
    """

    __slots__ = (
        "_config",
        "_log",
        "_evidence",
        "_running",
        "_deaths",
        "_death_reported_at",
        "_stalls",
        "_isolations",
        "_strike_count",
        "_hold_elsewhere_s",
        "_known_parts",
        "_trials",
        "on_change",
    )

    def __init__(self, config: SuspectConfig, log: DecisionLog, on_change=None):
        self._config = config
        self._log = log
        self._evidence: dict[str, Evidence] = {}
        self._running: dict[str, _RunningAttempt] = {}
        #: Times and servers of the recent deaths on all nodes.
        self._deaths: deque[tuple[float, str]] = deque()
        #: Time of the last death reported by this node, by server.
        self._death_reported_at: dict[str, float] = {}
        #: Times and request digests of the recent stalls on this node.
        self._stalls: deque[tuple[float, str]] = deque()
        #: Request digests of the isolations claimed by this node, by run id; each takes a slot.
        self._isolations: dict[str, str] = {}
        self._strike_count = 0
        self._hold_elsewhere_s = config.part_hold_elsewhere_s * (
            1 + zlib.crc32(config.node.encode()) / _CRC32_RANGE
        )
        self._known_parts = KnownParts(config.max_known_parts, config.part_history_s)
        #: Run id of the request that tries a suspected part now, by digest of the part.
        self._trials: dict[str, str] = {}
        self.on_change = on_change

    # Exchange between nodes.

    def list_entries(self, now: float) -> list[SuspectEntry]:
        """Return the unexpired entries, ordered by descending severity and time of expiry.

        A message holds few entries. Entries of requests that only shared a batch with the cause of
        a crash must not delay the entry of the cause, nor those that other nodes have seen the
        entries that only this one knows.
        """
        self._drop_expired(now)
        ordered = sorted(
            self._evidence.items(),
            key=lambda item: (self._is_fresh(item[1], now), item[1].severity(), item[1].until),
            reverse=True,
        )
        return [evidence.to_entry(digest, now) for digest, evidence in ordered]

    def _is_fresh(self, evidence: Evidence, now: float) -> bool:
        """Return whether this node has added a strong strike a short time ago."""
        return any(
            strike.strong and now - at < _FRESH_STRIKE_S and strike.node == self._config.node
            for strike, at in evidence.strikes.values()
        )

    def merge_entries(self, entries: list[SuspectEntry], now: float) -> bool:
        """Merge entries of another node.

        :returns: whether this node knows of requests that speak for a part among the entries; the
            other node should then get the entries of this one
        """
        adds_knowledge = False
        for entry in entries:
            entry = entry.replace(left_s=min(entry.left_s, self._config.quarantine_s))
            evidence = self._get_or_create_evidence(entry.digest, now)
            known = set(evidence.strikes)
            evidence.merge(entry, now)
            for id, (strike, at) in evidence.strikes.items():
                if id not in known and strike.loss is Loss.DEATH:
                    self._record_death(strike.server, at)
            adds_knowledge |= self._vouch(entry.digest, evidence, now)
            if not is_part(entry.digest):
                self._update_conviction(entry.digest, evidence, now)
        self._drop_expired(now)
        self._review_parts(now)
        return adds_knowledge

    def export_bytes(self, now: float, max_entries: int = 64) -> bytes:
        """Return up to ``max_entries`` entries as bytes to send to other nodes."""
        return pack(self.list_entries(now)[:max_entries])

    def merge_bytes(self, data: bytes, now: float) -> bool:
        """Merge entries exported by another node; see :meth:`merge_entries`.

        :raises ProtocolError: on malformed bytes
        """
        return self.merge_entries(unpack(data), now)

    # Convictions in the store.

    def list_convictions(self, now: float) -> dict[str, float]:
        """Return the remaining seconds of the convictions by evidence, by digest."""
        return {
            digest: evidence.until - now
            for digest, evidence in self._evidence.items()
            if evidence.convicted_at is not None and now < evidence.until
        }

    def apply_stored_conviction(self, digest: str, left_s: float, now: float) -> None:
        """Refuse a suspect that another node, or an earlier process of this one, convicted.

        :param left_s: seconds until the conviction ends
        """
        until = now + min(left_s, self._config.quarantine_s)
        evidence = self._get_or_create_evidence(digest, now)
        evidence.stored_until = until
        evidence.until = max(evidence.until, until)
        self._drop_expired(now)
        self._log.record("suspect", "stored_conviction", "read from the store", digest=digest)

    def end_stored_conviction(self, digest: str) -> None:
        """Apply the end of a conviction in the store; one by own evidence stays in force."""
        evidence = self._evidence.get(digest)
        if evidence is not None:
            evidence.stored_until = -math.inf

    # Suspected parts of prompts.

    def assess(self, digest: str, parts, now: float) -> bool | Failure:
        """Return whether a request would try a suspected part, or the failure of a refused one.

        :param digest: digest of the request
        :param parts: digests of the parts of its prompt, see :func:`digest_part`
        """
        for key in (digest, *parts):
            evidence = self._evidence.get(key)
            if evidence is not None and self._is_refused(evidence, now):
                return self._refuse(key, evidence.until - now, "crashed servers repeatedly")
        trial = False
        for part in parts:
            evidence = self._evidence.get(part)
            if evidence is None or now >= evidence.until:
                continue
            if not evidence.open_strikes():
                continue
            wait_s = self._find_hold_end(evidence, parts, digest) - now
            if wait_s > 0 or part in self._trials:
                wait_s = max(wait_s, _TRIAL_WAIT_S)
                return self._refuse(part, wait_s, "may have crashed a server")
            trial = True
        return trial

    def _is_refused(self, evidence: Evidence, now: float) -> bool:
        if now < evidence.stored_until:
            return True
        return evidence.convicted_at is not None and now < evidence.until

    def _find_hold_end(self, evidence: Evidence, parts, digest: str) -> float:
        """Return the time at which this node may try a suspected part with a request.

        A request that lacks an unknown part of each request that was lost with this one tells the
        parts apart, and is less likely to crash its server, so it need not wait as long. One that
        was lost itself cannot tell whether it or its part was the cause, and leaves the trial to
        others.
        """
        config = self._config
        strike, at = max(evidence.open_strikes(), key=lambda item: item[1])
        request = self._evidence.get(digest)
        if request is not None and request.active_strikes():
            return at + _LONGEST_HOLD_FACTOR * config.part_hold_elsewhere_s
        own = strike.node == config.node
        if any(lost <= set(parts) for lost in list_lost_parts(evidence, self._evidence)):
            return at + (config.part_hold_s if own else self._hold_elsewhere_s)
        return at + (0.0 if own else config.part_contrast_delay_s)

    def _refuse(self, digest: str, wait_s: float, why: str) -> Failure:
        return CRASH_SUSPECT.because(
            f"{digest} {why}; refused for {wait_s:.1f} s", wait_s, digest=digest
        )

    def _record_progress(self, part: str, now: float) -> None:
        """Record that a request with the part made progress, which clears the part."""
        self._known_parts.add(part, now)
        evidence = self._evidence.get(part)
        if evidence is not None and evidence.active_strikes():
            self._clear_part(part, evidence)
            self._review_parts(now)
            self._notify_change()

    def _clear_part(self, part: str, evidence: Evidence) -> None:
        evidence.cleared.update(evidence.strikes)
        self._log.record("suspect", "cleared", "a request with the part progressed", digest=part)

    def _vouch(self, digest: str, evidence: Evidence, now: float) -> bool:
        """Clear a part, or vouch for it, by what this node knows; return whether that is new."""
        progress_at = self._known_parts.find_progress(digest, now)
        active = [at for id, (_, at) in evidence.strikes.items() if id not in evidence.cleared]
        if progress_at is None or not active:
            return False
        if progress_at > max(active):
            self._clear_part(digest, evidence)
            return True
        is_new = not evidence.vouched
        evidence.vouched = True
        return is_new

    # Attempts of a request.

    def check_isolation(self, digest: str, run_id: str, attempt: NextAttempt, now: float):
        """Return whether the next attempt of a request must be isolated.

        :param digest: digest of the request
        :param run_id: id of this run of the request, unique on the node
        :param attempt: :class:`NextAttempt`
        :returns: False if it runs like any other, ``IsolationClaim`` once it may be isolated,
            ``IsolationWait`` if that is to be asked again later, or the failure of a refused
            request
        """
        config = self._config
        evidence = self._evidence.get(digest)
        if evidence is None or now >= evidence.until:
            return False
        if evidence.is_convicted(self._config.conviction_deaths):
            refuse_at = evidence.convicted_at + config.refusal_delay_s
            if now >= refuse_at:
                return self._quarantine_failure(digest, evidence, now)
            return IsolationWait(refuse_at - now)
        if not evidence.needs_isolation(resent=not attempt.retry) or attempt.remaining_s <= 0:
            return False
        isolation_active = evidence.isolating_node(now) or digest in self._isolations.values()
        if not isolation_active and len(self._isolations) < config.isolation_slots:
            evidence.begin_isolation(config.node, now + config.isolation_timeout_s)
            self._isolations[run_id] = digest
            self._notify_change()
            return IsolationClaim(config.claim_delay_s)
        must_isolate = isolation_active or len(evidence.active_strikes()) >= 2 or not attempt.retry
        if not must_isolate and now - attempt.asked_at >= config.isolation_slot_wait_s:
            self._log.record(
                "suspect",
                "not_isolated",
                f"no free isolation slot within {config.isolation_slot_wait_s:g} s",
                request=run_id,
            )
            return False
        return IsolationWait(_POLL_INTERVAL_S)

    def confirm_claim(self, digest: str, run_id: str, now: float) -> bool:
        """Return whether this node may start the isolated attempt that it claimed.

        Call it after the delay of the claim, in which claims of other nodes arrive.
        """
        evidence = self._get_or_create_evidence(digest, now)
        if evidence.isolating_node(now) == self._config.node and not evidence.is_convicted(
            self._config.conviction_deaths
        ):
            self._log.record(
                "suspect", "isolated", "suspect runs without other requests", request=run_id
            )
            return True
        self.release_claim(digest, run_id)
        return False

    def is_isolated(self, run_id: str) -> bool:
        """Return whether a run is in isolation, which ends with its first frames."""
        return run_id in self._isolations

    def begin_attempt(
        self, digest: str, run_id: str, servers, isolated: bool, now: float, parts=(), trial=False
    ) -> None:
        """Count an attempt in progress; announce an isolated one to the other nodes.

        :param parts: digests of the parts of the prompt
        :param trial: whether the request tries a suspected part, see :meth:`assess`
        """
        self._running[run_id] = _RunningAttempt(digest, servers, isolated, now, parts, trial)
        if trial:
            self._trials.update((part, run_id) for part in parts)
            self._log.record("suspect", "trial", "request tries a suspected part", request=run_id)
        if isolated:
            evidence = self._get_or_create_evidence(digest, now)
            evidence.begin_isolation(
                self._config.node, now + self._config.isolation_timeout_s, tuple(servers)
            )
            self._notify_change()
        else:
            self._isolations.pop(run_id, None)

    def record_frame(self, digest: str, run_id: str, now: float, count: int = 1) -> None:
        """Record frames of an attempt; enough frames end its isolation and clear its parts."""
        running = self._running[run_id]
        had_progress = running.frame_count >= self._config.progress_frames
        running.frame_count += count
        running.frame_at = now
        if not had_progress and running.frame_count >= self._config.progress_frames:
            running.isolated = False
            self.release_claim(digest, run_id)
            if not self._config.weak_strikes:
                self._clear_request(digest, now)
            for part in running.parts:
                self._record_progress(part, now)

    def end_attempt(self, digest: str, run_id: str) -> None:
        """Stop counting an attempt, and end its isolation."""
        running = self._running.pop(run_id, None)
        if running is not None and running.trial:
            for part in running.parts:
                if self._trials.get(part) == run_id:
                    del self._trials[part]
        self.release_claim(digest, run_id)

    def finish_attempt(self, digest: str, run_id: str, now: float) -> None:
        """Record the complete response of a request, which speaks for it and all its parts."""
        for part in self._running[run_id].parts:
            self._record_progress(part, now)
        self.clear(digest, now)

    def _clear_request(self, digest: str, now: float) -> None:
        """Clear a request that made progress on a server, even if it is convicted.

        Only requests without progress get strikes, so one that makes some did not crash the
        servers that it was lost with.
        """
        evidence = self._evidence.get(digest)
        if evidence is None or not evidence.active_strikes():
            return
        evidence.cleared.update(evidence.strikes)
        self._log.record("suspect", "cleared", "the request progressed", digest=digest)
        self._update_conviction(digest, evidence, now)
        self._review_parts(now)
        self._notify_change()

    def clear(self, digest: str, now: float) -> None:
        """Clear the strikes of a request that finished, unless it is convicted."""
        evidence = self._evidence.get(digest)
        if (
            evidence is None
            or evidence.is_convicted(self._config.conviction_deaths)
            or not evidence.active_strikes()
        ):
            return
        evidence.cleared.update(evidence.strikes)
        self._log.record("suspect", "cleared", "the request finished", digest=digest)
        self._notify_change()

    def isolated_servers(self, digest: str, now: float) -> frozenset[str]:
        """Return the servers on which another suspect runs in isolation."""
        return frozenset(
            server
            for other, evidence in self._evidence.items()
            if other != digest
            for _, until, servers in evidence.tests.values()
            if now < until
            for server in servers
        )

    # Losses of servers.

    def report_death(self, server: str, now: float) -> None:
        """Record the death of a server; call it before the attempts on it are ended.

        Each attempt reports the death that ended it. The first report adds strikes for all attempts
        on the server; later reports of the same death add none.
        """
        on_server = {
            run_id: running
            for run_id, running in self._running.items()
            if server in running.servers
        }
        recent_frame = any(
            now - running.frame_at < _RECENT_FRAME_S for running in on_server.values()
        )
        new_runs = [
            run_id
            for run_id, running in on_server.items()
            if running.started_at > self._death_reported_at.get(server, -math.inf)
            and (recent_frame or now - running.started_at >= self._config.min_attempt_age_s)
        ]
        if not new_runs:
            return
        self._death_reported_at[server] = now
        self._record_death(server, now)
        likely = [
            run_id
            for run_id in sorted(new_runs, key=lambda r: -on_server[r].started_at)
            if on_server[run_id].frame_count < self._config.progress_frames
            and now - on_server[run_id].started_at <= self._config.strong_max_age_s
        ][: self._config.max_strong_strikes]
        one_isolated = sum(running.isolated for running in on_server.values()) == 1
        for run_id in new_runs if self._config.weak_strikes else likely:
            running = on_server[run_id]
            strong = run_id in likely
            strike = Strike(
                self._next_strike_id(),
                server,
                Loss.DEATH,
                strong,
                running.isolated and one_isolated,
                0.0,
            )
            self._add_strike(running.digest, strike, now)
            if strong:
                self._add_part_strikes(running, strike, now)
        self._review_parts(now)
        self._log.record(
            "suspect",
            "death",
            "server died",
            server=server,
            suspects=len(new_runs),
            strong=len(likely),
            digests=sorted(on_server[run_id].digest for run_id in likely)[:_MAX_LOGGED_DIGESTS],
        )

    def report_stall(self, digest: str, servers, now: float) -> None:
        """Record that the stream of a request stalled."""
        while self._stalls and now - self._stalls[0][0] > self._config.mass_loss_window_s:
            self._stalls.popleft()
        only_stall = not any(other != digest for _, other in self._stalls)
        self._stalls.append((now, digest))
        isolated_alone = only_stall and any(
            running.isolated and running.digest == digest for running in self._running.values()
        )
        servers = "+".join(servers)
        strike = Strike(self._next_strike_id(), servers, Loss.STALL, False, isolated_alone, 0.0)
        self._add_strike(digest, strike, now)

    def _next_strike_id(self) -> str:
        self._strike_count += 1
        return f"{self._config.node}/{self._strike_count}"

    def _add_part_strikes(self, running: _RunningAttempt, strike: Strike, now: float) -> None:
        """Add a strike to the parts of a prompt, or only to one that is convicted already."""
        convicted = [
            part
            for part in running.parts
            if part in self._evidence and self._evidence[part].convicted_at is not None
        ]
        for part in convicted or running.parts:
            unknown = self._known_parts.find_progress(part, now) is None
            self._add_strike(part, strike.replace(isolated=running.trial, unknown=unknown), now)

    def _add_strike(self, digest: str, strike: Strike, now: float) -> None:
        evidence = self._get_or_create_evidence(digest, now)
        evidence.strikes[strike.id] = (strike, now)
        evidence.until = max(evidence.until, now + self._config.suspect_ttl_s)
        if self._is_mass_loss(now):
            self._clear_mass_loss(now)
        if not is_part(digest):
            self._update_conviction(digest, evidence, now)
        self._notify_change()

    def _record_death(self, server: str, at: float) -> None:
        self._deaths.append((at, server))
        while at - self._deaths[0][0] > self._config.mass_loss_window_s:
            self._deaths.popleft()

    def _is_mass_loss(self, now: float) -> bool:
        recent = {
            server for at, server in self._deaths if now - at <= self._config.mass_loss_window_s
        }
        return len(recent) > self._config.mass_loss_servers

    def _clear_mass_loss(self, now: float) -> None:
        """Clear the strikes of a rack or zone loss, which would isolate many requests at once.

        A request with strikes from several events keeps them. Otherwise one request that crashed a
        server every 0.3 s would pass for a mass loss after the fourth.
        """
        count = 0
        digests = set()
        for digest, evidence in self._evidence.items():
            if evidence.active_strike_span_s() > self._config.same_event_window_s:
                continue
            for id, (_, at) in evidence.strikes.items():
                if now - at <= self._config.mass_loss_window_s and id not in evidence.cleared:
                    evidence.cleared.add(id)
                    digests.add(digest)
                    count += 1
        self._log.record(
            "suspect",
            "mass_loss",
            f"more than {self._config.mass_loss_servers} servers died at once",
            cleared=count,
            digests=sorted(digests)[:_MAX_LOGGED_DIGESTS],
        )

    def _review_parts(self, now: float) -> None:
        """Update the conviction of all parts, after evidence on any of them has changed.

        Quadratic in the parts with active strikes, which are few except after a crash.
        """
        attribute_strikes(self._evidence, self._config.event_s)
        struck = {
            digest: evidence
            for digest, evidence in self._evidence.items()
            if is_part(digest) and (evidence.active_strikes() or evidence.convicted_at is not None)
        }
        for digest, evidence in struck.items():
            self._update_conviction(digest, evidence, now, is_ambiguous(digest, struck))

    def _update_conviction(
        self, digest: str, evidence: Evidence, now: float, ambiguous: bool = False
    ) -> None:
        if is_part(digest):
            convicted = evidence.is_part_convicted(ambiguous)
        else:
            convicted = evidence.is_convicted(self._config.conviction_deaths)
        if not convicted:
            evidence.convicted_at = None
        elif evidence.convicted_at is None:
            evidence.convicted_at = now
            evidence.until = max(evidence.until, now + self._config.quarantine_s)
            servers = [strike.server for strike in evidence.active_strikes()]
            self._log.record(
                "suspect",
                "convicted",
                "servers died or stalled while they ran the request",
                digest=digest,
                servers=servers,
            )
            if is_part(digest):
                self._clear_explained_strikes(digest, evidence)

    def _clear_explained_strikes(self, part: str, evidence: Evidence) -> None:
        """Clear the strikes that other parts share with a convicted part.

        Requests keep theirs: those that share a strike have the part and are refused with it, and
        one of them may be the cause if the conviction is wrong.
        """
        explained = {strike.id for strike in evidence.active_strikes()}
        digests = []
        for digest, other in self._evidence.items():
            if digest == part or not is_part(digest) or other.convicted_at is not None:
                continue
            if explained & other.strikes.keys():
                other.cleared.update(explained & other.strikes.keys())
                digests.append(digest)
        self._log.record(
            "suspect",
            "explained",
            "strikes shared with a convicted part are cleared",
            digest=part,
            digests=sorted(digests)[:_MAX_LOGGED_DIGESTS],
        )

    def _quarantine_failure(self, digest: str, evidence: Evidence, now: float) -> Failure:
        left = evidence.until - now
        return REQUEST_QUARANTINED.because(
            f"servers died or stalled {len(evidence.active_strikes())} times while they ran this "
            f"request; it is refused for {left:.0f} s",
            retry_after=left,
            digest=digest,
        )

    def release_claim(self, digest: str, run_id: str) -> None:
        """End the claim or the isolation of a run, if it has one."""
        if self._isolations.pop(run_id, None) is None:
            return
        evidence = self._evidence.get(digest)
        if evidence is not None and self._config.node in evidence.tests:
            evidence.end_isolation(self._config.node)
            self._notify_change()

    def _get_or_create_evidence(self, digest: str, now: float) -> Evidence:
        evidence = self._evidence.get(digest)
        if evidence is None or now >= evidence.until:
            config = self._config
            event_s = config.event_s if is_part(digest) else config.request_event_s
            evidence = self._evidence[digest] = Evidence(now + config.suspect_ttl_s, event_s)
        return evidence

    def _drop_expired(self, now: float) -> None:
        oldest = now - self._config.suspect_ttl_s
        for server in [s for s, at in self._death_reported_at.items() if at < oldest]:
            del self._death_reported_at[server]
        for digest in [d for d, e in self._evidence.items() if now >= e.until]:
            del self._evidence[digest]
        excess = len(self._evidence) - self._config.max_suspects
        if excess > 0:
            for digest in sorted(self._evidence, key=lambda d: self._evidence[d].until)[:excess]:
                del self._evidence[digest]

    def _notify_change(self) -> None:
        if self.on_change is not None:
            self.on_change()
