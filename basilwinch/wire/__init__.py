"""HTTP/1.1 with trio and h11: connections from callers and to servers."""

from basilwinch.wire.client import (
    ServerConnection,
    connect,
    drop_unsent_on_close,
    is_open_and_silent,
    open_socket,
    set_socket_options,
)
from basilwinch.wire.pool import ConnectionPool
from basilwinch.wire.server import CallerConnection, Exchange

__all__ = [
    "CallerConnection",
    "ConnectionPool",
    "Exchange",
    "ServerConnection",
    "connect",
    "drop_unsent_on_close",
    "is_open_and_silent",
    "open_socket",
    "set_socket_options",
]
