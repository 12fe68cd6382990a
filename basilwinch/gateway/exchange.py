"""One HTTP exchange over ASGI: reading a body within limits, writing JSON, streaming events."""

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

__all__ = ["CallerGone", "Exchange", "error_document", "run_lifespan"]

_JSON = (b"content-type", b"application/json; charset=utf-8")


class CallerGone(Exception):  # noqa: N818 - a signal to unwind, not a failure to report
    """The caller closed its connection."""


class Exchange:
    """A request and the means to answer it.

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

    def header(self, name: bytes) -> str:
        """Return a header's value, or an empty text. ``name`` is in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value.decode("latin-1")
        return ""

    async def read_body(self, limit: int, timeout_s: float) -> bytes:
        """Read the whole body.

        :param limit: most bytes that are read
        :param timeout_s: longest time for the whole body in seconds
        :raises CallerError: ``BODY_TOO_LARGE`` or ``REQUEST_TIMEOUT``
        :raises CallerGone: if the caller leaves first
        """
        declared = self.header(b"content-length")
        if declared.isdigit() and int(declared) > limit:
            raise CallerError(BODY_TOO_LARGE.because(f"{declared} bytes, limit {limit}"))
        try:
            with trio.fail_after(timeout_s):
                return await self._read_parts(limit)
        except trio.TooSlowError as error:
            reason = f"the body did not end within {timeout_s:g} s"
            raise CallerError(REQUEST_TIMEOUT.because(reason)) from error

    async def _read_parts(self, limit: int) -> bytes:
        parts, size = [], 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerGone
            parts.append(message.get("body", b""))
            size += len(parts[-1])
            if size > limit:
                raise CallerError(BODY_TOO_LARGE.because(f"over {limit} bytes"))
            if not message.get("more_body", False):
                return b"".join(parts)

    async def read_json(self, limit: int, timeout_s: float) -> dict:
        """Read the body as a JSON object.

        :raises CallerError: as :meth:`read_body`, or ``MALFORMED_REQUEST``
        """
        body = await self.read_body(limit, timeout_s)
        try:
            document = json.loads(body)
        except (ValueError, RecursionError) as error:
            raise CallerError(MALFORMED_REQUEST.because(f"not JSON: {error}")) from error
        if not isinstance(document, dict):
            raise CallerError(MALFORMED_REQUEST.because("the body is not a JSON object"))
        return document

    async def wait_gone(self) -> None:
        """Return when the caller closes its connection before the response has ended.

        The server also reports a disconnect after a complete response; that one is ignored.
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
        """Send a part of the response body; ``more`` tells whether parts follow."""
        self.ended = not more
        await self._send({"type": "http.response.body", "body": part, "more_body": more})

    async def respond(self, status: int, body: bytes, headers=()) -> None:
        """Send a whole response."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [length, *headers])
        await self.write(body, more=False)

    async def respond_json(self, status: int, document, headers=()) -> None:
        """Send a JSON document."""
        body = json.dumps(document, ensure_ascii=False).encode()
        await self.respond(status, body, [_JSON, *headers])

    async def respond_failure(self, failure: Failure, headers=()) -> None:
        """Send a failure as a JSON document with its status and ``Retry-After``."""
        extra = list(headers)
        if failure.retry_after is not None:
            seconds = max(1, math.ceil(failure.retry_after))
            extra.append((b"retry-after", str(seconds).encode()))
        await self.respond_json(failure.kind.status, error_document(failure), extra)


def error_document(failure: Failure) -> dict:
    """Return the JSON document of a failure, in the form of OpenAI's error objects.

    :param failure: the failure to show
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
