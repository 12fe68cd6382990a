"""Nodes that drive the stand-in engines, with callbacks on the timeline instead of tasks."""

from basilwinch.routing import RouteRequest
from basilwinch.server import EngineCall
from basilwinch.standin.token import count_prompt_tokens

__all__ = ["Meter", "Node"]


class Meter:
    """Counts what the streams of all nodes deliver between two times.

    :param start: start of the measured time
    :param end: end of the measured time
    """

    __slots__ = (
        "start",
        "end",
        "tokens",
        "prompt_tokens",
        "finished",
        "failed",
        "gaps",
        "waits",
        "firsts",
        "by_second",
        "late",
    )

    def __init__(self, start: float, end: float):
        self.start = start
        self.end = end
        self.tokens = 0
        self.prompt_tokens = 0
        self.finished = 0
        self.failed = 0
        #: Gaps between tokens, and the part of them that is not engine time.
        self.gaps = []
        self.waits = []
        self.firsts = []
        self.by_second = {}
        self.late = 0

    def inside(self, now: float) -> bool:
        """Return whether ``now`` is in the measured time."""
        return self.start <= now < self.end


class Stream:
    """One request in progress on a node."""

    __slots__ = ("node", "choice", "sequence", "sent", "last", "engine_s", "tokens", "on_end")

    def __init__(self, node, choice, sent, on_end):
        self.node = node
        self.choice = choice
        self.sequence = None
        self.sent = sent
        self.last = sent
        self.engine_s = 0.0
        self.tokens = 0
        self.on_end = on_end

    def on_frame(self, frame):
        """Pass a frame to the router and the meter."""
        node = self.node
        now = node.timeline.now
        gap = now - self.last
        self.last = now
        node.router.observe(self.choice, frame, gap, now)
        meter = node.meter
        if meter.start <= now < meter.end:
            meter.tokens += 1
            second = int(now - meter.start)
            meter.by_second[second] = meter.by_second.get(second, 0) + 1
            engine_s = self.sequence.engine_s
            if self.tokens:
                if self.tokens % 4 == 0:
                    meter.gaps.append(gap)
                    meter.waits.append(gap - (engine_s - self.engine_s))
            else:
                meter.firsts.append(now - self.sent)
                meter.prompt_tokens += self.sequence.known_tokens
        self.engine_s = self.sequence.engine_s
        self.tokens += 1
        if frame.final:
            if meter.inside(now):
                meter.finished += 1
            self._end(None, now)

    def on_failure(self, failure):
        """Count the failure."""
        now = self.node.timeline.now
        if self.node.meter.inside(now):
            self.node.meter.failed += 1
        self._end(failure, now)

    def _end(self, failure, now):
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
        "timeline",
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
        self.timeline = engines.timeline
        self.meter = meter
        self.work = work
        self.model = model
        self.in_progress = 0
        self.refused = 0

    def send(self, on_end, draw=None, sent=None, deadline_s=None):
        """Choose a chain and start a stream; returns it, or None if there is no chain."""
        now = self.timeline.now
        name, prompt, tokens, key = draw or self.work.draw()
        request = RouteRequest(
            name, self.model, key, count_prompt_tokens(prompt), tokens, deadline_s
        )
        choice = self.router.choose(request, now)
        if not choice:
            self.refused += 1
            return None
        self.router.begin(choice, now)
        self.in_progress += 1
        stream = Stream(self, choice, now if sent is None else sent, on_end)
        call = EngineCall(name, 1, choice.chain, prompt, tokens, cache_key=key)
        stream.sequence = self.engines.start(call, self.zone, stream.on_frame, stream.on_failure)
        return stream

    def keep_busy(self, capacity):
        """Keep as many streams in progress as ``capacity()`` allows, from now on."""
        limit = capacity()
        while self.in_progress < limit:
            if self.send(lambda stream: self.keep_busy(capacity)) is None:
                self.timeline.at(self.timeline.now + 0.1, self.keep_busy, capacity)
                return
