"""State of one stream inside the stand-in engines."""

from basilwinch.pipeline import Stage
from basilwinch.record import Record
from basilwinch.server import EngineCall
from basilwinch.standin.token import count_prompt_tokens, response_digest

__all__ = ["EngineState", "KvBlock", "Sequence"]


class KvBlock(Record):
    """Exported KV cache of one request on one server.

    :param request: id of the request
    :param stage: server and layers
    :param tokens: number of tokens that it covers
    """

    __slots__ = ("request", "stage", "tokens")


class Sequence:
    """One attempt that runs on the engines.

    :param call: the call
    :param origin: zone or name of the caller's end of the link
    :param on_frame: called with each :class:`~basilwinch.pipeline.TokenFrame`
    :param on_failure: called once with a failure if the stream breaks
    """

    __slots__ = (
        "call",
        "origin",
        "on_frame",
        "on_failure",
        "spans",
        "engines",
        "index",
        "position",
        "digest",
        "known_tokens",
        "pending",
        "prefilling",
        "priority",
        "layers",
        "decode_s",
        "ended",
        "next_load",
        "engine_s",
    )

    def __init__(self, call: EngineCall, origin: str, on_frame, on_failure):
        self.call = call
        self.origin = origin
        self.on_frame = on_frame
        self.on_failure = on_failure
        self.spans: tuple[Stage, ...] = call.chain.stages
        self.engines = []
        self.index = 0
        self.position = call.resume_from
        self.digest = response_digest(call)
        self.known_tokens = count_prompt_tokens(call.prompt) + len(call.tokens)
        #: Prompt tokens still to process, by stage.
        self.pending = []
        #: Whether the first token is still to come.
        self.prefilling = True
        self.priority = call.priority
        self.layers = []
        #: Compute time of one decoded token in a batch, by stage.
        self.decode_s = []
        self.ended = False
        self.next_load = 0.0
        #: Time of all batch steps that included this sequence; benchmarks subtract it.
        self.engine_s = 0.0


class EngineState:
    """State of one stand-in server.

    :param name: name of the server
    :param layer_s: compute time of one token through one layer in a full batch, seconds
    :param checks_fencing: whether it refuses an order with an old fencing token
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
        "prefix_tokens",
        "exports",
        "imports",
        "step_s",
        "steps",
        "busy_s",
        "tokens",
        "batch_size",
        "published",
        "sampled",
        "sampled_at",
    )

    def __init__(self, name: str, layer_s: float, checks_fencing: bool = True):
        self.name = name
        self.layer_s = layer_s
        self.checks_fencing = checks_fencing
        self.alive = True
        self.leaving = False
        self.slowdown = 1.0
        #: Grows at each death, so that a step of a dead engine does not end in a revived one.
        self.epoch = 0
        #: Layer ranges held: (model, version, first, end).
        self.holds = []
        self.adapters = set()
        self.role = ""
        self.fence = 0
        self.steps = 0
        self.busy_s = 0.0
        self.tokens = 0
        self.clear()

    def clear(self) -> None:
        """Drop everything that a restart loses, except the layers held."""
        self.busy = False
        #: End of the step in progress.
        self.busy_until = 0.0
        #: Sequences that wait for a step, by priority.
        self.ready = {}
        self.ready_count = 0
        self.resident = {}
        #: Prefix cache, least recently used first: tokens by cache key.
        self.prefixes = {}
        self.prefix_tokens = 0
        self.exports = {}
        self.imports = {}
        self.step_s = 0.0
        self.batch_size = 0
        self.published = None
        self.sampled = None
        self.sampled_at = -1e9

    def find_hold(self, model: str, version: str, first: int, end: int) -> bool:
        """Return whether the server holds the layers; any version matches an empty one."""
        return any(
            held == model and version in ("", held_version) and start <= first and end <= stop
            for held, held_version, start, stop in self.holds
        )
