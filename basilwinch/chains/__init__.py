"""Chains of servers that together hold a model: layout, paths, load and orders."""

from basilwinch.chains.layout import Member, plan_chains
from basilwinch.chains.load import FleetLoad
from basilwinch.chains.path import PathFinder
from basilwinch.chains.whole import WholeChains

__all__ = ["FleetLoad", "Member", "PathFinder", "WholeChains", "plan_chains"]
