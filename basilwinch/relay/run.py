"""One model request in progress."""

import math

import trio

from basilwinch.exception import (
    DEADLINE_EXCEEDED,
    DEADLINE_UNREACHABLE,
    RETRIES_EXHAUSTED,
    SERVER_LEAVING,
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


class Run:
    """Async iterator of the frames of one request, over all its attempts.

    :param relay: relay that runs the request
    :param request: the request
    :param now: time of the start in seconds
    """

    __slots__ = (
        "_relay",
        "_request",
        "_deadline",
        "_tokens",
        "_attempt",
        "_attempt_count",
        "_charged_attempts",
        "_uncharged_retries",
        "_excluded",
        "_lost_servers",
        "_previous_chain",
        "_prompt_tokens",
        "_digest",
        "_run_id",
        "_done",
    )

    def __init__(self, relay, request: ModelRequest, now: float):
        self._relay = relay
        self._request = request
        self._deadline = math.inf if request.deadline_s is None else now + request.deadline_s
        self._tokens = []
        self._attempt = None
        self._attempt_count = 0
        self._charged_attempts = 0
        self._uncharged_retries = 0
        self._excluded = frozenset()
        self._lost_servers = frozenset()
        self._previous_chain: Chain | None = None
        self._prompt_tokens = count_prompt_tokens(request.prompt)
        self._digest = digest_request(request.organisation, request.model, request.prompt)
        # Unique on the node even if a caller sends the same request id twice.
        self._run_id = f"{request.request}#{id(self):x}"
        self._done = False

    def __aiter__(self):
        return self

    async def __anext__(self) -> TokenFrame:
        while not self._done:
            if self._attempt is None:
                await self._start_attempt()
            frame = await self._receive()
            if isinstance(frame, TokenFrame):
                return frame
            await self._recover(frame)
        raise StopAsyncIteration

    async def close(self) -> None:
        """End the current attempt.

        The engine's slot is free when this returns, unless closing the stream takes longer than
        ``_CLOSE_TIMEOUT_S``.
        """
        await self._end_attempt(None)
        self._relay.suspects.end_attempt(self._digest, self._run_id)

    async def _start_attempt(self) -> None:
        """Choose a chain and start the next attempt, without waiting for the engine."""
        relay, request = self._relay, self._request
        isolated = await await_isolation(
            relay.suspects,
            self._digest,
            self._run_id,
            self._attempt_count > 0,
            self._remaining_s,
        )
        if isinstance(isolated, Failure):
            relay.log.record("attempt", "refused", isolated.reason, request=request.request)
            relay.raise_failure(isolated)
        choice = await self._choose_chain(isolated)
        now = trio.current_time()
        self._attempt_count += 1
        chain, start = choice.chain, len(self._tokens)
        checker = FrameChecker(request.request, self._attempt_count, chain, start)
        config = relay.config
        gap_estimate = GapEstimate(choice.expected_token_s, config.stall_min_s, config.stall_max_s)
        self._attempt = Attempt(self._attempt_count, choice, checker, gap_estimate)
        relay.router.begin(choice, now)
        relay.suspects.begin_attempt(self._digest, self._run_id, chain.servers, isolated, now)
        relay.log.record(
            "attempt",
            "resume" if self._attempt_count > 1 else "start",
            "isolated suspect" if isolated else "chain chosen",
            request=request.request,
            attempt=self._attempt_count,
            servers=chain.servers,
            position=start,
        )

    async def _choose_chain(self, isolated: bool) -> RouteChoice:
        """Return a chain; wait with backoff for one if there is none.

        :raises BasilwinchError: if there is no chain within ``chain_wait_s`` or until the deadline;
            at once if the deadline is unreachable or the failure is not retryable
        """
        relay, request = self._relay, self._request
        wait_until = min(self._deadline, trio.current_time() + relay.config.chain_wait_s)
        tries = 0
        while True:
            now = trio.current_time()
            route = RouteRequest(
                request=request.request,
                model=request.model,
                cache_key=request.cache_key,
                prompt_tokens=self._prompt_tokens + len(self._tokens),
                max_tokens=request.max_tokens - len(self._tokens),
                deadline_s=self._route_deadline(),
                excluded=self._excluded | relay.suspects.isolated_servers(self._digest, now),
                isolated=isolated,
            )
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
                relay.log.record("attempt", "no_chain", choice.reason, request=request.request)
                relay.raise_failure(choice)
            self._lost_servers = frozenset()
            tries += 1
            delay = draw_backoff(
                relay.rng, tries, relay.config.backoff_base_s, relay.config.backoff_max_s
            )
            await trio.sleep(min(delay, max(0.0, wait_until - now)))

    def _route_deadline(self) -> float | None:
        """Return the seconds until the deadline if the router is to check it, otherwise None.

        Only the first attempt is checked: a response in progress is not abandoned early.
        """
        if self._attempt_count or self._deadline == math.inf:
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

    async def _receive(self) -> TokenFrame | Failure:
        """Return the next frame to deliver, or the failure that ended the attempt."""
        attempt = self._attempt
        while True:
            timeout_s = min(self._frame_timeout_s(attempt), max(0.0, self._remaining_s()))
            try:
                with trio.move_on_after(timeout_s) as scope:
                    if attempt.stream is None:
                        await self._connect(attempt)
                    frame = await anext(attempt.stream)
            except StopAsyncIteration:
                return STREAM_LOST.because("the stream ended before the last token")
            except BasilwinchError as error:
                return error.failure
            except Exception as error:
                return await self._translate_error(attempt, error)
            if scope.cancelled_caught:
                if self._remaining_s() <= 0:
                    return DEADLINE_EXCEEDED.because(
                        f"{attempt.checker.position} of up to {self._request.max_tokens} tokens "
                        f"within the deadline of {self._request.deadline_s:g} s"
                    )
                return STREAM_LOST.because(
                    f"no valid frame within the stall timeout; last wait {timeout_s:.3f} s",
                    stalled=True,
                )
            failure = attempt.checker.check(frame)
            if failure is None:
                return self._deliver(frame)
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

    def _deliver(self, frame: TokenFrame) -> TokenFrame:
        attempt, now = self._attempt, trio.current_time()
        gap_s = now - attempt.last_frame_at
        if attempt.frame_count:
            attempt.gap_estimate.observe(gap_s)
        attempt.frame_count += 1
        attempt.last_frame_at = now
        self._relay.router.observe(attempt.choice, frame, gap_s, now)
        self._tokens.append(frame.token)
        self._relay.suspects.record_frame(self._digest, self._run_id, now)
        self._done = frame.final or len(self._tokens) >= self._request.max_tokens
        if self._done:
            self._relay.suspects.clear(self._digest, now)
        return frame

    def _frame_timeout_s(self, attempt: Attempt) -> float:
        """Return the seconds to wait for the next frame.

        With an empty retry budget the timeout is tripled: a stalled stream could not be replaced,
        but may continue.
        """
        relay, now = self._relay, trio.current_time()
        if attempt.frame_count:
            timeout_s = attempt.gap_estimate.timeout_s()
        else:
            prefill_s = (
                self._prompt_tokens + len(self._tokens)
            ) / relay.config.prefill_tokens_per_s
            expected_s = max(attempt.choice.expected_first_token_s, prefill_s)
            timeout_s = 2 * expected_s + relay.config.stall_max_s
        if relay.budget.is_empty(now):
            timeout_s *= 3
        return attempt.last_frame_at + timeout_s - now

    async def _recover(self, failure: Failure) -> None:
        """End the failed attempt and wait until the next one may start.

        :raises BasilwinchError: if the request must not be retried
        """
        relay, attempt, now = self._relay, self._attempt, trio.current_time()
        chain = attempt.choice.chain
        self._report_lost_servers(failure, attempt, now)
        self._previous_chain = chain
        await self._end_attempt(failure)
        final_failure = None
        if failure.kind is DEADLINE_EXCEEDED:
            final_failure = failure
        elif failure.kind is SERVER_LEAVING and self._uncharged_retries < _MAX_UNCHARGED_RETRIES:
            self._uncharged_retries += 1
        elif not failure.kind.retryable and failure.kind.status < 500:
            final_failure = failure
        else:
            final_failure = await self._spend_retry(failure)
        relay.log.record(
            "retry",
            "give_up" if final_failure is not None else failure.code,
            failure.reason,
            request=self._request.request,
            attempt=attempt.number,
            position=len(self._tokens),
            servers=chain.servers,
        )
        if final_failure is not None:
            relay.raise_failure(final_failure)

    async def _spend_retry(self, failure: Failure) -> Failure | None:
        """Take a retry from the budget and back off; wait if the budget is empty.

        :returns: ``RETRIES_EXHAUSTED`` if no retry is left, otherwise None
        """
        relay = self._relay
        config = relay.config
        self._charged_attempts += 1
        if self._charged_attempts >= config.max_attempts:
            return RETRIES_EXHAUSTED.because(
                f"{self._charged_attempts} of {config.max_attempts} attempts failed; "
                f"last failure: {failure.reason}",
                last=failure.code,
            )
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
            relay.rng, self._charged_attempts, config.backoff_base_s, config.backoff_max_s
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
            # Any server of the chain may be the silent one. All are excluded; _choose_chain uses
            # them again if there is no other chain.
            self._excluded |= frozenset(chain.servers)
            self._lost_servers |= frozenset(chain.servers)
            relay.suspects.report_stall(self._digest, chain.servers, now)
        elif failure.kind is not DEADLINE_EXCEEDED:
            self._excluded |= {server or chain.servers[0]}

    async def _end_attempt(self, failure: Failure | None) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        relay, now = self._relay, trio.current_time()
        relay.suspects.end_attempt(self._digest, self._run_id)
        # A missed deadline is not attributed to a server.
        reported = None if failure is not None and failure.kind is DEADLINE_EXCEEDED else failure
        relay.router.finish(attempt.choice, reported, now)
        with trio.CancelScope(shield=True), trio.move_on_after(_CLOSE_TIMEOUT_S):
            await attempt.exit_stack.aclose()

    def _remaining_s(self) -> float:
        return self._deadline - trio.current_time()
