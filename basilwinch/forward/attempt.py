"""One attempt to run a stream over a chain."""

import trio

from basilwinch.exception import TUNNEL_UNAVAILABLE, ServerError
from basilwinch.forward.crashes import FIRST_EVENTS
from basilwinch.forward.events import EventSplitter, read_event_id
from basilwinch.forward.outcome import Answered, NotRun, OutcomeUnknown
from basilwinch.forward.stall import StallDetector
from basilwinch.record import Record

__all__ = ["Attempt", "Ended", "Received"]

_MAX_BODY_BYTES = 1 << 20  # of a response that is not relayed as a stream
_MAX_EVENT_BYTES = 1 << 20  # an event holds a few tokens; a faulty server may never end one


class Received(Record):
    """New events of a stream, and what is wrong with what follows them, or None.

    There is no event if only the head of the response has arrived. ``last_id`` is the id of the
    last one.
    """

    __slots__ = ("events", "last_id", "fault")
    _defaults = {"last_id": None, "fault": None}


class Ended(Record):
    """The stream has ended in order."""

    __slots__ = ()


class Attempt:
    """An attempt to run a stream over a chain, from its reservation to its close.

    It counts as load on the members, and as an attempt that may crash the head, until
    :meth:`close`. ``events`` counts the events that it has added to the stream. ``is_sent`` tells
    that the request may have reached the head, ``is_broken`` that its connection failed, so that
    the head may have crashed, and ``is_head_checked`` that the head was checked in a silence.

    :param components: shared :class:`~basilwinch.forward.components.Components`
    :param context: the request
    :param path: :class:`~basilwinch.chains.path.Path`
    :param tokens: tokens of the KV cache that the request may need
    :param trial: whether the request tries a suspected part
    :param avoid: ids of servers that the request avoids, to which those at fault are added
    """

    __slots__ = (
        "_components",
        "_context",
        "path",
        "_tokens",
        "_avoid",
        "_suspect_attempt",
        "_connection",
        "_is_reusable",
        "_is_closed",
        "_splitter",
        "_is_rejected",
        "_rejected_body",
        "_started_at",
        "head",
        "response",
        "detector",
        "events",
        "is_sent",
        "is_broken",
        "is_head_checked",
    )

    def __init__(self, components, context, path, tokens: int, trial: bool, avoid: set[str]):
        self._components = components
        self._context = context
        self.path = path
        self._tokens = tokens
        self._avoid = avoid
        self._connection = None
        self._is_reusable = False
        self._is_closed = False
        self._splitter = EventSplitter()
        self._is_rejected = False
        self._rejected_body: list[bytes] = []
        self._started_at = trio.current_time()
        self.head = None
        self.response = None
        self.detector: StallDetector | None = None
        self.events = 0
        self.is_sent = False
        self.is_broken = False
        self.is_head_checked = False
        components.load.add(path.members, tokens)
        components.zone_link_budget.take(
            path.crossings * tokens * context.service.engine.token_transfer_s
        )
        components.activity.begin(self.head_id)
        self._suspect_attempt = components.crash_attribution.begin(context, [self.head_id], trial)

    @property
    def head_id(self) -> str:
        """Id of the first server of the chain."""
        return self.path.members[0].server

    @property
    def duration_s(self) -> float:
        """Seconds since the attempt began."""
        return trio.current_time() - self._started_at

    @property
    def is_open(self) -> bool:
        """Whether the request has been sent."""
        return self.detector is not None

    @property
    def is_silent(self) -> bool:
        """Whether the connection is open and has no unread bytes."""
        return self._connection.is_open_and_silent()

    async def open(self, last_id: int | None) -> NotRun | OutcomeUnknown | None:
        """Send the request; return why that failed, or None.

        :param last_id: id of the last event that the caller has
        """
        components, context = self._components, self._context
        entries = components.view.servers
        hops = []
        for member in self.path.members:
            entry = entries.get(member.server)
            if entry is None:
                return NotRun(f"member {member.server} of the path is no longer registered")
            hops.append((entry.host, entry.port, member.first, member.end))
        self.head = head = entries[self.head_id]
        context.servers.append("+".join(member.server for member in self.path.members))
        try:
            self._connection = await components.pool.acquire(head.address)
        except ServerError as error:
            self._avoid.add(head.id)
            if error.failure.kind is not TUNNEL_UNAVAILABLE:
                components.load.suspect(head.id, error.failure.reason)
            return NotRun(error.failure.reason)
        exchange = context.exchange
        context.sends += 1
        self.is_sent = True
        components.server_limits.take(head.id)
        header = components.dialect.build_header(
            exchange.raw_headers,
            exchange.body,
            context.deadline - trio.current_time(),
            head.id,
            context.organisation,
            context.priority,
            hops,
            None if last_id is None else b"%d" % last_id,
        )
        try:
            await self._connection.send(exchange.method, exchange.target, header, exchange.body)
        except ServerError as error:
            return self._break(error)
        self.detector = StallDetector(self.path, components, context, head)
        return None

    async def receive(self, last_id: int | None):
        """Return what arrives next; nothing is lost if this is cancelled.

        Bytes that complete no new event are no progress: a server that has stalled may still send
        some now and then.

        :param last_id: id of the last event that the caller has
        :returns: :class:`Received`, :class:`Ended`, ``Answered``, ``NotRun`` or ``OutcomeUnknown``
        """
        try:
            if self.response is None:
                return await self._receive_head()
            if self._is_rejected:
                return await self._receive_rejection()
            return await self._receive_events(last_id)
        except ServerError as error:
            return self._break(error)

    def _break(self, error: ServerError) -> OutcomeUnknown:
        self._avoid.add(self.head_id)
        self.is_broken = True
        return OutcomeUnknown(error.failure.reason)

    async def _receive_head(self):
        response = await self._connection.receive_head()
        dialect = self._components.dialect
        headers = dict(response.headers)
        if not dialect.matches_request(headers, self._context.info.id, self._connection.is_reused):
            return OutcomeUnknown("response carries the id of another request")
        self._components.observe_server(self.head_id, response.status_code, headers)
        self.response = response
        status = response.status_code
        self._is_rejected = (
            status != 200 or dialect.is_not_run(status, headers) or not dialect.is_signed(headers)
        )
        return Received([])

    async def _receive_rejection(self):
        dialect = self._components.dialect
        status, headers = self.response.status_code, dict(self.response.headers)
        size = sum(map(len, self._rejected_body))
        while (data := await self._connection.receive_data()) is not None:
            self._rejected_body.append(data)
            size += len(data)
            if size > _MAX_BODY_BYTES:
                self.is_broken = True
                return OutcomeUnknown(f"the response body exceeds {_MAX_BODY_BYTES} bytes")
        if dialect.is_not_run(status, headers):
            self._is_reusable = True
            self.avoid_address(dialect.read_faulty_server(headers))
            return NotRun(self._describe_refusal(headers))
        if self._context.exchange.started or status in (200, 408, 421, 429, 503):
            self._avoid.add(self.head_id)
            return OutcomeUnknown(self._describe_refusal(headers))
        self._is_reusable = True
        header = dialect.filter_response(self.response.headers.raw_items())
        return Answered(status, header, b"".join(self._rejected_body))

    def _describe_refusal(self, headers) -> str:
        status = self.response.status_code
        kind = self._components.dialect.describe_refusal(status, headers)
        return f"server answered with status {status}: {kind}"

    async def _receive_events(self, last_id: int | None):
        splitter = self._splitter
        while (data := await self._connection.receive_data()) is not None:
            received = _select_new_events(splitter.feed(data), last_id)
            if received.fault is not None:
                self._avoid.add(self.head_id)
            if received.events or received.fault is not None:
                return received
            if splitter.partial_bytes > _MAX_EVENT_BYTES:
                self._avoid.add(self.head_id)
                fault = f"stream has an event of over {_MAX_EVENT_BYTES} bytes"
                return Received([], last_id, fault)
        # Without a length or chunks, the end of the connection alone tells no end of a stream.
        has_ended = self.events or (self._context.exchange.started and self._is_framed())
        if splitter.has_partial_event or not has_ended:
            self.is_broken = True
            return OutcomeUnknown("stream ended before its first event or within an event")
        self._is_reusable = True
        return Ended()

    def _is_framed(self) -> bool:
        names = {name for name, _ in self.response.headers}
        return b"content-length" in names or b"transfer-encoding" in names

    def record_events(self, count: int, now: float) -> None:
        """Record that events of this attempt are relayed.

        :param now: time in seconds
        """
        self.events += count
        self._suspect_attempt.record_events(count)
        self._components.activity.record(self.head_id, now)
        self.detector.prefilling = False

    async def report_failure(self) -> None:
        """Report a broken connection to the head, unless the attempt had made progress on it."""
        if self.events < FIRST_EVENTS and self.head is not None:
            crash_attribution = self._components.crash_attribution
            await crash_attribution.report_failure(self.head, self._context.info.id)

    def avoid_address(self, address: str | None) -> None:
        """Avoid the member at an address, for all requests of this node for a while.

        :param address: host:port, None for the head, which is full or draining
        """
        if address is None:
            self._avoid.add(self.head_id)
            return
        entries = self._components.view.servers
        for member in self.path.members:
            entry = entries.get(member.server)
            if entry is not None and f"{entry.host}:{entry.port}" == address:
                self._components.load.suspect(entry.id, "at fault for a failed or stalled attempt")
                self._avoid.add(entry.id)

    def close(self) -> None:
        """Close or release the connection, and stop counting the attempt; may be repeated."""
        if self._is_closed:
            return
        self._is_closed = True
        components = self._components
        if self._connection is not None:
            if self._is_reusable:
                components.pool.release(self._connection)
            else:
                self._connection.close()
        self._suspect_attempt.end()
        components.activity.end(self.head_id)
        components.load.remove(self.path.members, self._tokens)
        components.signal_released_capacity()


def _select_new_events(events, last_id: int | None) -> Received:
    """Return the events that the caller has not received, up to the first that is at fault."""
    new_events = []
    for event in events:
        event_id = read_event_id(event)
        if event_id is None:
            return Received(new_events, last_id, "stream has an event without an id")
        if last_id is not None:
            if event_id <= last_id:
                continue
            if event_id != last_id + 1:
                fault = f"expected event {last_id + 1}, got event {event_id}"
                return Received(new_events, last_id, fault)
        last_id = event_id
        new_events.append(event)
    return Received(new_events, last_id)
