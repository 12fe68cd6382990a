"""Step costs and capacity limits of the simulated engines."""

from basilwinch.record import Record

__all__ = ["EngineSettings"]


class EngineSettings(Record):
    """Step costs and capacity limits of the simulated engines.

    A step over ``n`` decoding sequences takes
    ``fixed_step_share * max_batch + (1 - fixed_step_share) * n`` times the time of one token in the
    stage's layers in a full batch. A prompt token counts as ``prefill_cost_ratio`` sequences.

    :param max_batch: maximum number of sequences in one step
    :param max_sequences: maximum number of sequences on one server; further ones are refused
    :param fixed_step_share: share of a full step that does not depend on the number of sequences
    :param prefill_cost_ratio: cost of one prompt token relative to a decoded one
    :param prefill_chunk: maximum number of input tokens (prompt and replayed) in one step
    :param prefix_share: share of a prompt that is common to all requests with its cache key
    :param prefix_cache_tokens: capacity of a server's prefix cache in tokens
    :param kv_capacity_tokens: capacity of a server's KV cache in tokens, used only for the reported
        ``kv_free``
    :param load_report_lag_s: minimum age of a load report in a frame in seconds
    :param load_report_interval_s: seconds between load reports in one stream
    :param failure_detection_s: seconds until adjacent stages detect a dead server
    :param cache_event_lag_s: delay of cache events in seconds
    :param cache_event_loss: share of the cache events that are lost
    :param load_layer_s: seconds to load the weights of one layer
    """

    __slots__ = (
        "max_batch",
        "max_sequences",
        "fixed_step_share",
        "prefill_cost_ratio",
        "prefill_chunk",
        "prefix_share",
        "prefix_cache_tokens",
        "kv_capacity_tokens",
        "load_report_lag_s",
        "load_report_interval_s",
        "failure_detection_s",
        "cache_event_lag_s",
        "cache_event_loss",
        "load_layer_s",
    )
    _defaults = {
        "max_batch": 16,
        "max_sequences": 512,
        "fixed_step_share": 0.3,
        "prefill_cost_ratio": 0.1,
        "prefill_chunk": 256,
        "prefix_share": 0.75,
        "prefix_cache_tokens": 20_000,
        "kv_capacity_tokens": 200_000,
        "load_report_lag_s": 0.25,
        "load_report_interval_s": 0.25,
        "failure_detection_s": 0.2,
        "cache_event_lag_s": 1.0,
        "cache_event_loss": 0.05,
        "load_layer_s": 0.1,
    }
