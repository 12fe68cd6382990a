"""Nodes that send requests to the stand-in engines by scheduled callbacks instead of tasks."""

from collections import Counter, defaultdict

from basilwinch.routing import RouteRequest
from basilwinch.server import EngineCall
from basilwinch.standin.token import count_prompt_tokens
from bench.fleet import compute_prompt_work

__all__ = ["Meter", "Node", "Stream"]

# One gap in this many is kept for the percentiles.
_GAP_SAMPLE_INTERVAL = 4


class Meter:
    """Measures what the streams of all nodes deliver between two times.

    The work of a response is what engines with a perfect prefix cache would spend on it: one unit
    for each token after the first one, and :func:`~bench.fleet.compute_prompt_work` for the prompt.
    So a bound in units per second does not depend on the policy.

    :param start: start of the measured time, in seconds of simulated time
    :param end: end of the measured time, in seconds of simulated time
    """

    __slots__ = (
        "start",
        "end",
        "work_by_caller",
        "tokens",
        "finished",
        "failed",
        "failures",
        "gaps",
        "waits",
        "first_token_times",
        "work_by_second",
    )

    def __init__(self, start: float, end: float):
        self.start = start
        self.end = end
        self.work_by_caller = defaultdict(float)
        self.tokens = 0
        self.finished = 0
        self.failed = 0
        #: Failures by code, including those outside the measured time.
        self.failures = Counter()
        #: Seconds between tokens, and the part of them that is not engine time.
        self.gaps = []
        self.waits = []
        self.first_token_times = []
        self.work_by_second = defaultdict(float)

    def is_measured(self, now: float) -> bool:
        """Return whether ``now`` is in the measured time."""
        return self.start <= now < self.end

    def add_work(self, work: float, now: float, caller: str) -> None:
        """Count one token of a caller and its work."""
        self.work_by_caller[caller] += work
        self.tokens += 1
        self.work_by_second[int(now - self.start)] += work

    def compute_work_rate(self, from_s: float = 0.0, to_s: float | None = None) -> float:
        """Return the mean work per second between two whole seconds of the measured time."""
        end = int(self.end - self.start) if to_s is None else int(to_s)
        seconds = range(int(from_s), end)
        return sum(self.work_by_second[second] for second in seconds) / len(seconds)


class Stream:
    """One request in progress on a node."""

    __slots__ = (
        "node",
        "choice",
        "sequence",
        "sent_at",
        "last_frame_at",
        "engine_s",
        "tokens",
        "on_end",
        "caller",
        "failure",
    )

    def __init__(self, node, choice, sent_at, on_end, caller):
        self.node = node
        self.choice = choice
        self.sequence = None
        self.sent_at = sent_at
        self.last_frame_at = sent_at
        self.engine_s = 0.0
        self.tokens = 0
        self.on_end = on_end
        self.caller = caller
        self.failure = None

    def on_frame(self, frame):
        """Pass a frame to the router and the meter."""
        node = self.node
        now = node.scheduler.now
        gap = now - self.last_frame_at
        self.last_frame_at = now
        node.router.observe(self.choice, frame, gap, now)
        meter = node.meter
        engine_s = self.sequence.engine_s
        if meter.start <= now < meter.end:
            if not self.tokens:
                meter.first_token_times.append(now - self.sent_at)
                meter.add_work(self._compute_prompt_work(), now, self.caller)
            else:
                meter.add_work(1.0, now, self.caller)
                if self.tokens % _GAP_SAMPLE_INTERVAL == 0:
                    meter.gaps.append(gap)
                    meter.waits.append(gap - (engine_s - self.engine_s))
        self.engine_s = engine_s
        self.tokens += 1
        if frame.final:
            if meter.is_measured(now):
                meter.finished += 1
            self._end(None, now)

    def on_failure(self, failure):
        """Count the failure and end the stream."""
        now = self.node.scheduler.now
        self.node.meter.failures[failure.code] += 1
        if self.node.meter.is_measured(now):
            self.node.meter.failed += 1
        self._end(failure, now)

    def _compute_prompt_work(self):
        return compute_prompt_work(self.sequence.input_tokens, self.sequence.call.cache_key)

    def _end(self, failure, now):
        self.failure = failure
        self.node.router.finish(self.choice, failure, now)
        self.node.in_progress -= 1
        self.on_end(self)


class Node:
    """One node: its router and its streams in progress.

    :param zone: zone of the node
    :param router: router or baseline policy
    """

    __slots__ = (
        "zone",
        "router",
        "engines",
        "scheduler",
        "meter",
        "generator",
        "model",
        "in_progress",
        "refused",
    )

    def __init__(self, zone, router, engines, meter, generator, model):
        self.zone = zone
        self.router = router
        self.engines = engines
        self.scheduler = engines.scheduler
        self.meter = meter
        self.generator = generator
        self.model = model
        self.in_progress = 0
        self.refused = 0

    def send(self, on_end, draw=None, sent_at=None, deadline_s=None, caller=""):
        """Choose a chain and start a stream.

        :param on_end: called with the stream when it ends
        :param draw: (request id, prompt, tokens, cache key); drawn if None
        :param sent_at: time when the caller sent the request; now if None
        :param deadline_s: seconds left for the whole response, or None
        :param caller: name of the caller
        :returns: the stream, or the router's failure
        """
        now = self.scheduler.now
        name, prompt, tokens, key = draw or self.generator.draw()
        prompt_tokens = count_prompt_tokens(prompt)
        request = RouteRequest(name, self.model, key, prompt_tokens, tokens, deadline_s)
        choice = self.router.choose(request, now)
        if not choice:
            self.refused += 1
            return choice
        self.router.begin(choice, now)
        self.in_progress += 1
        stream = Stream(self, choice, now if sent_at is None else sent_at, on_end, caller)
        call = EngineCall(name, 1, choice.chain, prompt, tokens, cache_key=key)
        stream.sequence = self.engines.start(call, self.zone, stream.on_frame, stream.on_failure)
        return stream

    def keep_busy(self, capacity):
        """Start streams now, and whenever one ends, until ``capacity()`` are in progress.

        If the router refuses one, try again 0.1 s later.
        """
        limit = capacity()
        while self.in_progress < limit:
            if not self.send(lambda stream: self.keep_busy(capacity)):
                self.scheduler.call_at(self.scheduler.now + 0.1, self.keep_busy, capacity)
                return
