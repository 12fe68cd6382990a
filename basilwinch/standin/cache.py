"""Prefix caches of the stand-in engines and their late, gappy events."""

import random
from collections import deque

from basilwinch.pipeline import Stage
from basilwinch.record import Record
from basilwinch.standin.sequence import EngineState, KvBlock, Sequence

__all__ = ["CacheEvent", "PrefixCaches"]

_EVENTS_KEPT = 10_000
_EXPORTS_KEPT = 256


class CacheEvent(Record):
    """A server stored or evicted the prefix of a cache key."""

    __slots__ = ("number", "time", "server", "cache_key", "stored")


class PrefixCaches:
    """Limited prefix caches, least recently used first out.

    :param settings: :class:`~basilwinch.standin.settings.EngineSettings`
    :param seed: seed of the lost events
    """

    __slots__ = ("_settings", "_rng", "_events", "_number", "hits", "misses")

    def __init__(self, settings, seed: int = 0):
        self._settings = settings
        self._rng = random.Random(f"{seed}/cache")
        self._events = deque(maxlen=_EVENTS_KEPT)
        self._number = 0
        self.hits = 0
        self.misses = 0

    def known_tokens(self, state: EngineState, sequence: Sequence, stage: Stage) -> int:
        """Return how many tokens of a sequence a server need not compute again."""
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
        return min(tokens, sequence.known_tokens)

    def store(self, state: EngineState, sequence: Sequence, now: float) -> None:
        """Keep the prefix of a processed prompt, and evict others for it."""
        key = sequence.call.cache_key
        if not key or key in state.prefixes:
            return
        prompt_tokens = sequence.known_tokens - len(sequence.call.tokens)
        tokens = int(prompt_tokens * self._settings.prefix_share)
        state.prefixes[key] = tokens
        state.prefix_tokens += tokens
        self._publish(now, state.name, key, True)
        while state.prefix_tokens > self._settings.prefix_tokens and len(state.prefixes) > 1:
            oldest = next(iter(state.prefixes))
            state.prefix_tokens -= state.prefixes.pop(oldest)
            self._publish(now, state.name, oldest, False)

    def retain(self, state: EngineState, sequence: Sequence, stage: Stage) -> None:
        """Keep the KV cache of an ended sequence for export, for a limited number of requests."""
        if not state.alive or sequence.position == sequence.call.resume_from:
            return
        tokens = sequence.known_tokens + sequence.position - sequence.call.resume_from
        request = sequence.call.request
        state.exports[request] = KvBlock(request, stage, tokens)
        while len(state.exports) > _EXPORTS_KEPT:
            state.exports.pop(next(iter(state.exports)))

    def events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the visible events with a number above ``after``; lost ones leave gaps."""
        visible = now - self._settings.event_lag_s
        return [event for event in self._events if event.number > after and event.time <= visible]

    def _publish(self, now: float, server: str, key: str, stored: bool) -> None:
        self._number += 1
        if self._rng.random() >= self._settings.event_loss:
            self._events.append(CacheEvent(self._number, now, server, key, stored))
