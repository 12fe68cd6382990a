"""Client of the key-value service through the etcd v3 JSON gateway."""

import json
import math
import socket
import urllib.parse
from contextlib import AsyncExitStack, aclosing, asynccontextmanager

import httpcore
import trio

from basilwinch.exception import (
    HISTORY_COMPACTED,
    INVALID_SETTING,
    LEASE_LOST,
    PLATFORM_AMBIGUOUS,
    PLATFORM_REFUSED,
    PLATFORM_UNAVAILABLE,
    ConfigurationError,
    Failure,
    PlatformError,
)
from basilwinch.record import Record
from basilwinch.store.history import StoreHistory
from basilwinch.store.interface import (
    Compare,
    KeyValue,
    LeaseGrant,
    Page,
    Transaction,
)
from basilwinch.store.message import decode_events, decode_pair, encode, prefix_end

__all__ = ["EtcdConfig", "EtcdStore"]

# gRPC status codes in the error bodies of the gateway.
_GRPC_NOT_FOUND = 5
_GRPC_RESOURCE_EXHAUSTED = 8
_GRPC_OUT_OF_RANGE = 11
# INVALID_ARGUMENT, ALREADY_EXISTS, PERMISSION_DENIED, FAILED_PRECONDITION, UNIMPLEMENTED and
# UNAUTHENTICATED: the request was refused without effect.
_GRPC_REFUSED_CODES = {3, 6, 7, 9, 12, 16}
# An error with this message is sent before the request enters the Raft log, so a write that gets it
# had no effect. Other errors with the code "unavailable", such as "request timed out" and "leader
# changed", can be sent after it.
_NO_LEADER_MESSAGE = "etcdserver: no leader"
# A watch can be idle for hours, so only TCP keep-alive detects that its peer is gone. These values
# detect it after about 20 s.
_TCP_KEEPALIVE_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
]
_MAX_LINE_BYTES = 64_000_000


class EtcdConfig(Record):
    """Settings of the client.

    :param endpoints: tuple of base URLs such as ``http://10.0.0.1:2379``
    :param timeout_s: timeout of a call in seconds, including the time to connect
    """

    __slots__ = ("endpoints", "timeout_s")
    _defaults = {"timeout_s": 5.0}


class EtcdStore:
    """A :class:`~basilwinch.store.KeyValueStore` on the etcd v3 JSON gateway.

    A call is retried at the next endpoint only if its request was certainly not sent. Use the store
    as an async context manager, so that its connections are closed.

    :param config: :class:`EtcdConfig`
    """

    def __init__(self, config: EtcdConfig):
        self._endpoints = [endpoint.rstrip("/") for endpoint in config.endpoints]
        self._timeout_s = config.timeout_s
        self.history = StoreHistory()  # etcd names no era
        self._endpoint_index = 0
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=64, keepalive_expiry=30.0, socket_options=_TCP_KEEPALIVE_OPTIONS
        )

    @classmethod
    def from_config(cls, config: EtcdConfig) -> "EtcdStore":
        """Build a client from its settings.

        :raises ConfigurationError: with ``INVALID_SETTING`` if an endpoint is not a base URL, or
            if there is none
        """
        for endpoint in config.endpoints or ("",):
            parts = urllib.parse.urlsplit(endpoint)
            if parts.scheme not in ("http", "https") or not parts.hostname:
                reason = (
                    "expected one or more endpoints that are base URLs such as "
                    f"http://10.0.0.1:2379, got {endpoint!r}"
                )
                raise ConfigurationError(INVALID_SETTING.because(reason))
        return cls(config)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
            await self._pool.aclose()

    async def get(self, key: str) -> KeyValue | None:
        """Return a key with its value, or None if it does not exist."""
        reply = await self._call("/v3/kv/range", {"key": encode(key)}, writes=False)
        pairs = reply.get("kvs", ())
        return decode_pair(pairs[0]) if pairs else None

    async def scan(self, prefix: str, limit: int = 1000, after: str = "") -> Page:
        """Return keys with a prefix, in order, after the key ``after``."""
        start = max(prefix, after + "\0") if after else prefix
        fields = {
            "key": encode(start or "\0"),
            "range_end": encode(prefix_end(prefix)),
            "limit": str(limit),
            "sort_target": "KEY",
            "sort_order": "ASCEND",
        }
        reply = await self._call("/v3/kv/range", fields, writes=False)
        pairs = [decode_pair(pair) for pair in reply.get("kvs", ())]
        return Page(pairs, bool(reply.get("more", False)))

    async def transact(
        self, compares: list[Compare], puts: list[KeyValue], deletes: list[str] = ()
    ) -> Transaction:
        """Apply all changes if all conditions hold, else none."""
        conditions = [
            {
                "key": encode(compare.key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(compare.mod_revision),
            }
            for compare in compares
        ]
        changes = [{"request_delete_range": {"key": encode(key)}} for key in deletes]
        changes += [{"request_put": _encode_put(put)} for put in puts]
        fields = {"compare": conditions, "success": changes}
        reply = await self._call("/v3/kv/txn", fields, writes=bool(changes))
        succeeded = bool(reply.get("succeeded", False))
        return Transaction(succeeded, int(reply["header"]["revision"]))

    async def grant(self, ttl_s: float) -> LeaseGrant:
        """Grant a lease; its time to live is rounded up to whole seconds."""
        fields = {"TTL": str(math.ceil(ttl_s)), "ID": "0"}
        reply = await self._call("/v3/lease/grant", fields, writes=True)
        return LeaseGrant(int(reply["ID"]), float(reply["TTL"]))

    async def keep_alive(self, lease: int) -> LeaseGrant:
        """Renew a lease; raises ``PlatformError`` with ``LEASE_LOST`` if it has expired."""
        reply = await self._call("/v3/lease/keepalive", {"ID": str(lease)}, writes=True)
        ttl_s = float(reply.get("result", {}).get("TTL", 0))
        if ttl_s <= 0:
            raise PlatformError(LEASE_LOST.because(f"lease {lease} has expired"))
        return LeaseGrant(lease, ttl_s)

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)}, writes=True)

    @asynccontextmanager
    async def watch(self, prefix: str, from_revision: int = 0):
        """Watch keys with a prefix, starting at a revision (0 for new events only).

        Cancelling the wait for an event ends the watch.

        :raises PlatformError: with ``HISTORY_COMPACTED`` if requested events are compacted
        """
        request = {"key": encode(prefix or "\0"), "range_end": encode(prefix_end(prefix))}
        if from_revision:
            request["start_revision"] = str(from_revision)
        body = json.dumps({"create_request": request}).encode()
        url = self._endpoints[self._endpoint_index] + "/v3/watch"
        extensions = {"timeout": {"connect": self._timeout_s, "pool": self._timeout_s}}
        async with AsyncExitStack() as stack:
            try:
                with trio.fail_after(self._timeout_s):
                    stream = self._pool.stream(
                        "POST", url, headers=_HEADERS, content=body, extensions=extensions
                    )
                    response = await stack.enter_async_context(stream)
                    if response.status != 200:
                        raise PlatformError(
                            _classify_error_reply(
                                response.status, await _read_body(response), False
                            )
                        )
                    lines = await stack.enter_async_context(aclosing(_read_lines(response)))
                    _parse_watch_line(await anext(lines))
            except (*_TRANSPORT_ERRORS, trio.TooSlowError) as error:
                self._use_next_endpoint()
                raise PlatformError(PLATFORM_UNAVAILABLE.because(_describe_error(error))) from error
            yield await stack.enter_async_context(aclosing(_watch_events(lines)))

    async def _call(self, path: str, fields: dict, writes: bool) -> dict:
        body = json.dumps(fields).encode()
        sent = False

        async def trace(event: str, info: dict):
            nonlocal sent
            sent = sent or event.endswith("send_request_headers.started")

        async def post_request():
            url = self._endpoints[self._endpoint_index] + path
            async with self._pool.stream(
                "POST", url, headers=_HEADERS, content=body, extensions={"trace": trace}
            ) as response:
                return response.status, await _read_body(response)

        try:
            with trio.fail_after(self._timeout_s):
                for endpoints_left in range(len(self._endpoints), 0, -1):
                    try:
                        status, content = await post_request()
                        break
                    except _TRANSPORT_ERRORS:
                        self._use_next_endpoint()
                        if sent or endpoints_left == 1:
                            raise
        except (*_TRANSPORT_ERRORS, trio.TooSlowError) as error:
            self._use_next_endpoint()
            kind = PLATFORM_AMBIGUOUS if sent and writes else PLATFORM_UNAVAILABLE
            raise PlatformError(kind.because(_describe_error(error))) from error
        if status != 200:
            raise PlatformError(_classify_error_reply(status, content, writes))
        return _parse_object(content, writes)

    def _use_next_endpoint(self):
        self._endpoint_index = (self._endpoint_index + 1) % len(self._endpoints)


_HEADERS = [(b"Content-Type", b"application/json")]
_TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    OSError,
)


def _describe_error(error: BaseException) -> str:
    if isinstance(error, trio.TooSlowError):
        return "no answer from the store within the timeout"
    return f"{type(error).__name__}: {error}"


def _encode_put(put: KeyValue) -> dict:
    fields = {"key": encode(put.key), "value": encode(put.value)}
    if put.lease:
        fields["lease"] = str(put.lease)
    return fields


def _classify_error_reply(status: int, content: bytes, writes: bool) -> Failure:
    """Return the failure for an error reply; a write is ambiguous unless it certainly failed."""
    try:
        fields = json.loads(content)
        code, message = int(fields.get("code", 0)), str(fields.get("message", ""))
    except (ValueError, TypeError, AttributeError):
        code, message = 0, content[:200].decode("utf-8", "replace")
    reason = f"HTTP {status}, code {code}: {message}"
    if code == _GRPC_NOT_FOUND and "lease" in message:
        return LEASE_LOST.because(reason)
    if code == _GRPC_OUT_OF_RANGE:
        return HISTORY_COMPACTED.because(reason)
    if code in _GRPC_REFUSED_CODES or status in (400, 401, 403, 404, 405, 413):
        return PLATFORM_REFUSED.because(reason)
    if not writes or message == _NO_LEADER_MESSAGE or code == _GRPC_RESOURCE_EXHAUSTED:
        return PLATFORM_UNAVAILABLE.because(reason)
    return PLATFORM_AMBIGUOUS.because(reason)


def _parse_object(content: bytes, writes: bool) -> dict:
    try:
        fields = json.loads(content)
        if not isinstance(fields, dict):
            raise ValueError("expected a JSON object")
    except ValueError as error:
        kind = PLATFORM_AMBIGUOUS if writes else PLATFORM_UNAVAILABLE
        raise PlatformError(kind.because(f"malformed answer from the store: {error}")) from error
    return fields


async def _read_body(response) -> bytes:
    return b"".join([chunk async for chunk in response.aiter_stream()])


async def _read_lines(response):
    buffer = b""
    async for chunk in response.aiter_stream():
        buffer += chunk
        *lines, buffer = buffer.split(b"\n")
        for line in lines:
            if line.strip():
                yield line
        if len(buffer) > _MAX_LINE_BYTES:
            raise httpcore.RemoteProtocolError(
                f"a line of the watch exceeds {_MAX_LINE_BYTES} bytes"
            )
    raise httpcore.RemoteProtocolError("the store ended the watch")


def _parse_watch_line(line: bytes) -> dict:
    fields = _parse_object(line, writes=False)
    if "error" in fields:
        raise PlatformError(_classify_error_reply(200, json.dumps(fields["error"]).encode(), False))
    result = fields.get("result", {})
    if int(result.get("compact_revision", 0)):
        reason = f"events before revision {result['compact_revision']} are compacted"
        raise PlatformError(HISTORY_COMPACTED.because(reason))
    if result.get("canceled"):
        reason = str(result.get("cancel_reason", "the watch was cancelled"))
        raise PlatformError(PLATFORM_UNAVAILABLE.because(reason))
    return result


async def _watch_events(lines):
    try:
        async for line in lines:
            for event in decode_events(_parse_watch_line(line)):
                yield event
    except _TRANSPORT_ERRORS as error:
        raise PlatformError(PLATFORM_UNAVAILABLE.because(_describe_error(error))) from error
