"""Plain services: choice of a server and repetition of idempotent calls."""

from basilwinch.service.dispatcher import ServiceDispatcher

__all__ = ["ServiceDispatcher"]
