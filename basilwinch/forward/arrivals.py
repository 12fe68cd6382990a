"""Requests that arrive before the first view of the node, held until it is there."""

import structlog
import trio

__all__ = ["ArrivalHold"]

# Longest wait for the first view. Its read takes 0.05 to 0.39 s when a whole fleet starts, and
# callers send a refused request to another node, so a longer wait helps them less than a refusal.
_MAX_HOLD_S = 1.0
# Of the time that a caller waits for its response; the rest is left to handle the request.
_MAX_DEADLINE_SHARE = 0.5
# A node got 7 requests before its first view when 72 nodes started under load.
_MAX_HELD_REQUESTS = 256
# Four bodies of the default maximum size; the smallest VMs have 152 MB.
_MAX_HELD_BODY_BYTES = 16 << 20
# Held requests go on at this interval, as the load of the servers is not known yet, but all of them
# within the maximum.
_RELEASE_INTERVAL_S = 0.01
_MAX_RELEASE_S = 0.25


class ArrivalHold:
    """Holds requests until the first view is complete, within limits of time, number and size.

    :param first_read: :class:`~basilwinch.view.first_read.FirstRead`
    :param rng: random numbers, so that nodes that start together do not go on at the same moments
    :param count: function of an outcome, for the metrics
    """

    __slots__ = (
        "_first_read",
        "_rng",
        "_count",
        "_requests",
        "_body_bytes",
        "_is_stopping",
        "_released",
        "_release_at",
        "_release_interval_s",
        "_log",
    )

    def __init__(self, first_read, rng, count):
        self._first_read = first_read
        self._rng = rng
        self._count = count
        self._requests = 0
        self._body_bytes = 0
        self._is_stopping = False
        self._released = False
        self._release_at = float("-inf")
        self._release_interval_s = 0.0
        self._log = structlog.get_logger("request")

    def stop(self) -> None:
        """Hold no more requests, as the node drains; those that are held get today's refusal."""
        self._is_stopping = True
        self._first_read.fail()

    def find_limit(self, arrived_at: float, deadline_s: float | None, body_bytes: int) -> float:
        """Return the time until which a request may be held; that of its arrival if it may not be.

        :param arrived_at: time of its arrival, in seconds
        :param deadline_s: seconds that its caller waits for the response, None if not known
        :param body_bytes: size of its body
        """
        if not self._first_read.is_pending or self._is_stopping:
            return arrived_at
        if self._requests >= _MAX_HELD_REQUESTS:
            return arrived_at
        if self._body_bytes + body_bytes > _MAX_HELD_BODY_BYTES:
            return arrived_at
        hold_s = _MAX_HOLD_S
        if deadline_s is not None:
            hold_s = min(hold_s, deadline_s * _MAX_DEADLINE_SHARE)
        return arrived_at + hold_s

    async def hold(self, info, arrived_at: float, body_bytes: int) -> bool:
        """Hold a request; return whether it was, so that it is to be routed again.

        :param info: :class:`~basilwinch.forward.message.CallerRequest`
        :param arrived_at: time of its arrival, in seconds
        :param body_bytes: size of its body
        """
        until = self.find_limit(arrived_at, info.deadline_s, body_bytes)
        if until <= arrived_at:
            if self._first_read.is_pending:
                self._record(info, "not_held", arrived_at)
            return False
        self._requests += 1
        self._body_bytes += body_bytes
        outcome = "gone"
        try:
            outcome = await self._wait(until)
        finally:
            self._requests -= 1
            self._body_bytes -= body_bytes
            self._record(info, outcome, arrived_at)
        return True

    async def _wait(self, until: float) -> str:
        """Wait for the first view and for the turn of the request; return the outcome."""
        with trio.move_on_at(until) as scope:
            await self._first_read.wait()
        if scope.cancelled_caught:
            return "time_out"
        if self._is_stopping:
            return "draining"
        if not self._first_read.is_complete:
            return "read_failed"
        await trio.sleep_until(min(until, self._choose_release(trio.current_time())))
        return "released"

    def _choose_release(self, now: float) -> float:
        """Return the time at which the next held request goes on.

        :param now: current time, in seconds
        """
        if not self._released:
            self._released = True
            self._release_interval_s = min(_RELEASE_INTERVAL_S, _MAX_RELEASE_S / self._requests)
            self._release_at = now - self._release_interval_s * self._rng.random()
        self._release_at = max(now, self._release_at + self._release_interval_s)
        return self._release_at

    def _record(self, info, outcome: str, arrived_at: float) -> None:
        self._count(outcome)
        self._log.info(
            "request held before the first view",
            request=info.id.decode("latin-1"),
            outcome=outcome,
            held_ms=round((trio.current_time() - arrived_at) * 1000, 1),
            held_requests=self._requests,
        )
