"""Prefix caches of the simulated engines and their delayed, lossy events."""

import random
from collections import deque

from basilwinch.pipeline import Stage
from basilwinch.record import Record
from basilwinch.standin.sequence import EngineState, KvBlock, Sequence

__all__ = ["CacheEvent", "PrefixCaches"]

_MAX_RETAINED_EVENTS = 10_000
_MAX_EXPORTS_PER_SERVER = 256


class CacheEvent(Record):
    """Reports that a server stored or evicted the prefix of a cache key."""

    __slots__ = ("number", "time", "server", "cache_key", "stored")


class PrefixCaches:
    """Prefix caches of limited size with least-recently-used eviction.

    :param settings: :class:`~basilwinch.standin.settings.EngineSettings`
    :param seed: seed that selects the lost events
    """

    __slots__ = ("_settings", "_rng", "_events", "_last_event_number", "hits", "misses")

    def __init__(self, settings, seed: int = 0):
        self._settings = settings
        self._rng = random.Random(f"{seed}/cache")
        self._events = deque(maxlen=_MAX_RETAINED_EVENTS)
        self._last_event_number = 0
        self.hits = 0
        self.misses = 0

    def take_cached_tokens(self, state: EngineState, sequence: Sequence, stage: Stage) -> int:
        """Return how many input tokens of a sequence are in the KV cache of a server.

        An imported KV block is consumed. A look-up in the prefix cache counts as a hit or a miss,
        and a hit makes the prefix the most recently used one.
        """
        block = state.imports.pop(sequence.call.request, None)
        if block is not None and block.stage == stage:
            return block.tokens
        key = sequence.call.cache_key
        if not key:
            return 0
        tokens = state.prefixes.pop(key, None)
        if tokens is None:
            self.misses += 1
            return 0
        state.prefixes[key] = tokens
        self.hits += 1
        return min(tokens, sequence.input_tokens)

    def store(self, state: EngineState, sequence: Sequence, now: float) -> None:
        """Store the prefix of a processed prompt; evict others beyond the size limit."""
        key = sequence.call.cache_key
        if not key or key in state.prefixes:
            return
        prompt_tokens = sequence.input_tokens - len(sequence.call.tokens)
        tokens = int(prompt_tokens * self._settings.prefix_share)
        state.prefixes[key] = tokens
        state.cached_prefix_tokens += tokens
        self._publish(now, state.name, key, True)
        while (
            state.cached_prefix_tokens > self._settings.prefix_cache_tokens
            and len(state.prefixes) > 1
        ):
            oldest = next(iter(state.prefixes))
            state.cached_prefix_tokens -= state.prefixes.pop(oldest)
            self._publish(now, state.name, oldest, False)

    def retain_for_export(self, state: EngineState, sequence: Sequence, stage: Stage) -> None:
        """Retain the KV cache of an ended sequence, up to the limit of exports per server."""
        if not state.alive or sequence.position == sequence.call.resume_from:
            return
        tokens = sequence.input_tokens + sequence.position - sequence.call.resume_from
        request = sequence.call.request
        state.exports[request] = KvBlock(request, stage, tokens)
        while len(state.exports) > _MAX_EXPORTS_PER_SERVER:
            state.exports.pop(next(iter(state.exports)))

    def events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the visible events with a number above ``after``.

        Events become visible after ``cache_event_lag_s``; lost events leave gaps in the numbers.
        """
        visible = now - self._settings.cache_event_lag_s
        return [event for event in self._events if event.number > after and event.time <= visible]

    def _publish(self, now: float, server: str, key: str, stored: bool) -> None:
        self._last_event_number += 1
        if self._rng.random() >= self._settings.cache_event_loss:
            self._events.append(CacheEvent(self._last_event_number, now, server, key, stored))
