"""What a node believes: the configuration in force and the registered servers."""

from basilwinch.view.configuration import (
    CallerLimits,
    CardKind,
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
    "CallerLimits",
    "CardKind",
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
