"""Placement of model layers on servers: bound, planner and executor."""

from basilwinch.placement.bound import Bound, Workload, bound_of_fleet, bound_of_placements
from basilwinch.placement.controller import Controller, FleetView
from basilwinch.placement.executor import Executor, ExecutorConfig
from basilwinch.placement.holding import read_placements, render_holdings
from basilwinch.placement.planner import Plan, Planner, PlannerConfig, changed_servers
from basilwinch.placement.targets import TargetStore

__all__ = [
    "Bound",
    "Controller",
    "Executor",
    "ExecutorConfig",
    "FleetView",
    "Plan",
    "Planner",
    "PlannerConfig",
    "TargetStore",
    "Workload",
    "bound_of_fleet",
    "bound_of_placements",
    "changed_servers",
    "read_placements",
    "render_holdings",
]
