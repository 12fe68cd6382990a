"""Calls to plain services, with retries of idempotent ones."""

from basilwinch.service.dispatcher import ServiceDispatcher

__all__ = ["ServiceDispatcher"]
