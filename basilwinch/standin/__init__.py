"""In-memory simulations (stand-ins) of external systems for tests and benchmarks."""

from basilwinch.standin.cache import CacheEvent
from basilwinch.standin.client import DirectClient
from basilwinch.standin.engine import StandinEngines
from basilwinch.standin.keyvalue import MemoryKeyValueStore
from basilwinch.standin.loop import run_virtual, seed_trio_scheduler
from basilwinch.standin.network import Network
from basilwinch.standin.scheduler import CallbackScheduler
from basilwinch.standin.sequence import KvBlock, Sequence
from basilwinch.standin.service import PlainServices, ServiceRun
from basilwinch.standin.settings import EngineSettings
from basilwinch.standin.token import CRASH_MARK, expected_tokens
from basilwinch.standin.vmlist import LaggingVmList
from basilwinch.standin.weightstore import RateLimitedWeightStore

__all__ = [
    "CRASH_MARK",
    "CacheEvent",
    "CallbackScheduler",
    "DirectClient",
    "EngineSettings",
    "KvBlock",
    "LaggingVmList",
    "MemoryKeyValueStore",
    "Network",
    "PlainServices",
    "RateLimitedWeightStore",
    "Sequence",
    "ServiceRun",
    "StandinEngines",
    "expected_tokens",
    "run_virtual",
    "seed_trio_scheduler",
]
