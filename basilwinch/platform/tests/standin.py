"""Stand-in of the platform's store and of its servers, on loopback, for tests."""

import base64
import contextlib
import json
import socket
import urllib.parse

import trio

from basilwinch.view import CallerLimits
from basilwinch.wire import CallerConnection

__all__ = ["StandinPlatform"]

_EVENTS_PER_STREAM = 6
_EVENT_INTERVAL_S = 0.01
_RAW_FAULTS = ("unframed", "unframed cut", "endless")
_COPY_DELAY_S = 0.05
_PAUSE_S = 1.4  # silence of a chain that is slow but alive


class StandinServer:
    """A server of the stand-in; each of ``faults`` changes its answer to one request, in order.

    Faults: ``full`` (503, not run), ``mute`` (no answer), ``reset`` (run, then the connection is
    reset), ``error`` (500), and in a stream ``pause`` (silence after event 3), ``cut`` (reset
    within event 4), ``trickle`` (event 4 without end, a byte at a time) and ``nameless`` (event 4,
    and with it one without an id). ``unframed`` sends an answer with neither a length nor chunks,
    ``unframed cut`` one that ends within event 4, and ``endless`` one whose body, or first event,
    never ends.

    ``late`` answers after a pause, ``late reset`` resets the connection after one, ``late body`` is
    silent within the body of the answer to a plain request, and in a stream
    ``pause first`` is silent before the first event, ``pause cut`` is silent after event 3 and then
    resets the connection, ``skip`` leaves out the first event and ``restart`` begins at event 1
    whatever the caller has received. The length of a pause may follow in seconds (``pause:0.5``).

    ``status`` and a code, as in ``status 000``, answers with that code.

    ``copy`` and ``copy without id`` send the answer to a plain request a second time after
    ``_COPY_DELAY_S``, and ``wait`` answers one only after twice that time.

    A server crashes on the first event of any stream whose prompt has one of ``crashing_parts``.
    """

    def __init__(self, server_id, service, port, kind=None):
        self.id = server_id
        self.service = service
        self.port = port
        self.kind = kind
        self.layers = None
        self.orders = 0
        self.runs: list[bytes] = []
        self.headers: list[dict] = []
        self.faults: list[str] = []
        self.crashing_parts: set[bytes] = set()
        self.limit: bytes | None = None  # requests per second that its answers name
        self.retry_after: bytes | None = None  # sent with the 503 of the fault "full"
        self.names_faulty: bytes | None = None  # host:port that this 503 names as at fault
        self.extra_header: list[tuple[bytes, bytes]] = []  # sent with each of its answers
        self.names_leaving = False  # whether its answers say that it leaves
        self.run_times: list[float] = []
        # Requests that arrived, whether run or not, and those whose caller closed the connection
        # before the answer was complete: id and time of each.
        self.received: list[tuple[bytes, float]] = []
        self.closed: list[tuple[bytes, float]] = []
        self.report_delay_s = 0.0
        self.reports = 0  # queries for its report
        self.refused_at: list[float] = []  # times of the 503 of the fault "full"
        self.answer = None  # async function that answers an exchange in place of the faults
        self.nursery = None
        self.state = "ready"
        self.born = 1  # Unix time of its start in milliseconds
        self.heartbeats = 0
        self._scope = trio.CancelScope()
        self._listen_scope = trio.CancelScope()

    async def serve(self, handle, listeners) -> None:
        """Serve until the server crashes."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                with self._listen_scope:
                    await trio.serve_listeners(handle, listeners, handler_nursery=nursery)
                for listener in listeners:
                    await listener.aclose()
                await trio.sleep_forever()

    def crash(self) -> None:
        """End all connections and refuse new ones; the entry in the store stays."""
        self._scope.cancel()

    def refuse_connections(self) -> None:
        """Refuse new connections; open ones stay."""
        self._listen_scope.cancel()

    @property
    def has_crashed(self) -> bool:
        return self._scope.cancel_called

    def crashes_on(self, headers: dict) -> bool:
        """Return whether a request with these headers crashes the server."""
        entries = headers.get(b"x-prompt-prefix", b"").split(b",")
        return any(entry.partition(b":")[0] in self.crashing_parts for entry in entries)

    def entry(self) -> dict:
        fields = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "z0",
            "slots": 8,
            "state": self.state,
            "sequence": self.heartbeats,
            "born": self.born,
        }
        if self.kind:
            fields["kind"] = self.kind
        if self.layers:
            fields["layers"] = {"from": self.layers[0], "to": self.layers[1], "version": 1}
        return fields


class StandinPlatform:
    """The store and the servers.

    :param configuration: value of ``op/config``
    """

    def __init__(self, configuration: dict):
        self.items: dict[str, tuple[bytes, int, int]] = {}
        self.revision = 1
        self.oldest_revision = 0
        self.events: list[dict] = []
        self.leases: dict[int, tuple[int, float]] = {}
        self.last_lease_id = 0
        self.changed = trio.Event()
        # By prefix of a key: seconds after which the next write to it is done, without an answer.
        self.late_writes: dict[str, float] = {}
        self._nursery = None
        self.servers: list[StandinServer] = []
        self.outage_status: int | None = None  # sent to all calls if set; 0 sends no answer
        self._store_connections: set = set()
        self._silent_connections: set = set()
        # How the links of a node to all servers are cut, by its address; see cut_node().
        self._cuts: dict[str, str] = {}
        self._silent_until = float("-inf")  # servers send nothing before this time
        self._server_streams: set = set()
        self.answer_delay_s = 0.0  # before each answer of the store
        self.calls = 0
        self.era: bytes | None = b"1"  # header of all answers that counts restores; None for none
        self.port = 0
        self.put("op/config", json.dumps(configuration).encode())

    async def start(self, nursery) -> None:
        """Serve the store."""
        self._nursery = nursery
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self._serve_store, listeners)

    async def _serve_store(self, stream) -> None:
        connection = CallerConnection(stream, self._answer, CallerLimits)
        self._store_connections.add(connection)
        try:
            await connection.run()
        finally:
            self._store_connections.discard(connection)
            self._silent_connections.discard(connection)

    def silence_connections(self) -> None:
        """Let open connections to the store carry nothing more, without a reset; new ones work."""
        self._silent_connections |= self._store_connections

    def close_store_connections(self) -> None:
        """Close all connections to the store."""
        for connection in list(self._store_connections):
            connection.evict()

    async def add_server(self, nursery, server_id, service, kind=None) -> StandinServer:
        """Start a server and register it."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        server = StandinServer(server_id, service, listeners[0].socket.getsockname()[1], kind)
        server.nursery = nursery
        self.servers.append(server)

        async def answer(exchange):
            await self._answer_server(server, exchange)

        nursery.start_soon(server.serve, self._serve_with(answer), listeners)
        self.register(server)
        return server

    def cut_node(self, host: str, how: str) -> None:
        """Cut the links of a node to all servers.

        :param how: ``hang`` (nothing is answered any more), ``reset`` (open and new connections are
            reset) or ``refuse`` (new ones are reset, open ones live on)
        """
        self._cuts[host] = how
        for stream in [s for s in self._server_streams if _read_peer(s) == host]:
            if how == "reset":
                _reset_stream(stream)

    def heal_node(self, host: str) -> None:
        """Let a node reach servers again; connections that hang stay silent."""
        self._cuts.pop(host, None)

    def silence_servers(self, seconds: float) -> None:
        """Let all servers send nothing for a time, not even reports; they send all of it later."""
        self._silent_until = trio.current_time() + seconds

    async def _pass_link(self, stream) -> None:
        """Wait forever if the link of the node at the other end hangs, and while all is silent."""
        if self._cuts.get(_read_peer(stream)) == "hang":
            await trio.sleep_forever()
        if trio.current_time() < self._silent_until:
            await trio.sleep_until(self._silent_until)

    def register(self, server: StandinServer) -> None:
        """Write a server's entry."""
        server.heartbeats += 1
        self.put(f"servers/{server.id}", json.dumps(server.entry()).encode())

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Change a key."""
        self.revision += 1
        self.items[key] = (value, self.revision, lease)
        self.events.append(self._item(key))
        self._notify()

    def delete(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self.items.pop(key, None)
        self.events.append({"key": key, "revision": self.revision, "deleted": True})
        self._notify()

    def compact_history(self) -> None:
        """Delete the history and end the watches."""
        self.events.clear()
        self.oldest_revision = self.revision
        self._notify()

    def copy(self) -> tuple:
        """Return a copy of the store for :meth:`restore`."""
        return dict(self.items), self.revision, dict(self.leases), self.last_lease_id

    def restore(self, copy: tuple, era: bytes | None = None) -> None:
        """Go back to an earlier copy; revisions and lease ids are given out again.

        :param era: era from now on, by default the next one
        """
        items, self.revision, leases, self.last_lease_id = copy
        self.items, self.leases = dict(items), dict(leases)
        self.events = [event for event in self.events if event["revision"] <= self.revision]
        self.era = era if era is not None else b"%d" % (int(self.era) + 1)
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def _serve_with(self, answer):
        async def serve(stream):
            if self._cuts.get(_read_peer(stream)) in ("reset", "refuse"):
                _reset_stream(stream)
                return
            self._server_streams.add(stream)
            try:
                await CallerConnection(stream, answer, CallerLimits).run()
            finally:
                self._server_streams.discard(stream)

        return serve

    def _item(self, key: str) -> dict:
        value, revision, lease = self.items[key]
        text = base64.b64encode(value).decode()
        fields = {"key": key, "value": text, "revision": revision}
        return fields | {"create-rev": revision, "lease": lease}

    def _expire_leases(self) -> None:
        now = trio.current_time()
        for lease in [lease for lease, (_, until) in self.leases.items() if until < now]:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item[2] == lease]:
            self.delete(key)

    async def _answer(self, exchange) -> None:
        self.calls += 1
        self._expire_leases()
        await trio.sleep(self.answer_delay_s)
        if self.outage_status is not None:
            if self.outage_status == 0:
                await trio.sleep_forever()
            await exchange.respond(self.outage_status, self._era_header(), b"")
            return
        path, _, text = exchange.target.decode().partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        body = json.loads(exchange.body) if exchange.body else {}
        name = path.rsplit("/", 1)[-1] if path.count("/") == 3 else ""
        call = path.removesuffix(f"/{name}") if name else path
        if exchange._connection in self._silent_connections:
            await trio.sleep_forever()
        status, fields = await self._handlers()[call](query, body, name)
        if exchange._connection in self._silent_connections:
            await trio.sleep_forever()
        await exchange.respond(status, self._era_header(), json.dumps(fields).encode())

    def _era_header(self) -> list:
        return [] if self.era is None else [(b"Store-Era", self.era)]

    def _handlers(self) -> dict:
        return {
            "/-/kv-key": self._read_key,
            "/-/kv-range": self._read_range,
            "/-/kv-watch": self._watch,
            "/-/kv-txn": self._transact,
            "/-/kv-lease": self._grant,
            "/-/kv-keep": self._keep_alive,
            "/-/kv-lease-end": self._revoke,
        }

    async def _read_key(self, query, body, name):
        if query["key"] not in self.items:
            return 404, {"as-of": self.revision}
        return 200, self._item(query["key"]) | {"as-of": self.revision}

    async def _read_range(self, query, body, name):
        after = query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
        page = [self._item(key) for key in keys[:5]]
        return 200, {"items": page, "more-pages": len(keys) > 5, "as-of": self.revision}

    async def _watch(self, query, body, name):
        after = int(query["after"])
        with trio.move_on_after(int(query["wait-ms"]) / 1000):
            while self._has_history(after) and not self._after(after, query["prefix"]):
                await self.changed.wait()
        if not self._has_history(after):
            return 410, {}
        return 200, {"events": self._after(after, query["prefix"]), "as-of": self.revision}

    def _has_history(self, after: int) -> bool:
        return self.oldest_revision <= after <= self.revision

    def _after(self, after, prefix):
        return [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]

    async def _transact(self, query, body, name):
        for prefix in list(self.late_writes):
            if any(put["key"].startswith(prefix) for put in body["writes"]):
                delay_s = self.late_writes.pop(prefix)
                self._nursery.start_soon(self._transact_late, body, delay_s)
                await trio.sleep_forever()
        return self._apply_transaction(body)

    async def _transact_late(self, body, delay_s: float) -> None:
        await trio.sleep(delay_s)
        self._expire_leases()
        self._apply_transaction(body)

    def _apply_transaction(self, body) -> tuple[int, dict]:
        for row in body["expected"]:
            held = self.items.get(row["key"], (b"", 0, 0))[1]
            if held != row["revision"]:
                return 412, {"items": []}
        leases = {put.get("lease", 0) for put in body["writes"]}
        if leases - self.leases.keys() - {0}:
            return 404, {}
        for put in body["writes"]:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body["remove"]:
            self.delete(key)
        return 200, {"revision": self.revision}

    async def _grant(self, query, body, name):
        self.last_lease_id += 1
        self.leases[self.last_lease_id] = (body["ttl-ms"], self._expiry_time(body["ttl-ms"]))
        return 200, {"lease": self.last_lease_id, "ttl-ms": body["ttl-ms"]}

    def _expiry_time(self, ttl_ms: int) -> float:
        return trio.current_time() + ttl_ms / 1000

    async def _keep_alive(self, query, body, name):
        lease = int(name)
        if lease not in self.leases:
            return 404, {}
        ttl_ms = self.leases[lease][0]
        self.leases[lease] = (ttl_ms, self._expiry_time(ttl_ms))
        return 200, {"ttl-ms": ttl_ms}

    async def _revoke(self, query, body, name):
        self.end_lease(int(name))
        return 200, {}

    async def _answer_server(self, server, exchange) -> None:
        if not exchange.target.startswith(b"/-/"):
            server.received.append((exchange.headers[b"x-request-id"], trio.current_time()))
        await self._pass_link(exchange._connection._stream)
        if exchange.target == b"/-/report":
            server.reports += 1
            await trio.sleep(server.report_delay_s)
            report = {"sequence": server.orders, "layers": server.layers}
            await exchange.respond(200, [], json.dumps(report).encode())
        elif exchange.target == b"/-/order":
            order = json.loads(exchange.body)
            server.orders += 1
            server.layers = (order["from"], order["to"])
            self.register(server)
            await exchange.respond(202, [], b"")
        else:
            try:
                await self._run(server, exchange)
            except (trio.Cancelled, trio.BrokenResourceError):
                if not server.has_crashed:
                    request_id = exchange.headers[b"x-request-id"]
                    server.closed.append((request_id, trio.current_time()))
                raise

    async def _run(self, server, exchange) -> None:
        if server.answer is not None:
            await server.answer(exchange)
            return
        request_id = exchange.headers[b"x-request-id"]
        fault, pause_s = _parse_fault(server.faults.pop(0) if server.faults else "")
        header = [(b"X-Request-Id", request_id), *server.extra_header]
        if server.limit is not None:
            header.append((b"Server-Limit", server.limit))
        if server.names_leaving:
            header.append((b"Server-Leaving", b"1"))
        if fault == "full":
            if server.retry_after is not None:
                header.append((b"Retry-After", server.retry_after))
            if server.names_faulty is not None:
                header.append((b"At-Server", server.names_faulty))
            server.refused_at.append(trio.current_time())
            await exchange.respond(503, [*header, (b"X-Not-Executed", b"1")], b"")
            return
        if fault == "mute":
            await trio.sleep_forever()
        server.runs.append(request_id)
        server.run_times.append(trio.current_time())
        server.headers.append(exchange.headers)
        if fault in ("late", "late reset"):
            await trio.sleep(pause_s)
        if fault in ("reset", "late reset"):
            _reset(exchange)
            return
        header.append((b"X-Server-Stamp", server.id.encode()))
        if fault in _RAW_FAULTS:
            await _send_raw(exchange, header, server.kind is not None, fault)
            return
        if fault.startswith("status "):
            await _send_status(exchange, header, fault.removeprefix("status "))
            return
        if fault == "error":
            await exchange.respond(500, header, b"failed")
        elif server.kind is None:
            body = b"done by " + server.id.encode()
            if fault.startswith("copy"):
                copied = header[1:] if fault == "copy without id" else header
                server.nursery.start_soon(_send_copy, exchange, copied, body)
            elif fault == "wait":
                await trio.sleep(2 * _COPY_DELAY_S)
            elif fault == "late body":
                await exchange.start(200, header, body[:4])
                await trio.sleep(pause_s)
                await exchange.send(body[4:])
                await exchange.end()
                return
            await exchange.respond(200, header, body)
        else:
            await self._stream(server, exchange, header, fault, pause_s)

    async def _stream(self, server, exchange, header, fault, pause_s) -> None:
        start = int(exchange.headers.get(b"last-event-id", b"0")) + 1
        if fault == "skip":
            start += 1
        if fault == "restart":
            start = 1
        await exchange.start(200, header)
        if fault == "pause first":
            await trio.sleep(pause_s)
        if server.crashes_on(exchange.headers):
            await trio.sleep(_EVENT_INTERVAL_S)
            server.crash()
            await trio.sleep_forever()
        for number in range(start, _EVENTS_PER_STREAM + 1):
            await trio.sleep(_EVENT_INTERVAL_S)
            await self._pass_link(exchange._connection._stream)
            await exchange.send(b"id: %d\ndata: token\n\n" % number)
            if fault in ("pause", "pause cut") and number == 3:
                await trio.sleep(pause_s)
                if fault == "pause cut":
                    _reset(exchange)
                    return
            if fault == "trickle" and number == 3:
                await exchange.send(b"id: 4\ndata: ")
                while True:
                    await trio.sleep(_EVENT_INTERVAL_S)
                    await exchange.send(b".")
            if fault == "nameless" and number == 3:
                await exchange.send(b"id: 4\ndata: token\n\ndata: no id\n\n")
            if fault == "cut" and number == 3:
                await exchange.send(b"id: 4\nda")
                _reset(exchange)
                return
        await exchange.end()


def _parse_fault(text: str) -> tuple[str, float]:
    """Return the name of a fault and the length of its pause in seconds."""
    name, _, seconds = text.partition(":")
    return name, float(seconds) if seconds else _PAUSE_S


async def _send_copy(exchange, header, body: bytes) -> None:
    """Send an answer once more, late, on a connection that may be in use again."""
    stream = exchange._connection._stream
    fields = b"".join(name + b": " + value + b"\r\n" for name, value in header)
    await trio.sleep(_COPY_DELAY_S)
    with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        await stream.send_all(b"HTTP/1.1 200 OK\r\n" + fields + length + body)


async def _send_status(exchange, header, code: str) -> None:
    """Answer with any text in the place of the status."""
    fields = b"".join(name + b": " + value + b"\r\n" for name, value in header)
    head = b"HTTP/1.1 " + code.encode("latin-1") + b" X\r\n" + fields
    await exchange._connection._stream.send_all(head + b"Content-Length: 4\r\n\r\nbody")


async def _send_raw(exchange, header, streaming: bool, fault: str) -> None:
    """Answer without framing, and end the answer by closing the connection."""
    stream = exchange._connection._stream
    fields = b"".join(name + b": " + value + b"\r\n" for name, value in header)
    await stream.send_all(b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n")
    with contextlib.suppress(trio.BrokenResourceError):
        if fault == "endless":
            await stream.send_all(b"id: 1\ndata: ")
            while True:
                await stream.send_all(b"x" * 65536)
        start = int(exchange.headers.get(b"last-event-id", b"0")) + 1
        end = 4 if fault == "unframed cut" else _EVENTS_PER_STREAM + 1
        body = b"".join(b"id: %d\ndata: token\n\n" % number for number in range(start, end))
        if fault == "unframed cut":
            body += b"id: 4\nda"
        await stream.send_all(body if streaming else b"whole body")
    await stream.aclose()


def _reset(exchange) -> None:
    """Reset the connection of a request."""
    _reset_stream(exchange._connection._stream)


def _reset_stream(stream) -> None:
    with contextlib.suppress(OSError):
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        stream.socket.close()


def _read_peer(stream) -> str:
    """Return the address of the other end of a connection, or an empty string if it is closed."""
    try:
        return stream.socket.getpeername()[0]
    except OSError:
        return ""
