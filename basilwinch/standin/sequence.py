"""State of the streams and servers in the simulated engines."""

from basilwinch.pipeline import Stage
from basilwinch.record import Record
from basilwinch.server import EngineCall
from basilwinch.standin.token import count_prompt_tokens, response_digest

__all__ = ["EngineState", "KvBlock", "Sequence"]


class KvBlock(Record):
    """KV cache of one request on one server, for transfer to another server.

    :param request: id of the request
    :param stage: server and layers
    :param tokens: number of tokens in the cache
    """

    __slots__ = ("request", "stage", "tokens")


class Sequence:
    """One attempt of a request that runs on the engines.

    :param call: call that started the attempt
    :param origin: server name or zone of the caller, which gives the link delay
    :param on_frame: called with each :class:`~basilwinch.pipeline.TokenFrame`
    :param on_failure: called at most once, with a :class:`~basilwinch.exception.Failure`
    """

    __slots__ = (
        "call",
        "origin",
        "on_frame",
        "on_failure",
        "stages",
        "engines",
        "stage_index",
        "position",
        "digest",
        "input_tokens",
        "pending_tokens",
        "prefilling",
        "priority",
        "layers",
        "decode_s",
        "ended",
        "next_load_report_at",
        "engine_s",
    )

    def __init__(self, call: EngineCall, origin: str, on_frame, on_failure):
        self.call = call
        self.origin = origin
        self.on_frame = on_frame
        self.on_failure = on_failure
        self.stages: tuple[Stage, ...] = call.chain.stages
        self.engines = []
        self.stage_index = 0
        self.position = call.resume_from
        self.digest = response_digest(call)
        self.input_tokens = count_prompt_tokens(call.prompt) + len(call.tokens)
        #: Input tokens that are not processed yet, by stage.
        self.pending_tokens = []
        #: Whether the input tokens are still being processed.
        self.prefilling = True
        self.priority = call.priority
        self.layers = []
        #: Time that one decoded token adds to a batch step in seconds, by stage; excludes the
        #: fixed part of the step.
        self.decode_s = []
        self.ended = False
        self.next_load_report_at = 0.0
        #: Duration of all batch steps with this sequence in seconds; benchmarks subtract it to
        #: measure waiting time.
        self.engine_s = 0.0


class EngineState:
    """State of one simulated server.

    :param name: name of the server
    :param layer_s: compute time of one token in one layer in a full batch, in seconds
    :param checks_fencing: whether it refuses orders with a stale fencing token
    """

    __slots__ = (
        "name",
        "layer_s",
        "checks_fencing",
        "alive",
        "leaving",
        "slowdown",
        "epoch",
        "busy",
        "busy_until",
        "ready",
        "ready_count",
        "resident",
        "holds",
        "adapters",
        "role",
        "fence",
        "prefixes",
        "cached_prefix_tokens",
        "exports",
        "imports",
        "step_s",
        "steps",
        "busy_s",
        "batched_sequences",
        "batch_size",
        "published_load",
        "sampled_load",
        "load_sampled_at",
    )

    def __init__(self, name: str, layer_s: float, checks_fencing: bool = True):
        self.name = name
        self.layer_s = layer_s
        self.checks_fencing = checks_fencing
        self.alive = True
        self.leaving = False
        self.slowdown = 1.0
        #: Incremented each time the server is killed, so that callbacks scheduled before have no
        #: effect after a restart.
        self.epoch = 0
        #: Loaded layer ranges: (model, version, first, end).
        self.holds = []
        self.adapters = set()
        self.role = ""
        self.fence = 0
        self.steps = 0
        self.busy_s = 0.0
        #: Sum of the batch sizes of all steps.
        self.batched_sequences = 0
        self.clear()

    def clear(self) -> None:
        """Reset the state that a restart loses, except the loaded layers."""
        self.busy = False
        #: Time at which the step in progress ends.
        self.busy_until = 0.0
        #: Queues of sequences that wait for a step, by priority, highest first.
        self.ready = {}
        self.ready_count = 0
        self.resident = {}
        #: Prefix cache: number of tokens by cache key, least recently used first.
        self.prefixes = {}
        self.cached_prefix_tokens = 0
        self.exports = {}
        self.imports = {}
        self.step_s = 0.0
        self.batch_size = 0
        #: Load report sent in frames: the previous sample, so that it is at least
        #: ``load_report_lag_s`` old.
        self.published_load = None
        self.sampled_load = None
        self.load_sampled_at = -1e9

    def has_layers(self, model: str, version: str, first: int, end: int) -> bool:
        """Return whether the server holds the layers; an empty ``version`` matches any."""
        return any(
            held == model and version in ("", held_version) and start <= first and end <= stop
            for held, held_version, start, stop in self.holds
        )
