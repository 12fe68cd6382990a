"""One round in which waiting requests try for a path."""

import enum
from collections import deque

__all__ = ["SearchResult", "run_round"]

# A search takes 1 to 3 ms with some hundred servers, and a round runs ten times a second.
_MAX_FAILED_SEARCHES = 6
_MAX_STARTS = 16  # of a round; each costs a search, and other tasks of the node wait meanwhile
# After this many requests have overtaken a larger one, it holds them back for a while, so that
# memory that is released adds up for it. Small nodes see few starts in the time that it can wait.
_MAX_OVERTAKEN = 8
# Other nodes take most of the memory that this node leaves free, so a longer hold is of little use.
_MAX_HOLD_S = 0.5


class SearchResult(enum.Enum):
    """What became of a request that tried for a path."""

    STARTED = "started"
    ENDED = "ended"  # it was refused for another reason than capacity
    NO_PATH = "no_path"
    BLOCKED = "blocked"  # capacity may be free, but no request of its urgency may use it yet


def run_round(queue, now: float, search, may_start=None) -> bool:
    """Let the waiting requests of a service try for a path in order.

    A request is left out if one that needs no more memory has found no path in this round, or one
    of its urgency was blocked. The last search that may fail is that of the smallest request that
    is left: large requests at the head use up at most the others.

    :param queue: :class:`~basilwinch.capacity.queue.CapacityQueue`
    :param now: time in seconds
    :param search: function of an entry that starts it if there is a path and returns a
        :class:`SearchResult`
    :param may_start: function of a priority, see ``CapacityQueue.list_ready``
    :returns: whether further requests may find a path at once in another round
    """
    remaining = deque(queue.list_ready(now, may_start))
    failed_tokens: dict[bool, int] = {}  # least that found no path, by whether zones are crossed
    blocked = set()  # urgencies
    without_path = []

    def is_left_out(entry):
        return entry.urgency in blocked or _must_fail(entry, failed_tokens)

    starts = failures = 0
    while remaining and starts < _MAX_STARTS and failures < _MAX_FAILED_SEARCHES:
        if failures == _MAX_FAILED_SEARCHES - 1:
            remaining = deque(entry for entry in remaining if not is_left_out(entry))
            if not remaining:
                break
            entry = min(remaining, key=lambda entry: entry.tokens)
            remaining.remove(entry)
        else:
            entry = remaining.popleft()
        if is_left_out(entry):
            continue
        result = search(entry)
        if result is SearchResult.STARTED:
            starts += 1
            queue.record_start(entry, now)
            for overtaken in without_path:
                overtaken.overtaken += 1
        elif result is SearchResult.ENDED:
            queue.leave(entry, now)
        elif result is SearchResult.BLOCKED:
            blocked.add(entry.urgency)
        if result is not SearchResult.NO_PATH:
            continue
        failures += 1
        failed_tokens[entry.cross_zones] = min(
            entry.tokens, failed_tokens.get(entry.cross_zones, entry.tokens)
        )
        without_path.append(entry)
        if _holds_back(entry, now):
            return False
    return starts == _MAX_STARTS and bool(remaining)


def _must_fail(entry, failed_tokens: dict[bool, int]) -> bool:
    """Return whether a request that needs no more has found no path.

    A path that may not cross zones is also one of those that may.
    """
    least = failed_tokens.get(True)
    if least is not None and entry.tokens >= least:
        return True
    least = None if entry.cross_zones else failed_tokens.get(False)
    return least is not None and entry.tokens >= least


def _holds_back(entry, now: float) -> bool:
    """Return whether a request that has found no path holds back those behind it."""
    if entry.has_begun or entry.overtaken < _MAX_OVERTAKEN:
        return False
    if entry.held_since is None:
        entry.held_since = now
    return now - entry.held_since < _MAX_HOLD_S
