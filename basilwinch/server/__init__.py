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

__all__ = [
    "EngineCall",
    "EngineClient",
    "OrderKind",
    "ServerOrder",
    "ServerOrderReply",
    "ServiceCall",
    "ServiceClient",
    "ServiceReply",
]
