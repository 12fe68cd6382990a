"""Settings, requests and choices of the router."""

from basilwinch.pipeline import Chain
from basilwinch.record import Record

__all__ = ["RouteChoice", "RouteRequest", "RoutingConfig"]


class RoutingConfig(Record):
    """Settings of :class:`~basilwinch.routing.ChainRouter`.

    :param node: name of this node; decides which servers it uses in a large fleet
    :param zone: availability zone of this node
    :param region: region of this node; its servers are preferred
    :param nodes: number of nodes that share the servers
    :param subset: stages of one model that a node uses at most
    :param samples: stages compared at each layer boundary
    :param own_weight: how many sequences of all nodes one sequence of this node stands for, when it
        is beyond the stage's share; the number of nodes that use a server is a good value
    :param max_batch: sequences in a full batch of an engine
    :param occupancy: sequences in progress for each place in a batch
    :param affinity_load: a stage with a cached prefix is preferred while its delay is below this
        many times the delay of the best stage sampled
    :param slow_factor: a stage is avoided when its steps take this many times their nominal time
    :param restore_factor: an avoided stage is used again below this factor
    :param probe_s: seconds between two requests to an avoided or dead server
    :param dead_s: seconds after which a server that died is probed again; doubles up to 16-fold
    :param refused_s: seconds for which a server that refused a call is left out
    :param link_half_life_s: seconds after which half of a link's excess delay is forgotten unless
        traffic confirms it
    :param links: links whose delay is kept at most
    :param deadline_slack: a request is refused if its expected time is over its deadline times this
    """

    __slots__ = (
        "node",
        "zone",
        "region",
        "nodes",
        "subset",
        "samples",
        "own_weight",
        "max_batch",
        "occupancy",
        "affinity_load",
        "slow_factor",
        "restore_factor",
        "probe_s",
        "dead_s",
        "refused_s",
        "link_half_life_s",
        "links",
        "deadline_slack",
    )
    _defaults = {
        "zone": "",
        "region": "",
        "nodes": 1,
        "subset": 384,
        "samples": 2,
        "own_weight": 9.0,
        "max_batch": 8,
        "occupancy": 1.9,
        "affinity_load": 1.2,
        "slow_factor": 2.5,
        "restore_factor": 1.6,
        "probe_s": 2.0,
        "dead_s": 5.0,
        "refused_s": 1.0,
        "link_half_life_s": 10.0,
        "links": 20_000,
        "deadline_slack": 1.25,
    }


class RouteRequest(Record):
    """What a chain is wanted for.

    :param request: id of the request
    :param model: name of the model
    :param cache_key: digest of the prompt prefix, empty for none
    :param prompt_tokens: tokens to process before the first one is generated
    :param max_tokens: tokens to generate at most
    :param deadline_s: seconds left for the whole response, or None
    :param avoid: names of servers that must not be used
    :param isolated: whether the request may crash servers; all nodes send such requests to the same
        chain, and this node keeps other requests off it meanwhile
    """

    __slots__ = (
        "request",
        "model",
        "cache_key",
        "prompt_tokens",
        "max_tokens",
        "deadline_s",
        "avoid",
        "isolated",
    )
    _defaults = {
        "cache_key": "",
        "prompt_tokens": 0,
        "max_tokens": 1,
        "deadline_s": None,
        "avoid": frozenset(),
        "isolated": False,
    }


class RouteChoice:
    """A chosen chain and what the router expects of it.

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
        "started",
        "prompt_tokens",
        "frames",
        "gap_sum_s",
        "gap_count",
    )

    def __init__(self, chain: Chain, expected_first_token_s: float, expected_token_s: float):
        self.chain = chain
        self.expected_first_token_s = expected_first_token_s
        self.expected_token_s = expected_token_s
        #: Why the chain was chosen: ``load``, ``affinity``, ``probe`` or ``isolated``.
        self.reason = "load"
        self.isolated = False
        #: Estimates of the stages and links of the chain.
        self.stages = ()
        self.links = ()
        #: Trio time of :meth:`ChainRouter.begin`, or None before it and after the end.
        self.started = None
        self.prompt_tokens = 0
        self.frames = 0
        self.gap_sum_s = 0.0
        self.gap_count = 0

    def __repr__(self):
        servers = ">".join(self.chain.servers)
        return f"RouteChoice({servers}, {self.reason}, {self.expected_token_s:.4f} s)"
