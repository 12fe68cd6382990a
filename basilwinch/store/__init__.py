"""Interfaces of the platform: key-value service, list of VMs, weight store.

The etcd client is not imported here, so that nodes without etcd do not load
:mod:`basilwinch.store.etcd`.
"""

from basilwinch.store.history import Position, StoreHistory
from basilwinch.store.interface import (
    Changes,
    Compare,
    KeyValue,
    KeyValueStore,
    LeaseGrant,
    Page,
    Proof,
    Transaction,
    VmEntry,
    VmList,
    VmState,
    WatchEvent,
    WeightStore,
)

__all__ = [
    "Changes",
    "Compare",
    "KeyValue",
    "KeyValueStore",
    "LeaseGrant",
    "Page",
    "Position",
    "Proof",
    "StoreHistory",
    "Transaction",
    "VmEntry",
    "VmList",
    "VmState",
    "WatchEvent",
    "WeightStore",
]
