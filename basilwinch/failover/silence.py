"""Whether a silent chain is worth a second run of its request."""

from basilwinch.record import Record

__all__ = ["Silence", "should_back_up"]


class Silence(Record):
    """What a node knows of a chain from which nothing arrives.

    ``silent_s`` is the time since the last part of the response, and ``held_up_s`` the part of it
    in which this node itself was not running, both in seconds. ``is_fault_known`` tells whether a
    member of the chain is known to be at fault. ``chains`` counts the chains that serve requests of
    this node, this one included, and ``silent_chains`` those of them that are silent.
    """

    __slots__ = ("silent_s", "held_up_s", "is_fault_known", "chains", "silent_chains")
    _defaults = {"held_up_s": 0.0, "is_fault_known": False, "chains": 1, "silent_chains": 1}

    @property
    def is_common(self) -> bool:
        """Whether nothing arrives from any chain, so that this node or its links are at fault."""
        return 1 < self.chains <= self.silent_chains


def should_back_up(silence: Silence, max_silent_s: float) -> bool:
    """Return whether to run the request at a second chain as well.

    A second run costs a retry and load at another chain. While nothing arrives at all it would meet
    the same cause, and all requests of the node would repeat at once.

    :param silence: what is known of the chain
    :param max_silent_s: silence in seconds after which a chain without a known fault is backed up

    >>> should_back_up(Silence(1.2), 1.0)
    True
    >>> should_back_up(Silence(1.2, held_up_s=0.9), 1.0)
    False
    >>> should_back_up(Silence(1.2, chains=3, silent_chains=3), 1.0)
    False
    """
    if silence.is_fault_known:
        return True
    if silence.is_common:
        return False
    return silence.silent_s - silence.held_up_s > max_silent_s
