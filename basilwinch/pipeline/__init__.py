"""Chains of stages, and checks that every layer ran exactly once and in order."""

from basilwinch.pipeline.chain import Chain, Stage
from basilwinch.pipeline.frame import FrameChecker, LoadReport, TokenFrame
from basilwinch.pipeline.placement import Placement

__all__ = ["Chain", "FrameChecker", "LoadReport", "Placement", "Stage", "TokenFrame"]
