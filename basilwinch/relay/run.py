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
from basilwinch.relay.request import ModelRequest, count_prompt_tokens
from basilwinch.relay.resume import ResumeKind, choose_resume, import_kv
from basilwinch.relay.stall import GapEstimate
from basilwinch.relay.suspect import digest_request
from basilwinch.routing import RouteChoice, RouteRequest
from basilwinch.server import EngineCall

__all__ = ["Run"]

# A server that leaves refuses without work, so such a refusal costs no retry; the limit ends the
# request if every server of a model refuses for ever.
_FREE_RETRIES = 32
# Closing a stream only closes a socket; the limit keeps a stuck client from blocking a caller.
_CLOSE_LIMIT_S = 1.0


class Run:
    """Async iterator of the frames of one request, over all its attempts.

    :param relay: the relay that it belongs to
    :param request: the request
    :param now: start in seconds
    """

    __slots__ = (
        "_relay",
        "_request",
        "_deadline",
        "_tokens",
        "_attempt",
        "_number",
        "_charged",
        "_free",
        "_avoid",
        "_lost",
        "_old_chain",
        "_prompt_tokens",
        "_digest",
        "_key",
        "_done",
    )

    def __init__(self, relay, request: ModelRequest, now: float):
        self._relay = relay
        self._request = request
        self._deadline = math.inf if request.deadline_s is None else now + request.deadline_s
        self._tokens = []
        self._attempt = None
        self._number = 0
        self._charged = 0
        self._free = 0
        self._avoid = frozenset()
        self._lost = frozenset()
        self._old_chain: Chain | None = None
        self._prompt_tokens = count_prompt_tokens(request.prompt)
        self._digest = digest_request(request.organisation, request.model, request.prompt)
        # Callers may send one id twice; the registry must still tell the runs apart.
        self._key = f"{request.request}#{id(self):x}"
        self._done = False

    def __aiter__(self):
        return self

    async def __anext__(self) -> TokenFrame:
        while not self._done:
            if self._attempt is None:
                await self._open()
            frame = await self._receive()
            if isinstance(frame, TokenFrame):
                return frame
            await self._recover(frame)
        raise StopAsyncIteration

    async def close(self) -> None:
        """End the current attempt; the engine's slot is free when this returns."""
        await self._end(None)
        self._relay.suspects.end(self._digest, self._key)

    async def _open(self) -> None:
        """Choose a chain and start the next attempt, without waiting for the engine."""
        relay, request = self._relay, self._request
        isolated = await relay.suspects.enter(
            self._digest, self._key, self._number > 0, self._remaining
        )
        if isinstance(isolated, Failure):
            relay.log.record("attempt", "refused", isolated.reason, request=request.request)
            relay.raise_failure(isolated)
        choice = await self._choose(isolated)
        now = trio.current_time()
        self._number += 1
        chain, start = choice.chain, len(self._tokens)
        checker = FrameChecker(request.request, self._number, chain, start)
        config = relay.config
        gap = GapEstimate(choice.expected_token_s, config.stall_min_s, config.stall_max_s)
        self._attempt = Attempt(self._number, choice, checker, gap)
        relay.router.begin(choice, now)
        relay.suspects.begin(self._digest, self._key, chain.servers, isolated, now)
        relay.log.record(
            "attempt",
            "resume" if self._number > 1 else "start",
            "isolated suspect" if isolated else "chain chosen",
            request=request.request,
            attempt=self._number,
            servers=chain.servers,
            position=start,
        )

    async def _choose(self, isolated: bool) -> RouteChoice:
        """Return a chain; wait for one if servers were lost and none is left."""
        relay, request = self._relay, self._request
        limit = min(self._deadline, trio.current_time() + relay.config.chain_wait_s)
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
                excluded=self._avoid | relay.suspects.quarantined(self._digest, now),
                isolated=isolated,
            )
            choice = relay.router.choose(route, now)
            if not choice and route.excluded:
                choice = relay.router.choose(route.replace(excluded=self._lost), now)
            if not choice and isolated:
                choice = relay.router.choose(
                    route.replace(excluded=self._lost, isolated=False), now
                )
            if choice:
                return choice
            if choice.kind is DEADLINE_UNREACHABLE or not choice.kind.retryable or now >= limit:
                relay.log.record("attempt", "no_chain", choice.reason, request=request.request)
                relay.raise_failure(choice)
            self._lost = frozenset()
            tries += 1
            delay = draw_backoff(
                relay.rng, tries, relay.config.backoff_s, relay.config.backoff_max_s
            )
            await trio.sleep(min(delay, max(0.0, limit - now)))

    def _route_deadline(self) -> float | None:
        """Return the deadline for the router; a response that has begun is not given up early."""
        if self._number or self._deadline == math.inf:
            return None
        return self._remaining()

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
            deadline=None if self._deadline == math.inf else self._remaining(),
            adapter=request.adapter,
            cache_key=request.cache_key,
        )
        await self._restore_kv(call)
        frames = await attempt.stack.enter_async_context(self._relay.client.open(call))
        attempt.stream = aiter(frames)

    async def _restore_kv(self, call: EngineCall) -> None:
        """Import the KV cache of the last attempt if that is cheaper than the replay."""
        relay, old = self._relay, self._old_chain
        if old is None or not hasattr(relay.client, "export_kv"):
            return
        tokens = self._prompt_tokens + len(self._tokens)
        model = relay.catalog.models.get(self._request.model)
        plan = choose_resume(relay.config, model, old, call.chain, tokens, self._lost)
        outcome, reason = plan.kind, "cheaper"
        if plan.kind is ResumeKind.IMPORT:
            # An import that takes longer than the replay has lost its point.
            with trio.move_on_after(plan.replay_s) as scope:
                try:
                    await import_kv(relay.client, relay.catalog, call.request, old, call.chain)
                except ServerError as error:
                    outcome, reason = ResumeKind.REPLAY, error.failure.reason
            if scope.cancelled_caught:
                outcome, reason = ResumeKind.REPLAY, "the import took too long"
        costs = {"replay_s": plan.replay_s, "import_s": plan.import_s}
        relay.log.record("resume", outcome, reason, request=call.request, **costs)

    async def _receive(self) -> TokenFrame | Failure:
        """Return the next frame to deliver, or the failure that ended the attempt."""
        attempt = self._attempt
        while True:
            timeout = min(self._timeout(attempt), max(0.0, self._remaining()))
            try:
                with trio.move_on_after(timeout) as scope:
                    if attempt.stream is None:
                        await self._connect(attempt)
                    frame = await anext(attempt.stream)
            except StopAsyncIteration:
                return STREAM_LOST.because("the stream ended before the last token")
            except BasilwinchError as error:
                return error.failure
            except Exception as error:
                return await self._translate(attempt, error)
            if scope.cancelled_caught:
                if self._remaining() <= 0:
                    return DEADLINE_EXCEEDED.because("the response was not complete in time")
                return STREAM_LOST.because(f"no token for {timeout:.3f} s", stalled=True)
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

    async def _translate(self, attempt: Attempt, error: Exception) -> Failure:
        """Let the client's context turn an I/O error of its library into a typed one."""
        try:
            await attempt.stack.__aexit__(type(error), error, error.__traceback__)
        except BasilwinchError as translated:
            return translated.failure
        return STREAM_LOST.because(f"the stream broke: {error!r}")

    def _deliver(self, frame: TokenFrame) -> TokenFrame:
        attempt, now = self._attempt, trio.current_time()
        gap = now - attempt.last
        if attempt.frames:
            attempt.gap.observe(gap)
        attempt.frames += 1
        attempt.last = now
        self._relay.router.observe(attempt.choice, frame, gap, now)
        self._tokens.append(frame.token)
        self._relay.suspects.note_frame(self._digest, self._key, now)
        self._done = frame.final or len(self._tokens) >= self._request.max_tokens
        if self._done:
            self._relay.suspects.clear(self._digest, now)
        return frame

    def _timeout(self, attempt: Attempt) -> float:
        """Return how long to wait for the next frame.

        Without a retry left, a stalled stream is given three times as long: it cannot be replaced,
        and it may go on.
        """
        relay, now = self._relay, trio.current_time()
        if attempt.frames:
            timeout = attempt.gap.timeout_s()
        else:
            prefill_s = (
                self._prompt_tokens + len(self._tokens)
            ) / relay.config.prefill_tokens_per_s
            expected_s = max(attempt.choice.expected_first_token_s, prefill_s)
            timeout = 2 * expected_s + relay.config.stall_max_s
        if relay.budget.is_empty(now):
            timeout *= 3
        return attempt.last + timeout - now

    async def _recover(self, failure: Failure) -> None:
        """End the failed attempt, then wait until the next one may start, or raise."""
        relay, attempt, now = self._relay, self._attempt, trio.current_time()
        chain = attempt.choice.chain
        self._note_lost(failure, attempt, now)
        self._old_chain = chain
        await self._end(failure)
        reason = None
        if failure.kind is DEADLINE_EXCEEDED:
            reason = failure
        elif failure.kind is SERVER_LEAVING and self._free < _FREE_RETRIES:
            self._free += 1
        elif not failure.kind.retryable and failure.kind.status < 500:
            reason = failure
        else:
            reason = await self._pay(failure)
        relay.log.record(
            "retry",
            "give_up" if reason is not None else failure.code,
            failure.reason,
            request=self._request.request,
            attempt=attempt.number,
            position=len(self._tokens),
            servers=chain.servers,
        )
        if reason is not None:
            relay.raise_failure(reason)

    async def _pay(self, failure: Failure) -> Failure | None:
        """Take a retry from the budget, then back off; wait for the budget if it is empty."""
        relay = self._relay
        config = relay.config
        self._charged += 1
        if self._charged >= config.attempts:
            return RETRIES_EXHAUSTED.because(
                f"{self._charged} attempts failed, the last one: {failure.reason}",
                last=failure.code,
            )
        limit = trio.current_time() + config.chain_wait_s
        while not relay.budget.take(trio.current_time()):
            if trio.current_time() >= min(limit, self._deadline):
                return RETRIES_EXHAUSTED.because(
                    f"the node's retry budget is used up; {failure.reason}", retry_after=1.0
                )
            await trio.sleep(relay.rng.uniform(0.0, 0.2))
        delay = draw_backoff(relay.rng, self._charged, config.backoff_s, config.backoff_max_s)
        await trio.sleep(min(delay, max(0.0, self._remaining())))
        return None

    def _note_lost(self, failure: Failure, attempt: Attempt, now: float) -> None:
        """Tell the router and the suspect registry which servers were lost."""
        relay, chain = self._relay, attempt.choice.chain
        server = failure.detail.get("server")
        if failure.kind is SERVER_LEAVING:
            relay.router.mark_leaving(server or chain.servers[0], now)
            self._avoid = frozenset((server or chain.servers[0],))
        elif failure.kind is SERVER_UNREACHABLE or (failure.kind is STAGE_DIED and server):
            server = server or chain.servers[0]
            relay.router.mark_dead(server, now)
            self._lost |= {server}
            self._avoid |= {server}
            if failure.kind is STAGE_DIED:
                relay.suspects.report_death(server, now)
        elif failure.kind is STAGE_DIED or failure.detail.get("stalled"):
            # Any server of the chain may be the silent one; a chain without them is preferred,
            # and _choose falls back to all if there is none.
            self._avoid |= frozenset(chain.servers)
            self._lost |= frozenset(chain.servers)
            relay.suspects.report_stall(self._digest, chain.servers, now)
        elif failure.kind is not DEADLINE_EXCEEDED:
            self._avoid |= {server or chain.servers[0]}

    async def _end(self, failure: Failure | None) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        relay, now = self._relay, trio.current_time()
        relay.suspects.end(self._digest, self._key)
        # A missed deadline says nothing about the servers.
        blamed = None if failure is not None and failure.kind is DEADLINE_EXCEEDED else failure
        relay.router.finish(attempt.choice, blamed, now)
        with trio.CancelScope(shield=True), trio.move_on_after(_CLOSE_LIMIT_S):
            await attempt.stack.aclose()

    def _remaining(self) -> float:
        return self._deadline - trio.current_time()
