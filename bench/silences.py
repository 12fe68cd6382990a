"""Long streams under silent, full and leaving servers, paused nodes and series of configurations.

A mode of :mod:`bench.soak_processes`.
"""

import collections
import contextlib
import json
import pathlib
import random
import re
import signal

import trio

from basilwinch.exception import ServerError
from basilwinch.platform.tests.site import KEYS
from basilwinch.wire import connect

__all__ = ["FAULT_NAMES", "PLANTED_WORDS", "SilenceMode"]

#: Words with which the checks report each violation that the plant ``streams`` adds.
PLANTED_WORDS = (
    "broke off after 1 of",
    "lost with 502",
    "no end after its time limit",
    "was denied",
    "wrong events",
    "looks complete",
    "ran on 3 servers",
    "still ran",
    "recovery",
)

_CALLER_COUNT = 12
_THINKING_RANGE_S = (0.0, 0.15)
_TOKEN_RANGE = (30, 60)
_EVENT_INTERVAL_RANGE_S = (0.01, 0.02)
_CHUNKED_PROBABILITY = 0.4  # of a request body
_LEAVING_PROBABILITY = 0.15  # of a caller, during its stream
_LEAVING_RANGE_S = (0.02, 1.5)
_DEADLINE_S = 10.0  # several times the longest stream with a silence
_OVERDUE_S = 2.0  # after the deadline
_MAX_RUNS = 2  # max-attempts of the route
_MAX_GAP_S = 2.0  # between events of a sound server; longer only if the soak itself stood still
_CLOSING_S = 0.5  # in which the servers of a stream that has ended are closed
_GRACE_S = 8  # as on the sites
_DRAINING_S = _GRACE_S * 5 / 6  # what then still runs may be cut, if sent within the next time
_KEPT_S = 3.0
_SERVER_SERVICES = ("llm",) * 6 + ("llm-b",) * 4  # two servers make a chain

_WARM_UP_S = 2.0  # after the start of all nodes; until chains are placed
_MAX_START_S = 30.0  # of a node's process on a busy machine
_SETTLING_S = 2.0  # after the last start
_RECOVERED_S = 2.0
_MAX_LAG_WAITS = 8
_MIN_RECOVERED_RATIO = 0.9
_FAULT_INTERVAL_RANGE_S = (0.1, 1.2)  # shorter than most faults, so that they overlap
_PAUSE_RANGE_S = (0.3, 2.5)
# A sound server may be silent for about a second and go on; callers wait two seconds.
_SILENCE_RANGE_S = (0.6, 1.6)
_SILENCE_SEPARATION_S = 0.3  # between silences of a server, so that they don't add up
_FULL_RANGE_S = (0.5, 2.0)
_SERIES_RANGE_S = (2.0, 5.0)
_SERIES_INTERVAL_RANGE_S = (0.3, 0.6)
_RESTART_INTERVAL_RANGE_S = (0.1, 1.0)
_LAG_INTERVAL_S = 0.05
_MIN_LAG_S = 0.05
_STARVED_INTERVAL_S = 0.5  # between samples of the nodes' waits for a processor
_MIN_STARVED_S = 0.2


class _Stream:
    """A request of a caller, and what the caller saw."""

    def __init__(self, request_id: bytes, node, tokens: int, sent_at: float):
        self.id = request_id
        self.node = node
        self.tokens = tokens
        self.sent_at = sent_at
        self.ended_at = 0.0
        self.status = 0
        self.body = b""
        self.is_complete = False
        self.has_left = False
        self.error = ""

    @property
    def expected_body(self) -> bytes:
        return b"".join(_make_event(self.id, number) for number in range(1, self.tokens + 1))


class _Run:
    """A request at a server."""

    def __init__(self, server_id: str, first: int, started_at: float):
        self.server_id = server_id
        self.first = first
        self.last = first - 1
        self.started_at = started_at
        self.ended_at = float("inf")
        self.max_gap_s = 0.0
        self._sent_at = started_at

    def record_gap(self) -> None:
        """Record that an event is sent, or that the run ends."""
        now = trio.current_time()
        self.max_gap_s = max(self.max_gap_s, now - self._sent_at)
        self._sent_at = now


class _StreamServer:
    """Answers the requests to one server of the stand-in."""

    def __init__(self, server, event_interval_s: float, runs):
        self.server = server
        self.event_interval_s = event_interval_s
        self.silences: list[tuple[float, float]] = []
        self.full_until = 0.0
        self.retry_after: bytes | None = None
        self.is_leaving = False
        self.running = 0
        self._runs = runs
        server.answer = self.answer

    def fall_silent(self, duration_s: float) -> None:
        """Send nothing on all streams for a time, unless the last silence has just ended."""
        now = trio.current_time()
        if not self.silences or now > self.silences[-1][1] + _SILENCE_SEPARATION_S:
            self.silences.append((now, now + duration_s))

    async def answer(self, exchange) -> None:
        request_id = exchange.headers[b"x-request-id"]
        header = [(b"X-Request-Id", request_id)]
        if self.is_leaving or trio.current_time() < self.full_until:
            header.append((b"X-Not-Executed", b"1"))
            if self.is_leaving:
                header.append((b"Server-Leaving", b"1"))
            if self.retry_after is not None:
                header.append((b"Retry-After", self.retry_after))
            await exchange.respond(503, header, b"")
            return
        first = int(exchange.headers.get(b"last-event-id", b"0")) + 1
        run = _Run(self.server.id, first, trio.current_time())
        self._runs[request_id].append(run)
        self.running += 1
        try:
            await self._send_events(exchange, header, request_id, run)
        finally:
            self.running -= 1
            run.ended_at = trio.current_time()
            run.record_gap()

    async def _send_events(self, exchange, header, request_id: bytes, run: _Run) -> None:
        tokens = int(exchange.headers[b"x-token-count"].split(b",")[1])
        await self._wait_for_event()
        await exchange.start(200, [*header, (b"X-Server-Stamp", self.server.id.encode())])
        for number in range(run.first, tokens + 1):
            await self._wait_for_event()
            await exchange.send(_make_event(request_id, number))
            run.last = number
            run.record_gap()
        await exchange.end()

    async def _wait_for_event(self) -> None:
        await trio.sleep(self.event_interval_s)
        while self.silences and trio.current_time() < self.silences[-1][1]:
            await trio.sleep_until(self.silences[-1][1])


class SilenceMode:
    """Callers, faults and checks of the mode.

    :param soak: :class:`~bench.soak_processes.Soak` with the platform and the nodes
    :param fault_names: faults to choose from, of :data:`FAULT_NAMES`; all if empty
    """

    def __init__(self, soak, fault_names=()):
        self.soak = soak
        self.rng = soak.rng
        self._faults = [
            fault
            for fault in _FAULTS
            if not fault_names or fault.__name__.strip("_") in fault_names
        ]
        self.streams: list[_Stream] = []
        self.runs: dict[bytes, list[_Run]] = collections.defaultdict(list)
        self.servers: list[_StreamServer] = []
        # Pauses, signals and lags: what happened, at which node (None for the soak's own process),
        # from when to when.
        self.disturbances: list[tuple[str, object, float, float]] = []
        self.traces: list[dict] = []
        self.started_at = 0.0
        self.is_recovery_judged = False

    def prepare_configuration(self, configuration: dict) -> None:
        """Allow long streams, of two services."""
        llm = next(row for row in configuration["services"] if row["name"] == "llm")
        configuration["services"].append(llm | {"name": "llm-b"})
        for route in configuration["routes"]:
            if route["kind"] == "streaming":
                route["timeout-ms"] = int(_DEADLINE_S * 1000)
                route["traffic-split"] = _split(60)

    def prepare_node(self, node) -> None:
        """Let a node drain for as long as on the sites."""
        text = node.settings.read_text()
        node.settings.write_text(re.sub(r"(?m)^grace-s = .*$", f"grace-s = {_GRACE_S}", text))

    async def add_servers(self, nursery) -> None:
        """Start the servers."""
        for number, service in enumerate(_SERVER_SERVICES):
            server = await self.soak.platform.add_server(nursery, f"c{number}", service, "card")
            interval_s = self.rng.uniform(*_EVENT_INTERVAL_RANGE_S)
            self.servers.append(_StreamServer(server, interval_s, self.runs))

    async def run(self, nursery) -> None:
        """Run callers and faults, and check what callers and servers saw."""
        await self._wait_until_started()
        await trio.sleep(_WARM_UP_S)
        self.started_at = trio.current_time()
        lag_scope = trio.CancelScope()
        nursery.start_soon(self._measure_lag, lag_scope)
        async with trio.open_nursery() as callers:
            for number in range(_CALLER_COUNT):
                callers.start_soon(self._send_streams, random.Random(self.rng.random()), number)
            end = trio.current_time() + self.soak.seconds
            async with trio.open_nursery() as faults:
                while trio.current_time() < end:
                    await trio.sleep(self.rng.uniform(*_FAULT_INTERVAL_RANGE_S))
                    fault = self.rng.choice(self._faults)
                    self.soak.faults.append(fault.__name__.strip("_"))
                    faults.start_soon(fault, self, self.rng.choice(self.soak.nodes))
            await self._wait_until_started()
            await trio.sleep(_SETTLING_S)
            settled_at = await self._wait_without_lag(_RECOVERED_S)
            self.soak.stopping = True
        lag_scope.cancel()
        await trio.sleep(_CLOSING_S)
        self._add_plant(settled_at)
        # A machine too busy to run the soak itself says nothing of the nodes' recovery.
        self.is_recovery_judged = settled_at is not None
        if self.is_recovery_judged:
            self._check_recovery(settled_at)
        for stream in self.streams:
            self._check_stream(stream)

    def report(self) -> dict:
        """Return counts, and for each violation the runs, disturbances and log lines."""
        counts = collections.Counter(self._classify(stream) for stream in self.streams)
        resumed = [stream for stream in self.streams if len(self.runs[stream.id]) > 1]
        lags = [end - start for kind, _, start, end in self.disturbances if kind == "lag"]
        return {
            "streams": len(self.streams),
            "outcomes": dict(sorted(counts.items())),
            "streams_beside": self._count_circumstances(self.streams),
            "second_runs": len(resumed),
            "second_runs_beside": self._count_circumstances(resumed),
            "recovery_judged": self.is_recovery_judged,
            "lag_s": round(sum(lags), 3),
            "max_lag_s": round(max(lags, default=0.0), 3),
            "traces": self.traces,
        }

    async def _measure_lag(self, scope) -> None:
        """Record when the soak's own process, with all servers and callers, stood still."""
        waits: dict[int, float] = {}
        sampled_at = trio.current_time()
        with scope:
            while True:
                start = trio.current_time()
                await trio.sleep(_LAG_INTERVAL_S)
                now = trio.current_time()
                if now - start > _LAG_INTERVAL_S + _MIN_LAG_S:
                    self.disturbances.append(("lag", None, start + _LAG_INTERVAL_S, now))
                if now - sampled_at >= _STARVED_INTERVAL_S:
                    self._record_starved_nodes(waits, sampled_at, now)
                    sampled_at = now

    async def _wait_until_started(self) -> None:
        """Wait until all nodes accept connections."""
        with trio.move_on_after(_MAX_START_S):
            for node in self.soak.nodes:
                while not await _accepts_connections(node):
                    await trio.sleep(0.1)

    async def _wait_without_lag(self, duration_s: float) -> float | None:
        """Wait until the soak has run for a time without lag, or several times as long.

        :returns: start of that time, None if there was none
        """
        for _ in range(_MAX_LAG_WAITS):
            start = trio.current_time()
            await trio.sleep(duration_s)
            if not self._sum_lag(start, trio.current_time(), self.soak.nodes):
                return start
        return None

    def _sum_lag(self, start: float, end: float, nodes) -> float:
        """Return for how long the soak stood still, or nodes got no processor, in a time."""
        lags = [
            row
            for row in self.disturbances
            if row[0] == "lag" or (row[0] == "starved" and row[1] in nodes)
        ]
        return sum(max(0.0, min(end, lag[3]) - max(start, lag[2])) for lag in lags)

    def _record_starved_nodes(self, waits: dict[int, float], start: float, now: float) -> None:
        """Record the nodes whose main thread was runnable for long without a processor.

        :param waits: total of that time by process, which is updated
        """
        for node in self.soak.nodes:
            pid = node.process.pid
            try:
                fields = pathlib.Path(f"/proc/{pid}/schedstat").read_text().split()
            except OSError:
                continue
            wait_s = int(fields[1]) / 1e9
            if wait_s - waits.get(pid, wait_s) > _MIN_STARVED_S:
                self.disturbances.append(("starved", node, start, now))
            waits[pid] = wait_s

    async def _send_streams(self, rng, number: int) -> None:
        kept: dict = {}  # connections by node, in use until the node closes them
        count = 0
        while not self.soak.stopping:
            await trio.sleep(rng.uniform(*_THINKING_RANGE_S))
            count += 1
            node = rng.choice(self.soak.nodes)
            now = trio.current_time()
            request_id = b"stream-%d-%d" % (number, count)
            stream = _Stream(request_id, node, rng.randint(*_TOKEN_RANGE), now)
            self.streams.append(stream)
            patience_s = _DEADLINE_S + _OVERDUE_S
            if rng.random() < _LEAVING_PROBABILITY:
                patience_s = rng.uniform(*_LEAVING_RANGE_S)
            is_chunked = rng.random() < _CHUNKED_PROBABILITY
            with trio.move_on_after(patience_s) as scope:
                await self._send_stream(stream, kept, rng.choice(KEYS), is_chunked)
            stream.has_left = scope.cancelled_caught
            stream.ended_at = trio.current_time()
        for connection in kept.values():
            connection.close()

    async def _send_stream(self, stream: _Stream, kept: dict, key: str, is_chunked: bool) -> None:
        body = b"prompt of " + stream.id
        header = [
            (b"Host", b"h.example"),
            (b"X-Request-Id", stream.id),
            (b"X-Deadline-Ms", b"%d" % (_DEADLINE_S * 1000)),
            (b"X-Token-Count", b"50,%d" % stream.tokens),
            (b"X-Credential", key.encode()),
            (
                (b"Transfer-Encoding", b"chunked")
                if is_chunked
                else (b"Content-Length", b"%d" % len(body))
            ),
        ]
        connection = kept.pop(stream.node, None)
        if connection is not None and not connection.is_open_and_silent():
            connection.close()
            connection = None
        reusable = False
        try:
            if connection is None:
                connection = await connect(stream.node.host, 8101, 1.0)
            await connection.send(b"POST", b"/s/x", header, body)
            response = await connection.receive_head()
            stream.status = response.status_code
            while (data := await connection.receive_data()) is not None:
                stream.body += data
            stream.is_complete = True
            is_closing = (b"connection", b"close") in response.headers
            reusable = connection.finish(trio.current_time()) and not is_closing
        except ServerError as error:
            stream.error = "no connection" if connection is None else error.failure.reason
        finally:
            if reusable:
                kept[stream.node] = connection
            elif connection is not None:
                connection.close()

    def _classify(self, stream: _Stream) -> str:
        """Return the outcome of a stream; one that starts with ``lost`` is a violation."""
        if stream.has_left:
            waited_s = stream.ended_at - stream.sent_at
            is_overdue = (
                waited_s - self._sum_lag(stream.sent_at, stream.ended_at, [stream.node])
                > _DEADLINE_S
            )
            return "lost: no end after its time limit" if is_overdue else "caller left"
        if stream.is_complete:
            if stream.status == 200:
                return "whole"
            if not self.runs[stream.id]:
                return f"refused: {stream.status}"
        if stream.error == "no connection":
            return "not connected"
        if stream.status == 0 and not self.runs[stream.id]:
            return "closed unanswered, not run"
        start = "lost" if not (cause := self._find_excuse(stream)) else "broken"
        what = {200: "", 0: " before its head"}.get(stream.status, f" with {stream.status}")
        return f"{start}{what}: {cause}" if cause else f"{start}{what}"

    def _find_excuse(self, stream: _Stream) -> str:
        """Return why a stream may break off, or an empty string."""
        for kind, node, start, end in self.disturbances:
            if node is not stream.node or start > stream.ended_at:
                continue
            if kind == "kill" and start >= stream.sent_at:
                return "node killed"
            if kind == "terminate" and start + _DRAINING_S <= stream.ended_at <= end + _CLOSING_S:
                is_paused = any(
                    other == "pause" and paused is stream.node and start < pause_end
                    for other, paused, _, pause_end in self.disturbances
                )
                if is_paused or stream.sent_at <= start + _KEPT_S:
                    return "at the end of grace-s"
        if stream.ended_at >= stream.sent_at + _DEADLINE_S - 0.1:
            return "time limit"
        if any(run.max_gap_s > _MAX_GAP_S for run in self.runs[stream.id]):
            return "server silent too long"
        return ""

    def _count_circumstances(self, streams) -> dict[str, int]:
        names = ["+".join(sorted(self._find_circumstances(stream))) for stream in streams]
        return dict(sorted(collections.Counter(name or "nothing" for name in names).items()))

    def _find_circumstances(self, stream: _Stream) -> set[str]:
        """Return what disturbed the servers, the node or the soak during a stream."""
        found = {
            kind
            for kind, node, start, end in self.disturbances
            if node in (stream.node, None) and start <= stream.ended_at and end >= stream.sent_at
        }
        for server in self.servers:
            if any(run.server_id == server.server.id for run in self.runs[stream.id]) and any(
                start < stream.ended_at and end > stream.sent_at for start, end in server.silences
            ):
                found.add("silence")
        return found

    def _check_stream(self, stream: _Stream) -> None:
        expected = stream.expected_body
        name = stream.id.decode()
        outcome = self._classify(stream)
        if stream.status in (401, 403, 404):
            self._add_violation(stream, f"{name} was denied with {stream.status}")
        if stream.status == 200 and not expected.startswith(stream.body):
            self._add_violation(stream, f"{name} has wrong events: {stream.body[-120:]!r}")
        elif stream.status == 200 and stream.is_complete and stream.body != expected:
            self._add_violation(stream, f"{name} looks complete before its last event")
        if outcome.startswith("lost"):
            events = stream.body.count(b"\n\n")
            self._add_violation(
                stream, f"{name} broke off after {events} of {stream.tokens} events: {outcome}"
            )
        runs = self.runs[stream.id]
        if len(runs) > _MAX_RUNS:
            self._add_violation(stream, f"{name} ran on {len(runs)} servers")
        limit = self._find_closing_limit(stream)
        for run in runs:
            if run.ended_at > limit:
                self._add_violation(
                    stream,
                    f"{name} still ran on {run.server_id} {run.ended_at - stream.ended_at:.2f} s "
                    f"after its end ({outcome})",
                )

    def _find_closing_limit(self, stream: _Stream) -> float:
        """Return the time at which no server may run an ended stream any more.

        It counts from the moment at which the node, if paused, can learn of the end.
        """
        limit = stream.ended_at + _CLOSING_S
        for kind, node, start, end in sorted(self.disturbances, key=lambda row: row[2]):
            if kind not in ("pause", "lag", "starved") or node not in (stream.node, None):
                continue
            if start <= limit and end > stream.ended_at:
                limit = max(limit, end + _CLOSING_S)
        return limit

    def _check_recovery(self, settled_at: float) -> None:
        last = [stream for stream in self.streams if stream.sent_at > settled_at]
        served = [s for s in last if self._classify(s) in ("whole", "caller left")]
        if not last or len(served) < _MIN_RECOVERED_RATIO * len(last):
            self.soak.violations.append(
                f"recovery: {len(served)} of {len(last)} streams succeeded after the faults"
            )

    def _add_plant(self, settled_at: float) -> None:
        """Change whole streams, each into a violation of another check."""
        if self.soak.plant != "streams":
            return
        whole = [s for s in self.streams if self._classify(s) == "whole"]
        lost, failed, overdue, denied, repeated, short, third_run, late = whole[:8]
        lost.is_complete, lost.body = False, _make_event(lost.id, 1)
        failed.status = 502
        overdue.has_left, overdue.ended_at = True, overdue.sent_at + _DEADLINE_S + _OVERDUE_S
        denied.status = 401
        repeated.body += _make_event(repeated.id, repeated.tokens)
        short.body = _make_event(short.id, 1)
        self.runs[third_run.id] = self.runs[third_run.id][:1] * 3
        self.runs[late.id][0].ended_at = float("inf")
        for stream in whole:
            if settled_at is not None and stream.sent_at > settled_at:
                stream.status = 503

    def _add_violation(self, stream: _Stream, text: str) -> None:
        self.soak.violations.append(text)
        log = stream.node.log.read_bytes() if stream.node.log.exists() else b""
        name = b'"%s"' % stream.id
        self.traces.append(
            {
                "violation": text,
                "node": stream.node.log.stem,
                "sent_s": self._offset(stream.sent_at),
                "ended_s": self._offset(stream.ended_at),
                "error": stream.error,
                "runs": [
                    {
                        "server": run.server_id,
                        "first": run.first,
                        "last": run.last,
                        "started_s": self._offset(run.started_at),
                        "ended_s": self._offset(run.ended_at),
                    }
                    for run in self.runs[stream.id]
                ],
                "silences": {
                    server.server.id: spans
                    for server in self.servers
                    if (
                        spans := [
                            (self._offset(start), self._offset(end))
                            for start, end in server.silences
                            if start < stream.ended_at and end > stream.sent_at
                        ]
                    )
                },
                "disturbances": [
                    (kind, self._offset(start), self._offset(end))
                    for kind, node, start, end in self.disturbances
                    if node in (stream.node, None)
                    and start < stream.ended_at
                    and end > stream.sent_at
                ],
                "log": [
                    line.decode("utf-8", "replace") for line in log.splitlines() if name in line
                ],
            }
        )

    def _offset(self, at: float) -> float | str:
        return round(at - self.started_at, 3) if at < float("inf") else "never"

    def put_configuration(self) -> None:
        """Write the configuration as a new version."""
        configuration = self.soak.configuration
        configuration["version"] += self.rng.randint(1, 5)
        self.soak.platform.put("op/config", json.dumps(configuration).encode())

    @contextlib.contextmanager
    def disturbing(self, kind: str, node):
        """Record a disturbance of a node that lasts as long as the context."""
        number = len(self.disturbances)
        start = trio.current_time()
        self.disturbances.append((kind, node, start, float("inf")))
        try:
            yield
        finally:
            self.disturbances[number] = (kind, node, start, trio.current_time())


async def _accepts_connections(node) -> bool:
    try:
        (await connect(node.host, 8101, 1.0)).close()
    except ServerError:
        return False
    return True


def _make_event(request_id: bytes, number: int) -> bytes:
    return b"id: %d\ndata: %s token %d\n\n" % (number, request_id, number)


def _split(weight: int) -> list[dict]:
    return [
        {"service": "llm", "weight": weight},
        {"service": "llm-b", "weight": 100 - weight},
    ]


def _draw_servers(mode) -> list[_StreamServer]:
    """Return one server, half of them or all."""
    count = mode.rng.choice([1, len(mode.servers) // 2, len(mode.servers)])
    return mode.rng.sample(mode.servers, count)


async def _pause(mode, node):
    duration_s = mode.rng.uniform(*_PAUSE_RANGE_S)
    with mode.disturbing("pause", node):
        node.send_signal(signal.SIGSTOP)
        await trio.sleep(duration_s)
        node.send_signal(signal.SIGCONT)


async def _silence(mode, node):
    duration_s = mode.rng.uniform(*_SILENCE_RANGE_S)
    for server in _draw_servers(mode):
        server.fall_silent(duration_s)


def _fill(mode, servers) -> None:
    duration_s = mode.rng.uniform(*_FULL_RANGE_S)
    retry_after = mode.rng.choice([None, b"0.2", b"1"])
    for server in servers:
        server.full_until = trio.current_time() + duration_s
        server.retry_after = retry_after


async def _refuse(mode, node):
    _fill(mode, _draw_servers(mode))


async def _silence_and_refuse(mode, node):
    """Let half of the servers fall silent, while the others refuse what is sent again."""
    servers = mode.rng.sample(mode.servers, len(mode.servers))
    half = len(servers) // 2
    duration_s = mode.rng.uniform(*_SILENCE_RANGE_S)
    for server in servers[:half]:
        server.fall_silent(duration_s)
    _fill(mode, servers[half:])


async def _leave(mode, node):
    """Let a server leave, and start again when its streams have ended."""
    if any(server.is_leaving for server in mode.servers):
        return
    server = mode.rng.choice(mode.servers)
    server.is_leaving = True
    await trio.sleep(mode.rng.uniform(*_FULL_RANGE_S))
    while server.running:
        await trio.sleep(0.02)
    standin = server.server
    standin.born += 1
    standin.layers, standin.orders = None, 0
    server.is_leaving = False
    mode.soak.platform.register(standin)


async def _configure(mode, node):
    """Write a quick series of versions that change nothing for the streams."""
    end = trio.current_time() + mode.rng.uniform(*_SERIES_RANGE_S)
    while trio.current_time() < end:
        routes = mode.soak.configuration["routes"]
        change = mode.rng.choice(["version", "route", "weights"])
        if change == "route":
            routes.append(routes[0] | {"name": f"r{len(routes)}", "prefix": f"/r{len(routes)}/"})
        elif change == "weights":
            stream = next(route for route in routes if route["kind"] == "streaming")
            stream["traffic-split"] = _split(mode.rng.randint(20, 80))
        mode.put_configuration()
        await trio.sleep(mode.rng.uniform(*_SERIES_INTERVAL_RANGE_S))


async def _reload(mode, node):
    with mode.disturbing("reload", node):
        node.send_signal(signal.SIGHUP)


async def _terminate(mode, node):
    with mode.disturbing("terminate", node):
        await node.restart(signal.SIGTERM)


async def _kill(mode, node):
    with mode.disturbing("kill", node):
        await node.restart(signal.SIGKILL)


async def _restart_nodes(mode, node):
    """Reload or restart several nodes one after the other, without waiting for any."""
    async with trio.open_nursery() as nursery:
        for other in mode.rng.sample(mode.soak.nodes, len(mode.soak.nodes) // 2 + 1):
            nursery.start_soon(mode.rng.choice([_reload, _terminate, _terminate]), mode, other)
            await trio.sleep(mode.rng.uniform(*_RESTART_INTERVAL_RANGE_S))


_FAULTS = [
    _pause,
    _pause,
    _silence,
    _silence,
    _refuse,
    _silence_and_refuse,
    _silence_and_refuse,
    _leave,
    _configure,
    _configure,
    _reload,
    _terminate,
    _kill,
    _restart_nodes,
]

#: Names of the faults of the mode.
FAULT_NAMES = sorted({fault.__name__.strip("_") for fault in _FAULTS})
