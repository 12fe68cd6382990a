"""Interfaces of the platform: key-value service, list of VMs, weight store."""

from basilwinch.platform.etcd import EtcdConfig, EtcdStore
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
    "EtcdConfig",
    "EtcdStore",
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
