"""Forwarding of requests to plain servers."""

from functools import singledispatchmethod

import trio

from basilwinch.exception import (
    BUDGET_SPENT,
    DEADLINE_EXCEEDED,
    NO_SERVER,
    OUTCOME_UNKNOWN,
    Failure,
    ServerError,
)
from basilwinch.forward.context import Context
from basilwinch.forward.outcome import Answered, Broken, NotRun
from basilwinch.view import RouteKind

__all__ = ["PlainForwarder"]

# Part of the objective after which a repeatable request is tried at a second server.
_SECOND_TRY_PART = 0.6
_BODY_BYTES = 8 << 20  # of a response that is held until it is complete
_ANSWER_MARGIN_S = 0.03  # before the deadline, so that an answer still reaches the caller
_RETRY_AFTER_S = 0.3  # a plain service has free slots again after a few of its requests
_REJECTIONS = 3  # servers that may say "not run" before the request is rejected


class PlainForwarder:
    """Sends a request to one server, and to another where that is allowed.

    :param services: shared :class:`~basilwinch.forward.services.Services`
    """

    __slots__ = ("_services",)

    def __init__(self, services):
        self._services = services

    async def forward(self, context: Context) -> Answered | Failure:
        """Return the server's response, or why there is none."""
        tried: set[str] = set()
        runs = rejections = 0
        last: Answered | Failure | None = None
        while True:
            server = self._services.choose(context, tried)
            if server is None:
                failure = NO_SERVER.because("no server left", _RETRY_AFTER_S)
                return failure if last is None else last
            if context.sends and not self._services.budget.take(context.service.name):
                failure = BUDGET_SPENT.because("no repeat left", _RETRY_AFTER_S)
                return failure if last is None else last
            tried.add(server.id)
            repeatable = context.route.kind is RouteKind.IDEMPOTENT
            more = repeatable and runs + 1 < context.route.max_attempts
            outcome = await self._attempt(context, server, more)
            if isinstance(outcome, Answered) and (outcome.status < 500 or not more):
                return outcome
            last = self._fail(outcome, last)
            if isinstance(outcome, NotRun):
                rejections += 1
                if rejections < _REJECTIONS and trio.current_time() < context.deadline:
                    continue
                return last
            runs += 1
            if not more or trio.current_time() >= context.deadline - _ANSWER_MARGIN_S:
                return last

    async def _attempt(self, context, server, more) -> Answered | NotRun | Broken:
        now = trio.current_time()
        limit = context.deadline - _ANSWER_MARGIN_S
        if more:
            limit = min(limit, now + _SECOND_TRY_PART * context.route.objective_s)
        selection = self._services.selection
        selection.begin(server.id)
        context.servers.append(server.id)
        failed, load = None, None
        try:
            with trio.move_on_at(limit):
                outcome, failed, load = await self._exchange(context, server)
                return outcome
            failed = True
            late = trio.current_time() >= context.deadline - _ANSWER_MARGIN_S
            return Broken("deadline" if late else "no answer in time")
        finally:
            selection.end(server.id, failed, load)

    async def _exchange(self, context, server):
        """Return the outcome, whether the server failed, and the load that it told."""
        services = self._services
        fresh = context.route.kind is RouteKind.NON_IDEMPOTENT
        try:
            connection = await services.pool.acquire(server.address, fresh=fresh)
        except ServerError as error:
            return NotRun(error.failure.reason), True, None
        kept = False
        try:
            context.sends += 1
            header = services.dialect.build_header(
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
            body = await connection.receive_body(_BODY_BYTES)
            kept = True
            outcome = self._read(context, response, body)
            failed = not isinstance(outcome, Answered)
            return outcome, failed, services.dialect.read_server_load(dict(response.headers))
        except ServerError as error:
            return Broken(error.failure.reason), True, None
        finally:
            if kept:
                services.pool.release(connection)
            else:
                connection.close()

    def _read(self, context, response, body) -> Answered | NotRun | Broken:
        dialect = self._services.dialect
        headers = dict(response.headers)
        if not dialect.matches_request(headers, context.info.id):
            return Broken("the response belongs to another request")
        if dialect.is_not_run(response.status_code, headers):
            return NotRun(f"server said {response.status_code}")
        if response.status_code < 300 and not dialect.is_signed(headers):
            return Broken("the response is not signed")
        if response.status_code in (408, 421, 429, 503):
            return Broken(f"server said {response.status_code} but may have run it")
        header = dialect.filter_response(response.headers.raw_items())
        return Answered(response.status_code, header, body)

    @singledispatchmethod
    def _fail(self, outcome, last):
        """Return what the caller is told if this attempt was the last."""
        raise TypeError(type(outcome))

    @_fail.register
    def _(self, outcome: Answered, last):
        return outcome

    @_fail.register
    def _(self, outcome: NotRun, last):
        # A failure is falsy; an earlier attempt that may have run decides what the caller is told.
        return NO_SERVER.because(outcome.reason, _RETRY_AFTER_S) if last is None else last

    @_fail.register
    def _(self, outcome: Broken, last):
        if isinstance(last, Answered):
            return last
        kind = DEADLINE_EXCEEDED if outcome.reason == "deadline" else OUTCOME_UNKNOWN
        return kind.because(outcome.reason)
