"""Cluster membership: failure detection, gossip, and synchronisation of revisions and payloads."""

from basilwinch.membership.config import MembershipConfig
from basilwinch.membership.exchange import Exchange
from basilwinch.membership.membership import Membership
from basilwinch.membership.memory import MemoryNetwork
from basilwinch.membership.message import Member, MemberState
from basilwinch.membership.meter import MeteredStore
from basilwinch.membership.metrics import MembershipCollector
from basilwinch.membership.packet import Keyring
from basilwinch.membership.revision_sync import Replica
from basilwinch.membership.source import ReleaseSource
from basilwinch.membership.transport import Transport, UdpTransport
from basilwinch.membership.watch import RevisionSource

__all__ = [
    "Exchange",
    "Keyring",
    "Member",
    "MemberState",
    "Membership",
    "MembershipCollector",
    "MembershipConfig",
    "MemoryNetwork",
    "MeteredStore",
    "ReleaseSource",
    "Replica",
    "RevisionSource",
    "Transport",
    "UdpTransport",
]
