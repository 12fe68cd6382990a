"""Estimates of server load and link delay, learnt from the frames that a node relays."""

from basilwinch.catalog import Server
from basilwinch.pipeline import LoadReport, Stage

__all__ = ["LinkEstimate", "LinkEstimates", "ServerEstimate", "StageEstimate"]

# Smooths the reported loads. Reports lag by half a second, so a shorter time constant makes nodes
# react to queues that have already emptied.
_REPORT_TIME_CONSTANT_S = 1.0
_SLOWNESS_EWMA_WEIGHT = 0.3
_LINK_STEP_SIZE = 0.3
_LINK_LEAKAGE = 0.01
_STAGE_DELAY_RATIO_STEP = 0.003
# Default delays of a link, used until traffic gives an estimate.
_SAME_ZONE_DELAY_S = 0.0002
_CROSS_ZONE_DELAY_S = 0.001
# Share of a full batch step that does not depend on the number of sequences.
_FIXED_STEP_SHARE = 0.3
# Load added to the reported load, as a share of a full batch, because a new sequence waits for the
# step in progress. Like _FIXED_STEP_SHARE, it matters only for lightly loaded servers.
_BASE_LOAD_SHARE = 0.6


class ServerEstimate:
    """Load and speed of one server as estimated by this node.

    :param server: entry of the catalog
    """

    __slots__ = (
        "name",
        "zone",
        "tokens_per_s",
        "reported_load",
        "reported_at",
        "slowness",
        "avoided",
        "probe_at",
        "dead",
        "death_count",
        "leaving",
        "isolated_requests",
        "last_seen_at",
        "probe_sent",
        "entry",
    )

    def __init__(self, server: Server):
        self.name = server.name
        #: Smoothed number of queued and running sequences that the server reported.
        self.reported_load = 0.0
        self.reported_at = None
        #: Smoothed ratio of the measured step time to the nominal one.
        self.slowness = 1.0
        #: Whether ordinary requests avoid the server because it is slow.
        self.avoided = False
        #: Earliest time of the next probe of an avoided or dead server.
        self.probe_at = 0.0
        self.dead = False
        self.death_count = 0
        self.leaving = False
        #: Isolated requests of this node on the server.
        self.isolated_requests = 0
        #: Time of the last frame with load reports whose chain includes the server.
        self.last_seen_at = -1e9
        #: Whether a probe was sent since the server was marked dead.
        self.probe_sent = False
        self.set_entry(server)

    def set_entry(self, server: Server) -> None:
        """Apply a changed catalog entry."""
        self.entry = server
        self.zone = server.zone
        self.tokens_per_s = server.tokens_per_s or 1000.0

    @property
    def usable(self) -> bool:
        """Whether ordinary requests may use the server."""
        return not (self.dead or self.leaving or self.avoided or self.isolated_requests)

    def apply_report(
        self, report: LoadReport, layers: int, max_batch: int, now: float
    ) -> float | None:
        """Update the estimates from a load report.

        :param layers: number of layers of the stage that the report belongs to
        :param max_batch: sequences in a full batch
        :param now: time in seconds
        :returns: ratio of the measured step time to the nominal one, or None if the report has no
            step time
        """
        count = report.queued + report.running
        if self.reported_at is None:
            self.reported_load = float(count)
        else:
            age = now - self.reported_at
            self.reported_load += (
                (count - self.reported_load) * age / (age + _REPORT_TIME_CONSTANT_S)
            )
        self.reported_at = now
        if report.running and report.step_s > 0:
            effective_batch = (
                _FIXED_STEP_SHARE * max_batch + (1 - _FIXED_STEP_SHARE) * report.running
            )
            ratio = min(
                100.0, max(0.1, report.step_s * self.tokens_per_s / (layers * effective_batch))
            )
            self.slowness += (ratio - self.slowness) * _SLOWNESS_EWMA_WEIGHT
            return ratio
        return None


class StageEstimate:
    """A stage, its share of the traffic, and the estimate of its server.

    :param stage: the stage
    :param server: estimate of its server
    :param config: :class:`~basilwinch.routing.RoutingConfig`
    """

    __slots__ = (
        "stage",
        "end",
        "server",
        "layers",
        "nominal_token_s",
        "flow",
        "flow_share",
        "local_sequences",
        "sequence_counter",
        "_base_load",
        "_local_excess_weight",
    )

    def __init__(self, stage: Stage, server: ServerEstimate, config):
        self.stage = stage
        self.end = stage.end
        self.server = server
        self.layers = stage.end - stage.first
        self.refresh()
        #: Tokens per second of the stage in a maximum flow, and its share of that flow.
        self.flow = 0.0
        self.flow_share = 0.0
        #: Sequences of this node whose chain includes the stage.
        self.local_sequences = 0
        #: One-element list with the number of sequences of this node on the model, shared by all
        #: stages of the model.
        self.sequence_counter = [0]
        self._base_load = _BASE_LOAD_SHARE * config.max_batch
        self._local_excess_weight = config.local_excess_weight

    def refresh(self) -> None:
        """Recompute the stage time after a change of the server's speed."""
        #: Nominal seconds per token at a full batch: duration of a step divided by the batch size.
        self.nominal_token_s = self.layers / self.server.tokens_per_s

    @property
    def rate(self) -> float:
        """Tokens per second at a full batch; nominal unless the server is avoided as slow."""
        slowness = self.server.slowness if self.server.avoided else 1.0
        return 1.0 / (self.nominal_token_s * max(1.0, slowness))

    def delay(self) -> float:
        """Return the expected seconds per token in this stage, queueing included.

        Sequences of this node beyond the stage's share of the maximum flow count
        ``local_excess_weight`` times, because other nodes choose in the same way and their
        sequences appear in the reports too late.
        """
        excess = self.local_sequences - self.flow_share * self.sequence_counter[0]
        load = self.server.reported_load + self._local_excess_weight * excess
        if load < 0.0:
            load = 0.0
        return (self._base_load + load) * self.nominal_token_s * self.server.slowness

    def reported_delay(self) -> float:
        """Return the expected seconds per token from the reported load alone."""
        return (
            (self._base_load + self.server.reported_load)
            * self.nominal_token_s
            * self.server.slowness
        )


class LinkEstimate:
    """Estimated delay of one link.

    :param delay_s: initial delay in seconds
    :param zones: zones of the two servers
    """

    __slots__ = ("delay_s", "updated_at", "zones")

    def __init__(self, delay_s: float, zones: tuple[str, str]):
        self.delay_s = delay_s
        self.updated_at = None
        self.zones = zones


class LinkEstimates:
    """Delays of links, learnt from the gaps between tokens.

    A gap is the sum of the delays of all stages and links of a chain. The error of the estimate is
    distributed evenly over the links of the chain in small steps (leaky normalised least mean
    squares). A link that did not cause the error is corrected by the other chains that use it.

    :param max_links: maximum number of links kept; the oldest is dropped first
    :param half_life_s: seconds without traffic after which a link's deviation from its default
        delay is halved
    """

    __slots__ = ("_links", "_max_links", "_half_life_s", "stage_delay_ratio")

    def __init__(self, max_links: int, half_life_s: float):
        self._links = {}
        #: Ratio of the measured to the expected delay of the stages. It follows the median, so a
        #: degraded link does not change it, and only differences between chains go to the links.
        self.stage_delay_ratio = 1.0
        self._max_links = max_links
        self._half_life_s = half_life_s

    def __len__(self):
        return len(self._links)

    def delay(self, source: ServerEstimate, target: ServerEstimate, now: float) -> float:
        """Return the expected delay of a link in seconds."""
        link = self._links.get((source.name, target.name))
        if link is None:
            return _SAME_ZONE_DELAY_S if source.zone == target.zone else _CROSS_ZONE_DELAY_S
        age = now - link.updated_at
        if age < 1.0:
            return link.delay_s
        default = _default_delay(link.zones)
        return default + (link.delay_s - default) * 0.5 ** (age / self._half_life_s)

    def get_or_create(
        self, source: ServerEstimate, target: ServerEstimate, now: float
    ) -> LinkEstimate:
        """Return the estimate of a link; create it if there is none."""
        key = (source.name, target.name)
        link = self._links.get(key)
        if link is None:
            zones = (source.zone, target.zone)
            link = self._links[key] = LinkEstimate(_default_delay(zones), zones)
            if len(self._links) > self._max_links:
                del self._links[next(iter(self._links))]
        else:
            link.delay_s = self.delay(source, target, now)
        link.updated_at = now
        return link

    def learn(self, links, gap_s: float, stages_s: float, now: float) -> None:
        """Update the links of a chain from a measured gap.

        :param links: list of :class:`LinkEstimate`
        :param gap_s: mean gap between tokens in seconds
        :param stages_s: expected delay of the stages, part of the gap, in seconds
        :param now: time in seconds
        """
        default = sum(_default_delay(link.zones) for link in links)
        ratio_too_low = gap_s - default > self.stage_delay_ratio * stages_s
        self.stage_delay_ratio *= (
            1 + _STAGE_DELAY_RATIO_STEP if ratio_too_low else 1 - _STAGE_DELAY_RATIO_STEP
        )
        error = gap_s - self.stage_delay_ratio * stages_s - sum(link.delay_s for link in links)
        step = _LINK_STEP_SIZE * error / len(links)
        for link in links:
            # Leakage towards the default delay keeps stage delays from being attributed to links.
            leakage = (_default_delay(link.zones) - link.delay_s) * _LINK_LEAKAGE
            link.delay_s = max(0.0, link.delay_s + step + leakage)
            link.updated_at = now


def _default_delay(zones: tuple[str, str]) -> float:
    """Return the delay in seconds assumed for a link between two zones without traffic."""
    return _SAME_ZONE_DELAY_S if zones[0] == zones[1] else _CROSS_ZONE_DELAY_S
