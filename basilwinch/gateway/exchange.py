"""One HTTP exchange over ASGI: reads the body within limits, sends whole or streamed responses."""

import json
import math

import trio

from basilwinch.exception import (
    BODY_TOO_LARGE,
    MALFORMED_REQUEST,
    REQUEST_TIMEOUT,
    CallerError,
    Failure,
)
from basilwinch.number import parse_digits

__all__ = ["CallerDisconnected", "Exchange", "render_error", "run_lifespan"]

_JSON_CONTENT_TYPE = (b"content-type", b"application/json; charset=utf-8")


class CallerDisconnected(Exception):  # noqa: N818 - ends the handler, is not an error
    """The caller closed its connection before the response ended."""


class Exchange:
    """An HTTP request and its response.

    :param scope: ASGI scope of type ``http``
    :param receive: ASGI receive
    :param send: ASGI send
    """

    __slots__ = (
        "method",
        "path",
        "query",
        "headers",
        "_receive",
        "_send",
        "started",
        "ended",
        "status",
    )

    def __init__(self, scope: dict, receive, send):
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.query: bytes = scope.get("query_string", b"")
        self.headers: list = list(scope["headers"])
        self._receive = receive
        self._send = send
        self.started = False
        self.ended = False
        self.status = 0

    def get_header(self, name: bytes) -> str:
        """Return the value of a header, or an empty string.

        :param name: name in lower case
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value.decode("latin-1")
        return ""

    async def read_body(self, limit: int, timeout_s: float) -> bytes:
        """Read the whole body.

        :param limit: maximum size of the body in bytes
        :param timeout_s: maximum time for the whole body in seconds
        :raises CallerError: ``BODY_TOO_LARGE`` or ``REQUEST_TIMEOUT``
        :raises CallerDisconnected: if the caller disconnects first
        """
        declared = self.get_header(b"content-length")
        if (parse_digits(declared) or 0) > limit:
            raise CallerError(
                BODY_TOO_LARGE.because(f"body of {declared} bytes; the limit is {limit} bytes")
            )
        try:
            with trio.fail_after(timeout_s):
                return await self._read_body_parts(limit)
        except trio.TooSlowError as error:
            reason = f"the body was not complete within {timeout_s:g} s"
            raise CallerError(REQUEST_TIMEOUT.because(reason)) from error

    async def _read_body_parts(self, limit: int) -> bytes:
        parts, size = [], 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnected
            parts.append(message.get("body", b""))
            size += len(parts[-1])
            if size > limit:
                raise CallerError(BODY_TOO_LARGE.because(f"body over the limit of {limit} bytes"))
            if not message.get("more_body", False):
                return b"".join(parts)

    async def read_json(self, limit: int, timeout_s: float) -> dict:
        """Read the body as a JSON object.

        :raises CallerError: those of :meth:`read_body`, and ``MALFORMED_REQUEST``
        """
        body = await self.read_body(limit, timeout_s)
        try:
            document = json.loads(body)
        except (ValueError, RecursionError) as error:
            raise CallerError(
                MALFORMED_REQUEST.because(f"the body is not valid JSON: {error}")
            ) from error
        if not isinstance(document, dict):
            raise CallerError(
                MALFORMED_REQUEST.because(
                    "expected a JSON object as the body, got another JSON value"
                )
            )
        return document

    async def wait_for_disconnect(self) -> None:
        """Return when the caller closes its connection before the response has ended.

        ASGI servers also report a disconnect after a complete response; that one is ignored.
        """
        while (await self._receive())["type"] != "http.disconnect":
            pass
        if self.ended:
            await trio.sleep_forever()

    async def start(self, status: int, headers) -> None:
        """Send the status line and headers."""
        self.started = True
        self.status = status
        await self._send(
            {"type": "http.response.start", "status": status, "headers": list(headers)}
        )

    async def write(self, part: bytes, more: bool = True) -> None:
        """Send a part of the response body.

        :param more: whether further parts follow
        """
        self.ended = not more
        await self._send({"type": "http.response.body", "body": part, "more_body": more})

    async def respond(self, status: int, body: bytes, headers=()) -> None:
        """Send a response with its whole body."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [length, *headers])
        await self.write(body, more=False)

    async def respond_json(self, status: int, document, headers=()) -> None:
        """Send a response with a JSON document as its body."""
        body = json.dumps(document, ensure_ascii=False).encode()
        await self.respond(status, body, [_JSON_CONTENT_TYPE, *headers])

    async def respond_failure(self, failure: Failure, headers=()) -> None:
        """Send a failure as a JSON document, with its HTTP status and ``Retry-After`` if known."""
        all_headers = list(headers)
        if failure.retry_after is not None:
            retry_after_s = max(1, math.ceil(failure.retry_after))
            all_headers.append((b"retry-after", str(retry_after_s).encode()))
        await self.respond_json(failure.kind.status, render_error(failure), all_headers)


def render_error(failure: Failure) -> dict:
    """Return the JSON document of a failure, in the form of OpenAI's error objects.

    :param failure: the failure to render
    """
    kind = "invalid_request_error" if failure.kind.status < 500 else "server_error"
    return {"error": {"type": kind, "retry_after": None, **failure.to_dict()}}


async def run_lifespan(receive, send) -> None:
    """Answer the events of an ASGI lifespan scope; there is nothing to start or stop."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
