"""Settings, requests and choices of the router."""

from basilwinch.pipeline import Chain
from basilwinch.record import Record

__all__ = ["RouteChoice", "RouteRequest", "RoutingConfig"]


class RoutingConfig(Record):
    """Settings of :class:`~basilwinch.routing.ChainRouter`.

    :param node: name of this node; determines its subset of a large fleet
    :param zone: availability zone of this node
    :param region: region of this node; servers in it are preferred
    :param node_count: number of nodes that share the servers
    :param subset_size: target number of stages of one model that a node uses, rounded for each
        layer range
    :param samples: stages compared at each layer boundary
    :param local_excess_weight: weight of each sequence of this node beyond the stage's share of the
        flow; it stands for unreported sequences of the other nodes, so the number of nodes that
        use a server is a good value
    :param max_batch: maximum sequences in a batch of an engine
    :param occupancy: sequences in progress per batch slot
    :param affinity_delay_ratio: a stage with a cached prefix is preferred up to this ratio of its
        delay to that of the best stage sampled
    :param avoid_slowness_ratio: a server is avoided if the ratio of its measured to its nominal
        step time exceeds the mean of that ratio over all servers by this factor
    :param restore_slowness_ratio: an avoided server is used again below this factor
    :param probe_interval_s: minimum seconds between two probes of an avoided or dead server
    :param dead_backoff_s: seconds until the first probe of a dead server; doubles up to 16-fold
    :param refused_backoff_s: as ``dead_backoff_s``, for a server that refused a call, or that was
        silent when a request failed
    :param link_half_life_s: seconds without traffic after which a link's deviation from its default
        delay is halved
    :param max_links: maximum number of links with an estimated delay
    :param deadline_slack_ratio: a request is refused above this ratio of its expected time to its
        deadline
    """

    __slots__ = (
        "node",
        "zone",
        "region",
        "node_count",
        "subset_size",
        "samples",
        "local_excess_weight",
        "max_batch",
        "occupancy",
        "affinity_delay_ratio",
        "avoid_slowness_ratio",
        "restore_slowness_ratio",
        "probe_interval_s",
        "dead_backoff_s",
        "refused_backoff_s",
        "link_half_life_s",
        "max_links",
        "deadline_slack_ratio",
    )
    _defaults = {
        "zone": "",
        "region": "",
        "node_count": 1,
        "subset_size": 384,
        "samples": 2,
        "local_excess_weight": 9.0,
        "max_batch": 8,
        "occupancy": 1.7,
        "affinity_delay_ratio": 1.2,
        "avoid_slowness_ratio": 2.5,
        "restore_slowness_ratio": 1.6,
        "probe_interval_s": 2.0,
        "dead_backoff_s": 5.0,
        "refused_backoff_s": 1.0,
        "link_half_life_s": 10.0,
        "max_links": 20_000,
        "deadline_slack_ratio": 1.25,
    }


class RouteRequest(Record):
    """Requirements of a request on its chain.

    :param request: id of the request
    :param model: name of the model
    :param cache_key: digest of the prompt prefix, empty for none
    :param prompt_tokens: tokens of the prefill
    :param max_tokens: maximum number of tokens to generate
    :param deadline_s: seconds left for the whole response, or None
    :param excluded: names of servers that must not be used
    :param isolated: whether the request may crash servers; all nodes send such requests to the same
        chain, and meanwhile this node sends other requests there only as probes or if there is no
        other chain
    """

    __slots__ = (
        "request",
        "model",
        "cache_key",
        "prompt_tokens",
        "max_tokens",
        "deadline_s",
        "excluded",
        "isolated",
    )
    _defaults = {
        "cache_key": "",
        "prompt_tokens": 0,
        "max_tokens": 1,
        "deadline_s": None,
        "excluded": frozenset(),
        "isolated": False,
    }


class RouteChoice:
    """A chosen chain, its expected times, and the counters of the request that uses it.

    :param chain: the chain
    :param expected_first_token_s: seconds until the first token
    :param expected_token_s: seconds between two tokens
    """

    __slots__ = (
        "chain",
        "expected_first_token_s",
        "expected_token_s",
        "reason",
        "isolated",
        "stages",
        "links",
        "started_at",
        "prompt_tokens",
        "frame_count",
        "gap_sum_s",
        "gap_count",
    )

    def __init__(self, chain: Chain, expected_first_token_s: float, expected_token_s: float):
        self.chain = chain
        self.expected_first_token_s = expected_first_token_s
        self.expected_token_s = expected_token_s
        #: Why it was chosen: ``load``, ``affinity``, ``probe``, ``isolated`` or ``fallback``.
        self.reason = "load"
        self.isolated = False
        #: Estimates of the stages and of the links of the chain.
        self.stages = ()
        self.links = ()
        #: Time of :meth:`ChainRouter.begin`; None before it and after :meth:`ChainRouter.finish`.
        self.started_at = None
        self.prompt_tokens = 0
        self.frame_count = 0
        self.gap_sum_s = 0.0
        self.gap_count = 0

    def __repr__(self):
        servers = ">".join(self.chain.servers)
        return f"RouteChoice({servers}, {self.reason}, {self.expected_token_s:.4f} s)"
