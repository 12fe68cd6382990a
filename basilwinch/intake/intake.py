"""Which bodies and connections of callers a process keeps when its budget runs short."""

from basilwinch.intake.body import Body, Cause
from basilwinch.intake.budget import IntakeBudget

__all__ = ["Intake"]

# A body without a new byte for this long counts as stalled. Senders on a working link pause for a
# lost packet at most, which is sent again after 0.2 s.
_STALL_S = 0.5
# Bodies up to this size may also use the last part of the budget, so that ordinary requests are
# served while large bodies fill the rest.
_SMALL_BODY_BYTES = 65536
_LARGE_BODY_SHARE = 0.875
# The system holds at most this much of a body on its way to a server; twice the send buffer of
# ``wire/client.py``, as the system doubles it.
_SEND_BUFFER_BYTES = 262144
# The budget of bodies shrinks when the rest of the process needs more than this part of the memory
# leaves for it.
_USABLE_MEMORY_SHARE = 0.9
_MIN_BODY_SHARE = 0.25  # of the budget of bodies, which stays whatever else the process holds
_REPORT_INTERVAL_S = 1.0  # between reports of one cause


class Intake:
    """Keeps the account of the bodies and connections of all callers of a listener.

    Unfinished bodies that have stalled are dropped first, then the largest unfinished ones. Bodies
    that have been received completely are never dropped. Connections that wait for a request are
    closed in the order in which they began to wait.

    :param budget: :class:`~basilwinch.intake.budget.IntakeBudget`
    :param on_refusal: function that is called with the :class:`~basilwinch.intake.body.Cause` of
        each refusal
    :param on_report: function of a cause and a number of refusals, called at most once in a second
        for each cause
    """

    __slots__ = (
        "budget",
        "_on_refusal",
        "_on_report",
        "_body_limit",
        "_unfinished",
        "_connections",
        "_waiting",
        "_reports",
        "held_bytes",
        "is_short",
    )

    def __init__(self, budget: IntakeBudget, on_refusal=None, on_report=None):
        self.budget = budget
        self._on_refusal = on_refusal or (lambda cause: None)
        self._on_report = on_report or (lambda cause, count: None)
        self._body_limit = budget.body_bytes
        self._unfinished: dict[Body, None] = {}
        self._connections: set = set()
        # Connections that wait for a request, those that have waited longest first.
        self._waiting: dict = {}
        # By cause: time of the next report in seconds, and refusals that have not been reported.
        self._reports: dict[Cause, tuple[float, int]] = {}
        #: Bytes of all bodies, those of complete requests and of copies included.
        self.held_bytes = 0
        #: Whether descriptors ran short since this was last set to False.
        self.is_short = False

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def is_full(self) -> bool:
        """Whether a further connection takes the place of another one, or is refused."""
        return len(self._connections) >= self.budget.connections

    def admit(self, connection, descriptor: int, now: float) -> bool:
        """Add a connection that waits for a request; return False if it must be closed.

        Other connections may be closed for it, by their method ``evict``.

        :param descriptor: its file descriptor. The system gives out the lowest free one, so at
            least so many others are open
        :param now: current time, in seconds
        """
        if self._lacks_place(descriptor):
            self.is_short = self.is_short or descriptor >= self.budget.descriptors
            if not self._waiting:
                self.refuse(Cause.CONNECTION_REFUSED, now)
                return False
            oldest = next(iter(self._waiting))
            self.remove(oldest)
            self.refuse(Cause.CONNECTION_EVICTED, now)
            oldest.evict()
        self._connections.add(connection)
        self._waiting[connection] = None
        return True

    def _lacks_place(self, descriptor: int) -> bool:
        return self.is_full or descriptor >= self.budget.descriptors

    def mark_waiting(self, connection) -> None:
        """Record that a connection waits for its next request."""
        if connection in self._connections:
            self._waiting[connection] = None

    def mark_active(self, connection) -> None:
        """Record that a connection has received the head of a request."""
        self._waiting.pop(connection, None)

    def remove(self, connection) -> None:
        """Remove a connection that ends."""
        self._connections.discard(connection)
        self._waiting.pop(connection, None)

    def open_body(self, now: float, on_drop=lambda: None) -> Body:
        """Return a new body.

        :param now: current time, in seconds
        :param on_drop: function that is called if the body is dropped before it is complete
        """
        body = Body(now, on_drop)
        self._unfinished[body] = None
        return body

    def charge(self, body: Body, now: float) -> bool:
        """Charge what a body has grown by; return False if it has been dropped.

        :param now: current time, in seconds
        """
        if body.dropped is not None:
            return False
        growth = len(body.buffer) - body.charged
        if growth <= 0:
            return True
        body.progress_at = now
        body.charged += growth
        self.held_bytes += growth
        while self._exceeds_limit(body):
            victim, cause = self._choose_victim(body, now)
            self._drop(victim, cause, now)
            if victim is body:
                return False
        return True

    def _exceeds_limit(self, body: Body) -> bool:
        # A single body is bounded by the limits of the configuration alone.
        if self.held_bytes == body.charged:
            return False
        share = 1.0 if body.charged <= _SMALL_BODY_BYTES else _LARGE_BODY_SHARE
        return self.held_bytes > self._body_limit * share

    def _choose_victim(self, body: Body, now: float) -> tuple[Body, Cause]:
        """Return the body to drop, and why; ``body`` itself if there is no better one."""
        stalled = [
            other
            for other in self._unfinished
            if other.charged and now - other.progress_at >= _STALL_S
        ]
        if stalled:
            return max(stalled, key=_read_charge), Cause.BODY_STALLED
        largest = max(self._unfinished, key=_read_charge)
        if largest is body and len(self._unfinished) == 1:
            return body, Cause.BODY_MEMORY
        return largest, Cause.BODY_LARGEST

    def _drop(self, body: Body, cause: Cause, now: float) -> None:
        body.dropped = cause
        self.close(body)
        self.refuse(cause, now)
        body.on_drop()

    def seal(self, body: Body) -> None:
        """Record that a body has been received completely; it is not dropped any more."""
        self._unfinished.pop(body, None)

    def complete(self, body: Body) -> bytes:
        """Return a whole body, which counts until it is closed."""
        self.seal(body)
        data = bytes(body.buffer)
        body.buffer = bytearray()
        copy_bytes = min(len(data), _SEND_BUFFER_BYTES)
        body.charged += copy_bytes
        self.held_bytes += copy_bytes
        return data

    def close(self, body: Body) -> None:
        """Release a body; may be called more than once."""
        self._unfinished.pop(body, None)
        self.held_bytes -= body.charged
        body.charged = 0
        body.buffer = bytearray()

    def adapt(self, resident_bytes: int) -> None:
        """Adapt the budget of bodies to the memory that the process holds.

        :param resident_bytes: resident memory of the process
        """
        if self.budget.memory_bytes is None:
            return
        other_bytes = resident_bytes - self.held_bytes
        free = self.budget.memory_bytes * _USABLE_MEMORY_SHARE - other_bytes
        least = self.budget.body_bytes * _MIN_BODY_SHARE
        self._body_limit = min(max(free, least), self.budget.body_bytes)

    def refuse(self, cause: Cause, now: float) -> None:
        """Count a refusal, and report it unless its cause was reported within a second.

        :param now: current time, in seconds
        """
        self._on_refusal(cause)
        next_at, count = self._reports.get(cause, (now, 0))
        self._reports[cause] = (next_at, count + 1)
        self._report(cause, now)

    def report_due(self, now: float) -> None:
        """Report refusals that have not been reported; call it once in a second.

        :param now: current time, in seconds
        """
        for cause in self._reports:
            self._report(cause, now)

    def _report(self, cause: Cause, now: float) -> None:
        next_at, count = self._reports[cause]
        if count and now >= next_at:
            self._reports[cause] = (now + _REPORT_INTERVAL_S, 0)
            self._on_report(cause, count)


def _read_charge(body: Body) -> int:
    return body.charged
