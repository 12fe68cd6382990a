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

    :param components: shared :class:`~basilwinch.forward.components.Components`
    """

    __slots__ = ("_components",)

    def __init__(self, components):
        self._components = components

    async def forward(self, context: Context) -> Answered | Failure:
        """Return the server's response, or the failure that the caller gets."""
        tried: set[str] = set()
        runs = not_run_attempts = 0
        last: Answered | Failure | None = None
        while True:
            trial = self._components.crash_attribution.assess(context)
            if isinstance(trial, Failure):
                return trial if last is None else last
            server = self._components.choose_server(context, tried)
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
            tried.add(server.id)
            retryable = context.route.kind is RouteKind.IDEMPOTENT
            may_retry = retryable and runs + 1 < context.route.max_attempts
            outcome = await self._attempt(context, server, may_retry, trial)
            if isinstance(outcome, Answered) and (outcome.status < 500 or not may_retry):
                return outcome
            last = self._select_result(outcome, last)
            if isinstance(outcome, NotRun):
                not_run_attempts += 1
                if (
                    not_run_attempts < _MAX_NOT_RUN_ATTEMPTS
                    and trio.current_time() < context.deadline
                ):
                    continue
                return last
            runs += 1
            if not may_retry or trio.current_time() >= context.deadline - _RESPONSE_MARGIN_S:
                return last

    async def _attempt(
        self, context, server, may_retry, trial
    ) -> Answered | NotRun | OutcomeUnknown:
        now = trio.current_time()
        limit = context.deadline - _RESPONSE_MARGIN_S
        if may_retry:
            limit = min(limit, now + _ATTEMPT_TIMEOUT_FRACTION * context.route.objective_s)
        selection = self._components.server_selection
        selection.begin(server.id)
        context.servers.append(server.id)
        failed, load = None, None
        suspect_attempt = self._components.crash_attribution.begin(context, [server.id], trial)
        try:
            with trio.move_on_at(limit):
                outcome, failed, load = await self._send_request(context, server)
                if isinstance(outcome, Answered):
                    suspect_attempt.finish()
                return outcome
            failed = True
            late = trio.current_time() >= context.deadline - _RESPONSE_MARGIN_S
            return OutcomeUnknown(
                "deadline exceeded" if late else f"no complete response within {limit - now:.2f} s"
            )
        finally:
            suspect_attempt.end()
            selection.end(server.id, failed, load)

    async def _send_request(self, context, server):
        """Return the outcome, whether the server failed, and the load that it reported.

        The last two are None if they are not known.
        """
        components = self._components
        fresh = context.route.kind is RouteKind.NON_IDEMPOTENT
        try:
            connection = await components.pool.acquire(server.address, fresh=fresh)
        except ServerError as error:
            failed = None if error.failure.kind is TUNNEL_UNAVAILABLE else True
            return NotRun(error.failure.reason), failed, None
        reusable = False
        try:
            context.sends += 1
            components.server_limits.take(server.id)
            header = components.dialect.build_header(
                context.exchange.raw_headers,
                context.exchange.body,
                context.deadline - trio.current_time(),
                server.id,
                context.organisation,
                context.priority,
            )
            exchange = context.exchange
            await connection.send(exchange.method, exchange.target, header, exchange.body)
            response = await connection.receive_head()
            headers = dict(response.headers)
            components.observe_server(server.id, response.status_code, headers)
            if not components.dialect.matches_request(
                headers, context.info.id, connection.is_reused
            ):
                # The answer to this request may still arrive on the connection.
                return OutcomeUnknown("response carries the id of another request"), True, None
            body = await connection.receive_body(_MAX_BODY_BYTES)
            reusable = True
            outcome = self._check_response(context, response, body)
            failed = not isinstance(outcome, Answered)
            return outcome, failed, components.dialect.read_server_load(headers)
        except ServerError as error:
            await components.crash_attribution.report_failure(server, context.info.id)
            return OutcomeUnknown(error.failure.reason), True, None
        finally:
            if reusable:
                components.pool.release(connection)
            else:
                connection.close()

    def _check_response(self, context, response, body) -> Answered | NotRun | OutcomeUnknown:
        dialect = self._components.dialect
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
