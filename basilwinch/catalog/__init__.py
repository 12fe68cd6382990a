"""Types of the state in effect: models, servers, services and organisations."""

from basilwinch.catalog.catalog import Catalog
from basilwinch.catalog.entries import (
    Adapter,
    Holding,
    Model,
    Organisation,
    Server,
    ServerState,
    Service,
    ServiceKind,
    Version,
)

__all__ = [
    "Adapter",
    "Catalog",
    "Holding",
    "Model",
    "Organisation",
    "Server",
    "ServerState",
    "Service",
    "ServiceKind",
    "Version",
]
