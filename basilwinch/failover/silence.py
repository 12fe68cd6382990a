"""Whether a silent chain is worth a second run of its request."""

from basilwinch.record import Record

__all__ = ["Silence", "should_back_up"]

# Between two backups of a node while nothing arrives from any chain: a chain that works delivers
# within this time, and a second try still comes before callers leave.
_COMMON_BACKUP_INTERVAL_S = 0.5


class Silence(Record):
    """What a node knows of a chain from which nothing arrives.

    ``silent_s`` is the time since the last part of the response, and ``held_up_s`` the part of it
    in which this node itself was not running, both in seconds. ``is_fault_known`` tells whether a
    member of the chain is known to be at fault. ``chains`` counts the chains in use by this node
    that have sent it something, and ``silent_chains`` those of them that are silent.
    ``since_backup_s`` is the time since this node last began a backup.
    """

    __slots__ = (
        "silent_s",
        "held_up_s",
        "is_fault_known",
        "chains",
        "silent_chains",
        "since_backup_s",
    )
    _defaults = {
        "held_up_s": 0.0,
        "is_fault_known": False,
        "chains": 1,
        "silent_chains": 1,
        "since_backup_s": float("inf"),
    }

    @property
    def is_common(self) -> bool:
        """Whether nothing arrives from any chain, so that this node or its links are at fault."""
        return 1 < self.chains <= self.silent_chains


def should_back_up(silence: Silence, max_silent_s: float) -> bool:
    """Return whether to run the request at a second chain as well.

    A second run costs a retry and load at another chain. While nothing arrives at all it would
    probably meet the same cause, so one request at a time finds out whether others deliver.

    :param silence: what is known of the chain
    :param max_silent_s: silence in seconds after which a chain without a known fault is backed up

    >>> should_back_up(Silence(1.2), 1.0)
    True
    >>> should_back_up(Silence(1.2, held_up_s=0.9), 1.0)
    False
    >>> should_back_up(Silence(1.2, chains=3, silent_chains=3, since_backup_s=0.1), 1.0)
    False
    """
    if silence.is_fault_known:
        return True
    if silence.is_common and silence.since_backup_s < _COMMON_BACKUP_INTERVAL_S:
        return False
    return silence.silent_s - silence.held_up_s > max_silent_s
