"""Interfaces of the platform: key-value service, list of VMs, weight store.

The etcd client is not imported here, so that nodes without etcd do not load
:mod:`basilwinch.store.etcd`.
"""

from basilwinch.store.history import Position, StoreHistory
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
    "Position",
    "StoreHistory",
    "Transaction",
    "VmEntry",
    "VmList",
    "VmState",
    "WatchEvent",
    "WeightStore",
]
