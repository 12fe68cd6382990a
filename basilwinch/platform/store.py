"""Client of the platform's metadata store."""

import base64
import functools
import json
import urllib.parse

import structlog
import trio

from basilwinch.document import Fields, parse_document
from basilwinch.exception import (
    HISTORY_COMPACTED,
    HISTORY_FORKED,
    LEASE_LOST,
    MALFORMED_DOCUMENT,
    OUTCOME_UNKNOWN,
    PLATFORM_AMBIGUOUS,
    PLATFORM_REFUSED,
    PLATFORM_UNAVAILABLE,
    DocumentError,
    PlatformError,
    ServerError,
)
from basilwinch.store import (
    Changes,
    KeyValue,
    LeaseGrant,
    Page,
    Position,
    StoreHistory,
    Transaction,
    WatchEvent,
)
from basilwinch.wire import ConnectionPool

__all__ = ["MetadataStore"]

_CALL_TIMEOUT_S = 1.5  # the store answers in 4 ms, at times up to 100 times slower
_WATCH_MARGIN_S = 0.6  # added to the wait of a watch, for an answer 100 times slower than usual
_CONNECT_TIMEOUT_S = 0.5
_MAX_CONNECTION_IDLE_S = 30.0
_UNUSED_PREFIX = "~"  # no key has this prefix
_MAX_IDLE_CONNECTIONS = 4
_MAX_RESPONSE_BYTES = 16 << 20
_MAX_WATCH_S = 30.0
_MAX_ERA_CHARACTERS = 9  # a number of so many digits still fits a fencing token
_MAX_INT64 = (1 << 63) - 1  # revisions and ids of leases
_log = structlog.get_logger("store")


def _refuse_malformed(kind):
    """Return a decorator of a call whose answer may be malformed, which is a failure of a kind."""

    def decorate(call):
        @functools.wraps(call)
        async def refuse(*args, **options):
            try:
                return await call(*args, **options)
            except DocumentError as error:
                raise PlatformError(kind.because(error.failure.reason)) from None

        return refuse

    return decorate


class MetadataStore:
    """A client over HTTP/1.1.

    Has the methods of :class:`~basilwinch.store.KeyValueStore`, except that :meth:`poll` replaces
    ``watch``.

    :param host: IP address
    :param port: port
    :param clock: function that returns the time in seconds
    """

    __slots__ = ("history", "_address", "_pool")

    def __init__(self, host: str, port: int, clock=trio.current_time):
        self.history = StoreHistory(clock)
        self._address = (host, port)
        self._pool = ConnectionPool(
            clock, _CONNECT_TIMEOUT_S, _MAX_CONNECTION_IDLE_S, _MAX_IDLE_CONNECTIONS
        )

    @_refuse_malformed(PLATFORM_UNAVAILABLE)
    async def get(self, key: str) -> KeyValue | None:
        """Return a key with its value, or None if it does not exist."""
        status, fields = await self._call("GET", "/-/kv-key", {"key": key})
        return None if status == 404 else _decode_item(fields)

    async def scan(self, prefix: str, limit: int = 1000, after: str = "") -> Page:
        """Return one page of the keys with a prefix, in order, after a key.

        ``limit`` is ignored, as the store chooses the page size.
        """
        page, _ = await self.scan_at(prefix, after)
        return page

    @_refuse_malformed(PLATFORM_UNAVAILABLE)
    async def scan_at(self, prefix: str, after: str = "") -> tuple[Page, Position]:
        """Return a page of keys, and the position of the store at the time of the read."""
        query = {"prefix": prefix, "after": after} if after else {"prefix": prefix}
        _, fields = await self._call("GET", "/-/kv-range", query)
        items = [_decode_item(item) for item in fields.read_objects("items")]
        return Page(items, fields.read_flag("more-pages")), self._read_position(fields)

    def close_idle_connections(self) -> None:
        """Make the next calls use new connections, as the idle ones may be dead."""
        self._pool.close_idle(self._address)

    @_refuse_malformed(PLATFORM_UNAVAILABLE)
    async def read_position(self) -> Position:
        """Return the position of the store, with one call that lists no keys."""
        query = {"prefix": _UNUSED_PREFIX}
        _, fields = await self._call("GET", "/-/kv-range", query)
        return self._read_position(fields)

    def _read_position(self, fields: Fields) -> Position:
        # "as-of" is the revision of the whole store, not that of an item.
        return Position(self.history.number, fields.read_integer("as-of", 0, _MAX_INT64))

    @_refuse_malformed(PLATFORM_AMBIGUOUS)
    async def transact(self, compares, puts, deletes=()) -> Transaction:
        """Apply all changes if all conditions hold, else none."""
        body = {
            "expected": [{"key": c.key, "revision": c.mod_revision} for c in compares],
            "writes": [_encode_put(put) for put in puts],
            "remove": list(deletes),
        }
        status, fields = await self._call("POST", "/-/kv-txn", body=body, writes=True)
        if status == 404:
            raise PlatformError(LEASE_LOST.because("the lease attached to a write has ended"))
        return Transaction(status == 200, fields.read_integer("revision", 0, _MAX_INT64, 0))

    @_refuse_malformed(PLATFORM_AMBIGUOUS)
    async def grant(self, ttl_s: float) -> LeaseGrant:
        """Grant a lease."""
        body = {"ttl-ms": int(ttl_s * 1000)}
        _, fields = await self._call("POST", "/-/kv-lease", body=body, writes=True)
        return LeaseGrant(
            fields.read_integer("lease", 1, _MAX_INT64), fields.read_positive("ttl-ms") / 1000
        )

    @_refuse_malformed(PLATFORM_AMBIGUOUS)
    async def keep_alive(self, lease: int) -> LeaseGrant:
        """Renew a lease; raises ``PlatformError`` with ``LEASE_LOST`` if it has ended."""
        status, fields = await self._call("POST", f"/-/kv-keep/{lease}", writes=True)
        if status == 404:
            raise PlatformError(LEASE_LOST.because("the lease has ended"))
        return LeaseGrant(lease, fields.read_positive("ttl-ms") / 1000)

    @_refuse_malformed(PLATFORM_AMBIGUOUS)
    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        await self._call("DELETE", f"/-/kv-lease-end/{lease}", writes=True)

    @_refuse_malformed(PLATFORM_UNAVAILABLE)
    async def poll(self, prefix: str, after: Position, wait_s: float) -> Changes:
        """Return the changes after a position, as soon as there are any.

        :param prefix: prefix of the keys
        :param after: position after which changes are returned
        :param wait_s: maximum time to wait, in seconds; at most 30
        :raises PlatformError: with ``HISTORY_COMPACTED`` if the store no longer keeps them, or
            ``HISTORY_FORKED`` if its history does not contain the position
        """
        wait_s = min(wait_s, _MAX_WATCH_S)
        query = {"prefix": prefix, "after": after.revision, "wait-ms": int(wait_s * 1000)}
        timeout_s = wait_s + _WATCH_MARGIN_S
        status, fields = await self._call("GET", "/-/kv-watch", query, timeout_s=timeout_s)
        if self.history.number != after.history:
            raise PlatformError(
                HISTORY_FORKED.because(f"revision {after.revision} is of an earlier history")
            )
        if status == 410:
            raise PlatformError(
                HISTORY_COMPACTED.because(
                    f"the store no longer keeps all events after revision {after.revision}"
                )
            )
        events = [_decode_event(event) for event in fields.read_objects("events")]
        return Changes(events, self._read_position(fields))

    async def _call(
        self, method, path, query=None, body=None, timeout_s=_CALL_TIMEOUT_S, writes=False
    ) -> tuple[int, Fields]:
        """Make a call; return the HTTP status and the fields of the answer.

        :param writes: whether the call changes the store; if its answer is lost, or the store is
            restored during the call, the failure is then ``PLATFORM_AMBIGUOUS``
        :raises DocumentError: if the answer is not a JSON object
        """
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        data = b"" if body is None else json.dumps(body).encode()
        header = [(b"Content-Type", b"application/json")] if data else []
        if method != "GET":
            header.append((b"Content-Length", b"%d" % len(data)))
        kind = PLATFORM_AMBIGUOUS if writes else PLATFORM_UNAVAILABLE
        asked_in = self.history.number
        try:
            with trio.fail_after(timeout_s):
                request = (method.encode(), target.encode(), header, data)
                status, headers, answer = await self._pool.exchange(
                    self._address, request, _MAX_RESPONSE_BYTES
                )
        except trio.TooSlowError:
            self.close_idle_connections()
            raise PlatformError(
                kind.because(f"{method} {path}: no answer within {timeout_s} s")
            ) from None
        except ServerError as error:
            if error.failure.kind is not OUTCOME_UNKNOWN:
                kind = PLATFORM_UNAVAILABLE
            raise PlatformError(kind.because(error.failure.reason)) from None
        is_current = self.history.observe(_decode_era(headers), asked_in)
        if not is_current or (writes and self.history.number != asked_in):
            # A write may refer to a revision or a lease that has been given out again.
            raise PlatformError(kind.because(f"{method} {path}: the store was restored meanwhile"))
        if status in (429, 503):
            raise PlatformError(
                PLATFORM_UNAVAILABLE.because(f"{method} {path}: HTTP status {status}")
            )
        if status not in (200, 404, 410, 412):
            raise PlatformError(PLATFORM_REFUSED.because(f"{method} {path}: HTTP status {status}"))
        return status, Fields(parse_document(answer) if answer else {}, f"{method} {path}")


def _decode_era(headers: dict) -> int | str | None:
    """Return the era that an answer names: text if it is no number, None if it is missing."""
    text = headers.get(b"store-era", b"").decode("latin-1")[:_MAX_ERA_CHARACTERS]
    return int(text) if text.isdecimal() else text or None


def _decode_item(item: Fields) -> KeyValue:
    lease = item.read_integer("lease", 0, _MAX_INT64, 0)
    return KeyValue(
        _decode_key(item), _decode_value(item), item.read_integer("revision", 0, _MAX_INT64), lease
    )


def _decode_event(event: Fields) -> WatchEvent:
    value = None if event.get("deleted") else _decode_value(event)
    return WatchEvent(_decode_key(event), value, event.read_integer("revision", 0, _MAX_INT64))


def _decode_key(item: Fields) -> str:
    """Return the key of an item.

    Any writer may choose a key, so one that UTF-8 can't represent must not hide the other items.
    """
    key = item.get("key")
    if not isinstance(key, str):
        raise DocumentError(MALFORMED_DOCUMENT.because("an item has no key"))
    return key.encode(errors="replace").decode()


def _decode_value(item: Fields) -> bytes:
    """Return the value of an item, empty if it is not valid base64; no reader takes that."""
    try:
        return base64.b64decode(item.get("value"))
    except (ValueError, TypeError) as error:
        _log.warning("value of a key is not valid base64", key=item.get("key"), error=repr(error))
        return b""


def _encode_put(put: KeyValue) -> dict:
    return {"key": put.key, "value": base64.b64encode(put.value).decode(), "lease": put.lease}
