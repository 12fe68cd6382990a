"""Expected time from the start of a stream to its first event."""

__all__ = ["estimate_first_event_s"]


def estimate_first_event_s(engine, prompt_tokens: int) -> float:
    """Return the time for the prompt and the first pass at the slowest kind of server, in seconds.

    The chain is not known yet. Its other requests are left out, as their number is not known
    either; they lengthen a pass by a small part of what the caller's gap target allows.

    :param engine: :class:`~basilwinch.view.Engine`
    :param prompt_tokens: tokens of the prompt, which are processed first
    """
    kinds = engine.kinds.values()
    prefill_factor = max((kind.prefill_factor for kind in kinds), default=1.0)
    step_factor = max((kind.step_factor for kind in kinds), default=1.0)
    prefill_ms = prompt_tokens * prefill_factor / engine.prefill_tokens_per_ms
    pass_ms = step_factor * engine.stride * (engine.step_ms + engine.sequence_ms)
    return (prefill_ms + pass_ms) / 1000
