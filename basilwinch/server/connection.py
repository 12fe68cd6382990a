"""Single HTTP requests and the translation of connection errors."""

from contextlib import contextmanager

import httpcore

from basilwinch.catalog import Server
from basilwinch.exception import SERVER_UNREACHABLE, STREAM_LOST, ServerError

__all__ = ["send_request", "translate_errors"]

# Any other status is invalid in a final response (RFC 9110, section 15).
_FINAL_STATUSES = range(200, 600)
_NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
_REPLY_LOST_ERRORS = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError)


@contextmanager
def translate_errors(server: str):
    """Convert errors of httpcore to :class:`~basilwinch.exception.ServerError`.

    :param server: name of the server, for the failure reason
    :raises ServerError: ``SERVER_UNREACHABLE`` if nothing was sent, else ``STREAM_LOST``
    """
    try:
        yield
    except _NOT_SENT_ERRORS as error:
        reason = f"no connection to {server}: {type(error).__name__}"
        raise ServerError(SERVER_UNREACHABLE.because(reason, server=server)) from error
    except _REPLY_LOST_ERRORS as error:
        reason = f"connection to {server} failed: {type(error).__name__}"
        raise ServerError(STREAM_LOST.because(reason, server=server)) from error


async def send_request(
    pool: httpcore.AsyncConnectionPool,
    server: Server,
    method: str,
    path: str,
    headers=(),
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> httpcore.Response:
    """Send one request to a server and read the whole response.

    :param timeout_s: timeout of each read and write in seconds
    :raises ServerError: ``SERVER_UNREACHABLE`` if it was certainly not sent, else ``STREAM_LOST``,
        also if the status of the response is not that of a final one
    """
    timeouts = {"connect": 0.5, "read": timeout_s, "write": timeout_s, "pool": 1.0}
    with translate_errors(server.name):
        response = await pool.request(
            method,
            f"http://{server.address}{path}",
            headers=list(headers),
            content=body,
            extensions={"timeout": timeouts},
        )
    if response.status not in _FINAL_STATUSES:
        reason = f"{server.name} replied with the invalid status {response.status}"
        raise ServerError(STREAM_LOST.because(reason, server=server.name))
    return response
