"""Clients of backend servers: model engines and plain services."""

from basilwinch.server.call import (
    EngineCall,
    EngineClient,
    OrderKind,
    ServerOrder,
    ServerOrderReply,
    ServiceCall,
    ServiceClient,
    ServiceReply,
)
from basilwinch.server.engine import HttpEngineClient
from basilwinch.server.plain import HttpServiceClient

__all__ = [
    "EngineCall",
    "EngineClient",
    "HttpEngineClient",
    "HttpServiceClient",
    "OrderKind",
    "ServerOrder",
    "ServerOrderReply",
    "ServiceCall",
    "ServiceClient",
    "ServiceReply",
]
