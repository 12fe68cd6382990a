"""Stand-ins of the platform, of servers and of consumers for the scripts of this review.

Standard library only. Everything listens on loopback addresses and free ports. The stand-ins do
what the users' pages say; the disruption of a case is a method that its script calls.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
RESET = struct.pack("ii", 1, 0)


def now() -> float:
    return time.monotonic()


class Record:
    """Lines of what was sent, answered and run, written to ``record.txt``."""

    def __init__(self, path):
        self.start = now()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text: str) -> None:
        self.file.write(f"{now() - self.start:8.3f} {text}\n")
        self.file.flush()

    def close(self) -> None:
        self.file.close()


async def read_message(reader):
    """Return start line, headers by lower-case name and body of a message, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            body += data[:-2]
    return lines[0], headers, body


def build_message(status: int, headers, body: bytes) -> bytes:
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"HTTP/1.1 {status} X\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


def reset(writer) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


class Store:
    """The platform's store. Each machine reaches it at a port of its own, see ``open_port``."""

    def __init__(self, record: Record):
        self.record = record
        self.revision = 100
        self.items: dict[str, tuple[bytes, int, int, int]] = {}
        self.events: list[dict] = []
        self.leases: dict[int, list[float]] = {}  # id: time to live and end
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.down = False  # answers nothing
        self.paused_leases = False  # whether leases pause while it is down
        self.lose_next_write: dict[str, float] = {}  # machine: seconds until its write is done
        self.ports: dict[str, int] = {}
        self.tasks = set()

    async def open_port(self, machine: str) -> str:
        async def serve(reader, writer):
            await self._serve(machine, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.tasks.add(server)
        self.ports[machine] = server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{self.ports[machine]}"

    async def run(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if not (self.down and self.paused_leases):
                self._expire()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.events.append(self._item(key))
        self._notify()

    def delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self._notify()

    def _item(self, key: str) -> dict:
        value, revision, created, lease = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "create-rev": created,
            "lease": lease,
        }

    def _expire(self) -> None:
        for lease in [lease for lease, (_, end) in self.leases.items() if end < now()]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item[3] == lease]:
            self.record.write(f"store: lease {lease} has ended, key {key} removed")
            self.delete(key)

    async def _serve(self, machine, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (message := await read_message(reader)) is not None:
                line, _, body = message
                method, target, _ = line.split(" ")
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
                answer = None
                if not self.down:
                    answer = await self._answer(
                        machine, method, path, query, json.loads(body) if body else {}
                    )
                if answer is None or self.down:
                    await asyncio.sleep(3600)  # nothing further comes on this connection
                status, fields = answer
                header = [("Content-Type", "application/json"), ("Store-Era", "1")]
                writer.write(build_message(status, header, json.dumps(fields).encode()))
                await writer.drain()
        writer.close()

    async def _answer(self, machine, method, path, query, body):
        await asyncio.sleep(0.004)
        if path == "/-/kv-key":
            if query["key"] not in self.items:
                return 404, {"as-of": self.revision}
            return 200, self._item(query["key"]) | {"as-of": self.revision}
        if path == "/-/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            items = [self._item(key) for key in keys[:500]]
            return 200, {"items": items, "more-pages": len(keys) > 500, "as-of": self.revision}
        if path == "/-/kv-watch":
            return await self._watch(query)
        if path == "/-/kv-txn":
            delay = self.lose_next_write.pop(machine, None)
            if delay is None:
                return self._transact(body)
            self.record.write(f"store: a write of {machine} gets no answer, done {delay} s later")
            asyncio.get_running_loop().call_later(delay, self._transact_late, machine, body)
            return None
        if path == "/-/kv-lease":
            self.last_lease += 1
            self.leases[self.last_lease] = [body["ttl-ms"] / 1000, now() + body["ttl-ms"] / 1000]
            return 200, {"lease": self.last_lease, "ttl-ms": body["ttl-ms"]}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/-/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            self.leases[lease][1] = now() + self.leases[lease][0]
            return 200, {"ttl-ms": int(self.leases[lease][0] * 1000)}
        if path.startswith("/-/kv-lease-end/"):
            self._end_lease(lease)
            return 200, {}
        return 400, {}

    async def _watch(self, query):
        after, end = int(query["after"]), now() + int(query["wait-ms"]) / 1000
        while True:
            changed = self.changed
            events = [
                e
                for e in self.events
                if e["revision"] > after and e["key"].startswith(query["prefix"])
            ]
            if events or now() >= end:
                return 200, {"events": events, "as-of": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), end - now())

    def _transact(self, body):
        for row in body.get("expected", ()):
            if self.items.get(row["key"], (b"", 0))[1] != row["revision"]:
                return 412, {"items": []}
        for put in body.get("writes", ()):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in body.get("writes", ()):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in body.get("remove", ()):
            self.delete(key)
        return 200, {"revision": self.revision}

    def _transact_late(self, machine, body) -> None:
        status, _ = self._transact(body)
        keys = [put["key"] for put in body.get("writes", ())]
        self.record.write(f"store: the late write of {machine} is done now: {status} {keys}")


class Server:
    """A plain server that registers itself, and answers a request after ``work_s``.

    It runs ``slots`` requests at once and queues ``queue`` more; it turns others away as not run.
    """

    def __init__(self, store: Store, record: Record, name: str, service: str, zone: str):
        self.store, self.record = store, record
        self.id, self.service, self.zone = name, service, zone
        self.work_s = 0.02
        self.slots = 6
        self.queue = 24
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.cut: set[str] = set()  # addresses of machines whose links to it are cut
        self.is_cut_from_store = False
        self.extra: list[tuple[str, str]] = []  # further fields of its answers
        self.refuse = None  # function that returns fields of a 503, or None to run the request
        self.arrived: list[tuple[float, str, str, str]] = []  # time, machine, id, outcome
        self.ran: set[str] = set()  # ids of the requests that it has begun to run
        self.writers: dict = {}
        self.last_beat = -1e9

    async def start(self, heartbeat_s: float) -> None:
        self.heartbeat_s = heartbeat_s
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def beat(self) -> None:
        """Write the entry; called at each status report."""
        if self.sequence and f"servers/{self.id}" not in self.store.items:
            self.record.write(f"store: entry of {self.id} is back")
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": 1,
            "slots": self.slots,
            "state": self.state,
            "cold-left-ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def run(self) -> None:
        """Report every heartbeat; the store removes the entry after three of silence."""
        while True:
            if not self.store.down and not self.is_cut_from_store:
                self.beat()
                self.last_beat = now()
            await asyncio.sleep(self.heartbeat_s)

    async def run_expiry(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            key = f"servers/{self.id}"
            if key in self.store.items and now() - self.last_beat > 3 * self.heartbeat_s:
                if not self.store.down:
                    self.record.write(f"store: entry of {self.id} expired")
                    self.store.delete(key)

    def cut_machine(self, host: str) -> None:
        """Cut the links to a machine: open connections are reset, new ones too."""
        self.cut.add(host)
        for writer, peer in list(self.writers.items()):
            if peer == host:
                reset(writer)

    async def _serve(self, reader, writer) -> None:
        peer = writer.get_extra_info("peername")[0]
        if peer in self.cut:
            reset(writer)
            return
        self.writers[writer] = peer
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while (message := await read_message(reader)) is not None:
                    if not await self._answer(peer, message, writer):
                        break
        finally:
            self.writers.pop(writer, None)
            writer.close()

    async def _answer(self, peer, message, writer) -> bool:
        line, headers, body = message
        method, target, _ = line.split(" ")
        if target.startswith("/-/"):
            writer.write(build_message(404, [("Content-Type", "application/json")], b"{}"))
            await writer.drain()
            return True
        request_id = headers.get("x-request-id", "")
        header = [("X-Request-Id", request_id), *self.extra]
        if headers.get("x-expect-instance", self.id) != self.id:
            self.arrived.append((now(), peer, request_id, "421"))
            writer.write(build_message(421, [*header, ("X-Not-Executed", "1")], b""))
            await writer.drain()
            return True
        refusal = self.refuse(peer) if self.refuse else None
        if refusal is not None:
            self.arrived.append((now(), peer, request_id, "503"))
            self.record.write(f"{self.id}: {request_id} from {peer} refused, {refusal}")
            writer.write(build_message(503, [*header, ("X-Not-Executed", "1"), *refusal], b""))
            await writer.drain()
            return True
        if self.free.locked() and self.waiting >= self.queue:
            self.arrived.append((now(), peer, request_id, "full"))
            self.record.write(f"{self.id}: {request_id} from {peer} turned away, full")
            writer.write(build_message(503, [*header, ("X-Not-Executed", "1")], b""))
            await writer.drain()
            return True
        self.arrived.append((now(), peer, request_id, "run"))
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.ran.add(request_id)
            self.record.write(f"{self.id}: {request_id} from {peer} runs")
            self.running += 1
            await asyncio.sleep(self.work_s)
            self.running -= 1
        stamp = [("X-Server-Stamp", f"{self.id}.{request_id}")]
        load = [("X-Server-Load", f"{self.running},{self.waiting},{self.slots}")]
        writer.write(build_message(200, [*header, *stamp, *load], b"done " + request_id.encode()))
        await writer.drain()
        return True


class Node:
    """A process of the product, started as the deploy file says."""

    def __init__(self, number: int, zone: str, store_address: str, folder: pathlib.Path, zones):
        self.number, self.zone = number, zone
        self.name = f"edge-{zone}-{number}"
        pid = os.getpid()
        self.host = f"127.{pid // 250 % 250 + 1}.{pid % 250}.{number}"
        self.ports = [_find_free_port(self.host) for _ in range(4)]
        self.settings = folder / f"{self.name}.toml"
        self.log = folder / f"{self.name}.log"
        self.process = None
        self.is_ready = False
        self.misses = 0
        self.folder = folder
        self.store_address = store_address
        self.zones = zones
        self.grace_s = 8

    def write_settings(self, peer_port: int, seeds) -> None:
        front, ready, control = (f"{self.host}:{port}" for port in self.ports[:3])
        zones = "\n".join(f'{zone} = "ro-nord"' for zone in self.zones)
        self.settings.write_text(
            f'''node-name = "{self.name}"
role = "entry"
machine-class = "edge"
serves = ["edge","control_plane"]
ip = "{self.host}"
zone = "{self.zone}"
region = "ro-nord"
internal-ports = [{peer_port},{peer_port + 9}]
seeds = {json.dumps(seeds)}
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[zones]
{zones}
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[limits]
cpu-share = 0.537
cpu-cores = 2
memory-mb = 300
max-fds = 4200
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-s = 2
stable-ms = 3000
ack-ms = 4000
sync-s = 4
drain-ms = 2000
grace-s = {self.grace_s}
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
revoke-closed = true
revoke-ms = 5000
retry-ratio = 0.2
retry-window-s = 10
retry-slack = 196
recovery-s = 12
pass-ms = 120
retry-after-s = 0
stall_ms = 3000
require-fence = false
[platform]
address = "{self.store_address}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
''',
            encoding="utf-8",
        )

    async def start(self) -> None:
        environ = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environ["BASILWINCH_SETTINGS"] = str(self.settings)
        environ["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}"
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "basilwinch.platform.program",
                cwd=ROOT,
                env=environ,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def watch_ready(self) -> None:
        """Ask for readiness once a second, as the platform does."""
        while True:
            status = 0
            with contextlib.suppress(OSError, asyncio.TimeoutError, ConnectionError):
                status, _, _ = await asyncio.wait_for(
                    call(self.host, self.ports[1], "GET", "/-/readyz", [], b""), 1.0
                )
            self.misses = 0 if status == 200 else self.misses + 1
            self.is_ready = status == 200 if self.misses in (0,) else self.is_ready
            if self.misses >= 2:
                self.is_ready = False
            await asyncio.sleep(1.0)


class Link:
    """The links of one machine to the other machines of the system, which pass through here.

    The machine has an internal port of its own, and this maps it, so that each machine sees the
    others at their addresses and at the port that it knows. While ``is_resetting``, datagrams are
    dropped, and connections are reset at both ends: open ones at once, new ones as they are opened.

    :param machine: :class:`Node` whose links these are
    :param others: the other nodes
    :param port: internal port of the machine
    :param common_port: internal port of the others
    """

    def __init__(self, record: Record, machine, others, port: int, common_port: int):
        self.record = record
        self.machine, self.others = machine, others
        self.port, self.common_port = port, common_port
        self.is_resetting = False
        self.open: set = set()
        self.kept: list = []  # servers, sockets and tasks

    async def start(self) -> None:
        for other in self.others:
            await self._listen(other.host, self.port, other.host, self.common_port)
            self._open_datagrams(other.host, self.port, other.host, self.common_port)
        await self._listen(self.machine.host, self.common_port, self.machine.host, self.port)
        self._open_datagrams(self.machine.host, self.common_port, self.machine.host, self.port)

    def cut(self) -> None:
        """Reset all connections of the machine to others from now on."""
        self.is_resetting = True
        for writer in list(self.open):
            reset(writer)

    def heal(self) -> None:
        self.is_resetting = False

    async def _listen(self, host, port, target_host, target_port) -> None:
        async def serve(reader, writer):
            source = writer.get_extra_info("peername")[0]
            if self.is_resetting:
                self.record.write(f"link: a connection of {source} to {target_host} is reset")
                with socket.socket() as sock:
                    sock.bind((source, 0))
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    with contextlib.suppress(OSError):
                        sock.connect((target_host, target_port))
                reset(writer)
                return
            try:
                upstream = await asyncio.open_connection(
                    target_host, target_port, local_addr=(source, 0)
                )
            except OSError:
                reset(writer)
                return
            ends = (writer, upstream[1])
            self.open.update(ends)
            try:
                await asyncio.gather(_copy(reader, upstream[1]), _copy(upstream[0], writer))
            finally:
                self.open.difference_update(ends)
                for end in ends:
                    end.close()

        self.kept.append(await asyncio.start_server(serve, host, port))

    def _open_datagrams(self, host, port, target_host, target_port) -> None:
        loop = asyncio.get_running_loop()
        inner = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        inner.bind((host, port))
        inner.setblocking(False)
        senders = {}

        def receive():
            with contextlib.suppress(OSError):
                data, (source, _) = inner.recvfrom(65535)
                if source not in senders:
                    senders[source] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                    senders[source].bind((source, 0))
                if not self.is_resetting:
                    senders[source].sendto(data, (target_host, target_port))

        loop.add_reader(inner, receive)
        self.kept.append(inner)


async def _copy(reader, writer) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        writer.write_eof()


_given_ports: set[int] = set()


def _find_free_port(host: str) -> int:
    while True:
        with socket.socket() as sock:
            sock.bind((host, 0))
            port = sock.getsockname()[1]
        if port not in _given_ports and port < 65000:
            _given_ports.add(port)
            return port


class Connection:
    """A consumer's connection to a node."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.is_usable = True

    @classmethod
    async def open(cls, host: str, port: int) -> "Connection":
        return cls(*await asyncio.wait_for(asyncio.open_connection(host, port), 1.0))

    async def call(self, method: str, path: str, headers, body: bytes):
        """Return status, headers and body; status 0 if the connection ends without an answer."""
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers)
        if body or method == "POST":
            fields += f"Content-Length: {len(body)}\r\n"
        try:
            self.writer.write(f"{method} {path} HTTP/1.1\r\n{fields}\r\n".encode() + body)
            await self.writer.drain()
            message = await read_message(self.reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            message = None
        if message is None:
            self.is_usable = False
            return 0, {}, b""
        line, answer, data = message
        if answer.get("connection", "").lower() == "close":
            self.is_usable = False
        return int(line.split(" ")[1]), answer, data

    def close(self) -> None:
        self.writer.close()


async def call(host, port, method, path, headers, body):
    """Make a call on a new connection."""
    connection = await Connection.open(host, port)
    try:
        headers = [("Host", f"{host}:{port}"), ("Connection", "close"), *headers]
        return await connection.call(method, path, headers, body)
    finally:
        connection.close()


def make_configuration(version: int = 3, routes=(), services=("depozit",)) -> dict:
    def route(name, prefix, kind, service, **fields):
        common = {"name": name, "host": "h.example", "prefix": prefix, "kind": kind}
        common |= {"service": service, "timeout-ms": 2000, "slo-ms": 300, "max-attempts": 2}
        return common | {"priority": 2} | fields

    return {
        "version": version,
        "routes": [
            route("stock-check", "/check/", "idempotent", "depozit"),
            route("stock-release", "/release/", "non_idempotent", "depozit", **{"max-attempts": 1}),
            *routes,
        ],
        "services": [
            service if isinstance(service, dict) else {"name": service} for service in services
        ],
        "tenants": [
            {"name": "crew-a", "api-keys": ["key-a-1", "key-a-2"]},
            {"name": "crew-b", "api-keys": ["key-b-1"]},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


def run(main) -> None:
    """Run a case and exit with its result, without waiting for what is left of its tasks.

    At SIGTERM the case is given up, after it has ended the processes that it started.
    """

    async def run_and_exit():
        code = 2
        task = asyncio.create_task(main())
        loop = asyncio.get_running_loop()

        def give_up():
            if not task.cancelling():  # the signal may come more than once
                task.cancel()

        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, give_up)
        try:
            code = await task
        except asyncio.CancelledError:
            print("given up")
        finally:
            sys.stdout.flush()
            os._exit(code)

    asyncio.run(run_and_exit())
