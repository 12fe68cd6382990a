"""Forwarding of streams over chains of servers, with resumption."""

from functools import partial

import structlog
import trio

from basilwinch.exception import (
    BUDGET_SPENT,
    DEADLINE_EXCEEDED,
    NO_CHAIN,
    OUTCOME_UNKNOWN,
    QUEUE_FULL,
    STREAM_LOST,
    Failure,
    ServerError,
)
from basilwinch.forward.context import Context
from basilwinch.forward.events import EventSplitter, read_event_id
from basilwinch.forward.outcome import Answered, Broken, NotRun
from basilwinch.forward.silence import Silence

__all__ = ["StreamForwarder"]

_WAIT_PART = 0.5  # of the objective: longest wait for room
_LOOK_AGAIN_S = 0.1  # room that other nodes free is not announced here
_HINT_PART = 1.2  # of the caller's estimate: tokens that are reserved
_USUAL_OUTPUT = 200  # tokens that are reserved if the caller says nothing
_BODY_BYTES = 1 << 20
_ANSWER_MARGIN_S = 0.03
_ATTEMPTS = 4  # paths tried for a response that hasn't begun; each counts against the budget
_RETRY_AFTER_S = (0.5, 2.0)  # spread, so that callers don't return together


class StreamForwarder:
    """Relays a stream and resumes it at another chain when its chain fails.

    :param services: shared :class:`~basilwinch.forward.services.Services`
    :param rng: random numbers for the spread of Retry-After
    """

    __slots__ = ("_services", "_rng")

    def __init__(self, services, rng):
        self._services = services
        self._rng = rng

    async def forward(self, context: Context) -> Answered | Failure | None:
        """Relay the stream.

        :returns: None if the response has been sent to its end, a whole response or a failure if
            nothing has been sent, and a failure if the response broke off
        """
        return await _Relay(self._services, context, self._rng).run()


class _Relay:
    """The relay of one stream."""

    __slots__ = (
        "_services",
        "_context",
        "_rng",
        "_last_id",
        "_avoid",
        "_attempts",
        "_runs",
        "_successor",
        "_log",
    )

    def __init__(self, services, context: Context, rng):
        self._services = services
        self._context = context
        self._rng = rng
        given = context.info.last_event_id
        self._last_id = int(given) if given.isdigit() else None
        self._avoid: set[str] = set()
        self._attempts = 0
        self._runs = 0  # attempts that the request may have run in
        self._successor = None  # path reserved for the next attempt, with its repeat
        self._log = structlog.get_logger("stream")

    async def run(self) -> Answered | Failure | None:
        context = self._context
        failure: Failure | None = None
        while self._attempts < _ATTEMPTS:
            choice = await self._take_path()
            if isinstance(choice, Failure):
                return self._final(choice if failure is None else failure)
            self._attempts += 1
            outcome = await self._attempt(choice)
            if outcome is None or isinstance(outcome, Answered):
                return outcome
            self._log.info(
                "attempt failed",
                request=context.info.id.decode("latin-1"),
                head=choice.members[0].server,
                reason=outcome.reason,
                last_id=self._last_id,
            )
            if isinstance(outcome, Broken):
                self._runs += 1
                failure = OUTCOME_UNKNOWN.because(outcome.reason)
                if not context.route.resumable or self._runs >= context.route.max_attempts:
                    break
            elif failure is None:
                failure = NO_CHAIN.because(outcome.reason, self._retry_after())
            if trio.current_time() >= context.deadline - _ANSWER_MARGIN_S:
                failure = DEADLINE_EXCEEDED.because("no time left")
                break
        return self._final(failure)

    def _final(self, failure: Failure) -> Failure:
        if self._context.exchange.started:
            return STREAM_LOST.because(failure.reason)
        if self._runs and failure.kind.status == 503:
            # The request may have run, so it must not be told otherwise.
            return OUTCOME_UNKNOWN.because(failure.reason)
        return failure

    def _tokens(self) -> int:
        info = self._context.info
        output = info.max_output_tokens or _USUAL_OUTPUT
        if info.output_hint:
            output = min(output, int(info.output_hint * _HINT_PART))
        return info.prompt_tokens + output

    async def _take_path(self):
        """Return the path of the next attempt, with its repeat taken, or a failure."""
        if self._successor is not None:
            choice, self._successor = self._successor, None
            return choice
        choice = await self._admit()
        if isinstance(choice, Failure) or not self._attempts:
            return choice
        if not self._services.budget.take(self._context.service.name):
            return BUDGET_SPENT.because("no repeat left", self._retry_after())
        return choice

    def _reserve(self, choice, culprit: str | None) -> bool:
        """Reserve path and repeat for another attempt, and return whether there are any.

        Only then may a response under way be given up: without them the caller would get no more.
        """
        self._blame(culprit, choice)
        services, context = self._services, self._context
        if not context.route.resumable or self._attempts >= _ATTEMPTS:
            return False
        if self._runs + 1 >= context.route.max_attempts:
            return False
        tokens = self._tokens()
        cross_zones = services.may_cross(context, tokens)
        path = services.find_path(context, tokens, self._avoid, cross_zones)
        if path is None or not services.budget.take(context.service.name):
            return False
        self._successor = path
        return True

    async def _admit(self):
        """Return a path with room, or a failure after a bounded wait."""
        services, context = self._services, self._context
        objective = context.route.objective_s
        until = min(trio.current_time() + objective * _WAIT_PART, context.deadline)
        tokens = self._tokens()
        cross_zones = services.may_cross(context, tokens)
        while True:
            choice = services.find_path(context, tokens, self._avoid, cross_zones)
            if choice is not None:
                return choice
            if self._avoid and self._attempts:
                self._avoid.clear()
                continue
            now = trio.current_time()
            if now >= until:
                return QUEUE_FULL.because("no chain has room", self._retry_after())
            with trio.move_on_at(min(until, now + _LOOK_AGAIN_S)):
                await services.freed.wait()

    def _retry_after(self) -> float:
        return self._rng.uniform(*_RETRY_AFTER_S)

    async def _attempt(self, choice):
        """Send to a chain; return None at the end, a whole response, ``NotRun`` or ``Broken``."""
        services, context = self._services, self._context
        tokens = self._tokens()
        services.load.add(choice.members, tokens)
        services.zone_link.take(choice.crossings * tokens * context.service.engine.transfer_s)
        try:
            with trio.move_on_at(context.deadline - _ANSWER_MARGIN_S):
                return await self._exchange(choice)
            return Broken("deadline")
        finally:
            services.load.remove(choice.members, tokens)
            services.announce_room()

    async def _exchange(self, choice):
        services, context = self._services, self._context
        entries = services.view.servers
        hops = []
        for member in choice.members:
            entry = entries.get(member.server)
            if entry is None:
                return NotRun("a member is gone")
            hops.append((entry.host, entry.port, member.first, member.end))
        head = entries[choice.members[0].server]
        context.servers.append("+".join(member.server for member in choice.members))
        try:
            connection = await services.pool.acquire(head.address)
        except ServerError as error:
            services.load.suspect(head.id, error.failure.reason)
            return NotRun(error.failure.reason)
        kept = False
        try:
            exchange = context.exchange
            context.sends += 1
            header = services.dialect.build_header(
                exchange.raw_headers,
                exchange.body,
                context.deadline - trio.current_time(),
                head.id,
                context.organisation,
                context.priority,
                hops,
                None if self._last_id is None else b"%d" % self._last_id,
            )
            await connection.send(exchange.method, exchange.target, header, exchange.body)
            silence = Silence(choice, services, context, head, partial(self._reserve, choice))
            response = await silence.watch(connection.receive_head)
            if isinstance(response, Broken):
                return response
            outcome = await self._read(response, connection, choice, silence)
            kept = outcome is None or isinstance(outcome, (Answered, NotRun))
            return outcome
        except ServerError as error:
            self._avoid.add(head.id)
            return Broken(error.failure.reason)
        finally:
            if kept:
                services.pool.release(connection)
            else:
                connection.close()

    async def _read(self, response, connection, choice, silence):
        dialect, context = self._services.dialect, self._context
        headers = dict(response.headers)
        if not dialect.echoes(headers, context.info.id):
            return Broken("the response belongs to another request")
        if dialect.is_not_run(response.status_code, headers):
            await connection.receive_body(_BODY_BYTES)
            self._blame_named(dialect.faulty_server(headers), choice)
            return NotRun(f"server said {response.status_code}")
        if response.status_code != 200 or not dialect.is_signed(headers):
            body = await connection.receive_body(_BODY_BYTES)
            if context.exchange.started or response.status_code in (200, 408, 421, 429, 503):
                self._avoid.add(choice.members[0].server)
                return Broken(f"server said {response.status_code}")
            header = dialect.filter_response(response.headers.raw_items())
            return Answered(response.status_code, header, body)
        return await self._relay_events(response, connection, choice, silence)

    async def _relay_events(self, response, connection, choice, silence):
        context = self._context
        splitter = EventSplitter()
        while True:
            data = await silence.watch(connection.receive_data)
            if isinstance(data, Broken):
                return data
            if data is None:
                break
            events = self._new_events(splitter.feed(data))
            if isinstance(events, Broken):
                self._avoid.add(choice.members[0].server)
                return events
            if events:
                await self._pass_on(response, b"".join(events))
                silence.reading = False
        if splitter.incomplete or not context.exchange.started:
            return Broken("the stream ended within an event")
        await context.exchange.end()
        return None

    def _new_events(self, events):
        """Return the events that the caller hasn't got; ``Broken`` if one is missing."""
        fresh = []
        for event in events:
            number = read_event_id(event)
            if number is None:
                return Broken("an event has no id")
            if self._last_id is not None:
                if number <= self._last_id:
                    continue
                if number != self._last_id + 1:
                    return Broken(f"event {number} follows {self._last_id}")
            self._last_id = number
            fresh.append(event)
        return fresh

    async def _pass_on(self, response, data: bytes) -> None:
        exchange = self._context.exchange
        if exchange.started:
            await exchange.send(data)
        else:
            header = self._services.dialect.filter_response(response.headers.raw_items())
            await exchange.start(response.status_code, header, data)
        self._context.note_passed(trio.current_time())

    def _blame(self, culprit: str | None, choice) -> None:
        """Avoid the member at fault, or else the whole path for this request."""
        if culprit is None:
            self._avoid.update(member.server for member in choice.members)
        else:
            self._blame_named(culprit, choice)

    def _blame_named(self, address: str | None, choice) -> None:
        if address is None:
            # Rejected by the head itself, as it is full or draining.
            self._avoid.add(choice.members[0].server)
            return
        entries = self._services.view.servers
        for member in choice.members:
            entry = entries.get(member.server)
            if entry is not None and f"{entry.host}:{entry.port}" == address:
                self._services.load.suspect(entry.id, "named as faulty")
                self._avoid.add(entry.id)
