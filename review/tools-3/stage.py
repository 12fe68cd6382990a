"""Entry nodes as separate processes, with the project's stand-in platform and raw HTTP callers."""

import contextlib
import itertools
import json
import logging
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

import structlog  # noqa: E402
import trio  # noqa: E402

from basilwinch.platform.tests.standin import StandinPlatform, StandinServer  # noqa: E402

# What the stand-ins log themselves is left out; record.txt tells what matters.
structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))

KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
HEARTBEAT_S = 1.2
READY_TIMEOUT_S = 20.0
# The command of the one role in deploy/system.toml.
COMMAND = ["python3", "-m", "basilwinch.platform.program"]

_SETTINGS = """\
node-name = "{name}"
role = "entry"
machine-class = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "z0"
region = "r0"
internal-ports = [{peer},{peer_end}]
seeds = []
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = [
  "base","drain","config","cost","retry","recover",
  "engine","stream","tenants","platform","layers",
]
[zones]
z0 = "r0"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
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
grace-s = 8
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
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""


def make_route(name: str, prefix: str, kind: str, service: str, **fields) -> dict:
    """Return a route with the figures of the small deployments."""
    route = {"name": name, "host": HOST, "prefix": prefix, "kind": kind, "service": service}
    route |= {"timeout-ms": 4000, "slo-ms": 400, "priority": 1, "max-attempts": 2}
    return route | {"no-auth": False, "sticky": False} | fields


def make_configuration(routes: list, engine: bool = True, version: int = 7) -> dict:
    """Return a configuration with a plain service and, if wanted, a model service."""
    services = [{"name": "wuno96b", "health-path": "/healthz", "max-conns": 96}]
    if engine:
        kinds = [{"name": "a100", "mb": 72000.0, "pace": 2.4, "read-x": 3.2}]
        model = {
            "slots": 96,
            "kv-capacity": 50000,
            "kv-token-bytes": 1836000,
            "stride": 3,
            "models": [{"name": "daka510000", "pace": 1.0, "load-s": 1.0, "warm-s": 1.0}],
            "step_ms": 1.02,
            "per_seq_ms": 0.01428,
            "context_per_k": 0.01912,
            "read_per_s": 105000.0,
            "usual": {"prompt": 774, "answer": 200},
            "layers": 8,
            "layer-mb": 1750.0,
            "kinds": kinds,
        }
        services.append(
            {"name": "huvo11a", "health-path": "/healthz", "max-conns": 1058, "engine": model}
        )
    limits = {"max-header-bytes": 16384, "max-body-bytes": 4194304}
    limits |= {"header-timeout-ms": 3000, "idle-timeout-ms": 15000}
    tenants = [{"name": "hule930", "api-keys": [KEY], "priority": 1}]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": tenants,
    }


def get_slots(server) -> int:
    """Return the slots of a server, as on the site."""
    return 6 if server.kind is None else 96


def make_entry(server) -> dict:
    """Return what a server reports of itself."""
    return server.entry() | {"slots": get_slots(server)}


class Platform(StandinPlatform):
    """The project's stand-in, with orders as PROTOCOL.md tells them.

    ``orders`` lists what servers were ordered: id, body, status. A server that is ordered to hold
    more layers than ``max_layers`` says for its kind crashes.
    """

    def __init__(self, configuration: dict):
        super().__init__(configuration)
        self.orders: list[tuple[str, dict, int]] = []
        self.max_layers: dict[str, int] = {}
        self._limiters: dict[str, trio.CapacityLimiter] = {}
        self.on_order = lambda server, order, status: None

    async def _answer_server(self, server, exchange) -> None:
        expected_id = exchange.headers.get(b"x-expect-instance", server.id.encode())
        if expected_id != server.id.encode():
            header = [(b"X-Instance-Id", server.id.encode()), (b"X-Not-Executed", b"1")]
            await exchange.respond(421, header, b"")
        elif exchange.target == b"/-/order":
            order = json.loads(exchange.body)
            is_current = order.get("expected", server.orders) == server.orders
            status = 202 if is_current else 409
            if server.kind is None:
                status = 400
            self.orders.append((server.id, order, status))
            self.on_order(server, order, status)
            if status == 202:
                server.orders += 1
                if order["to"] - order["from"] > self.max_layers.get(server.kind, 1 << 30):
                    server.crash()
                    return
                server.layers = (order["from"], order["to"])
                self.register(server)
            await exchange.respond(status, [], b"")
        elif exchange.target.startswith(b"/-/"):
            await super()._answer_server(server, exchange)
        else:
            await self._run_in_slot(server, exchange)

    async def _run_in_slot(self, server, exchange) -> None:
        """Run a request in a slot; the queue is as long as there are slots, beyond it is full."""
        slots = get_slots(server)
        limiter = self._limiters.setdefault(server.id, trio.CapacityLimiter(slots))
        if limiter.statistics().tasks_waiting >= slots:
            header = [(b"X-Request-Id", exchange.headers[b"x-request-id"])]
            await exchange.respond(503, [*header, (b"X-Not-Executed", b"1")], b"")
            return
        async with limiter:
            await super()._answer_server(server, exchange)

    def register(self, server) -> None:
        server.heartbeats += 1
        self.put(f"servers/{server.id}", dump(make_entry(server)))


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: pathlib.Path):
        self._file = open(path, "w")
        self._start = time.monotonic()

    def write(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


class Answer:
    """What a caller got: status (0 for none), header, body, and how many seconds that took."""

    def __init__(self, status: int, headers: dict, body: bytes, seconds: float, note: str = ""):
        self.status = status
        self.headers = headers
        self.body = body
        self.seconds = seconds
        self.note = note

    def __str__(self):
        return f"status {self.status} after {self.seconds:.3f} s {self.note}".rstrip()


class Node:
    """One entry node."""

    def __init__(self, name: str, ip: str, ports: dict, settings: pathlib.Path, folder):
        self.name = name
        self.ip = ip
        self.front = (ip, ports["front"])
        self.ready = (ip, ports["ready"])
        self.log = folder / f"{name}.log"
        self._settings = settings
        self.process = None

    def start(self) -> None:
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        paths = os.pathsep.join([str(ROOT / "target" / "deps"), str(ROOT)])
        environ = kept | {"PYTHONPATH": paths, "BASILWINCH_SETTINGS": str(self._settings)}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environ, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Stage:
    """The platform, its servers and the nodes; ``platform`` is the stand-in of the project."""

    def __init__(self, platform, nursery, folder, record):
        self.platform = platform
        self.nursery = nursery
        self.folder = folder
        self.record = record
        self.nodes: list[Node] = []
        self._ids = itertools.count(1)
        self.beating: set = set()

    def new_id(self) -> str:
        return f"{os.getpid():06x}{next(self._ids):010x}"

    def add_nodes(self, count: int) -> None:
        """Start nodes, each at its own loopback address, with the same ports."""
        base = f"127.{20 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}"
        hosts = [f"{base}.{10 + number}" for number in range(count)]
        ports = _find_ports(hosts)
        for number, host in enumerate(hosts):
            name = f"edge-z0-{number + 1}"
            path = self.folder / f"{name}.toml"
            store = f"127.0.0.1:{self.platform.port}"
            path.write_text(_SETTINGS.format(name=name, ip=host, store=store, **ports))
            node = Node(name, host, ports, path, self.folder)
            self.nodes.append(node)
            node.start()

    async def add_server(self, server_id: str, service: str, kind: str | None = None):
        """Start a server that renews its entry at each heartbeat."""
        server = await self.platform.add_server(self.nursery, server_id, service, kind)
        self.beating.add(server)
        self.nursery.start_soon(self._beat, server)
        return server

    async def add_server_at(self, port: int, server_id: str, service: str, kind: str):
        """Start a server at a port of 127.0.0.1 that an earlier one had."""
        listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
        server = StandinServer(server_id, service, port, kind)
        server.nursery = self.nursery
        self.platform.servers.append(server)

        async def answer(exchange):
            await self.platform._answer_server(server, exchange)

        serve = self.platform._serve_with(answer)
        self.nursery.start_soon(server.serve, serve, listeners)
        self.platform.register(server)
        self.beating.add(server)
        self.nursery.start_soon(self._beat, server)
        return server

    async def _beat(self, server) -> None:
        while True:
            await trio.sleep(HEARTBEAT_S)
            if server in self.beating:
                self.platform.register(server)

    async def wait_until_ready(self, seconds: float = READY_TIMEOUT_S) -> None:
        """Wait until all nodes say that they are ready."""
        with trio.fail_after(seconds):
            for node in self.nodes:
                while await read_ready(node) != 200:
                    await trio.sleep(0.1)

    async def wait_for_layers(self, seconds: float = READY_TIMEOUT_S) -> None:
        """Wait until all model servers hold layers, and nodes have seen it."""
        with trio.fail_after(seconds):
            while not all(s.layers for s in self.platform.servers if s.kind):
                await trio.sleep(0.1)
        await trio.sleep(1.5)


async def read_ready(node: Node, seconds: float = 1.0) -> int:
    """Return the status of a node's readiness, 0 without an answer."""
    with trio.move_on_after(seconds):
        try:
            answer = await exchange(node.ready, b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            return answer.status
        except (OSError, trio.BrokenResourceError):
            return 0
    return 0


def build_request(
    method: str, path: str, request_id: str, deadline_ms: int = 4000, headers=(), body=b""
) -> bytes:
    """Return the bytes of a caller's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"X-Credential: {KEY}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def exchange(address, data: bytes) -> Answer:
    """Send a request on a new connection and return the whole answer.

    The status is 0 if the connection ends before the answer is complete.
    """
    import h11

    start = trio.current_time()
    parser = h11.Connection(h11.CLIENT)
    head, body = None, b""
    parser.send(h11.Request(method=data.split(b" ", 1)[0], target="/", headers=[("Host", "x")]))
    parser.send(h11.EndOfMessage())
    note = ""
    try:
        stream = await trio.open_tcp_stream(*address)
        async with stream:
            await stream.send_all(data)
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    parser.receive_data(await stream.receive_some(65536))
                elif isinstance(event, h11.Response):
                    head = event
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    seconds = trio.current_time() - start
                    return Answer(head.status_code, dict(head.headers), body, seconds)
                elif isinstance(event, h11.ConnectionClosed):
                    note = "closed"
                    break
    except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError) as error:
        note = f"{type(error).__name__}"
    headers = dict(head.headers) if head is not None else {}
    return Answer(0, headers, body, trio.current_time() - start, note)


def _find_ports(hosts: list[str]) -> dict:
    for base in range(12000 + os.getpid() % 100 * 100, 32000, 100):
        ports = {"front": base, "ready": base + 1, "control": base + 2}
        ports |= {"peer": base + 10, "peer_end": base + 25}
        needed = [(host, port) for host in hosts for port in (*ports.values(), 9464)]
        if all(_is_free(*address) for address in needed):
            return ports
    raise OSError("no free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


@contextlib.asynccontextmanager
async def run_stage(configuration: dict, record: Record):
    """Run a platform; nodes and servers are added by the case, and all end with it."""
    with tempfile.TemporaryDirectory() as name:
        stage = None
        try:
            async with trio.open_nursery() as nursery:
                platform = Platform(configuration)
                await platform.start(nursery)
                stage = Stage(platform, nursery, pathlib.Path(name), record)
                yield stage
                nursery.cancel_scope.cancel()
        finally:
            for node in stage.nodes if stage else ():
                node.end()
            keep = os.environ.get("KEEP_LOGS")
            for node in stage.nodes if stage and keep else ():
                pathlib.Path(keep, node.log.name).write_bytes(node.log.read_bytes())


def main(case, with_trouble: bool, limit_s: float = 110.0) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run.

    :param case: async function of whether there is trouble, and of the record; it returns whether
        the rule held
    :param with_trouble: whether to play the disruption
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    record.write(f"with the disruption: {with_trouble}")

    async def run():
        with trio.fail_after(limit_s):
            return await case(with_trouble, record)

    try:
        held = trio.run(run)
    except BaseException as error:
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    verdict = "rule held" if held else "rule broken"
    record.write(verdict)
    print(verdict)
    sys.exit(0 if held else 1)


def dump(value) -> bytes:
    return json.dumps(value).encode()
