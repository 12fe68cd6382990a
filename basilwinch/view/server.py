"""A backend server as it has registered itself."""

from basilwinch.record import Record

__all__ = ["ServerEntry"]


class ServerEntry(Record):
    """A registered backend server.

    :param id: id of this start of the server
    :param service: name of its service
    :param host: IP address
    :param port: port
    :param zone: availability zone
    :param slots: requests that it runs at once
    :param leaving: whether it has said that it leaves
    :param kind: kind of its accelerator, empty for a plain server
    :param layers: pair of first layer and end of the layers that it holds, or None
    :param born_ms: Unix millisecond of its start
    :param orders: number of orders it had accepted
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
        "orders",
    )

    @property
    def address(self) -> tuple[str, int]:
        """Address as a pair."""
        return (self.host, self.port)
