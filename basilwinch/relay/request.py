"""Model requests and the settings of the relay."""

from basilwinch.record import Record

__all__ = ["ModelRequest", "RelayConfig", "count_prompt_tokens"]


class ModelRequest(Record):
    """A model request as admitted by the gateway.

    :param request: id of the request, unique in the fleet
    :param organisation: name of the organisation
    :param model: name of the model
    :param prompt: prompt text
    :param max_tokens: maximum number of tokens to generate
    :param priority: larger values go first in the engine's batch
    :param deadline_s: seconds from the start within which the response must be complete, or None
    :param cache_key: digest of the prompt prefix, for prefix-cache affinity
    :param adapter: name of the adapter, empty for none
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

    :param max_attempts: maximum failed attempts per request; refusals by leaving servers do not
        count
    :param retry_ratio: long-term retries per request of the node. Each node applies it to its own
        requests, so the retries of the fleet stay below the same ratio.
    :param retry_window_s: unspent retries are kept for about this time; a zone loss interrupts a
        third of the requests in progress at once and needs them
    :param retry_reserve: retries available at any request rate, for a node with little traffic
    :param backoff_base_s: upper limit of the first backoff; it doubles with each attempt
    :param backoff_max_s: maximum of that limit
    :param stall_min_s: minimum stall timeout. A long prefill in the same batch delays tokens by
        some 100 ms.
    :param stall_max_s: maximum stall timeout, as stalls should be detected within 1 s; it is longer
        before the first frame, for slow streams and with an empty retry budget
    :param chain_wait_s: maximum wait for a chain or for the retry budget
    :param prefill_tokens_per_s: assumed tokens per second of a prefill or prefix replay
    :param kv_bytes_per_s: assumed bytes per second of a KV transfer between servers
    :param kv_setup_s: assumed fixed cost of a KV transfer
    """

    __slots__ = (
        "max_attempts",
        "retry_ratio",
        "retry_window_s",
        "retry_reserve",
        "backoff_base_s",
        "backoff_max_s",
        "stall_min_s",
        "stall_max_s",
        "chain_wait_s",
        "prefill_tokens_per_s",
        "kv_bytes_per_s",
        "kv_setup_s",
    )
    _defaults = {
        "max_attempts": 8,
        "retry_ratio": 0.2,
        "retry_window_s": 60.0,
        "retry_reserve": 20.0,
        "backoff_base_s": 0.05,
        "backoff_max_s": 1.0,
        "stall_min_s": 0.4,
        "stall_max_s": 0.9,
        "chain_wait_s": 10.0,
        "prefill_tokens_per_s": 4000.0,
        "kv_bytes_per_s": 1e9,
        "kv_setup_s": 0.02,
    }


def count_prompt_tokens(prompt: str) -> int:
    """Return an estimate of the number of tokens of a prompt.

    It counts one token per four UTF-8 bytes. This holds also for Bengali, which takes three bytes
    per character and has about as many tokens per byte as English.

    >>> count_prompt_tokens("a" * 40)
    10
    """
    return max(1, len(prompt.encode()) // 4)
