"""Activity of the chains that have streams of this node in progress."""

__all__ = ["ChainActivity"]


class ChainActivity:
    """Time of the newest event of each chain, by the chain's first server.

    All streams that share a first server count as one chain. State is kept only for first servers
    with streams in progress. ``last_event_at`` is the time of the newest event from any chain in
    seconds, None before the first.
    """

    __slots__ = ("_heads", "last_event_at")

    def __init__(self):
        self._heads: dict[str, _Head] = {}
        self.last_event_at: float | None = None

    def begin(self, head_id: str, now: float) -> None:
        """Record that a stream was sent to a chain.

        A chain without other streams counts as silent from now on. A chain that is already silent
        remains so: only an event shows that it works.

        :param head_id: id of the chain's first server
        :param now: time in seconds
        """
        head = self._heads.get(head_id)
        if head is None:
            head = self._heads[head_id] = _Head(now)
        head.streams += 1

    def record(self, head_id: str, now: float) -> None:
        """Record that events arrived from a chain.

        :param head_id: id of the chain's first server
        :param now: time in seconds
        """
        self.last_event_at = now
        head = self._heads.get(head_id)
        if head is not None:
            head.active_at = now

    def end(self, head_id: str) -> None:
        """Record the end of a stream that was begun.

        :param head_id: id of the chain's first server
        """
        head = self._heads[head_id]
        head.streams -= 1
        if not head.streams:
            del self._heads[head_id]

    def count_silent(self, now: float, min_silent_s: float) -> tuple[int, int]:
        """Return the number of silent chains, and of all chains with streams in progress.

        :param now: time in seconds
        :param min_silent_s: seconds without an event after which a chain counts as silent
        """
        latest = now - min_silent_s
        silent = sum(head.active_at <= latest for head in self._heads.values())
        return silent, len(self._heads)


class _Head:
    """Streams in progress at a first server, and its last sign of activity."""

    __slots__ = ("streams", "active_at")

    def __init__(self, active_at: float):
        self.streams = 0
        self.active_at = active_at
