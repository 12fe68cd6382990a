"""Configuration of structured logging."""

import logging
import sys

import structlog

__all__ = ["REQUEST_END_EVENTS", "configure_logs"]

# Events of lines that tell how a request ended; an output with a limited rate writes them first.
REQUEST_END_EVENTS = frozenset(
    ("request ended", "request rejected", "request rejected, node is stopping")
)


def configure_logs(style: str = "json", level: str = "info", stream=None) -> None:
    """Configure structlog for the process.

    :param style: ``json`` or ``console``
    :param level: name of the lowest level to write
    :param stream: text stream or :class:`~basilwinch.observability.output.BoundedOutput` to write
        to, standard error by default
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
            _LineRenderer(renderer),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=_LineLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )


class _LineRenderer:
    """Processor that renders a line, and tells the logger whether it ends a request."""

    __slots__ = ("_render",)

    def __init__(self, render):
        self._render = render

    def __call__(self, logger, method_name, event_dict):
        ends_request = event_dict["event"] in REQUEST_END_EVENTS
        text = self._render(logger, method_name, event_dict)
        return (text,), {"ends_request": ends_request}


class _LineLoggerFactory:
    """Creates loggers of one stream."""

    __slots__ = ("_stream",)

    def __init__(self, stream):
        self._stream = stream

    def __call__(self, *args):
        return _LineLogger(self._stream)


class _LineLogger:
    """Writes lines to a stream, and those that end a request by its method for them, if any."""

    __slots__ = ("_write", "_write_request_end", "_flush")

    def __init__(self, stream):
        self._write = stream.write
        self._write_request_end = getattr(stream, "write_request_end", stream.write)
        self._flush = stream.flush

    def msg(self, text: str, ends_request: bool) -> None:
        (self._write_request_end if ends_request else self._write)(text + "\n")
        self._flush()

    debug = info = warning = error = critical = exception = log = msg
