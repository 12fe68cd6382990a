"""Stand-in servers of the review's scripts."""

import contextlib
import time

import trio

from rig import HEARTBEAT_S, MODEL, dump, receive_exactly, receive_head, reset


class Server:
    """A sound server that registers in the store and answers requests one after another.

    :param rig: the rig
    :param server_id: its id
    :param service: name of its service
    :param host: loopback address
    :param port: port, 0 for a free one
    """

    work_s = 0.1
    is_leaving = False  # a server that leaves says so in all its answers

    def __init__(self, rig, server_id, service, host="127.0.0.1", port=0, kind=""):
        self.rig = rig
        self.id = server_id
        self.service = service
        self.host = host
        self.port = port
        self.kind = kind
        self.layers = None
        self.is_loading = False
        self.orders = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.ran = {}  # by request id: how often it ran
        self.streams = set()
        self.scope = trio.CancelScope()

    async def start(self):
        """Listen, register, and report every HEARTBEAT_S seconds."""
        listeners = await trio.open_tcp_listeners(self.port, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        self.rig.nursery.start_soon(self._run, listeners)
        self.rig.record.write("server started", id=self.id, service=self.service, port=self.port)

    async def _run(self, listeners):
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._beat)
                await trio.serve_listeners(self._serve, listeners, handler_nursery=nursery)

    async def _beat(self):
        while True:
            self.register()
            await trio.sleep(HEARTBEAT_S)

    def register(self):
        self.sequence += 1
        self.reported_at = trio.current_time()
        self.rig.platform.put(f"servers/{self.id}", dump(self.entry()))

    def entry(self):
        fields = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": "z0",
            "version": "v1",
            "slots": 96,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return fields | self.holding()

    def holding(self):
        """Return what a model server says of itself in its entry and in its report."""
        if not self.kind:
            return {}
        fields = {"kind": self.kind, "stage": "prefill_decode", "models": []}
        if self.layers:
            fields["models"] = [{"name": MODEL, "version": 1, "adapters": []}]
            fields["layers"] = {"from": self.layers[0], "to": self.layers[1], "version": 1}
        return fields

    def crash(self):
        """End for good: open connections are reset, new ones refused; the store is told nothing."""
        self.rig.record.write("server crashed", id=self.id)
        for stream in list(self.streams):
            reset(stream)
        self.scope.cancel()

    async def _serve(self, stream):
        self.streams.add(stream)
        try:
            with contextlib.suppress(
                trio.BrokenResourceError, trio.ClosedResourceError, ValueError
            ):
                data = b""
                while True:
                    start, fields, data = await receive_head(stream, data)
                    data = await self.answer(stream, start, fields, data)
                    if data is None:
                        return
        finally:
            self.streams.discard(stream)
            with trio.move_on_after(0.2) as scope:
                scope.shield = True
                await stream.aclose()

    async def answer(self, stream, start, fields, data):
        """Answer one request; return the bytes after it, or None to close."""
        body, data = await receive_exactly(stream, data, int(fields.get(b"content-length", b"0")))
        method, target, _ = start.split(b" ")
        if target == b"/healthz":
            status = 503 if self.is_leaving else 200
            await self.send(stream, status, [(b"X-Instance-Id", self.id.encode())], b"")
            return data
        if target == b"/-/report":
            header = [(b"Content-Type", b"application/json")]
            await self.send(stream, 200, header, dump(self.report()))
            return data
        if target == b"/-/order":
            await self.take_order(stream, fields, body)
            return data
        expected = fields.get(b"x-expect-instance", self.id.encode())
        if expected != self.id.encode():
            await self.send(stream, 421, [(b"X-Instance-Id", self.id.encode())], b"")
            return data
        await self.run(stream, method, target, fields, body)
        return data

    def report(self):
        fields = {
            "busy": self.is_loading,
            "sequence": self.orders,
            "waiting": 0,
            "running": 0,
            "kv-used": 0,
            "kv-total": 90000,
            "handles": 0,
            "pace": 1.0,
            "born": self.born,
        }
        return fields | self.holding()

    async def take_order(self, stream, fields, body):
        await self.send(stream, 400, [], b"")

    async def run(self, stream, method, target, fields, body):
        request_id = fields[b"x-request-id"]
        self.ran[request_id] = self.ran.get(request_id, 0) + 1
        self.rig.record.write("runs", server=self.id, request=request_id.decode())
        await trio.sleep(self.work_s)
        header = [
            (b"X-Request-Id", request_id),
            (b"X-Server-Stamp", b"3e1b.07." + self.id.encode()),
        ]
        await self.send(stream, 200, header, b"done by " + self.id.encode())

    async def send(self, stream, status, header, body):
        lines = [b"HTTP/1.1 %d X" % status]
        lines += [name + b": " + value for name, value in header]
        if self.is_leaving:
            lines.append(b"Server-Leaving: 1")
        lines.append(b"Content-Length: %d" % len(body))
        await stream.send_all(b"\r\n".join(lines) + b"\r\n\r\n" + body)
