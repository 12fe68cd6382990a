"""Leases with fencing tokens for tasks that only one node may run at a time."""

from basilwinch.lease.holder import HeldLease, LeaseConfig, LeaseHolder

__all__ = ["HeldLease", "LeaseConfig", "LeaseHolder"]
