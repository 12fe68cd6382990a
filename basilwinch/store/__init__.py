"""Interfaces of the platform: key-value service, list of VMs, weight store.

The etcd client stands in :mod:`basilwinch.store.etcd`, so that nodes without etcd don't load it.
"""

from basilwinch.store.interface import (
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
