"""Rig of the review's scripts: real nodes as processes, with the platform and servers as stand-ins.

Everything listens on loopback addresses of one network that is chosen at random. The store is the
project's own stand-in; the servers here speak HTTP/1.1 on plain sockets, so that a script can send
any bytes and end a connection in any way.
"""

import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import structlog
import trio

from basilwinch.platform.tests.standin import StandinPlatform
from bench.proxy import FaultProxy

# The stand-in of the store logs each lost connection.
structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
RESTART_DELAY_S = 0.5
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
MODEL = "daka510000"
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"  # struct linger: on, 0 s; closing then sends RST

SETTINGS = """
node-name = "{name}"
role = "entry"
machine-class = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "ro-nord"
internal-ports = [{internal},{internal_end}]
seeds = []
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[zones]
z0 = "ro-nord"
z1 = "ro-nord"
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


class Record:
    """Lines of record.txt, each with the time since the start of the script."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, what, **fields):
        at = time.monotonic() - self._start
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at:8.3f} {what} {rest}".rstrip() + "\n")
        self._file.flush()


def route(name, prefix, kind, service, **fields):
    """Return a route of the configuration, in the form that PROTOCOL.md shows."""
    common = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout-ms": 4000,
        "slo-ms": 400,
        "priority": 1,
        "service": service,
        "max-attempts": 1,
        "no-auth": False,
    }
    return common | fields


def engine(kinds, layers=8):
    """Return the engine of a model service with layers of 1,000 MB each."""
    return {
        "slots": 96,
        "kv-capacity": 50000,
        "kv-token-bytes": 80000,
        "link-mbps": 400000.0,
        "stride": 3,
        "models": [{"name": MODEL, "pace": 1.0, "load-s": 0.4, "warm-s": 1.0}],
        "step_ms": 1.02,
        "per_seq_ms": 0.01428,
        "context_per_k": 0.01912,
        "read_per_s": 105000.0,
        "pairs_per_m": 0.309,
        "chunk": 512,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 774, "answer": 200},
        "layers": layers,
        "layer-mb": 1000.0,
        "act-bytes": 0,
        "pipe-mbps": 26000.0,
        "kinds": [{"name": n, "mb": mb, "pace": 1.0, "read-x": 1.0} for n, mb in kinds.items()],
    }


def configuration(routes, services, version=7):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": [{"name": TENANT, "api-keys": [KEY]}],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


class Node:
    """A node's process, started with the command of the deploy file, and started again if it ends."""

    def __init__(self, rig, number, zone, way=None):
        self.rig = rig
        self.way = way  # to the store, None for none of its own
        self.name = f"edge-{number + 1}"
        self.ip = f"{rig.network}.{number + 1}"
        self.front, self.ready, control = 8227, 8220, 8229
        self.settings = rig.folder / f"{self.name}.toml"
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=zone,
                internal=7340,
                internal_end=7355,
                front=self.front,
                ready=self.ready,
                control=control,
                store=f"{way.host}:{way.port}" if way else rig.store_address,
            )
        )
        self.log = rig.folder / f"{self.name}.log"
        self.process = None
        self.own_ends = []  # times at which the process ended by itself
        self._ordered_end = False

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        names = ("PATH", "HOME", "LANG")
        environ = {name: os.environ[name] for name in names if name in os.environ}
        environ["PYTHONPATH"] = str(ROOT / "target/deps")
        environ["BASILWINCH_SETTINGS"] = str(self.settings)
        environ["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, stdout=log, stderr=log, env=environ, cwd=ROOT, stdin=subprocess.DEVNULL
            )
        self.rig.record.write("process started", node=self.name)

    def last_check(self):
        """Return when the node last asked for the store's revision, on its own way."""
        ports = set()
        for stream in self.way._open_streams:
            with contextlib.suppress(OSError):
                ports.add(stream.socket.getsockname()[1])
        return max((self.rig.platform.asked.get(port, 0.0) for port in ports), default=0.0)

    async def supervise(self):
        """Start the process again, after a short delay, whenever it ends."""
        while True:
            await trio.sleep(0.02)
            if self.process.poll() is None:
                continue
            if not self._ordered_end:
                self.own_ends.append(trio.current_time())
                self.rig.record.write(
                    "process ended by itself", node=self.name, status=self.process.returncode
                )
            await trio.sleep(RESTART_DELAY_S)
            self._ordered_end = False
            self.start()

    def signal(self, number):
        if self.process.poll() is None:
            if number in (signal.SIGTERM, signal.SIGKILL):
                self._ordered_end = True
            self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def tail(self, text):
        """Return the last line of the log with a text."""
        lines = self.log.read_text(errors="replace").splitlines()
        return next((line for line in reversed(lines) if text in line), "")

    async def is_ready(self):
        with contextlib.suppress(OSError, trio.TooSlowError, trio.BrokenResourceError):
            with trio.fail_after(1.0):
                status, _, _ = await call(self.ip, self.ready, b"GET", b"/-/readyz", [], b"")
                return status == 200
        return False


class Platform(StandinPlatform):
    """The project's stand-in of the store, which can also cut the watches that wait."""

    def __init__(self, configuration_):
        super().__init__(configuration_)
        self._waiting = set()
        self.asked = {}  # by the caller's port: time of its last query of the store's revision

    async def _answer(self, exchange):
        if exchange.target.startswith(b"/-/kv-range?prefix=%7E") or b"prefix=~" in exchange.target:
            with contextlib.suppress(OSError):
                port = exchange._connection._stream.socket.getpeername()[1]
                self.asked[port] = trio.current_time()
        if not exchange.target.startswith(b"/-/kv-watch"):
            await super()._answer(exchange)
            return
        self._waiting.add(exchange._connection)
        try:
            await super()._answer(exchange)
        finally:
            self._waiting.discard(exchange._connection)

    def cut_watches(self):
        """End the watches that wait without an answer, in order, not by a reset; return their number."""
        cut = list(self._waiting)
        for connection in cut:
            with contextlib.suppress(OSError):
                connection._stream.socket.shutdown(socket.SHUT_WR)
        return len(cut)


class Rig:
    """The platform, the nodes and the servers of one script."""

    def __init__(self, nursery, record, folder, configuration_):
        self.nursery = nursery
        self.record = record
        self.folder = folder
        self.network = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.platform = Platform(configuration_)
        self.nodes = []

    @property
    def store_address(self):
        return f"127.0.0.1:{self.platform.port}"

    async def start(self, nodes, zone=None, own_ways=False):
        """Start the store and the nodes.

        :param zone: zone of all nodes. Two nodes of a zone read the store themselves, so by default
            only two are in each zone
        :param own_ways: whether each node has a proxy of its own before the store
        """
        await self.platform.start(self.nursery)
        for number in range(nodes):
            way = None
            if own_ways:
                way = FaultProxy("127.0.0.1", self.platform.port)
                await way.start(self.nursery)
            node = Node(self, number, zone or f"z{number // 2}", way)
            self.nodes.append(node)
            node.start()
            self.nursery.start_soon(node.supervise)

    async def wait_until_ready(self, timeout_s=30.0):
        with trio.fail_after(timeout_s):
            for node in self.nodes:
                while not await node.is_ready():
                    await trio.sleep(0.1)
        self.record.write("all nodes ready")


async def receive_head(stream, data=b""):
    """Return the head of a message as start line and fields, and the bytes after it."""
    while b"\r\n\r\n" not in data:
        part = await stream.receive_some(65536)
        if not part:
            raise trio.BrokenResourceError("closed")
        data += part
    head, _, rest = data.partition(b"\r\n\r\n")
    start, *lines = head.split(b"\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(b":")
        fields[name.strip().lower()] = value.strip()
    return start, fields, rest


async def receive_exactly(stream, data, count):
    while len(data) < count:
        part = await stream.receive_some(65536)
        if not part:
            raise trio.BrokenResourceError("closed")
        data += part
    return data[:count], data[count:]


async def receive_chunked(stream, data):
    body = b""
    while True:
        while b"\r\n" not in data:
            part = await stream.receive_some(65536)
            if not part:
                raise trio.BrokenResourceError("closed")
            data += part
        size, _, data = data.partition(b"\r\n")
        count = int(size.split(b";")[0], 16)
        chunk, data = await receive_exactly(stream, data, count + 2)
        if not count:
            return body, data
        body += chunk[:-2]


def reset(stream):
    """Close a connection with a reset, as the system does for a process that crashes."""
    with contextlib.suppress(OSError):
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    stream.socket.close()


def encode_request(method, target, fields, body):
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines += [name + b": " + value for name, value in fields]
    if body or method == b"POST":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def read_answer(stream):
    """Return status, fields and body; raise BrokenResourceError if the answer is not complete."""
    start, fields, rest = await receive_head(stream)
    status = int(start.split()[1])
    if fields.get(b"transfer-encoding") == b"chunked":
        body, _ = await receive_chunked(stream, rest)
    else:
        body, _ = await receive_exactly(stream, rest, int(fields[b"content-length"]))
    return status, fields, body


async def call(host, port, method, target, fields, body):
    """Make one call on a new connection; return status, fields and body."""
    stream = await trio.open_tcp_stream(host, port, local_address=None)
    async with stream:
        header = [(b"Host", HOST.encode()), *fields]
        await stream.send_all(encode_request(method, target, header, body))
        return await read_answer(stream)


def consumer_fields(request_id, deadline_ms=4000):
    return [
        (b"X-Request-Id", request_id),
        (b"X-Deadline-Ms", b"%d" % deadline_ms),
        (b"X-Credential", KEY.encode()),
    ]


def run_script(folder, main):
    """Run ``await main(nursery, record, folder)``; exit with its result, or with 2 on an error."""
    record = Record(pathlib.Path(folder) / "record.txt")
    rigs = []

    async def run():
        with trio.move_on_after(110) as scope:
            async with trio.open_nursery() as nursery:
                result = await main(nursery, record, work, rigs)
                nursery.cancel_scope.cancel()
                return result
        record.write("time over", cancelled=scope.cancelled_caught)
        return 2

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory() as name:
        work = pathlib.Path(name)
        try:
            status = trio.run(run)
        except Exception as error:  # the case could not run
            record.write("could not run", error=repr(error).replace("\n", " "))
            status = 2
        finally:
            for rig in rigs:
                for node in rig.nodes:
                    node.stop()
                    if os.environ.get("KEEP_LOGS"):
                        target = pathlib.Path(os.environ["KEEP_LOGS"]) / node.log.name
                        target.write_bytes(node.log.read_bytes())
    record.write("result", exit=status)
    print(f"exit {status}, see record.txt")
    sys.exit(status)


def is_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def dump(fields):
    return json.dumps(fields).encode()
