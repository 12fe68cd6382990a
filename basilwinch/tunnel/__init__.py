"""Connections to servers through another node, for nodes that have lost their links to servers."""

from basilwinch.tunnel.carriers import Carriers, choose_zone_order
from basilwinch.tunnel.connector import ServerConnector
from basilwinch.tunnel.listener import TunnelListener
from basilwinch.tunnel.monitor import ReachabilityMonitor
from basilwinch.tunnel.reachability import Reachability

__all__ = [
    "Carriers",
    "Reachability",
    "ReachabilityMonitor",
    "ServerConnector",
    "TunnelListener",
    "choose_zone_order",
]
