"""Activity of the chains that have streams of this node in progress."""

__all__ = ["ChainActivity"]


class ChainActivity:
    """Time of the newest event of each chain, by the chain's first server.

    All streams that share a first server count as one chain, from the first event of one of them
    on: before, a chain that reads a long prompt can't be told from a silent one. State is kept only
    for first servers with streams in progress.
    """

    __slots__ = ("_heads",)

    def __init__(self):
        self._heads: dict[str, _Head] = {}

    def begin(self, head_id: str) -> None:
        """Record that a stream was sent to a chain.

        A chain that is silent remains so: only an event shows that it works.

        :param head_id: id of the chain's first server
        """
        head = self._heads.get(head_id)
        if head is None:
            head = self._heads[head_id] = _Head()
        head.streams += 1

    def record(self, head_id: str, now: float) -> None:
        """Record that events arrived from a chain.

        :param head_id: id of the chain's first server
        :param now: time in seconds
        """
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
        """Return the number of silent chains, and of all chains that have sent an event.

        :param now: time in seconds
        :param min_silent_s: seconds without an event after which a chain counts as silent
        """
        latest = now - min_silent_s
        known = [head.active_at for head in self._heads.values() if head.active_at is not None]
        return sum(active_at <= latest for active_at in known), len(known)


class _Head:
    """Streams in progress at a first server, and the time of the newest event of one of them."""

    __slots__ = ("streams", "active_at")

    def __init__(self):
        self.streams = 0
        self.active_at: float | None = None
