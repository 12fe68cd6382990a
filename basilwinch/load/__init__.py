"""Load generator: sends calls to a daemon over HTTP and reports latencies and errors."""

from basilwinch.load.caller import Caller
from basilwinch.load.generator import LoadConfig, generate_load
from basilwinch.load.report import LoadReporter, Sample

__all__ = ["Caller", "LoadConfig", "LoadReporter", "Sample", "generate_load"]
