"""Calls to backend servers, and the interfaces of the clients that make them."""

import enum
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from basilwinch.catalog import Server
from basilwinch.pipeline import Chain, Stage, TokenFrame
from basilwinch.record import Record

__all__ = [
    "EngineCall",
    "EngineClient",
    "OrderKind",
    "ServerOrder",
    "ServerOrderReply",
    "ServiceCall",
    "ServiceClient",
    "ServiceReply",
]


class EngineCall(Record):
    """One attempt of a model request.

    :param request: id of the request
    :param attempt: number of the attempt, from 1
    :param chain: :class:`~basilwinch.pipeline.Chain` to run on
    :param prompt: prompt text
    :param max_tokens: largest number of tokens to generate, counted from position 0
    :param priority: larger is scheduled first in the engine's batch
    :param resume_from: position of the first token to send
    :param tokens: tokens already delivered, which the engine replays as a prefix when resuming
    :param deadline: seconds left, or None
    :param version: version of the weights, empty for the current one
    :param adapter: name of the adapter, empty for none
    :param cache_key: digest of the prompt prefix, for prefix-cache affinity
    """

    __slots__ = (
        "request",
        "attempt",
        "chain",
        "prompt",
        "max_tokens",
        "priority",
        "resume_from",
        "tokens",
        "deadline",
        "version",
        "adapter",
        "cache_key",
    )
    _defaults = {
        "priority": 0,
        "resume_from": 0,
        "tokens": (),
        "deadline": None,
        "version": "",
        "adapter": "",
        "cache_key": "",
    }

    @classmethod
    def from_json_dict(cls, fields: dict) -> "EngineCall":
        """Build a call from its JSON form.

        :raises TypeError, ValueError, KeyError: on a malformed call
        """
        chain = fields["chain"]
        stages = tuple(Stage(*stage) for stage in chain["stages"])
        rest = {"chain": Chain(chain["model"], stages), "tokens": tuple(fields.get("tokens", ()))}
        return cls(**(fields | rest))

    def to_json_dict(self) -> dict:
        """Return the JSON form that :meth:`from_json_dict` reads."""
        fields = self.to_dict()
        stages = [stage.to_list() for stage in self.chain.stages]
        fields["chain"] = {"model": self.chain.model, "stages": stages}
        return fields


class OrderKind(enum.StrEnum):
    """Kind of an order to a backend server."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class ServerOrder(Record):
    """An order to a backend server, such as to load a model; unrelated to callers' orders.

    :param kind: :class:`OrderKind`
    :param fence: fencing token; a server that checks it refuses one that is older than it has seen
    :param model: model to load or unload
    :param version: version of the weights
    :param adapter: name of the adapter, empty for none
    :param first: first layer
    :param end: layer after the last one
    """

    __slots__ = ("kind", "fence", "model", "version", "adapter", "first", "end")
    _defaults = {"model": "", "version": "", "adapter": "", "first": 0, "end": 0}


class ServerOrderReply(Record):
    """Answer to an order.

    :param accepted: whether the order was carried out
    :param holds: layers that the server holds now, as (model, version, first, end) tuples
    """

    __slots__ = ("accepted", "holds")
    _defaults = {"holds": ()}


class ServiceCall(Record):
    """A call to a plain service; ``headers`` is a tuple of (name, value) pairs of bytes."""

    __slots__ = ("method", "path", "headers", "body")
    _defaults = {"headers": (), "body": b""}


class ServiceReply(Record):
    """A reply of a plain service."""

    __slots__ = ("status", "headers", "body")
    _defaults = {"headers": (), "body": b""}


class EngineClient(Protocol):
    """Interface of the clients that run model requests on engines."""

    def open(self, call: EngineCall) -> AbstractAsyncContextManager[AsyncIterator[TokenFrame]]:
        """Open a stream of frames; leaving the context cancels it.

        :raises ServerError: with ``STAGE_DIED``, ``STREAM_LOST``, ``SERVER_REFUSED``,
            ``SERVER_LEAVING`` or ``SERVER_UNREACHABLE``
        """

    async def order(self, server: Server, order: ServerOrder) -> ServerOrderReply:
        """Send an order to a server.

        :raises ServerError: with ``FENCED``, ``SERVER_REFUSED`` or another failure that the server
            answered, or with a connection failure
        """


class ServiceClient(Protocol):
    """Interface of the clients that call plain services."""

    async def call(self, server: Server, call: ServiceCall) -> ServiceReply:
        """Send a call once, without retries.

        :raises ServerError: ``SERVER_UNREACHABLE`` if it was certainly not sent, else
            ``STREAM_LOST``
        """
