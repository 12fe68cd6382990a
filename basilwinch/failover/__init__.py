"""Decisions on a second run of a response whose chain is silent, without I/O."""

from basilwinch.failover.activity import ChainActivity
from basilwinch.failover.race import Race
from basilwinch.failover.silence import Silence, should_back_up

__all__ = ["ChainActivity", "Race", "Silence", "should_back_up"]
