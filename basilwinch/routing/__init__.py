"""Selection of a chain of servers for each request."""

from basilwinch.routing.request import RouteChoice, RouteRequest, RoutingConfig
from basilwinch.routing.router import ChainRouter

__all__ = ["ChainRouter", "RouteChoice", "RouteRequest", "RoutingConfig"]
