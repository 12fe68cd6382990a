"""Division of the memory and the file descriptors of a process."""

from basilwinch.record import Record

__all__ = ["IntakeBudget"]

_MB = 1_000_000
_DEFAULT_MEMORY_MB = 256.0  # bodies get their share of this if the settings name no memory
# A node without load uses 43 MB; the view of the largest fleets, peers and logs add to that.
_OWN_MEMORY_BYTES = 64 * _MB
# Of the memory above that of the node itself. The rest is for the objects of connections and
# streams and for memory that the allocator can't reuse.
_BODY_SHARE = 0.375
_RECEIVE_SHARE = 0.25
# The receive buffers of this many connections may be full at once, as after a pause of the process.
_FULL_RECEIVE_BUFFERS = 1024
# Less than the minimum slows down large bodies: a window of 8 KB and a round trip of 1.5 ms give
# 5 MB/s. More than the maximum gains nothing at the 100 Mbit/s of the fastest VMs.
_MIN_RECEIVE_BUFFER_BYTES = 16384
_MAX_RECEIVE_BUFFER_BYTES = 65536
_MIN_SHARE_OF_MEMORY = 0.1  # for bodies, and for receive buffers, on a very small VM
_FILE_DESCRIPTORS = 200  # of the limit, for files; set by the operators of the platform
# Store, peers, listeners and the connections of the readiness and metrics listeners.
_OWN_DESCRIPTORS = 96
_NODE_SHARE = 0.25  # of the descriptors for sockets, for tunnels and reads of other nodes
_DESCRIPTORS_PER_CALLER = 2  # its connection, and one to the server of its request
_MIN_CONNECTIONS = 16
_MAX_TUNNELS = 256
_MAX_READER_CONNECTIONS = 512
_SERVICE_CONNECTIONS = 16
_SERVICE_BODY_BYTES = 65536


class IntakeBudget(Record):
    """What the connections of one kind of listener may hold.

    :param body_bytes: bytes of request bodies over all connections
    :param connections: maximum number of open connections
    :param receive_buffer_bytes: bytes that the system may receive for a connection before the
        process reads them, its overhead included
    :param descriptors: descriptors of the process above which no connection is accepted
    :param tunnels: maximum number of tunnels for other nodes, which have two descriptors each
    :param reader_connections: maximum number of connections of nodes that read through this one
    :param memory_bytes: memory of the process, None if the settings do not name it
    """

    __slots__ = (
        "body_bytes",
        "connections",
        "receive_buffer_bytes",
        "descriptors",
        "tunnels",
        "reader_connections",
        "memory_bytes",
    )
    _defaults = {
        "receive_buffer_bytes": _MAX_RECEIVE_BUFFER_BYTES,
        "descriptors": 1 << 30,
        "tunnels": _MAX_TUNNELS,
        "reader_connections": _MAX_READER_CONNECTIONS,
        "memory_bytes": None,
    }

    @classmethod
    def from_limits(
        cls, memory_mb: float | None, max_fds: int | None, process_fds: int
    ) -> "IntakeBudget":
        """Return the budget for callers of a process.

        :param memory_mb: memory of the process in MB, None if it is not known
        :param max_fds: descriptors that the process may use, None if that is not known
        :param process_fds: limit of descriptors that the system sets for the process

        >>> budget = IntakeBudget.from_limits(152, 1535, 20000)
        >>> budget.body_bytes, budget.connections, budget.receive_buffer_bytes
        (33000000, 452, 21484)
        """
        memory = (memory_mb or _DEFAULT_MEMORY_MB) * _MB
        least = memory * _MIN_SHARE_OF_MEMORY
        free = max(memory - _OWN_MEMORY_BYTES, 0)
        receive = max(free * _RECEIVE_SHARE, least)
        buffer_bytes = min(
            max(int(receive / _FULL_RECEIVE_BUFFERS), _MIN_RECEIVE_BUFFER_BYTES),
            _MAX_RECEIVE_BUFFER_BYTES,
        )
        limit = min(max_fds or process_fds, process_fds)
        sockets = max(limit - _FILE_DESCRIPTORS, 0)
        callers = (sockets * (1 - _NODE_SHARE) - _OWN_DESCRIPTORS) / _DESCRIPTORS_PER_CALLER
        connections = min(int(callers), int(receive / buffer_bytes))
        return cls(
            body_bytes=int(max(free * _BODY_SHARE, least)),
            connections=max(connections, _MIN_CONNECTIONS),
            receive_buffer_bytes=buffer_bytes,
            descriptors=max(sockets, _MIN_CONNECTIONS + _OWN_DESCRIPTORS),
            tunnels=min(limit // 16, _MAX_TUNNELS),
            reader_connections=min(limit // 8, _MAX_READER_CONNECTIONS),
            memory_bytes=None if memory_mb is None else int(memory),
        )

    def for_service_port(self) -> "IntakeBudget":
        """Return the budget of a listener for readiness checks or metrics, which need no bodies."""
        return IntakeBudget(
            _SERVICE_BODY_BYTES,
            _SERVICE_CONNECTIONS,
            _MIN_RECEIVE_BUFFER_BYTES,
            self.descriptors + _FILE_DESCRIPTORS // 4,
        )
