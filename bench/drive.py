"""Nodes that drive the stand-in engines, with scheduled callbacks instead of tasks."""

from collections import Counter, defaultdict

from basilwinch.routing import RouteRequest
from basilwinch.server import EngineCall
from basilwinch.standin.token import count_prompt_tokens
from bench.fleet import prompt_work

__all__ = ["Meter", "Node", "Stream"]

# One of so many gaps is kept for the percentiles.
_GAP_SAMPLE = 4


class Meter:
    """Counts what the streams of all nodes deliver between two times.

    The work of a response is what engines with a perfect prefix cache would spend on it: one unit
    for each token after the first one, and :func:`~bench.fleet.prompt_work` for the prompt. So a
    bound in units a second does not depend on the policy.

    :param start: start of the measured time
    :param end: end of the measured time
    """

    __slots__ = (
        "start",
        "end",
        "work_by_label",
        "tokens",
        "finished",
        "failed",
        "failures",
        "gaps",
        "waits",
        "firsts",
        "work_by_second",
    )

    def __init__(self, start: float, end: float):
        self.start = start
        self.end = end
        self.work_by_label = defaultdict(float)
        self.tokens = 0
        self.finished = 0
        self.failed = 0
        #: Codes of all failures, also outside of the measured time.
        self.failures = Counter()
        #: Gaps between tokens, and the part of them that is not engine time.
        self.gaps = []
        self.waits = []
        self.firsts = []
        self.work_by_second = defaultdict(float)

    def inside(self, now: float) -> bool:
        """Return whether ``now`` is in the measured time."""
        return self.start <= now < self.end

    def add_work(self, work: float, now: float, label: str) -> None:
        """Count work and a token of a caller."""
        self.work_by_label[label] += work
        self.tokens += 1
        self.work_by_second[int(now - self.start)] += work

    def rate(self, first_s: float = 0.0, last_s: float | None = None) -> float:
        """Return the work a second between two whole seconds of the measured time."""
        end = int(self.end - self.start) if last_s is None else int(last_s)
        seconds = range(int(first_s), end)
        return sum(self.work_by_second[second] for second in seconds) / len(seconds)


class Stream:
    """One request in progress on a node."""

    __slots__ = (
        "node",
        "choice",
        "sequence",
        "sent",
        "last",
        "engine_s",
        "tokens",
        "on_end",
        "label",
        "failure",
    )

    def __init__(self, node, choice, sent, on_end, label):
        self.node = node
        self.choice = choice
        self.sequence = None
        self.sent = sent
        self.last = sent
        self.engine_s = 0.0
        self.tokens = 0
        self.on_end = on_end
        self.label = label
        self.failure = None

    def on_frame(self, frame):
        """Pass a frame to the router and the meter."""
        node = self.node
        now = node.scheduler.now
        gap = now - self.last
        self.last = now
        node.router.observe(self.choice, frame, gap, now)
        meter = node.meter
        engine_s = self.sequence.engine_s
        if meter.start <= now < meter.end:
            if not self.tokens:
                meter.firsts.append(now - self.sent)
                meter.add_work(self._prompt_work(), now, self.label)
            else:
                meter.add_work(1.0, now, self.label)
                if self.tokens % _GAP_SAMPLE == 0:
                    meter.gaps.append(gap)
                    meter.waits.append(gap - (engine_s - self.engine_s))
        self.engine_s = engine_s
        self.tokens += 1
        if frame.final:
            if meter.inside(now):
                meter.finished += 1
            self._end(None, now)

    def on_failure(self, failure):
        """Count the failure."""
        now = self.node.scheduler.now
        self.node.meter.failures[failure.code] += 1
        if self.node.meter.inside(now):
            self.node.meter.failed += 1
        self._end(failure, now)

    def _prompt_work(self):
        return prompt_work(self.sequence.input_tokens, self.sequence.call.cache_key)

    def _end(self, failure, now):
        self.failure = failure
        self.node.router.finish(self.choice, failure, now)
        self.node.in_progress -= 1
        self.on_end(self)


class Node:
    """One node: its router and the streams that it carries.

    :param zone: zone of the node
    :param router: router or baseline policy
    """

    __slots__ = (
        "zone",
        "router",
        "engines",
        "scheduler",
        "meter",
        "work",
        "model",
        "in_progress",
        "refused",
    )

    def __init__(self, zone, router, engines, meter, work, model):
        self.zone = zone
        self.router = router
        self.engines = engines
        self.scheduler = engines.scheduler
        self.meter = meter
        self.work = work
        self.model = model
        self.in_progress = 0
        self.refused = 0

    def send(self, on_end, draw=None, sent=None, deadline_s=None, label=""):
        """Choose a chain and start a stream.

        :param on_end: called with the stream when it ends
        :param draw: (request, prompt, tokens, cache key), drawn if None
        :param sent: when the caller sent the request, now if None
        :param label: name of the caller
        :returns: the stream, or the router's failure
        """
        now = self.scheduler.now
        name, prompt, tokens, key = draw or self.work.draw()
        prompt_tokens = count_prompt_tokens(prompt)
        request = RouteRequest(name, self.model, key, prompt_tokens, tokens, deadline_s)
        choice = self.router.choose(request, now)
        if not choice:
            self.refused += 1
            return choice
        self.router.begin(choice, now)
        self.in_progress += 1
        stream = Stream(self, choice, now if sent is None else sent, on_end, label)
        call = EngineCall(name, 1, choice.chain, prompt, tokens, cache_key=key)
        stream.sequence = self.engines.start(call, self.zone, stream.on_frame, stream.on_failure)
        return stream

    def keep_busy(self, capacity):
        """Keep as many streams in progress as ``capacity()`` allows, from now on."""
        limit = capacity()
        while self.in_progress < limit:
            if not self.send(lambda stream: self.keep_busy(capacity)):
                self.scheduler.call_at(self.scheduler.now + 0.1, self.keep_busy, capacity)
                return
