"""A node's view of the store: the current configuration and the registered servers."""

from basilwinch.view.configuration import (
    AcceleratorKind,
    CallerLimits,
    Configuration,
    Engine,
    Organisation,
    Route,
    RouteKind,
    Service,
)
from basilwinch.view.server import ServerEntry
from basilwinch.view.state import View, read_boot_clock

__all__ = [
    "AcceleratorKind",
    "CallerLimits",
    "Configuration",
    "Engine",
    "Organisation",
    "Route",
    "RouteKind",
    "ServerEntry",
    "Service",
    "View",
    "read_boot_clock",
]
