"""Interfaces of the platform: key-value service, list of VMs, weight store."""

from basilwinch.platform.interface import (
    Compare,
    KeyValue,
    KeyValueStore,
    LeaseGrant,
    Page,
    Transaction,
    VmEntry,
    VmList,
    VmState,
    WatchEvent,
    WeightStore,
)

__all__ = [
    "Compare",
    "KeyValue",
    "KeyValueStore",
    "LeaseGrant",
    "Page",
    "Transaction",
    "VmEntry",
    "VmList",
    "VmState",
    "WatchEvent",
    "WeightStore",
]
