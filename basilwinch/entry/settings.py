"""Settings of an entry node."""

from basilwinch.record import Record

__all__ = ["Address", "Bounds", "EntrySettings"]


class Address(Record):
    """An IP address and a port."""

    __slots__ = ("host", "port")

    def __str__(self):
        return f"{self.host}:{self.port}"


class Bounds(Record):
    """Time limits and budgets that the operators guarantee.

    :param grace_s: time between the signal to stop and the kill, in seconds
    :param revoke_s: maximum time for which a revoked key may still be accepted, in seconds
    :param revoke_closed: whether keys are refused while the view is too old to confirm them
    :param retry_ratio: retries allowed for each request, over all nodes
    :param retry_window_s: length of the sliding window of the retry budget, in seconds
    :param retry_slack: further retries allowed in a window, over all nodes
    :param config_apply_s: time after which a new configuration must be in force, in seconds
    :param drain_s: time after which a server that is leaving must get no more requests, in seconds
    :param stable_s: time without disturbance after which the bounds hold again, in seconds
    :param heartbeat_s: interval at which servers renew their entries in the store, in seconds
    """

    __slots__ = (
        "grace_s",
        "revoke_s",
        "revoke_closed",
        "retry_ratio",
        "retry_window_s",
        "retry_slack",
        "config_apply_s",
        "drain_s",
        "stable_s",
        "heartbeat_s",
    )


class EntrySettings(Record):
    """Settings that a node reads at its start.

    :param name: name of the node
    :param zone: availability zone of the node
    :param ip: IP address of the node
    :param front: address for callers
    :param ready: address of the readiness check
    :param metrics: address of the metrics
    :param peer_port: UDP port of load reports and TCP port of tunnels, the same on all nodes
    :param store: settings of the key-value store
    :param bounds: :class:`Bounds`
    :param memory_mb: memory of the VM for this process in MB, None if it is not named
    :param max_fds: file descriptors that the process may use, None if that is not named
    """

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
        "memory_mb",
        "max_fds",
    )
    _defaults = {"memory_mb": None, "max_fds": None}
