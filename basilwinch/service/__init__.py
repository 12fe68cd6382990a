"""Idempotent calls to plain services, with retries."""

from basilwinch.service.dispatcher import ServiceDispatcher

__all__ = ["ServiceDispatcher"]
