"""HTTP/1.1 over trio with h11: connections of callers and connections to servers."""

from basilwinch.wire.client import ServerConnection, connect
from basilwinch.wire.pool import ConnectionPool
from basilwinch.wire.server import CallerConnection, Exchange

__all__ = ["CallerConnection", "ConnectionPool", "Exchange", "ServerConnection", "connect"]
