"""Chains of servers that together hold a model: layout, path selection and server load."""

from basilwinch.chains.chain_selection import ChainSelection
from basilwinch.chains.layout import ChainMember, plan_chains
from basilwinch.chains.load import FleetLoad
from basilwinch.chains.path import PathFinder

__all__ = ["ChainMember", "ChainSelection", "FleetLoad", "PathFinder", "plan_chains"]
