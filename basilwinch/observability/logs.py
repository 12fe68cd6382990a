"""Configuration of structured logging."""

import logging
import sys

import structlog

__all__ = ["configure_logs"]


def configure_logs(style: str = "json", level: str = "info", stream=None) -> None:
    """Configure structlog for the process.

    :param style: ``json`` or ``console``
    :param level: name of the lowest level to write
    :param stream: text stream to write to, standard error by default
    """
    renderer = (
        structlog.processors.JSONRenderer(ensure_ascii=False)
        if style == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.WriteLoggerFactory(file=stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
