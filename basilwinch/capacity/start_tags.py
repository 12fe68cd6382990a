"""Start tags of start-time fair queueing."""

__all__ = ["StartTags"]


class StartTags:
    """Virtual time and finish tags of the flows of one queue [1]_.

    ``virtual_time`` is the highest start tag of a request that has been started.

    .. [1] Goyal, Vin, Cheng, "Start-time fair queuing", SIGCOMM 1996.
    """

    __slots__ = ("virtual_time", "_finish_tags")

    def __init__(self):
        self.virtual_time = 0.0
        self._finish_tags: dict = {}

    def compute_start(self, flow) -> float:
        """Return the start tag that the next request of a flow gets now."""
        return max(self.virtual_time, self._finish_tags.get(flow, 0.0))

    def charge(self, flow, start_tag: float, cost: float) -> float:
        """Add a request to a flow, and return the finish tag of the flow.

        :param cost: size of the request divided by the share of the flow
        """
        finish_tag = self._finish_tags[flow] = start_tag + cost
        return finish_tag

    def advance(self, start_tag: float) -> None:
        """Record the start of a request."""
        self.virtual_time = max(self.virtual_time, start_tag)

    def is_ahead(self, flow) -> bool:
        """Return whether earlier requests of a flow still delay its next one."""
        return self._finish_tags.get(flow, 0.0) > self.virtual_time

    def clear(self) -> None:
        """Start again, when no request is queued or in progress."""
        self.virtual_time = 0.0
        self._finish_tags.clear()

    def prune(self) -> None:
        """Drop the flows whose finish tag has passed, as it delays no request any more."""
        self._finish_tags = {f: tag for f, tag in self._finish_tags.items() if self.is_ahead(f)}

    def __len__(self):
        return len(self._finish_tags)
