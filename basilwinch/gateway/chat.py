"""Handler of chat completion requests."""

from collections.abc import Callable

import trio

from basilwinch.admission import Admission, AdmitRequest
from basilwinch.catalog import Catalog, Organisation
from basilwinch.exception import (
    MODEL_NOT_ALLOWED,
    STREAM_LOST,
    UNKNOWN_MODEL,
    BasilwinchError,
    Failure,
)
from basilwinch.gateway.completion import ChunkWriter, CompletionRequest, render_completion
from basilwinch.gateway.exchange import Exchange
from basilwinch.gateway.metrics import GatewayMetrics
from basilwinch.pipeline import TokenFrame
from basilwinch.relay import ModelRequest, Relay

__all__ = ["ChatHandler"]

_EVENT_HEADERS = (
    (b"content-type", b"text/event-stream; charset=utf-8"),
    (b"cache-control", b"no-cache"),
)
# Estimates the number of prompt tokens that the response reports as usage.
ESTIMATED_CHARACTERS_PER_TOKEN = 4


class ChatHandler:
    """Admits chat requests, runs them through the relay and renders the responses.

    :param admission: admission control
    :param relay: relay that runs the admitted requests
    :param metrics: metrics of the gateway
    :param find_catalog: returns the catalog in effect
    """

    __slots__ = ("_admission", "_relay", "_metrics", "_find_catalog")

    def __init__(
        self,
        admission: Admission,
        relay: Relay,
        metrics: GatewayMetrics,
        find_catalog: Callable[[], Catalog],
    ):
        self._admission = admission
        self._relay = relay
        self._metrics = metrics
        self._find_catalog = find_catalog

    async def answer(
        self,
        exchange: Exchange,
        request_id: str,
        organisation: Organisation,
        document: dict,
        deadline_s: float,
    ) -> Failure | None:
        """Answer one request.

        :param deadline_s: time left for the whole response in seconds
        :returns: None once a response was sent, else the failure to respond with
        :raises CallerError: if the document is not valid
        """
        request = CompletionRequest.from_document(document)
        failure = self._check_model(request, organisation)
        if failure is not None:
            return failure
        admit = AdmitRequest(
            request_id, organisation.name, request.model, request.max_tokens, deadline_s
        )
        started = trio.current_time()
        async with self._admission.enter(admit) as ticket:
            if not ticket:
                return ticket
            remaining_s = deadline_s - (trio.current_time() - started)
            model_request = ModelRequest(
                request_id,
                organisation.name,
                request.model,
                request.prompt,
                request.max_tokens,
                organisation.priority,
                remaining_s,
                request.cache_key,
                request.adapter,
            )
            response = _Response(exchange, request_id, request, self._metrics, started)
            return await self._relay_tokens(model_request, ticket, response)

    def _check_model(
        self, request: CompletionRequest, organisation: Organisation
    ) -> Failure | None:
        catalog = self._find_catalog()
        if request.model not in catalog.models:
            return UNKNOWN_MODEL.because(
                f"no model {request.model!r} in the catalog", model=request.model
            )
        if request.adapter and request.adapter not in catalog.adapters:
            return UNKNOWN_MODEL.because(
                f"no adapter {request.adapter!r} in the catalog", model=request.model
            )
        if organisation.models and request.model not in organisation.models:
            return MODEL_NOT_ALLOWED.because(f"{organisation.name!r} may not use {request.model!r}")
        return None

    async def _relay_tokens(self, model_request, ticket, response: "_Response") -> Failure | None:
        try:
            async with self._relay.run(model_request) as frames:
                async for frame in frames:
                    ticket.count_tokens(1)
                    await response.add(frame)
        except BasilwinchError as error:
            return await response.fail(error.failure)
        return await response.end()


class _Response:
    """Sends the response of one request, token by token or as one document."""

    __slots__ = (
        "_exchange",
        "_id",
        "_request",
        "_metrics",
        "_last_frame_at",
        "_writer",
        "_token_texts",
        "_got_final_frame",
    )

    def __init__(self, exchange, request_id: str, request: CompletionRequest, metrics, started):
        self._exchange = exchange
        self._id = f"chatcmpl-{request_id}"
        self._request = request
        self._metrics = metrics
        #: Time of the last frame; before the first one, the start of the request.
        self._last_frame_at: float = started
        self._writer = ChunkWriter(self._id, request.model) if request.stream else None
        self._token_texts: list[str] = []
        self._got_final_frame = False

    async def add(self, frame: TokenFrame) -> None:
        """Add a token frame that the relay has checked."""
        now = trio.current_time()
        histogram = self._metrics.token_gap if self._token_texts else self._metrics.first_token
        histogram.observe(now - self._last_frame_at)
        self._metrics.tokens.inc()
        self._last_frame_at = now
        self._token_texts.append(frame.text)
        self._got_final_frame = frame.final
        if self._writer is None:
            return
        part = self._writer.render_token(frame.text)
        if not self._exchange.started:
            await self._exchange.start(200, _EVENT_HEADERS)
            part = self._writer.render_role() + part
        await self._exchange.write(part)

    async def fail(self, failure: Failure) -> Failure | None:
        """End an incomplete response with an error, so that it does not look complete.

        :returns: None if the error was sent as an event, else the failure to respond with
        """
        if not self._exchange.started:
            return failure
        await self._exchange.write(ChunkWriter.render_failure(failure), more=False)
        return None

    async def end(self) -> Failure | None:
        """End the response; without a final frame it fails with ``STREAM_LOST``."""
        if not self._got_final_frame:
            return await self.fail(STREAM_LOST.because("the stream ended without a final frame"))
        count = len(self._token_texts)
        reason = "length" if count >= self._request.max_tokens else "stop"
        prompt_tokens = max(1, len(self._request.prompt) // ESTIMATED_CHARACTERS_PER_TOKEN)
        if self._writer is None:
            text = "".join(self._token_texts)
            document = render_completion(
                self._id, self._request.model, text, reason, prompt_tokens, count
            )
            await self._exchange.respond_json(200, document)
            return None
        tail = self._writer.render_end(reason)
        if self._request.include_usage:
            tail += self._writer.render_usage(prompt_tokens, count)
        await self._exchange.write(tail + b"data: [DONE]\n\n", more=False)
        return None
