"""Stand-ins of outside systems for tests and benchmarks."""

from basilwinch.standin.keyvalue import MemoryKeyValueStore
from basilwinch.standin.vmlist import LaggingVmList
from basilwinch.standin.weightstore import RateLimitedWeightStore

__all__ = ["LaggingVmList", "MemoryKeyValueStore", "RateLimitedWeightStore"]
