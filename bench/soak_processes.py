"""Randomized soak test: nodes as processes, injected faults, and checks of all responses."""

import argparse
import contextlib
import json
import math
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile

import trio

from basilwinch.exception import ServerError
from basilwinch.observability.logs import configure_logs
from basilwinch.platform.tests.site import KEYS, make_configuration, make_settings
from basilwinch.platform.tests.standin import StandinPlatform
from basilwinch.wire import connect
from bench.anomalies import ANOMALIES, SETTLING_S, check_nodes, delay_first_registrations
from bench.older_build import extract_build, read_production
from bench.proxy import FaultProxy
from bench.silences import FAULT_NAMES, SilenceMode

__all__ = ["Soak", "main"]

_SETTLING_S = 5.0  # from the last fault until requests must succeed again
_FAULT_INTERVAL_RANGE_S = (0.1, 1.2)  # shorter than most faults, so that they overlap
_FAULT_DURATION_RANGE_S = (0.3, 2.5)
_REQUEST_INTERVAL_S = 0.03
_CALLER_COUNT = 12
_MAX_REVOCATION_S = 5.0  # as revoke-ms in the settings of the nodes
_STREAM_BODY = b"".join(b"id: %d\ndata: token\n\n" % n for n in range(1, 7))
_NOT_RUN_STATUSES = (408, 421, 429, 503)  # they promise that the request was not run
_DENIALS = (401, 403, 404)  # wrong for each request whose key was never revoked
_COPY_INTERVAL_S = 0.5  # between copies of the store
_MAX_COPY_AGE_S = 6.0
_STORE_FAULT_PERIOD = 3  # with ``restores``, one of so many faults is a restore or dead connections
_CUT_ALL_PROBABILITY = 0.1
_LINK_FAULT_PERIOD = 5  # with ``cuts``, one of so many faults cuts nodes from all servers
_CUT_DURATION_RANGE_S = (3.0, 7.0)
_ANOMALY_PERIOD = 2  # with ``anomalies``, one of so many faults is one of them
_STABLE_S = 3.0  # after the start of a cut or the end of a fault of its process, a node must serve
_MIN_SERVED_RATIO = 2 / 3  # of cut nodes, against nodes that reach servers
_MAX_FAILED_FIRST = 10  # first attempts that may fail at cut nodes, besides one in 50
_REWRITE_DELAY_RANGE_S = (0.0, 1.0)  # until the operator and the servers write again


class Node:
    """A node's process, on a loopback address of its own."""

    def __init__(self, number: int, proxy: FaultProxy, folder: pathlib.Path):
        self.number = number
        # Concurrent runs get separate loopback networks.
        network, pid = divmod(os.getpid(), 250)
        self.host = f"127.{network % 250 + 1}.{pid}.{number + 1}"
        self.proxy = proxy
        self.log = folder / f"node-{number}.log"
        self.settings = folder / f"node-{number}.toml"
        self.settings.write_text(make_settings(number, self.host, f"{proxy.host}:{proxy.port}"))
        self.process: subprocess.Popen | None = None
        self._signalled: subprocess.Popen | None = None  # last process that was asked to end
        self._own_ends = 0
        self.build: pathlib.Path | None = None  # of an older version, None for this one
        self.cuts = 0  # cuts from all servers in force
        self.cut_at = 0.0
        self.disturbed_until = 0.0

    def disturb(self, duration_s: float = 0.0) -> None:
        """Record a fault of the process, or of its way to the store."""
        until = trio.current_time() + duration_s + _STABLE_S
        self.disturbed_until = max(self.disturbed_until, until)

    def start(self) -> None:
        command = [sys.executable, "-m", "basilwinch.platform.program"]
        environ = os.environ | {"PYTHONHASHSEED": "0"}
        if self.build is not None:
            environ["PYTHONPATH"] = str(self.build)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [*command, "--settings", str(self.settings), "--seed", "1"],
                stdout=log,
                stderr=log,
                env=environ,
                cwd=self.build,
            )

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to this process, if it still runs."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal_number)

    def count_own_ends(self) -> int:
        """Return how many processes of the node have ended without a signal of this test."""
        has_ended = self.process is not None and self.process.poll() is not None
        return self._own_ends + (has_ended and self.process is not self._signalled)

    async def restart(self, signal_number: int) -> None:
        """End the process by a signal and start it again."""
        process = self.process
        self._own_ends = self.count_own_ends()
        self._signalled = process
        self.disturb(math.inf)
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal_number)
        while process.poll() is None:
            await trio.sleep(0.02)
        # If restarts overlap, only the first to see the end starts a new process.
        if self.process is process:
            self.start()
        self.disturbed_until = trio.current_time() + _STABLE_S


class Soak:
    """One seeded run of the soak test.

    :param seed: seed of the faults and requests
    :param seconds: time in which faults are started
    :param nodes: number of processes
    :param folder: folder for settings and logs
    :param plant: violation to add to the results, which the checks must report: ``twice``,
        ``refused``, ``cut``, with ``anomalies`` ``ended`` or, with ``silences``, ``streams``; empty
        for none
    :param restores: whether the store is also restored from older copies, and its connections fall
        silent; a seed stands for other faults then
    :param cuts: whether nodes are also cut from all servers; a seed stands for other faults then
    :param older_build: folder of an older version, from which all nodes are upgraded one after the
        other, or with an odd seed rolled back to; None for no other version
    :param anomalies: whether the faults of :mod:`bench.anomalies` are added; a seed stands for
        other faults then
    :param silences: names of the faults of :class:`~bench.silences.SilenceMode` to choose from, all
        if empty; these faults, its streams and its checks are run instead of those of this class.
        None for no such run
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        nodes: int,
        folder,
        plant: str = "",
        restores: bool = False,
        cuts: bool = False,
        older_build: pathlib.Path | None = None,
        silences: list[str] | None = None,
        anomalies: bool = False,
    ):
        self.anomalies = anomalies
        self.older_build = older_build
        self.is_rollback = seed % 2 == 1
        self.replaced = 0
        self.restores = restores
        self.cuts = cuts
        # First attempts at nodes in order while some nodes are cut: served and sent, by whether
        # the node of the caller is one of them.
        self.first_attempts = {True: [0, 0], False: [0, 0]}
        self.copies: list[tuple[float, tuple]] = []
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.node_count = nodes
        self.folder = pathlib.Path(folder)
        self.plant = plant
        self.violations: list[str] = []
        self.faults: list[str] = []
        self.refused: set[bytes] = set()
        # By number of the node: requests on kept connections that it closed without a response.
        self.unanswered: dict[int, set[bytes]] = {}
        self.answers: list[tuple[float, int]] = []
        self.sent: dict[bytes, tuple[str, float]] = {}
        self.revoked: dict[str, float] = {}
        self.stopping = False
        self.silences = None if silences is None else SilenceMode(self, silences)

    async def run(self) -> dict:
        """Run nodes, callers and faults, check the responses, and return a report."""
        configuration = make_configuration()
        if self.silences is not None:
            self.silences.prepare_configuration(configuration)
        async with trio.open_nursery() as nursery:
            self.platform = StandinPlatform(configuration)
            await self.platform.start(nursery)
            for number in range(3):
                await self.platform.add_server(nursery, f"p{number}", "plain")
            if self.silences is not None:
                await self.silences.add_servers(nursery)
            else:
                for number in range(6):
                    await self.platform.add_server(nursery, f"c{number}", "llm", "card")
            self.configuration = configuration
            self.nodes = []
            for number in range(self.node_count):
                proxy = FaultProxy("127.0.0.1", self.platform.port)
                await proxy.start(nursery)
                self.nodes.append(Node(number, proxy, self.folder))
                if self.silences is not None:
                    self.silences.prepare_node(self.nodes[-1])
            if self.anomalies:
                delay_first_registrations(self)
            try:
                for node in self.nodes:
                    node.build = None if self.is_rollback else self.older_build
                    node.start()
                if self.silences is not None:
                    await self.silences.run(nursery)
                else:
                    await self._run_callers_and_faults(nursery)
            finally:
                for node in self.nodes:
                    node.send_signal(signal.SIGCONT)
                    node.send_signal(signal.SIGKILL)
                    if node.process:
                        node.process.wait()
            nursery.cancel_scope.cancel()
        if self.silences is not None:
            return {
                "violations": self.violations,
                "faults": self.faults,
                **self.silences.report(),
            }
        self._check_runs()
        self._check_cut_nodes()
        return {
            "violations": self.violations,
            "faults": self.faults,
            "requests": len(self.answers),
            "replaced": self.replaced,
            "at_cut_nodes": self.first_attempts[True],
            "at_other_nodes": self.first_attempts[False],
        }

    async def _run_callers_and_faults(self, nursery) -> None:
        await trio.sleep(3.0)
        for number in range(_CALLER_COUNT):
            nursery.start_soon(self._send_requests, random.Random(self.rng.random()), number)
        nursery.start_soon(self._copy_store)
        end = trio.current_time() + self.seconds
        async with trio.open_nursery() as faults:
            if self.older_build is not None:
                faults.start_soon(self._replace_nodes)
            while trio.current_time() < end:
                await trio.sleep(self.rng.uniform(*_FAULT_INTERVAL_RANGE_S))
                if self.cuts and len(self.faults) % _LINK_FAULT_PERIOD == 0:
                    self.faults.append("cut_servers")
                    faults.start_soon(_cut_servers, self)
                    continue
                if self.anomalies and len(self.faults) % _ANOMALY_PERIOD == 0:
                    fault = self.rng.choice(ANOMALIES)
                    self.faults.append(fault.__name__.strip("_"))
                    faults.start_soon(fault, self, self.rng.choice(self.nodes))
                    continue
                is_store_fault = self.restores and len(self.faults) % _STORE_FAULT_PERIOD == 0
                fault = self.rng.choice(_STORE_FAULTS if is_store_fault else _FAULTS)
                self.faults.append(fault.__name__.strip("_"))
                faults.start_soon(fault, self, self.rng.choice(self.nodes))
        await trio.sleep(SETTLING_S if self.anomalies else _SETTLING_S)
        settled_at = trio.current_time()
        await trio.sleep(2.0)
        statuses = [status for at, status in self.answers if at > settled_at]
        succeeded = sum(status == 200 for status in statuses)
        if succeeded < 0.9 * len(statuses) or not statuses:
            self.violations.append(
                f"recovery: {succeeded} of {len(statuses)} requests succeeded after the faults, "
                "expected at least 90%"
            )
        if self.anomalies:
            self.violations += check_nodes(self)
        self.stopping = True

    async def _replace_nodes(self) -> None:
        """Replace the nodes of one version by those of the other, one after the other."""
        for node in self.nodes:
            await trio.sleep(self.seconds / (len(self.nodes) + 1))
            node.build = self.older_build if self.is_rollback else None
            await node.restart(signal.SIGTERM)
            self.replaced += 1

    async def _copy_store(self) -> None:
        """Keep copies of the store from which it can be restored."""
        while True:
            now = trio.current_time()
            self.copies = [c for c in self.copies if now - c[0] < _MAX_COPY_AGE_S]
            self.copies.append((now, self.platform.copy()))
            await trio.sleep(_COPY_INTERVAL_S)

    async def _send_requests(self, rng, number: int) -> None:
        count = 0
        kept = {} if self.anomalies and number % 2 else None
        while not self.stopping:
            await trio.sleep(_REQUEST_INTERVAL_S * rng.uniform(0.5, 3))
            count += 1
            kind = rng.choice(["safe", "unsafe", "s"])
            key = rng.choice([k for k in KEYS if k not in self.revoked] or KEYS)
            if self.revoked and rng.random() < 0.2:
                key = rng.choice(list(self.revoked))
            request_id = b"%s-%d-%d" % (kind.encode(), number, count)
            node = rng.choice(self.nodes)
            with trio.move_on_after(4.0):
                await self._send_request(node, kind, key, request_id, kept)

    async def _send_request(self, node, kind, key, request_id, kept: dict | None) -> None:
        """Send a request and check its response.

        :param kept: connections of the caller by node, None if it opens one for each request
        """
        sent_at = trio.current_time()
        self.sent[request_id] = (key, sent_at)
        group = self._find_group(node, sent_at) if key not in self.revoked else None
        if group is not None:
            group[1] += 1
        method = b"GET" if kind == "safe" else b"POST"
        header = [
            (b"Host", b"h.example"),
            (b"X-Request-Id", request_id),
            (b"X-Deadline-Ms", b"3000"),
            (b"X-Token-Count", b"50,18"),
            (b"X-Credential", key.encode()),
        ]
        connection = None if kept is None else kept.pop(node, None)
        if connection is not None and not connection.is_open_and_silent():
            connection.close()
            connection = None
        is_kept, is_reusable = connection is not None, False
        is_disturbed = sent_at < node.disturbed_until
        try:
            connection = connection or await connect(node.host, 8101, 1.0)
            await connection.send(method, b"/%s/x" % kind.encode(), header, b"")
            response = await connection.receive_head()
            body = await connection.receive_body(1 << 20)
            is_reusable = kept is not None and connection.finish(trio.current_time())
        except ServerError:
            if is_kept and not is_disturbed and trio.current_time() >= node.disturbed_until:
                self.unanswered.setdefault(node.number, set()).add(request_id)
            return
        finally:
            if is_reusable:
                kept[node] = connection
            elif connection is not None:
                connection.close()
        if key not in self.revoked:
            self.answers.append((trio.current_time(), response.status_code))
        self._check_answer(kind, request_id, response, body)
        if group is not None:
            group[0] += response.status_code == 200

    def _find_group(self, node, now: float) -> list | None:
        """Return the counts of first attempts to which one at a node belongs, None if to none."""
        linked = [other for other in self.nodes if not other.cuts]
        if now < node.disturbed_until or all(now < other.disturbed_until for other in linked):
            return None
        cut_nodes = [other for other in self.nodes if other.cuts]
        if not any(now - other.cut_at >= _STABLE_S for other in cut_nodes):
            return None
        if node.cuts and now - node.cut_at < _STABLE_S:
            return None
        return self.first_attempts[node.cuts > 0]

    def _check_cut_nodes(self) -> None:
        (served, sent), (served_elsewhere, sent_elsewhere) = (
            self.first_attempts[True],
            self.first_attempts[False],
        )
        if self.plant == "cut":
            served, sent, served_elsewhere, sent_elsewhere = 0, 100, 100, 100
        if not sent or not sent_elsewhere or sent - served <= _MAX_FAILED_FIRST + sent / 50:
            return
        if served / sent < _MIN_SERVED_RATIO * served_elsewhere / sent_elsewhere:
            self.violations.append(
                f"cut nodes served {served} of {sent} requests, others {served_elsewhere} of "
                f"{sent_elsewhere}"
            )

    def _check_answer(self, kind, request_id, response, body) -> None:
        headers = dict(response.headers)
        if headers.get(b"x-request-id") != request_id:
            self.violations.append(f"response to {request_id!r} has another x-request-id, or none")
        if response.status_code in _NOT_RUN_STATUSES:
            self.refused.add(request_id)
        if response.status_code in _DENIALS and self.sent[request_id][0] not in self.revoked:
            self.violations.append(f"{request_id!r} was denied with {response.status_code}")
        if response.status_code != 200:
            return
        if b"x-server-stamp" not in headers:
            self.violations.append(f"response 200 without x-server-stamp to {request_id!r}")
        expected_body = (
            _STREAM_BODY if kind == "s" else b"done by " + headers.get(b"x-server-stamp", b"")
        )
        if body != expected_body:
            self.violations.append(
                f"wrong body for {request_id!r}: {body[:60]!r}, expected {expected_body[:60]!r}"
            )

    def _check_runs(self) -> None:
        runs: dict[bytes, int] = {}
        for server in self.platform.servers:
            for request_id in server.runs:
                runs[request_id] = runs.get(request_id, 0) + 1
        if self.plant == "twice":
            runs[next(r for r in runs if r.startswith(b"unsafe"))] += 1
        if self.plant == "refused":
            self.refused.add(next(r for r in runs if r.startswith(b"unsafe")))
        for request_id, count in runs.items():
            if request_id not in self.sent:
                self.violations.append(f"{request_id!r} ran but was never sent")
                continue
            key, sent_at = self.sent[request_id]
            if request_id.startswith(b"unsafe"):
                if count > 1:
                    self.violations.append(f"{request_id!r} ran {count} times")
                if request_id in self.refused:
                    self.violations.append(f"{request_id!r} ran although it was refused")
            if key in self.revoked and sent_at > self.revoked[key] + _MAX_REVOCATION_S:
                self.violations.append(
                    f"{request_id!r} ran with a key revoked over {_MAX_REVOCATION_S:g} s before"
                )


def _draw_duration_s(soak) -> float:
    return soak.rng.uniform(*_FAULT_DURATION_RANGE_S)


async def _kill(soak, node):
    await node.restart(signal.SIGKILL)


async def _terminate(soak, node):
    await node.restart(signal.SIGTERM)


async def _pause(soak, node):
    duration_s = _draw_duration_s(soak)
    node.disturb(duration_s)
    node.send_signal(signal.SIGSTOP)
    await trio.sleep(duration_s)
    node.send_signal(signal.SIGCONT)


async def _reload(soak, node):
    node.send_signal(signal.SIGHUP)


async def _cut_store(soak, node):
    node.proxy.mode = soak.rng.choice(["silent", "refuse"])
    if node.proxy.mode == "refuse":
        node.proxy.reset_all()
    duration_s = _draw_duration_s(soak)
    node.disturb(duration_s)
    await trio.sleep(duration_s)
    node.proxy.mode = "pass"


async def _delay_store(soak, node):
    node.proxy.mode, node.proxy.delay_s = "delay", soak.rng.uniform(0.05, 0.3)
    await trio.sleep(_draw_duration_s(soak))
    node.proxy.mode = "pass"


async def _stop_store(soak, node):
    soak.platform.outage_status = soak.rng.choice([503, 429])
    await trio.sleep(_draw_duration_s(soak))
    soak.platform.outage_status = None


async def _compact(soak, node):
    soak.platform.compact_history()


async def _spoil_server(soak, node):
    server = soak.rng.choice(soak.platform.servers)
    kinds = ["full", "reset", "error", "cut"] if server.kind else ["full", "reset", "error", "mute"]
    server.faults += [soak.rng.choice(kinds) for _ in range(soak.rng.randint(1, 4))]


async def _leave(soak, node):
    server = soak.rng.choice(soak.platform.servers[:2])
    server.state = "draining"
    soak.platform.register(server)
    await trio.sleep(_draw_duration_s(soak))
    server.state = "ready"
    soak.platform.register(server)


async def _withdraw_key(soak, node):
    valid_keys = [key for key in KEYS if key not in soak.revoked]
    if len(valid_keys) < 2:
        return
    configuration = soak.configuration
    configuration["version"] += soak.rng.randint(1, 5)
    key = soak.rng.choice(valid_keys)
    for organisation in configuration["tenants"]:
        organisation["api-keys"] = [k for k in organisation["api-keys"] if k != key]
    soak.platform.put("op/config", json.dumps(configuration).encode())
    soak.revoked[key] = trio.current_time()


async def _restore_store(soak, node):
    """Restore a copy, perhaps after an outage; its writers then write again what was lost."""
    platform = soak.platform
    if soak.rng.random() < 0.5:
        await _stop_store(soak, node)
    platform.restore(soak.rng.choice(soak.copies)[1])
    soak.copies.clear()
    soak.copies.append((trio.current_time(), platform.copy()))
    await trio.sleep(soak.rng.uniform(*_REWRITE_DELAY_RANGE_S))
    platform.put("op/config", json.dumps(soak.configuration).encode())
    for server in platform.servers:
        platform.register(server)


async def _silence_store(soak, node):
    soak.platform.silence_connections()


async def _cut_servers(soak):
    """Cut up to half of the nodes, or rarely all of them, from all servers."""
    count = soak.rng.randint(1, max(1, len(soak.nodes) // 2))
    if soak.rng.random() < _CUT_ALL_PROBABILITY:
        count = len(soak.nodes)
    nodes = soak.rng.sample(soak.nodes, count)
    how = soak.rng.choice(["hang", "reset", "refuse"])
    for node in nodes:
        if not node.cuts:
            node.cut_at = trio.current_time()
        node.cuts += 1
        soak.platform.cut_node(node.host, how)
    await trio.sleep(soak.rng.uniform(*_CUT_DURATION_RANGE_S))
    for node in nodes:
        node.cuts -= 1
        if not node.cuts:
            soak.platform.heal_node(node.host)
            node.disturb()


_STORE_FAULTS = [_restore_store, _restore_store, _silence_store]

_FAULTS = [
    _kill,
    _terminate,
    _pause,
    _reload,
    _cut_store,
    _delay_store,
    _stop_store,
    _compact,
    _spoil_server,
    _spoil_server,
    _leave,
    _withdraw_key,
]


def run_seed(
    seed: int,
    seconds: float,
    nodes: int,
    folder: str,
    plant: str = "",
    restores: bool = False,
    cuts: bool = False,
    older: str = "",
    silences: list[str] | None = None,
    anomalies: bool = False,
) -> dict:
    """Run one seed and return its report; ``older`` is the commit of an older version, if any."""
    with contextlib.ExitStack() as stack:
        folder = folder or stack.enter_context(tempfile.TemporaryDirectory())
        pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
        build = extract_build(older, pathlib.Path(folder).resolve()) if older else None
        soak = Soak(seed, seconds, nodes, folder, plant, restores, cuts, build, silences, anomalies)
        return trio.run(soak.run)


def main(arguments=None) -> int:
    """Run the seeds; return 1 if a check failed."""
    parser = argparse.ArgumentParser(description="Soak test of node processes under faults.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds, from --seed on")
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="time in which faults are started"
    )
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--logs", default="", help="folder for logs; a temporary one by default")
    parser.add_argument("--restores", action="store_true", help="also restore the store")
    parser.add_argument("--cuts", action="store_true", help="also cut nodes from all servers")
    parser.add_argument(
        "--anomalies",
        action="store_true",
        help="also reset connections early, carry out writes late, end leases and send invalid "
        "statuses",
    )
    parser.add_argument(
        "--silences",
        nargs="?",
        const="",
        metavar="FAULTS",
        help="run long streams under silent and refusing servers, paused nodes and series of "
        f"configurations instead; faults, separated by commas, of {', '.join(FAULT_NAMES)}",
    )
    parser.add_argument(
        "--older",
        default="",
        help="commit of an older version beside this one, or 'production' for that of the deploy "
        "file; the nodes are upgraded, or with an odd seed rolled back",
    )
    parser.add_argument(
        "--plant", default="", choices=["", "twice", "refused", "cut", "ended", "streams"]
    )
    options = parser.parse_args(arguments)
    silences = None
    if options.silences is not None:
        silences = [name for name in options.silences.split(",") if name]
        if unknown := set(silences) - set(FAULT_NAMES):
            parser.error(f"unknown faults: {', '.join(sorted(unknown))}")
    # Suppresses the stand-in's lines on intended faults; the nodes write their own logs.
    configure_logs("json", "critical")
    failed = 0
    # Exits by exception on SIGTERM, so that the node processes are killed.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    for seed in range(options.seed, options.seed + options.seeds):
        folder = f"{options.logs}/seed-{seed}" if options.logs else ""
        report = run_seed(
            seed,
            options.seconds,
            options.nodes,
            folder,
            options.plant,
            options.restores,
            options.cuts,
            read_production() if options.older == "production" else options.older,
            silences,
            options.anomalies,
        )
        failed += bool(report["violations"])
        print(json.dumps({"seed": seed, **report}), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
