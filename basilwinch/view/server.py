"""Entry of a registered backend server."""

from basilwinch.record import Record

__all__ = ["ServerEntry"]


class ServerEntry(Record):
    """A registered backend server, as it describes itself.

    :param id: id of the server, new at each of its starts
    :param service: name of its service
    :param host: IP address
    :param port: port
    :param zone: availability zone
    :param slots: maximum number of requests that it runs at the same time
    :param leaving: whether it is draining before it stops
    :param kind: kind of its accelerator, empty for a plain server
    :param layers: first layer and exclusive end of the layers that it holds, or None
    :param born_ms: Unix time of its start in milliseconds
    :param heartbeat_sequence: number of its heartbeats when the entry was written
    """

    __slots__ = (
        "id",
        "service",
        "host",
        "port",
        "zone",
        "slots",
        "leaving",
        "kind",
        "layers",
        "born_ms",
        "heartbeat_sequence",
    )

    @property
    def address(self) -> tuple[str, int]:
        """Host and port as a pair."""
        return (self.host, self.port)
