"""A request that needs capacity of a chain."""

import enum

__all__ = ["CapacityEntry", "EntryState"]


class EntryState(enum.Enum):
    """State of a request in a :class:`~basilwinch.capacity.queue.CapacityQueue`."""

    NEW = "new"
    ADMITTED = "admitted"  # it may try for a path at once
    QUEUED = "queued"
    GONE = "gone"


class CapacityEntry:
    """A request that needs capacity of a chain.

    ``state`` is an :class:`EntryState`. ``position`` is the number of requests ahead of it when it
    was queued, and ``joined_at`` the time of that in seconds. ``overtaken`` counts the requests
    behind it that started before it, and ``held_since`` is the time since which it has held these
    back, or None.

    :param organisation: name of the organisation, or None
    :param priority: 0 is the highest
    :param has_begun: whether its response has begun
    :param tokens: tokens of its KV cache
    :param leave_at: time at which its caller leaves, in seconds
    :param latest_start: time in seconds after which a start does not help its caller
    :param unmeasured_until: time in seconds until which it waits while no rate has been measured
    :param cross_zones: whether its path may cross between zones
    :param request: id of the request, for the log
    """

    __slots__ = (
        "organisation",
        "priority",
        "has_begun",
        "tokens",
        "leave_at",
        "latest_start",
        "unmeasured_until",
        "cross_zones",
        "request",
        "state",
        "position",
        "joined_at",
        "overtaken",
        "held_since",
    )

    def __init__(
        self,
        organisation,
        priority: int,
        has_begun: bool,
        tokens: int,
        leave_at: float,
        latest_start: float,
        unmeasured_until: float,
        cross_zones: bool = True,
        request: str = "",
    ):
        self.organisation = organisation
        self.priority = priority
        self.has_begun = has_begun
        self.tokens = max(tokens, 1)
        self.leave_at = leave_at
        self.latest_start = latest_start
        self.unmeasured_until = min(unmeasured_until, latest_start)
        self.cross_zones = cross_zones
        self.request = request
        self.state = EntryState.NEW
        self.position = 0
        self.joined_at = float("-inf")
        self.overtaken = 0
        self.held_since: float | None = None

    @property
    def urgency(self) -> tuple[bool, int]:
        """Key that orders requests by urgency, the most urgent first."""
        return (False, 0) if self.has_begun else (True, self.priority)
