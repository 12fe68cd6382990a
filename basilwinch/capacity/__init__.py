"""Order in which requests get the capacity of chains; decisions without I/O."""

from basilwinch.capacity.entry import CapacityEntry, EntryState
from basilwinch.capacity.first_event import estimate_first_event_s
from basilwinch.capacity.free_memory import compute_free_fraction
from basilwinch.capacity.queue import CapacityQueue
from basilwinch.capacity.reserve import PriorityReserve
from basilwinch.capacity.round import SearchResult, run_round
from basilwinch.capacity.start_tags import StartTags

__all__ = [
    "CapacityEntry",
    "CapacityQueue",
    "EntryState",
    "PriorityReserve",
    "SearchResult",
    "StartTags",
    "compute_free_fraction",
    "estimate_first_event_s",
    "run_round",
]
