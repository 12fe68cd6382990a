"""Forwarding of requests to plain servers, which run a request without a chain."""

from functools import singledispatchmethod

import trio

from basilwinch.exception import (
    BUDGET_SPENT,
    DEADLINE_EXCEEDED,
    NO_SERVER,
    OUTCOME_UNKNOWN,
    TUNNEL_UNAVAILABLE,
    Failure,
    ServerError,
)
from basilwinch.forward.context import Context
from basilwinch.forward.outcome import Answered, NotRun, OutcomeUnknown
from basilwinch.view import RouteKind

__all__ = ["PlainForwarder"]

# Fraction of the objective after which a retryable request is sent to another server.
_ATTEMPT_TIMEOUT_FRACTION = 0.6
_MAX_BODY_BYTES = 8 << 20  # responses are buffered until they are complete
_RESPONSE_MARGIN_S = 0.03  # before the deadline, so that a response still reaches the caller
_RETRY_AFTER_S = 0.3  # slots of a plain server become free within the time of a few requests
# No further server is tried after this many attempts that did not run, because the server rejected
# them or no connection was made.
_MAX_NOT_RUN_ATTEMPTS = 3


class PlainForwarder:
    """Sends a request to one server, and retries it at others where that is allowed.

    A server that is slow to answer keeps the request until another one has answered it. At most two
    attempts are in progress at a time: a further silent server is given up for the next one.

    :param components: shared :class:`~basilwinch.forward.components.Components`
    """

    __slots__ = ("_components",)

    def __init__(self, components):
        self._components = components

    async def forward(self, context: Context) -> Answered | Failure:
        """Return the server's response, or the failure that the caller gets."""
        progress = _Progress()
        try:
            result = await self._try_servers(context, progress)
            if progress.kept is not None:
                result = await self._finish_both(context, progress)
            return result
        finally:
            if progress.kept is not None:
                progress.kept.end()

    async def _try_servers(self, context, progress) -> Answered | Failure | None:
        """Return the result after the last attempt, or None if an attempt is kept from now on."""
        while True:
            last = progress.last
            trial = self._components.crash_attribution.assess(context)
            if isinstance(trial, Failure):
                return trial if last is None else last
            server = self._components.choose_server(context, progress.tried)
            if server is None:
                failure = NO_SERVER.because(
                    "no untried server below its limit is available", _RETRY_AFTER_S
                )
                return failure if last is None else last
            if context.sends and not self._components.retry_budget.take(context.service.name):
                failure = BUDGET_SPENT.because(
                    f"retry budget of service {context.service.name} is spent", _RETRY_AFTER_S
                )
                return failure if last is None else last
            progress.tried.add(server.id)
            retryable = context.route.kind is RouteKind.IDEMPOTENT
            may_retry = retryable and progress.runs + 1 < context.route.max_attempts
            attempt = _Attempt(self._components, context, server, trial)
            outcome = await self._run_attempt(context, attempt, may_retry, progress)
            if isinstance(outcome, Answered) and (outcome.status < 500 or not may_retry):
                return outcome
            progress.last = self._select_result(outcome, last)
            if isinstance(outcome, NotRun):
                progress.not_run_attempts += 1
                if (
                    progress.not_run_attempts < _MAX_NOT_RUN_ATTEMPTS
                    and trio.current_time() < context.deadline
                ):
                    continue
                return progress.last
            progress.runs += 1
            if progress.kept is attempt:
                return None
            if not may_retry or trio.current_time() >= context.deadline - _RESPONSE_MARGIN_S:
                return progress.last

    async def _run_attempt(
        self, context, attempt, may_retry, progress
    ) -> Answered | NotRun | OutcomeUnknown:
        """Return the outcome of an attempt, which ends unless it is kept."""
        now = trio.current_time()
        deadline = limit = context.deadline - _RESPONSE_MARGIN_S
        if may_retry:
            limit = min(limit, now + _ATTEMPT_TIMEOUT_FRACTION * context.route.objective_s)
        try:
            outcome = await attempt.run(limit)
            if outcome is not None:
                return outcome
            if trio.current_time() >= deadline:
                return OutcomeUnknown("deadline exceeded")
            if attempt.is_waiting and progress.kept is None:
                progress.kept = attempt
            return OutcomeUnknown(f"no complete response within {limit - now:.2f} s")
        finally:
            if progress.kept is not attempt:
                attempt.end()

    async def _finish_both(self, context, progress) -> Answered | Failure:
        """Try other servers while the kept attempt goes on; return the first usable response."""
        kept_outcome: Answered | NotRun | OutcomeUnknown | None = None
        result: Answered | Failure | None = None
        async with trio.open_nursery() as nursery:

            async def finish_kept():
                nonlocal kept_outcome
                kept_outcome = await progress.kept.run(context.deadline - _RESPONSE_MARGIN_S)
                if _is_usable(kept_outcome):
                    nursery.cancel_scope.cancel()

            nursery.start_soon(finish_kept)
            result = await self._try_servers(context, progress)
            if _is_usable(result):
                nursery.cancel_scope.cancel()
        if _is_usable(result):
            return result
        if kept_outcome is None:
            kept_outcome = OutcomeUnknown("deadline exceeded")
        return self._select_result(kept_outcome, result)

    @singledispatchmethod
    def _select_result(self, outcome, last):
        """Return the result for the caller if no further attempt follows."""
        raise TypeError(type(outcome))

    @_select_result.register
    def _(self, outcome: Answered, last):
        return outcome

    @_select_result.register
    def _(self, outcome: NotRun, last):
        # Compared with None since a failure is falsy. An earlier attempt that may have run decides
        # the result.
        return NO_SERVER.because(outcome.reason, _RETRY_AFTER_S) if last is None else last

    @_select_result.register
    def _(self, outcome: OutcomeUnknown, last):
        if isinstance(last, Answered):
            return last
        kind = DEADLINE_EXCEEDED if outcome.reason == "deadline exceeded" else OUTCOME_UNKNOWN
        return kind.because(outcome.reason)


class _Progress:
    """What is known of a request over all of its attempts."""

    __slots__ = ("tried", "runs", "not_run_attempts", "last", "kept")

    def __init__(self):
        self.tried: set[str] = set()
        self.runs = 0  # attempts in which the request may have run
        self.not_run_attempts = 0
        self.last: Answered | Failure | None = None  # result if no further attempt follows
        self.kept: _Attempt | None = None  # goes on while other servers are tried


def _is_usable(result) -> bool:
    """Return whether a result is a response after which no other server is needed."""
    return isinstance(result, Answered) and result.status < 500


class _Attempt:
    """An attempt at one server; the wait for its response can be interrupted and taken up again.

    It counts as in progress from its creation to :meth:`end`. ``is_waiting`` is true while the
    request has been sent and the connection may still bring the response.

    :param components: shared :class:`~basilwinch.forward.components.Components`
    :param context: the request
    :param server: entry of the server
    :param trial: whether the request tries a suspected part
    """

    __slots__ = (
        "_components",
        "_context",
        "_server",
        "_suspect_attempt",
        "_connection",
        "_response",
        "_parts",
        "_body_bytes",
        "_is_reusable",
        "_failed",
        "_is_slow",
        "_load",
        "is_waiting",
    )

    def __init__(self, components, context, server, trial):
        self._components = components
        self._context = context
        self._server = server
        self._connection = None
        self._response = None
        self._parts: list[bytes] = []
        self._body_bytes = 0
        self._is_reusable = False
        self._failed: bool | None = None  # whether the server failed, None if that is not known
        self._is_slow = False
        self._load = None
        self.is_waiting = False
        components.server_selection.begin(server.id)
        context.servers.append(server.id)
        self._suspect_attempt = components.crash_attribution.begin(context, [server.id], trial)

    async def run(self, limit: float) -> Answered | NotRun | OutcomeUnknown | None:
        """Return the outcome, or None if there is none yet.

        It may be called again while ``is_waiting`` is true.

        :param limit: time until which to wait, in seconds
        """
        with trio.move_on_at(limit):
            outcome = None if self.is_waiting else await self._send()
            return await self._receive() if outcome is None else outcome
        self._count_slow()
        return None

    def end(self) -> None:
        """Stop counting the attempt, and close its connection unless it can be used again."""
        self.is_waiting = False
        if self._connection is not None:
            if self._is_reusable:
                self._components.pool.release(self._connection)
            else:
                self._connection.close()
        self._suspect_attempt.end()
        failed = None if self._is_slow else self._failed
        self._components.server_selection.end(self._server.id, failed, self._load)

    def _count_slow(self) -> None:
        """Count a failure of a slow server, once and before its attempt ends: requests that come
        meanwhile go to others."""
        if not self._is_slow:
            selection = self._components.server_selection
            selection.end(self._server.id, True, None)
            selection.begin(self._server.id)
        self._is_slow = True

    async def _send(self) -> NotRun | OutcomeUnknown | None:
        """Send the request; return None if that succeeds."""
        components, context = self._components, self._context
        fresh = context.route.kind is RouteKind.NON_IDEMPOTENT
        try:
            connection = await components.pool.acquire(self._server.address, fresh=fresh)
        except ServerError as error:
            self._failed = None if error.failure.kind is TUNNEL_UNAVAILABLE else True
            return NotRun(error.failure.reason)
        self._connection = connection
        context.sends += 1
        components.server_limits.take(self._server.id)
        header = components.dialect.build_header(
            context.exchange.raw_headers,
            context.exchange.body,
            context.deadline - trio.current_time(),
            self._server.id,
            context.organisation,
            context.priority,
        )
        exchange = context.exchange
        try:
            await connection.send(exchange.method, exchange.target, header, exchange.body)
        except ServerError as error:
            return await self._fail(error)
        self.is_waiting = True
        return None

    async def _receive(self) -> Answered | NotRun | OutcomeUnknown:
        try:
            if self._response is None:
                self._response = await self._connection.receive_head()
                headers = dict(self._response.headers)
                status = self._response.status_code
                self._components.observe_server(self._server.id, status, headers)
                if not self._components.dialect.matches_request(
                    headers, self._context.info.id, self._connection.is_reused
                ):
                    # The answer to this request may still arrive on the connection.
                    self._failed = True
                    return OutcomeUnknown("response carries the id of another request")
            while (data := await self._connection.receive_data()) is not None:
                self._parts.append(data)
                self._body_bytes += len(data)
                if self._body_bytes > _MAX_BODY_BYTES:
                    host, port = self._server.address
                    reason = f"{host}:{port}: the response body exceeds {_MAX_BODY_BYTES} bytes"
                    raise ServerError(OUTCOME_UNKNOWN.because(reason))
        except ServerError as error:
            return await self._fail(error)
        return self._finish()

    async def _fail(self, error: ServerError) -> OutcomeUnknown:
        self.is_waiting = False
        self._failed = True
        await self._components.crash_attribution.report_failure(self._server, self._context.info.id)
        return OutcomeUnknown(error.failure.reason)

    def _finish(self) -> Answered | NotRun | OutcomeUnknown:
        """Return the outcome of a complete response."""
        self.is_waiting = False
        self._is_reusable = True
        outcome = self._check_response(b"".join(self._parts))
        self._failed = not isinstance(outcome, Answered)
        self._load = self._components.dialect.read_server_load(dict(self._response.headers))
        if isinstance(outcome, Answered):
            self._suspect_attempt.finish()
        return outcome

    def _check_response(self, body) -> Answered | NotRun | OutcomeUnknown:
        dialect, response = self._components.dialect, self._response
        headers = dict(response.headers)
        if dialect.is_not_run(response.status_code, headers):
            refusal = dialect.describe_refusal(response.status_code, headers)
            return NotRun(f"server answered with status {response.status_code}: {refusal}")
        if response.status_code < 300 and not dialect.is_signed(headers):
            return OutcomeUnknown("response is not signed")
        if response.status_code in (408, 421, 429, 503):
            refusal = dialect.describe_refusal(response.status_code, headers)
            return OutcomeUnknown(
                f"server answered with status {response.status_code}: {refusal}; "
                "the request may have run"
            )
        header = dialect.filter_response(response.headers.raw_items())
        return Answered(response.status_code, header, body)
