"""What a node knows of servers and links, learnt from the frames that it carries."""

from basilwinch.catalog import Server
from basilwinch.pipeline import LoadReport, Stage

__all__ = ["LinkEstimate", "LinkEstimates", "ServerEstimate", "StageEstimate"]

# Time constant in seconds of the average of reported loads. Reports lag by half a second, so a
# faster average makes the nodes chase queues that are gone.
_REPORT_S = 1.0
_SLOW_WEIGHT = 0.3
_LINK_WEIGHT = 0.3
# Relative step of the usual delay between two zones. Steps of equal size follow the median, which
# one degraded link does not move.
_ZONE_STEP = 0.01
_LEAST_DELAY_S = 1e-5
# Part of a full step that does not depend on the number of sequences, and the part of it that a
# sequence waits for the step in progress. Both only shape the delay of a lightly loaded server.
_FIXED_PART = 0.3
_IDLE_PART = 0.6


class ServerEstimate:
    """Load and speed of one server as this node sees them.

    :param server: entry of the catalog
    """

    __slots__ = (
        "name",
        "zone",
        "tokens_per_s",
        "reported",
        "reported_at",
        "slowness",
        "avoided",
        "probe_at",
        "dead",
        "deaths",
        "leaving",
        "isolated",
        "seen_at",
        "probing",
        "entry",
    )

    def __init__(self, server: Server):
        self.name = server.name
        #: Average of the sequences that the server reported.
        self.reported = 0.0
        self.reported_at = None
        #: Measured time of a step over its nominal time.
        self.slowness = 1.0
        #: Whether requests are kept off because the server is slow.
        self.avoided = False
        #: When the next request may probe an avoided or dead server.
        self.probe_at = 0.0
        self.dead = False
        self.deaths = 0
        self.leaving = False
        #: Number of isolated requests of this node on the server.
        self.isolated = 0
        #: When a frame last showed that the server runs.
        self.seen_at = -1e9
        #: Whether a probe was sent to the server since it was taken for dead.
        self.probing = False
        self.set_entry(server)

    def set_entry(self, server: Server) -> None:
        """Take over a changed entry of the catalog."""
        self.entry = server
        self.zone = server.zone
        self.tokens_per_s = server.tokens_per_s or 1000.0

    @property
    def usable(self) -> bool:
        """Whether ordinary requests may use the server."""
        return not (self.dead or self.leaving or self.avoided or self.isolated)

    def absorb(self, report: LoadReport, layers: int, max_batch: int, now: float) -> float | None:
        """Take in a load report.

        :param layers: layers of the stage that the report came with
        :returns: the measured time of a step over its nominal time, if the report tells
        """
        count = report.queued + report.running
        if self.reported_at is None:
            self.reported = float(count)
        else:
            age = now - self.reported_at
            self.reported += (count - self.reported) * age / (age + _REPORT_S)
        self.reported_at = now
        if report.running and report.step_s > 0:
            full = _FIXED_PART * max_batch + (1 - _FIXED_PART) * report.running
            ratio = min(100.0, max(0.1, report.step_s * self.tokens_per_s / (layers * full)))
            self.slowness += (ratio - self.slowness) * _SLOW_WEIGHT
            return ratio
        return None


class StageEstimate:
    """A stage with the estimate of its server.

    :param stage: the stage
    :param server: estimate of its server
    :param config: :class:`~basilwinch.routing.RoutingConfig`
    """

    __slots__ = (
        "stage",
        "end",
        "server",
        "layers",
        "layer_s",
        "flow",
        "share",
        "own",
        "tally",
        "_idle",
        "_own_weight",
    )

    def __init__(self, stage: Stage, server: ServerEstimate, config):
        self.stage = stage
        self.end = stage.end
        self.server = server
        self.layers = stage.end - stage.first
        self.refresh()
        #: Tokens a second that the stage carries in a maximum flow, and its part of the total.
        self.flow = 0.0
        self.share = 0.0
        #: Sequences of this node whose chain includes the stage.
        self.own = 0
        #: Number of all sequences of this node on the model, as a list of one.
        self.tally = [0]
        self._idle = _IDLE_PART * config.max_batch
        self._own_weight = config.own_weight

    def refresh(self) -> None:
        """Take over a changed speed of the server."""
        #: Seconds of one sequence in a full batch.
        self.layer_s = self.layers / self.server.tokens_per_s

    @property
    def rate(self) -> float:
        """Tokens a second at a full batch; nominal unless the server is known to be slow."""
        slowness = self.server.slowness if self.server.avoided else 1.0
        return 1.0 / (self.layer_s * max(1.0, slowness))

    def delay(self) -> float:
        """Return the expected seconds of one token in this stage, waiting included.

        Sequences of this node beyond the stage's share of the maximum flow count several times,
        because the other nodes decide alike and their sequences show in the reports too late.
        """
        excess = self.own - self.share * self.tally[0]
        load = self.server.reported + self._own_weight * excess
        if load < 0.0:
            load = 0.0
        return (self._idle + load) * self.layer_s * self.server.slowness


class LinkEstimate:
    """Delay of one link; ``zones`` are the zones of its ends."""

    __slots__ = ("delay_s", "seen_at", "zones")

    def __init__(self, delay_s: float, zones: tuple[str, str]):
        self.delay_s = delay_s
        self.seen_at = None
        self.zones = zones


class LinkEstimates:
    """Delays of links, learnt from the gaps between tokens.

    A gap is the sum of the stages' and links' delays. What the stages do not explain is shared
    out over the links of the chain in small steps (normalised least mean squares). A link that is
    not to blame is corrected by the other chains that use it.

    :param limit: links kept at most; the oldest goes first
    :param half_life_s: time after which half of a link's excess over its zones' median
        is forgotten
    """

    __slots__ = ("_links", "_zones", "_limit", "_half_life_s")

    def __init__(self, limit: int, half_life_s: float):
        self._links = {}
        self._zones = {}
        self._limit = limit
        self._half_life_s = half_life_s

    def __len__(self):
        return len(self._links)

    def prior(self, zones: tuple[str, str]) -> float:
        """Return the usual (median) delay of links between two zones, in seconds."""
        delay = self._zones.get(zones)
        if delay is None:
            delay = self._zones[zones] = 0.0002 if zones[0] == zones[1] else 0.001
        return delay

    def delay(self, source: ServerEstimate, target: ServerEstimate, now: float) -> float:
        """Return the expected delay of a link in seconds."""
        link = self._links.get((source.name, target.name))
        if link is None:
            return self.prior((source.zone, target.zone))
        age = now - link.seen_at
        if age < 1.0:
            return link.delay_s
        prior = self.prior(link.zones)
        return prior + (link.delay_s - prior) * 0.5 ** (age / self._half_life_s)

    def find(self, source: ServerEstimate, target: ServerEstimate, now: float) -> LinkEstimate:
        """Return the estimate of a link, made if there is none."""
        key = (source.name, target.name)
        link = self._links.get(key)
        if link is None:
            zones = (source.zone, target.zone)
            link = self._links[key] = LinkEstimate(self.prior(zones), zones)
            if len(self._links) > self._limit:
                del self._links[next(iter(self._links))]
        else:
            link.delay_s = self.delay(source, target, now)
        link.seen_at = now
        return link

    def learn(self, links, unexplained_s: float, now: float) -> None:
        """Correct the links of a chain.

        :param unexplained_s: measured gap less the delay of the stages, seconds
        """
        error = unexplained_s - sum(link.delay_s for link in links)
        step = _LINK_WEIGHT * error / len(links)
        for link in links:
            link.delay_s = max(0.0, link.delay_s + step)
            link.seen_at = now
            prior = self.prior(link.zones)
            factor = 1 + _ZONE_STEP if link.delay_s > prior else 1 - _ZONE_STEP
            self._zones[link.zones] = max(_LEAST_DELAY_S, prior * factor)
