"""Leases with fencing tokens for tasks that one node does at a time."""

from basilwinch.lease.holder import HeldLease, LeaseConfig, LeaseHolder

__all__ = ["HeldLease", "LeaseConfig", "LeaseHolder"]
