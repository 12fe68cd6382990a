"""Bounds on what the connections of all callers may hold, without I/O."""

from basilwinch.intake.body import Body, Cause
from basilwinch.intake.budget import IntakeBudget
from basilwinch.intake.intake import Intake
from basilwinch.intake.pace import BodyPace

__all__ = ["Body", "BodyPace", "Cause", "Intake", "IntakeBudget"]
