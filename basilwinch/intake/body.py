"""A request body that is being received or passed on."""

import enum

__all__ = ["Body", "Cause"]


class Cause(enum.StrEnum):
    """Why a client was refused, or its connection closed."""

    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    BODY_STALLED = "body_stalled"  # memory is short, and this body made no progress
    BODY_LARGEST = "body_largest"  # memory is short, and this was the largest unfinished body
    BODY_MEMORY = "body_memory"  # memory is short, and no unfinished body could be dropped
    HEAD_TOO_SLOW = "head_too_slow"
    CONNECTION_REFUSED = "connection_refused"
    CONNECTION_EVICTED = "connection_evicted"


class Body:
    """The bytes of a body, in one buffer.

    :param progress_at: time at which it last grew, in seconds
    :param on_drop: function that is called when the body has been dropped

    ``charged`` is what it counts in the budget, in bytes; ``dropped`` is the :class:`Cause` of its
    drop, or None.
    """

    __slots__ = ("buffer", "charged", "progress_at", "on_drop", "dropped")

    def __init__(self, progress_at: float, on_drop):
        self.buffer = bytearray()
        self.charged = 0
        self.progress_at = progress_at
        self.on_drop = on_drop
        self.dropped: Cause | None = None
