"""Messages between nodes: failure detection, spread of revisions, exchange of payloads."""

from basilwinch.membership.config import MembershipConfig
from basilwinch.membership.exchange import Exchange
from basilwinch.membership.membership import Membership
from basilwinch.membership.memory import MemoryNetwork
from basilwinch.membership.message import Member, MemberState
from basilwinch.membership.meter import MeteredStore
from basilwinch.membership.metrics import MembershipCollector
from basilwinch.membership.packet import Keyring
from basilwinch.membership.source import ReleaseSource
from basilwinch.membership.spread import Replica
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
