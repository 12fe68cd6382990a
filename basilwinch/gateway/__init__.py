"""HTTP gateway for callers and operators."""

from basilwinch.gateway.application import Gateway, GatewayConfig, NodeView
from basilwinch.gateway.chat import ChatHandler
from basilwinch.gateway.identity import RequestIds
from basilwinch.gateway.metrics import GatewayMetrics
from basilwinch.gateway.plain import PlainHandler

__all__ = [
    "ChatHandler",
    "Gateway",
    "GatewayConfig",
    "GatewayMetrics",
    "NodeView",
    "PlainHandler",
    "RequestIds",
]
