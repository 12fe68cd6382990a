"""The model request and the settings of the relay."""

from basilwinch.record import Record

__all__ = ["ModelRequest", "RelayConfig", "count_prompt_tokens"]


class ModelRequest(Record):
    """A model request as admitted by the gateway.

    :param request: id, unique in the fleet
    :param organisation: name of the organisation
    :param model: name of the model
    :param prompt: prompt text
    :param max_tokens: tokens to generate at most
    :param priority: larger goes first in the engine's batch
    :param deadline_s: seconds from now within which the whole response must come, or None
    :param cache_key: digest of the prompt prefix, for prefix-cache affinity
    :param adapter: adapter, empty for none
    """

    __slots__ = (
        "request",
        "organisation",
        "model",
        "prompt",
        "max_tokens",
        "priority",
        "deadline_s",
        "cache_key",
        "adapter",
    )
    _defaults = {"priority": 0, "deadline_s": None, "cache_key": "", "adapter": ""}


class RelayConfig(Record):
    """Settings of the relay; times in seconds.

    :param attempts: attempts per request at most; servers that refuse because they leave do not
        count
    :param retry_ratio: retries per request that the node may spend in the long run. Each node
        applies it to its own requests, so the fleet's retries stay below the same ratio.
    :param retry_window_s: unspent retries of this many seconds are kept; a zone loss interrupts
        a third of the requests in progress at once and needs them
    :param retry_reserve: retries that are kept whatever the rate, for a node with little traffic
    :param backoff_s: limit of the first backoff; it doubles with each attempt
    :param backoff_max_s: upper limit of the backoff
    :param stall_min_s: shortest silence that counts as a stall. A long prefill in the same batch
        delays tokens by some 100 ms.
    :param stall_max_s: longest silence that is waited for; the detection target is 1 s
    :param chain_wait_s: how long a request waits for a chain or for the retry budget
    :param prefill_tokens_per_s: tokens a second of a prefix replay, until measured
    :param kv_bytes_per_s: rate of a KV transfer between servers
    :param kv_setup_s: fixed cost of a KV transfer
    """

    __slots__ = (
        "attempts",
        "retry_ratio",
        "retry_window_s",
        "retry_reserve",
        "backoff_s",
        "backoff_max_s",
        "stall_min_s",
        "stall_max_s",
        "chain_wait_s",
        "prefill_tokens_per_s",
        "kv_bytes_per_s",
        "kv_setup_s",
    )
    _defaults = {
        "attempts": 8,
        "retry_ratio": 0.2,
        "retry_window_s": 60.0,
        "retry_reserve": 20.0,
        "backoff_s": 0.05,
        "backoff_max_s": 1.0,
        "stall_min_s": 0.4,
        "stall_max_s": 0.9,
        "chain_wait_s": 10.0,
        "prefill_tokens_per_s": 4000.0,
        "kv_bytes_per_s": 1e9,
        "kv_setup_s": 0.02,
    }


def count_prompt_tokens(prompt: str) -> int:
    """Return an estimate of the tokens of a prompt.

    One token for four UTF-8 bytes: Bengali script takes three bytes a character and about as many
    tokens per byte as English script.

    >>> count_prompt_tokens("a" * 40)
    10
    """
    return max(1, len(prompt.encode()) // 4)
