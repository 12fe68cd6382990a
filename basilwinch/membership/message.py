"""Messages between nodes."""

import enum
import hashlib

from basilwinch.record import Record

__all__ = ["Kind", "Member", "MemberState", "Message", "Update", "node_id"]


def node_id(name: str) -> int:
    """Return the 64-bit id of a node name; 490 names collide with a probability of 1e-14.

    >>> node_id("cluj-centru-1") == node_id("cluj-centru-2")
    False
    """
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest()) or 1


class MemberState(enum.IntEnum):
    """State of a node as others see it. A larger value wins within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Member(Record):
    """A node as :meth:`Membership.members` lists it; ``leaving`` nodes finish their work."""

    __slots__ = ("name", "address", "zone", "region", "state", "leaving")
    _defaults = {"leaving": False}


class Update(Record):
    """What a node says about another one.

    :param node: id of the node
    :param life: start time of the node's process in microseconds
    :param incarnation: grows each time the node contradicts a suspicion
    :param state: :class:`MemberState`
    :param leaving: whether the node is leaving
    :param name: name, empty unless the node is introduced
    :param address: ``ip:port``
    :param zone: availability zone
    :param region: region
    """

    __slots__ = (
        "node",
        "life",
        "incarnation",
        "state",
        "leaving",
        "name",
        "address",
        "zone",
        "region",
    )
    _defaults = {"leaving": False, "name": "", "address": "", "zone": "", "region": ""}

    @property
    def order(self) -> tuple:
        """Position among updates on the same node; the largest is in effect."""
        return (self.life, self.incarnation, self.state)


class Kind(enum.StrEnum):
    """Kinds of messages; the values are the names of the union in the schema."""

    DIGEST = "digest"
    PING = "ping"
    ACK = "ack"
    PING_REQ = "pingReq"
    FETCH_REQUEST = "fetchRequest"
    FETCH_REPLY = "fetchReply"


class Message(Record):
    """Content of one packet.

    :param kind: :class:`Kind`
    :param revision: configuration revision that the sender holds
    :param ready: whether the sender's state is complete
    :param large: whether the receiver lacks more changes than a datagram holds
    :param roster: digest of the members that the sender knows
    :param updates: tuple of :class:`Update`
    :param delta: changes that the receiver lacks, or the state, as the replica exports them
    :param payloads: tuple of (kind, bytes)
    :param probe: number of the probe, echoed by the answer
    :param about: target of an indirect probe
    :param since: revision that the sender of a fetch request holds
    :param members: whether a fetch request asks for members
    """

    __slots__ = (
        "kind",
        "revision",
        "ready",
        "large",
        "roster",
        "updates",
        "delta",
        "payloads",
        "probe",
        "about",
        "since",
        "members",
    )

    def __init__(
        self,
        kind,
        revision=0,
        ready=False,
        large=False,
        roster=0,
        updates=(),
        delta=b"",
        payloads=(),
        probe=0,
        about=0,
        since=0,
        members=False,
    ):
        # Written out because the general constructor takes three times as long for 12 fields.
        self.kind = kind
        self.revision = revision
        self.ready = ready
        self.large = large
        self.roster = roster
        self.updates = updates
        self.delta = delta
        self.payloads = payloads
        self.probe = probe
        self.about = about
        self.since = since
        self.members = members
