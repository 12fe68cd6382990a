"""Scenario tests: their language, and the runner with its simulated fleet."""

from basilwinch.scenario.actions import PATTERNS
from basilwinch.scenario.language import Scenario, parse_scenario
from basilwinch.scenario.runner import Verdict, read_scenario, run_scenario

__all__ = ["PATTERNS", "Scenario", "Verdict", "parse_scenario", "read_scenario", "run_scenario"]
