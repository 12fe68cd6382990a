"""ASGI application that serves the etcd v3 JSON gateway protocol from memory."""

import json

import trio

from basilwinch.exception import (
    HISTORY_COMPACTED,
    LEASE_LOST,
    PLATFORM_REFUSED,
    PLATFORM_UNAVAILABLE,
    Failure,
    PlatformError,
)
from basilwinch.standin.keyvalue import MemoryKeyValueStore
from basilwinch.store.interface import Compare, KeyValue
from basilwinch.store.message import decode, encode, prefix_end

__all__ = ["EtcdGateway"]

_STATUS = {
    PLATFORM_UNAVAILABLE: (503, 14, "etcdserver: no leader"),
    LEASE_LOST: (404, 5, "etcdserver: requested lease not found"),
    PLATFORM_REFUSED: (400, 3, "etcdserver: request is too large"),
    HISTORY_COMPACTED: (400, 11, "etcdserver: required revision has been compacted"),
}


class EtcdGateway:
    """Serves a :class:`MemoryKeyValueStore` over the etcd v3 JSON gateway protocol.

    :param store: holds the state, the injected faults and the call counters
    """

    def __init__(self, store: MemoryKeyValueStore):
        self.store = store
        self._handlers = {
            "/v3/kv/range": self._range,
            "/v3/kv/txn": self._transact,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
        }

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        fields = json.loads(await _read_body(receive))
        if scope["path"] == "/v3/watch":
            await self._watch(fields["create_request"], receive, send)
            return
        handler = self._handlers.get(scope["path"])
        if handler is None:
            await _respond(send, 404, {"code": 5, "message": "Not Found"})
            return
        try:
            await _respond(send, 200, await handler(fields))
        except PlatformError as error:
            await _respond(send, *_render_error(error.failure))

    def _render_header(self) -> dict:
        return {"revision": str(self.store.revision), "cluster_id": "1", "member_id": "1"}

    async def _range(self, fields: dict) -> dict:
        key = decode(fields["key"]).decode()
        if "range_end" not in fields:
            pair = await self.store.get(key)
            items, more = ([pair] if pair else []), False
        else:
            # The protocol uses key ranges, the store prefixes. Ranges that the client sends start
            # at the prefix or right after one of its keys.
            prefix, after = _split_range(key, decode(fields["range_end"]))
            page = await self.store.scan(prefix, int(fields.get("limit", 0)) or 10**9, after)
            items, more = page.items, page.more
        return {
            "header": self._render_header(),
            "kvs": [_render_pair(item) for item in items],
            "more": more,
        }

    async def _transact(self, fields: dict) -> dict:
        compares = [
            Compare(decode(item["key"]).decode(), int(item.get("mod_revision", 0)))
            for item in fields.get("compare", ())
        ]
        puts, deletes = [], []
        for change in fields.get("success", ()):
            if "request_put" in change:
                put = change["request_put"]
                lease = int(put.get("lease", 0))
                value = decode(put.get("value", ""))
                puts.append(KeyValue(decode(put["key"]).decode(), value, 0, lease))
            else:
                deletes.append(decode(change["request_delete_range"]["key"]).decode())
        outcome = await self.store.transact(compares, puts, deletes)
        header = self._render_header() | {"revision": str(outcome.revision)}
        return {"header": header, "succeeded": outcome.succeeded}

    async def _grant(self, fields: dict) -> dict:
        grant = await self.store.grant(int(fields["TTL"]))
        return {
            "header": self._render_header(),
            "ID": str(grant.lease),
            "TTL": str(int(grant.ttl_s)),
        }

    async def _keep_alive(self, fields: dict) -> dict:
        result = {"header": self._render_header(), "ID": fields["ID"]}
        try:
            grant = await self.store.keep_alive(int(fields["ID"]))
        except PlatformError as error:
            if error.failure.kind is not LEASE_LOST:
                raise
            return {"result": result}
        return {"result": result | {"TTL": str(int(grant.ttl_s))}}

    async def _revoke(self, fields: dict) -> dict:
        await self.store.revoke(int(fields["ID"]))
        return {"header": self._render_header()}

    async def _watch(self, fields: dict, receive, send):
        prefix, _ = _split_range(decode(fields["key"]).decode(), decode(fields["range_end"]))
        start = int(fields.get("start_revision", 0))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
            await self._stream_events(prefix, start, send)
            nursery.cancel_scope.cancel()

    async def _stream_events(self, prefix: str, start: int, send):
        started = False
        try:
            async with self.store.watch(prefix, start) as events:
                await _start_response(send, 200)
                started = True
                await _send_line(send, {"header": self._render_header(), "created": True})
                async for event in events:
                    pair = {"key": encode(event.key), "mod_revision": str(event.mod_revision)}
                    if event.value is None:
                        change = {"type": "DELETE", "kv": pair}
                    else:
                        change = {"kv": pair | {"value": encode(event.value)}}
                    await _send_line(send, {"header": self._render_header(), "events": [change]})
        except PlatformError as error:
            if error.failure.kind is HISTORY_COMPACTED:
                if not started:
                    await _start_response(send, 200)
                compacted = str(self.store.revision)
                await _send_line(send, {"canceled": True, "compact_revision": compacted})
            elif not started:
                await _respond(send, *_render_error(error.failure))
                return
            await send({"type": "http.response.body", "body": b"", "more_body": False})


def _split_range(key: str, range_end: bytes) -> tuple[str, str]:
    if range_end == b"\0":
        return "", ("" if key == "\0" else key.removesuffix("\0"))
    prefix = (range_end[:-1] + bytes([range_end[-1] - 1])).decode()
    if prefix_end(prefix) != range_end:
        raise ValueError(f"expected the range of a prefix, got {key!r} to {range_end!r}")
    return prefix, ("" if key == prefix else key.removesuffix("\0"))


def _render_pair(item: KeyValue) -> dict:
    fields = {
        "key": encode(item.key),
        "value": encode(item.value),
        "mod_revision": str(item.mod_revision),
    }
    return fields | ({"lease": str(item.lease)} if item.lease else {})


def _render_error(failure: Failure) -> tuple[int, dict]:
    unknown = (503, 14, "etcdserver: request timed out")
    status, code, message = _STATUS.get(failure.kind, unknown)
    return status, {"error": message, "code": code, "message": message}


async def _start_response(send, status: int):
    headers = [(b"content-type", b"application/json")]
    await send({"type": "http.response.start", "status": status, "headers": headers})


async def _respond(send, status: int, fields: dict):
    await _start_response(send, status)
    await send({"type": "http.response.body", "body": json.dumps(fields).encode()})


async def _send_line(send, result: dict):
    line = json.dumps({"result": result}).encode() + b"\n"
    await send({"type": "http.response.body", "body": line, "more_body": True})


async def _read_body(receive) -> bytes:
    body, more = b"", True
    while more:
        message = await receive()
        body += message.get("body", b"")
        more = message.get("more_body", False)
    return body


async def _cancel_on_disconnect(receive, scope: trio.CancelScope):
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def _serve_lifespan(receive, send):
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
