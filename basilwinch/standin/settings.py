"""Costs and limits of the stand-in engines."""

from basilwinch.record import Record

__all__ = ["EngineSettings"]


class EngineSettings(Record):
    """Costs and limits of the stand-in engines.

    A step over ``n`` sequences takes ``fixed_share * max_batch + (1 - fixed_share) * n`` times the
    time of one token through the stage's layers in a full batch, plus the prompt tokens at
    ``prefill_share`` each.

    :param max_batch: sequences in one step at most
    :param max_resident: sequences on one server at most; further ones are refused
    :param fixed_share: part of a full step that does not depend on the number of sequences
    :param prefill_share: cost of one prompt token relative to a decoded one
    :param prefill_chunk: prompt tokens in one step at most
    :param prefix_share: part of a prompt that requests with the same cache key share
    :param prefix_tokens: size of a server's prefix cache in tokens
    :param kv_tokens: tokens of KV cache of a server, only reported as ``kv_free``
    :param load_lag_s: age of a load report when it first appears in a frame, seconds
    :param load_every_s: seconds between the load reports in one stream
    :param detect_s: seconds until the neighbours of a dead stage notice
    :param event_lag_s: delay of cache events, seconds
    :param event_loss: part of the cache events that is lost
    :param load_layer_s: seconds to load one layer
    """

    __slots__ = (
        "max_batch",
        "max_resident",
        "fixed_share",
        "prefill_share",
        "prefill_chunk",
        "prefix_share",
        "prefix_tokens",
        "kv_tokens",
        "load_lag_s",
        "load_every_s",
        "detect_s",
        "event_lag_s",
        "event_loss",
        "load_layer_s",
    )
    _defaults = {
        "max_batch": 16,
        "max_resident": 512,
        "fixed_share": 0.3,
        "prefill_share": 0.1,
        "prefill_chunk": 256,
        "prefix_share": 0.75,
        "prefix_tokens": 20_000,
        "kv_tokens": 200_000,
        "load_lag_s": 0.25,
        "load_every_s": 0.25,
        "detect_s": 0.2,
        "event_lag_s": 1.0,
        "event_loss": 0.05,
        "load_layer_s": 0.1,
    }
