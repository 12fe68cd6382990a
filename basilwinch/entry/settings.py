"""Settings of an entry node."""

from basilwinch.record import Record

__all__ = ["Address", "Bounds", "EntrySettings"]


class Address(Record):
    """An IP address and a port."""

    __slots__ = ("host", "port")

    def __str__(self):
        return f"{self.host}:{self.port}"


class Bounds(Record):
    """Times and budgets that the operators promise to hold.

    :param grace_s: time between the request to stop and the kill
    :param revoke_s: longest time in which a withdrawn key may still be used
    :param revoke_closed: whether a key that can't be confirmed must be refused
    :param retry_ratio: repeats allowed for each request, over all nodes
    :param retry_window_s: window of the repeats
    :param retry_slack: repeats allowed in a window besides, over all nodes
    """

    __slots__ = (
        "grace_s",
        "revoke_s",
        "revoke_closed",
        "retry_ratio",
        "retry_window_s",
        "retry_slack",
    )


class EntrySettings(Record):
    """What a node knows of itself at its start."""

    __slots__ = (
        "name",
        "zone",
        "ip",
        "front",
        "ready",
        "metrics",
        "peer_port",
        "store",
        "bounds",
    )
