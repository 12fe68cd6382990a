"""Pipelines: chains of stages and the check that every layer ran exactly once, in order."""

from basilwinch.pipeline.chain import Chain, Stage
from basilwinch.pipeline.frame import FrameChecker, LoadReport, TokenFrame
from basilwinch.pipeline.placement import Placement

__all__ = ["Chain", "FrameChecker", "LoadReport", "Placement", "Stage", "TokenFrame"]
