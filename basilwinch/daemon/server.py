"""Serves the gateway with hypercorn and stops it without cutting a request."""

import signal

import structlog
import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from basilwinch.gateway import Gateway

__all__ = ["drain_gateway", "serve_application", "wait_for_signal"]

KEEP_ALIVE_S = 30.0
POLL_S = 0.05


async def serve_application(
    application,
    addresses: list[tuple[str, int]],
    shutdown: trio.Event,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application until ``shutdown`` is set.

    :param application: ASGI application
    :param addresses: (ip, port) pairs to listen on; port 0 takes a free one
    :param shutdown: event that stops the server
    """
    config = Config()
    config.bind = [_join_address(ip, port) for ip, port in addresses]
    config.keep_alive_timeout = KEEP_ALIVE_S
    # The gateway has waited for its streams before the server is told to stop.
    config.graceful_timeout = 1.0
    config.errorlog = None
    config.accesslog = None
    await serve(
        application, config, shutdown_trigger=shutdown.wait, task_status=task_status, mode="asgi"
    )


def _join_address(ip: str, port: int) -> str:
    return f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"


async def wait_for_signal() -> None:
    """Return at the first SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            structlog.get_logger("daemon").info("signal", signal=signal.Signals(number).name)
            return


async def drain_gateway(gateway: Gateway, delay_s: float, timeout_s: float) -> bool:
    """Turn the node unready, wait for the load balancer to notice, then for open requests.

    :param delay_s: time in seconds in which new requests are still taken
    :param timeout_s: longest wait for open requests in seconds
    :returns: whether all requests ended
    """
    gateway.draining = True
    await trio.sleep(delay_s)
    gateway.refusing = True
    with trio.move_on_after(timeout_s):
        while gateway.open_requests:
            await trio.sleep(POLL_S)
    return gateway.open_requests == 0
