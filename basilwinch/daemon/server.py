"""Serves the gateway with hypercorn and drains it before shutdown."""

import signal

import structlog
import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from basilwinch.gateway import Gateway

__all__ = ["drain_gateway", "serve_application", "wait_for_signal"]

KEEP_ALIVE_TIMEOUT_S = 30.0
DRAIN_POLL_INTERVAL_S = 0.05


async def serve_application(
    application,
    addresses: list[tuple[str, int]],
    shutdown: trio.Event,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application until ``shutdown`` is set.

    :param application: ASGI application
    :param addresses: (ip, port) pairs to listen on; with port 0 the system chooses a free port
    :param shutdown: the server stops when this event is set
    """
    config = Config()
    config.bind = [_format_address(ip, port) for ip, port in addresses]
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    # Short, because the gateway has been drained before ``shutdown`` is set.
    config.graceful_timeout = 1.0
    config.errorlog = None
    config.accesslog = None
    await serve(
        application, config, shutdown_trigger=shutdown.wait, task_status=task_status, mode="asgi"
    )


def _format_address(ip: str, port: int) -> str:
    return f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"


async def wait_for_signal() -> None:
    """Return at the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            structlog.get_logger("daemon").info(
                "stop signal received", signal=signal.Signals(number).name
            )
            return


async def drain_gateway(gateway: Gateway, delay_s: float, timeout_s: float) -> bool:
    """Drain the gateway before shutdown.

    The readiness check fails at once, so that the load balancer stops sending requests. New
    requests are refused after ``delay_s``.

    :param gateway: gateway to drain
    :param delay_s: time in seconds during which new requests are still accepted
    :param timeout_s: maximum wait for open requests in seconds, after ``delay_s``
    :returns: whether all requests ended in time
    """
    gateway.draining = True
    await trio.sleep(delay_s)
    gateway.refusing = True
    with trio.move_on_after(timeout_s):
        while gateway.open_requests:
            await trio.sleep(DRAIN_POLL_INTERVAL_S)
    return gateway.open_requests == 0
