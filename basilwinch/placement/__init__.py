"""Placement of model layers on servers: the bound, the planner and the executor of orders."""

from basilwinch.placement.bound import Bound, Workload, bound_of_fleet, bound_of_placements

__all__ = ["Bound", "Workload", "bound_of_fleet", "bound_of_placements"]
