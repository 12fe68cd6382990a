"""One model request in progress."""

import math

import trio

from basilwinch.exception import (
    DEADLINE_EXCEEDED,
    DEADLINE_UNREACHABLE,
    NO_CHAIN,
    RETRIES_EXHAUSTED,
    SERVER_LEAVING,
    SERVER_REFUSED,
    SERVER_UNREACHABLE,
    STAGE_DIED,
    STREAM_LOST,
    WRONG_ATTEMPT,
    WRONG_POSITION,
    WRONG_REQUEST,
    BasilwinchError,
    Failure,
    ServerError,
)
from basilwinch.failover import Race, Silence, should_back_up
from basilwinch.pipeline import Chain, FrameChecker, TokenFrame
from basilwinch.relay.attempt import Attempt
from basilwinch.relay.budget import draw_backoff
from basilwinch.relay.isolation import await_isolation
from basilwinch.relay.request import ModelRequest, count_prompt_tokens
from basilwinch.relay.resume import ResumeKind, choose_resume, import_kv
from basilwinch.relay.stall import GapEstimate
from basilwinch.routing import RouteChoice, RouteRequest
from basilwinch.server import EngineCall
from basilwinch.suspicion import digest_request

__all__ = ["Run"]

# A leaving server refuses before it does any work, so its refusal is not charged to the retry
# budget. The limit ends a request if all servers of its model keep refusing.
_MAX_UNCHARGED_RETRIES = 32
# Closing a stream only closes a socket; the timeout keeps a stuck client from blocking the caller.
_CLOSE_TIMEOUT_S = 1.0
# Timers may end this much early; a check just before the stall timeout would find no stall.
_TIMER_SLACK_S = 0.001
# Between two checks for a backup, and between two of a silence that is common to all chains.
_CHECK_INTERVAL_S = 0.05
_COMMON_CHECK_INTERVAL_S = 0.2
# The last frames before a common silence do not come at the same moment.
_COMMON_SILENCE_FRACTION = 0.5


class Run:
    """Async iterator of the frames of one request, over all its attempts.

    One attempt, the primary, is read by the task that iterates. While nothing arrives from it, a
    backup may run in a task of the nursery; the first of them to deliver a frame is read on by the
    iterating task, and the other is closed. A third task only waits for silence and the deadline,
    as a read that is cancelled for a timeout could not be continued.

    :param relay: relay that runs the request
    :param request: the request
    :param nursery: runs backups; :meth:`close` ends all its tasks
    :param now: time of the start in seconds
    """

    __slots__ = (
        "_relay",
        "_request",
        "_nursery",
        "_deadline",
        "_tokens",
        "_race",
        "_attempt",
        "_read_scope",
        "_reading_since",
        "_held_up_s",
        "_arrival",
        "_has_backup",
        "_starting_scope",
        "_backup_at",
        "_backup_tries",
        "_watch_scope",
        "_sleep_scope",
        "_is_expired",
        "_excluded",
        "_lost_servers",
        "_previous_chain",
        "_prompt_tokens",
        "_digest",
        "_run_id",
        "_run_id_count",
        "_claim_id",
        "_done",
    )

    def __init__(self, relay, request: ModelRequest, nursery: trio.Nursery, now: float):
        self._relay = relay
        self._request = request
        self._nursery = nursery
        self._deadline = math.inf if request.deadline_s is None else now + request.deadline_s
        self._tokens = []
        self._race = Race(relay.config.max_attempts)
        #: The attempt that the iterating task reads; None while only backups are in progress.
        self._attempt: Attempt | None = None
        self._read_scope: trio.CancelScope | None = None
        #: Time since which the iterating task waits for a frame; infinity if it does not.
        self._reading_since = math.inf
        #: By how much the node's own timers ended late since the last frame, in seconds.
        self._held_up_s = 0.0
        #: Attempt and its outcome that a backup's task has left for the iterating task.
        self._arrival: tuple | None = None
        self._has_backup = False
        self._starting_scope: trio.CancelScope | None = None
        self._backup_at = -math.inf
        self._backup_tries = 0
        self._watch_scope = trio.CancelScope(shield=True)
        self._sleep_scope: trio.CancelScope | None = None
        self._is_expired = False
        self._excluded = frozenset()
        self._lost_servers = frozenset()
        self._previous_chain: Chain | None = None
        self._prompt_tokens = count_prompt_tokens(request.prompt)
        self._digest = digest_request(request.organisation, request.model, request.prompt)
        # Unique on the node even if a caller sends the same request id twice.
        self._run_id = f"{request.request}#{id(self):x}"
        self._run_id_count = 0
        self._claim_id = ""
        self._done = False

    def __aiter__(self):
        return self

    async def __anext__(self) -> TokenFrame:
        while not self._done:
            if self._attempt is None:
                await self._start_primary()
            frame = await self._receive()
            if isinstance(frame, TokenFrame):
                return frame
            await self._recover(frame)
        raise StopAsyncIteration

    async def close(self) -> None:
        """End all attempts.

        The engines' slots are free once the tasks of the nursery have ended, unless closing a
        stream takes longer than ``_CLOSE_TIMEOUT_S``.
        """
        self._watch_scope.cancel()
        own = self._end_attempts(self._race.active)
        self._attempt = None
        self._relay.suspects.end_attempt(self._digest, self._claim_id)
        for attempt in own[1:]:
            self._nursery.start_soon(self._close_stream, attempt)
        if own:
            await self._close_stream(own[0])

    # Begin and end of attempts.

    async def _start_primary(self) -> None:
        """Choose a chain and start an attempt, without waiting for the engine."""
        relay, request = self._relay, self._request
        self._claim_id = self._generate_run_id()
        isolated = await await_isolation(
            relay.suspects,
            self._digest,
            self._claim_id,
            self._race.attempts > 0,
            self._remaining_s,
        )
        if isinstance(isolated, Failure):
            relay.log.record("attempt", "refused", isolated.reason, request=request.request)
            relay.raise_failure(isolated)
        choice = await self._choose_chain(isolated)
        self._attempt = self._begin_attempt(choice, isolated, self._claim_id)
        if self._race.attempts == 1:
            self._nursery.start_soon(self._watch)

    def _generate_run_id(self) -> str:
        self._run_id_count += 1
        return f"{self._run_id}.{self._run_id_count}"

    def _begin_attempt(self, choice: RouteChoice, isolated: bool, run_id: str) -> Attempt:
        relay, request, now = self._relay, self._request, trio.current_time()
        number = self._race.attempts + 1
        chain, start = choice.chain, len(self._tokens)
        checker = FrameChecker(request.request, number, chain, start)
        config = relay.config
        gap_estimate = GapEstimate(choice.expected_token_s, config.stall_min_s, config.stall_max_s)
        attempt = Attempt(number, run_id, choice, checker, gap_estimate)
        self._race.begin(attempt)
        relay.router.begin(choice, now)
        relay.attempts.add(attempt)
        relay.activity.begin(attempt.head)
        relay.suspects.begin_attempt(self._digest, run_id, chain.servers, isolated, now)
        relay.log.record(
            "attempt",
            "resume" if number > 1 else "start",
            "isolated suspect" if isolated else "chain chosen",
            request=request.request,
            attempt=number,
            servers=chain.servers,
            position=start,
            beside=len(self._race.active) - 1,
        )
        return attempt

    def _finish_attempt(self, attempt: Attempt, failure: Failure | None) -> None:
        """Stop counting an attempt; its stream is still to be closed."""
        relay, now = self._relay, trio.current_time()
        attempt.ended = True
        self._race.end(attempt, self._is_charged(failure))
        relay.attempts.discard(attempt)
        relay.activity.end(attempt.head)
        relay.suspects.end_attempt(self._digest, attempt.run_id)
        # A missed deadline is not attributed to a server.
        reported = None if failure is not None and failure.kind is DEADLINE_EXCEEDED else failure
        relay.router.finish(attempt.choice, reported, now)

    def _is_charged(self, failure: Failure | None) -> bool:
        """Return whether an attempt counts towards ``max_attempts``.

        That of a backup which did not run is no reason to give up the attempt beside it.
        """
        if failure is None:
            return True
        if failure.kind in (SERVER_REFUSED, SERVER_UNREACHABLE):
            return len(self._race.active) == 1
        return failure.kind is not SERVER_LEAVING

    async def _end_attempt(self, failure: Failure | None) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        self._finish_attempt(attempt, failure)
        await self._close_stream(attempt)

    def _end_attempts(self, attempts) -> list[Attempt]:
        """End attempts, and a backup that is being started.

        :returns: those whose stream no task of the nursery closes
        """
        self._has_backup = False
        if self._starting_scope is not None:
            self._starting_scope.cancel()
            self._starting_scope = None
        own = []
        for attempt in attempts:
            self._finish_attempt(attempt, None)
            if attempt.scope is None:
                own.append(attempt)
            else:
                attempt.scope.cancel()
        return own

    async def _close_stream(self, attempt: Attempt) -> None:
        with trio.CancelScope(shield=True), trio.move_on_after(_CLOSE_TIMEOUT_S):
            try:
                await attempt.exit_stack.aclose()
            except Exception as error:
                # The attempt has ended, so its stream's errors concern nobody.
                self._relay.log.record(
                    "attempt", "close_failed", repr(error), request=self._request.request
                )

    async def _choose_chain(self, isolated: bool) -> RouteChoice:
        """Return a chain; wait with backoff for one if there is none.

        :raises BasilwinchError: if there is no chain within ``chain_wait_s`` or until the deadline;
            at once if the deadline is unreachable or the failure is not retryable
        """
        relay = self._relay
        wait_until = min(self._deadline, trio.current_time() + relay.config.chain_wait_s)
        tries = 0
        while True:
            now = trio.current_time()
            route = self._describe_route(isolated, self._excluded, now)
            choice = relay.router.choose(route, now)
            if not choice and route.excluded:
                choice = relay.router.choose(route.replace(excluded=self._lost_servers), now)
            if not choice and isolated:
                choice = relay.router.choose(
                    route.replace(excluded=self._lost_servers, isolated=False), now
                )
            if choice:
                return choice
            if (
                choice.kind is DEADLINE_UNREACHABLE
                or not choice.kind.retryable
                or now >= wait_until
            ):
                relay.log.record(
                    "attempt", "no_chain", choice.reason, request=self._request.request
                )
                relay.raise_failure(choice)
            self._lost_servers = frozenset()
            tries += 1
            delay = draw_backoff(
                relay.rng, tries, relay.config.backoff_base_s, relay.config.backoff_max_s
            )
            await trio.sleep(min(delay, max(0.0, wait_until - now)))

    def _describe_route(self, isolated: bool, excluded: frozenset, now: float) -> RouteRequest:
        request = self._request
        return RouteRequest(
            request=request.request,
            model=request.model,
            cache_key=request.cache_key,
            prompt_tokens=self._prompt_tokens + len(self._tokens),
            max_tokens=request.max_tokens - len(self._tokens),
            deadline_s=self._route_deadline(),
            excluded=excluded | self._relay.suspects.isolated_servers(self._digest, now),
            isolated=isolated,
        )

    def _route_deadline(self) -> float | None:
        """Return the seconds until the deadline if the router is to check it, otherwise None.

        Only the first attempt is checked: a response in progress is not abandoned early.
        """
        if self._race.attempts or self._deadline == math.inf:
            return None
        return self._remaining_s()

    async def _connect(self, attempt: Attempt) -> None:
        request = self._request
        call = EngineCall(
            request=request.request,
            attempt=attempt.number,
            chain=attempt.choice.chain,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=request.priority,
            resume_from=len(self._tokens),
            tokens=tuple(self._tokens),
            deadline=None if self._deadline == math.inf else self._remaining_s(),
            adapter=request.adapter,
            cache_key=request.cache_key,
        )
        await self._restore_kv(call)
        frames = await attempt.exit_stack.enter_async_context(self._relay.client.open(call))
        attempt.stream = aiter(frames)

    async def _restore_kv(self, call: EngineCall) -> None:
        """Import the KV cache of the previous attempt if that is cheaper than a prefix replay."""
        relay, previous = self._relay, self._previous_chain
        if previous is None or not hasattr(relay.client, "export_kv"):
            return
        # An engine keeps one cache of a request id, and the attempt beside this one still uses it.
        if len(self._race.active) > 1:
            return
        tokens = self._prompt_tokens + len(self._tokens)
        model = relay.catalog.models.get(self._request.model)
        plan = choose_resume(relay.config, model, previous, call.chain, tokens, self._lost_servers)
        outcome, reason = plan.kind, "cheaper"
        if plan.kind is ResumeKind.IMPORT:
            # Past the cost of the replay, the import is no longer the cheaper way.
            with trio.move_on_after(plan.replay_s) as scope:
                try:
                    await import_kv(relay.client, relay.catalog, call.request, previous, call.chain)
                except ServerError as error:
                    outcome, reason = ResumeKind.REPLAY, error.failure.reason
            if scope.cancelled_caught:
                outcome, reason = (
                    ResumeKind.REPLAY,
                    f"the KV import took longer than the estimated replay, {plan.replay_s:.3f} s",
                )
        costs = {"replay_s": plan.replay_s, "import_s": plan.import_s}
        relay.log.record("resume", outcome, reason, request=call.request, **costs)

    # Frames.

    async def _receive(self) -> TokenFrame | Failure:
        """Return the next frame to deliver, or the failure of the last attempt in progress."""
        now = trio.current_time()
        if now >= self._deadline:
            return self._describe_deadline()
        self._reading_since = now
        try:
            while True:
                attempt, outcome = self._attempt, None
                with trio.CancelScope() as self._read_scope:
                    if attempt is None:
                        await trio.sleep_forever()
                    outcome = await self._read(attempt)
                if not isinstance(outcome, TokenFrame) or self._has_backup:
                    attempt, outcome = self._settle(attempt, outcome)
                if isinstance(outcome, TokenFrame):
                    return self._deliver(attempt, outcome)
                if outcome is not None:
                    # A backup that is being started would begin beside the next primary.
                    self._end_attempts(())
                    return outcome
        finally:
            self._reading_since = math.inf
            self._read_scope = None

    def _settle(self, attempt: Attempt | None, outcome: TokenFrame | Failure | None) -> tuple:
        """Choose the attempt to relay, and close the others.

        :param attempt: attempt that the iterating task has read, or None
        :param outcome: what it delivered, or None if its read was cancelled
        :returns: the attempt to relay and its frame; None and a failure if none is left; twice None
            if the response must wait
        """
        arrival, self._arrival = self._arrival, None
        if isinstance(outcome, TokenFrame):
            self._relay_only(attempt)
            return attempt, outcome
        if self._is_expired:
            return None, self._describe_deadline()
        if outcome is None and attempt is not None:
            outcome = attempt.failure
        if outcome is not None:
            if len(self._race.active) == 1:
                return None, outcome
            self._fail_attempt(attempt, outcome)
            self._attempt = None
            self._nursery.start_soon(self._close_stream, attempt)
        if arrival is None:
            return None, None
        attempt, outcome = arrival
        if isinstance(outcome, Exception):
            raise outcome
        if isinstance(outcome, TokenFrame):
            self._attempt = attempt
            self._relay_only(attempt)
        return attempt, outcome

    def _relay_only(self, attempt: Attempt) -> None:
        """Close the attempts beside the one that has delivered."""
        others = self._race.deliver(attempt)
        if others:
            self._relay.log.record(
                "backup",
                "won" if attempt.number > others[0].number else "lost",
                "it delivered first" if attempt.number > others[0].number else "the chain goes on",
                request=self._request.request,
                attempt=attempt.number,
                position=len(self._tokens),
            )
        for other in self._end_attempts(others):
            self._nursery.start_soon(self._close_stream, other)

    async def _read(self, attempt: Attempt) -> TokenFrame | Failure:
        """Return the next valid frame of an attempt, or the failure that ended it."""
        while True:
            try:
                if attempt.stream is None:
                    await self._connect(attempt)
                frame = await anext(attempt.stream)
            except StopAsyncIteration:
                return STREAM_LOST.because("the stream ended before the last token")
            except BasilwinchError as error:
                return error.failure
            except Exception as error:
                return await self._translate_error(attempt, error)
            failure = attempt.checker.check(frame)
            if failure is None:
                return frame
            stale = failure.kind in (WRONG_REQUEST, WRONG_ATTEMPT) or (
                failure.kind is WRONG_POSITION and frame.position < attempt.checker.position
            )
            self._relay.log.record(
                "frame",
                "dropped" if stale else "broken",
                failure.reason,
                request=self._request.request,
            )
            if not stale:
                return failure

    async def _translate_error(self, attempt: Attempt, error: Exception) -> Failure:
        """Return the failure into which the client's context manager converts an error.

        It is ``STREAM_LOST`` if the context manager converts it into none.
        """
        try:
            await attempt.exit_stack.__aexit__(type(error), error, error.__traceback__)
        except BasilwinchError as translated:
            return translated.failure
        return STREAM_LOST.because(f"the stream failed: {error!r}")

    def _deliver(self, attempt: Attempt, frame: TokenFrame) -> TokenFrame:
        now = trio.current_time()
        gap_s = now - attempt.last_frame_at
        if attempt.frame_count:
            attempt.gap_estimate.observe(gap_s)
        attempt.frame_count += 1
        attempt.last_frame_at = now
        self._relay.router.observe(attempt.choice, frame, gap_s, now)
        self._relay.activity.record(attempt.head, now)
        self._tokens.append(frame.token)
        self._relay.suspects.record_frame(self._digest, attempt.run_id, now)
        self._held_up_s = 0.0
        if self._backup_tries or attempt.stalled:
            self._forget_silence(attempt)
        self._done = frame.final or len(self._tokens) >= self._request.max_tokens
        if self._done:
            self._relay.suspects.clear(self._digest, now)
        return frame

    def _forget_silence(self, attempt: Attempt) -> None:
        """Use the servers of a chain again that has gone on after a silence."""
        if attempt.stalled:
            attempt.stalled = False
            self._relay.router.end_silence(attempt.choice)
        self._backup_at, self._backup_tries = -math.inf, 0
        servers = frozenset(attempt.choice.chain.servers)
        self._excluded -= servers
        self._lost_servers -= servers

    def _describe_deadline(self) -> Failure:
        return DEADLINE_EXCEEDED.because(
            f"{len(self._tokens)} of up to {self._request.max_tokens} tokens "
            f"within the deadline of {self._request.deadline_s:g} s"
        )

    # Silence.

    async def _watch(self) -> None:
        """Notice silence and the deadline while the iterating task waits for a frame."""
        with self._watch_scope:
            try:
                while not self._is_expired:
                    wake_at = self._find_next_check(trio.current_time())
                    with trio.CancelScope(deadline=wake_at) as self._sleep_scope:
                        await trio.sleep_forever()
                    now = trio.current_time()
                    if self._reading_since == math.inf:
                        continue
                    late_s = max(0.0, now - max(wake_at, self._reading_since))
                    self._held_up_s += late_s
                    if late_s > _CHECK_INTERVAL_S:
                        # What arrived while the node did not run is read before the next check.
                        continue
                    if now >= self._deadline:
                        self._is_expired = True
                        self._read_scope.cancel()
                    else:
                        self._check_silence(now)
            except Exception as error:
                self._post(None, error)

    def _find_next_check(self, now: float) -> float:
        """Return the time of the next check in seconds."""
        if self._reading_since == math.inf:
            # No stall timeout is shorter, so none passes between two checks.
            return now + self._relay.config.stall_min_s
        check_at = self._backup_at if self._starting_scope is None else math.inf
        for attempt in self._race.active:
            if not attempt.stalled:
                check_at = self._find_stall(attempt, now)
                if check_at < now:
                    check_at = now + _COMMON_CHECK_INTERVAL_S
                break
        check_at = max(check_at + _TIMER_SLACK_S, now + _CHECK_INTERVAL_S)
        return min(check_at, self._deadline)

    def _find_stall(self, attempt: Attempt, now: float) -> float:
        """Return the time at which an attempt counts as stalled if no frame arrives before."""
        since = max(attempt.last_frame_at, self._reading_since)
        return since + self._held_up_s + self._stall_timeout_s(attempt, now)

    def _stall_timeout_s(self, attempt: Attempt, now: float) -> float:
        """Return the seconds without a frame after which an attempt counts as stalled.

        With an empty retry budget the timeout is tripled, as no backup may begin: a report of the
        stall would only count against the request.
        """
        relay = self._relay
        if attempt.frame_count:
            timeout_s = attempt.gap_estimate.timeout_s()
        else:
            prefill_s = (
                self._prompt_tokens + len(self._tokens)
            ) / relay.config.prefill_tokens_per_s
            expected_s = max(attempt.choice.expected_first_token_s, prefill_s)
            timeout_s = 2 * expected_s + relay.config.stall_max_s
        return timeout_s * 3 if relay.budget.is_empty(now) else timeout_s

    def _check_silence(self, now: float) -> None:
        """Report attempts that have fallen silent, and start a backup if all have."""
        if self._arrival is not None:
            return
        active = self._race.active
        for attempt in active:
            if attempt.stalled or attempt.failure is not None:
                continue
            silent_s = now - max(attempt.last_frame_at, self._reading_since)
            silence = self._describe_silence(silent_s, now)
            if should_back_up(silence, self._stall_timeout_s(attempt, now)):
                self._report_silence(attempt, silent_s, now)
        if not active or not all(attempt.stalled for attempt in active):
            return
        if self._starting_scope is None and now >= self._backup_at:
            self._try_backup(active, now)

    def _describe_silence(self, silent_s: float, now: float) -> Silence:
        relay = self._relay
        silent, chains = relay.activity.count_silent(now, silent_s * _COMMON_SILENCE_FRACTION)
        if silent == chains and relay.have_common_server():
            # A server that all chains share is a likelier cause than the node.
            return Silence(silent_s, self._held_up_s)
        # The second chain of this request says nothing about the others.
        beside = len(self._race.active) - 1
        return Silence(
            silent_s,
            self._held_up_s,
            False,
            chains - beside,
            silent - beside,
            now - relay.last_backup_at,
        )

    def _report_silence(self, attempt: Attempt, silent_s: float, now: float) -> None:
        relay, chain = self._relay, attempt.choice.chain
        reason = f"no valid frame for {silent_s:.3f} s"
        relay.log.record(
            "attempt",
            "silent",
            reason,
            request=self._request.request,
            attempt=attempt.number,
            position=len(self._tokens),
            servers=chain.servers,
            held_up_s=round(self._held_up_s, 3),
        )
        if relay.suspects.is_isolated(attempt.run_id):
            # It has no backup, and would keep one of the node's few isolation slots.
            attempt.failure = STREAM_LOST.because(reason, stalled=True)
            (attempt.scope or self._read_scope).cancel()
            return
        attempt.stalled = True
        self._report_stalled_chain(chain, now)
        relay.router.report_silence(attempt.choice, now)

    def _report_stalled_chain(self, chain: Chain, now: float) -> None:
        # Any server of the chain may be the silent one. All are excluded; they are used again if
        # there is no other chain, or if the chain goes on.
        self._excluded |= frozenset(chain.servers)
        self._lost_servers |= frozenset(chain.servers)
        self._relay.suspects.report_stall(self._digest, chain.servers, now)

    # Backups.

    def _try_backup(self, active: list, now: float) -> None:
        config = self._relay.config
        # With two attempts in progress, a backup that is mute as well is replaced.
        if self._race.attempts >= self._max_attempts or (
            self._race.runs + len(active) >= config.max_attempts
        ):
            self._backup_at = math.inf
        elif self._relay.budget.is_empty(now):
            self._delay_backup(now)
        else:
            self._has_backup = True
            self._relay.last_backup_at = now
            self._starting_scope = trio.CancelScope(shield=True)
            self._nursery.start_soon(self._run_backup, self._starting_scope)

    @property
    def _max_attempts(self) -> int:
        return self._relay.config.max_attempts + _MAX_UNCHARGED_RETRIES

    def _delay_backup(self, now: float) -> None:
        relay = self._relay
        self._backup_tries += 1
        self._backup_at = now + draw_backoff(
            relay.rng, self._backup_tries, relay.config.backoff_base_s, relay.config.backoff_max_s
        )

    async def _run_backup(self, scope: trio.CancelScope) -> None:
        """Run a backup until it has delivered its first frame, has failed or is closed."""
        attempt = outcome = None
        try:
            with scope:
                attempt = await self._start_backup(scope)
                if attempt is not None:
                    outcome = await self._read(attempt)
        except Exception as error:
            outcome = error
        if self._starting_scope is scope:
            self._starting_scope = None
        if isinstance(outcome, Exception):
            if attempt is not None:
                attempt.scope = None
            self._post(attempt, outcome)
        elif attempt is not None and not attempt.ended:
            self._end_backup(attempt, attempt.failure if outcome is None else outcome)
        if self._sleep_scope is not None:
            self._sleep_scope.cancel()
        if attempt is not None and attempt.ended:
            await self._close_stream(attempt)

    async def _start_backup(self, scope: trio.CancelScope) -> Attempt | None:
        """Begin an attempt beside the silent ones, if there is a chain and a retry for it."""
        relay, run_id = self._relay, self._generate_run_id()
        isolated = await await_isolation(
            relay.suspects, self._digest, run_id, True, self._remaining_s
        )
        now = trio.current_time()
        # The isolation may have taken long enough for another attempt to deliver or fail.
        is_late = scope.cancel_called or self._arrival is not None
        choice = isolated if isinstance(isolated, Failure) else self._choose_backup(isolated, now)
        if is_late or not choice or not relay.budget.take(now):
            relay.suspects.release_claim(self._digest, run_id)
            if not is_late:
                self._delay_backup(now)
            return None
        active = self._race.active
        if len(active) > 1:
            mute = active[-1]
            self._finish_attempt(mute, None)
            mute.scope.cancel()
        attempt = self._begin_attempt(choice, isolated, run_id)
        attempt.scope, self._starting_scope = scope, None
        if self._sleep_scope is not None:
            self._sleep_scope.cancel()
        return attempt

    def _choose_backup(self, isolated: bool, now: float) -> RouteChoice | Failure:
        """Return a chain without the members of the silent ones.

        If there is none, it may share members with them, but not all.
        """
        router = self._relay.router
        silent = [frozenset(attempt.choice.chain.servers) for attempt in self._race.active]
        route = self._describe_route(isolated, self._excluded.union(*silent), now)
        choice = router.choose(route, now)
        if not choice and isolated:
            choice = router.choose(route.replace(isolated=False), now)
        if choice:
            return choice
        route = self._describe_route(False, frozenset(), now)
        choice = router.choose(route, now)
        if choice and frozenset(choice.chain.servers) in silent:
            return NO_CHAIN.because("the only chain is silent")
        return choice

    def _end_backup(self, attempt: Attempt, outcome: TokenFrame | Failure) -> None:
        """Hand the first frame of a backup to the iterating task, or record its failure."""
        if isinstance(outcome, TokenFrame):
            attempt.scope = None
            if self._arrival is None:
                self._post(attempt, outcome)
            else:
                self._finish_attempt(attempt, None)
            return
        self._fail_attempt(attempt, outcome)
        if self._race.active:
            self._delay_backup(trio.current_time())
        else:
            self._post(None, outcome)

    def _post(self, attempt: Attempt | None, outcome) -> None:
        """Leave an outcome for the iterating task, and end its read."""
        self._arrival = attempt, outcome
        if self._read_scope is not None:
            self._read_scope.cancel()

    # Failures.

    def _fail_attempt(self, attempt: Attempt, failure: Failure) -> None:
        """Record the failure of an attempt beside which another one is, or was, in progress."""
        self._report_lost_servers(failure, attempt, trio.current_time())
        self._previous_chain = attempt.choice.chain
        self._finish_attempt(attempt, failure)
        self._relay.log.record(
            "backup",
            failure.code,
            failure.reason,
            request=self._request.request,
            attempt=attempt.number,
            position=len(self._tokens),
            servers=attempt.choice.chain.servers,
        )

    async def _recover(self, failure: Failure) -> None:
        """End the failed attempt and wait until the next one may start.

        :raises BasilwinchError: if the request must not be retried
        """
        relay, attempt = self._relay, self._attempt
        if attempt is not None:
            self._report_lost_servers(failure, attempt, trio.current_time())
            self._previous_chain = attempt.choice.chain
            await self._end_attempt(failure)
        final_failure = None
        if failure.kind is DEADLINE_EXCEEDED or (
            not failure.kind.retryable and failure.kind.status < 500
        ):
            final_failure = failure
        elif not self._race.may_begin(self._max_attempts):
            final_failure = RETRIES_EXHAUSTED.because(
                f"no attempt is left after {self._race.attempts}, of which {self._race.runs} count "
                f"towards {relay.config.max_attempts}; last failure: {failure.reason}",
                last=failure.code,
            )
        elif failure.kind is not SERVER_LEAVING:
            final_failure = await self._spend_retry(failure)
        relay.log.record(
            "retry",
            "give_up" if final_failure is not None else failure.code,
            failure.reason,
            request=self._request.request,
            attempt=self._race.attempts,
            position=len(self._tokens),
            servers=self._previous_chain.servers if self._previous_chain is not None else (),
        )
        if final_failure is not None:
            relay.raise_failure(final_failure)

    async def _spend_retry(self, failure: Failure) -> Failure | None:
        """Take a retry from the budget and back off; wait if the budget is empty.

        :returns: ``RETRIES_EXHAUSTED`` if no retry is left, otherwise None
        """
        relay = self._relay
        config = relay.config
        wait_until = trio.current_time() + config.chain_wait_s
        while not relay.budget.take(trio.current_time()):
            if trio.current_time() >= min(wait_until, self._deadline):
                return RETRIES_EXHAUSTED.because(
                    f"the node's retry budget is empty; last failure: {failure.reason}",
                    retry_after=1.0,
                )
            # Random, so that waiting requests do not try at the same moment.
            await trio.sleep(relay.rng.uniform(0.0, 0.2))
        delay = draw_backoff(
            relay.rng, max(1, self._race.runs), config.backoff_base_s, config.backoff_max_s
        )
        await trio.sleep(min(delay, max(0.0, self._remaining_s())))
        return None

    def _report_lost_servers(self, failure: Failure, attempt: Attempt, now: float) -> None:
        """Report lost servers to the router and the suspect registry."""
        relay, chain = self._relay, attempt.choice.chain
        server = failure.detail.get("server")
        if failure.kind is SERVER_LEAVING:
            relay.router.mark_leaving(server or chain.servers[0], now)
            self._excluded = frozenset((server or chain.servers[0],))
        elif failure.kind is SERVER_UNREACHABLE or (failure.kind is STAGE_DIED and server):
            server = server or chain.servers[0]
            relay.router.mark_dead(server, now)
            self._lost_servers |= {server}
            self._excluded |= {server}
            if failure.kind is STAGE_DIED:
                relay.suspects.report_death(server, now)
        elif failure.kind is STAGE_DIED or failure.detail.get("stalled"):
            self._report_stalled_chain(chain, now)
        elif failure.kind is not DEADLINE_EXCEEDED:
            self._excluded |= {server or chain.servers[0]}

    def _remaining_s(self) -> float:
        return self._deadline - trio.current_time()
