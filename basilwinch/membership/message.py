"""Messages between nodes."""

import enum
import hashlib

from basilwinch.record import Record

__all__ = ["Member", "MemberState", "Message", "MessageKind", "Update", "node_id"]


def node_id(name: str) -> int:
    """Return the 64-bit id of a node name. Two of 490 names have the same id with a probability of
    about 1e-14.

    >>> node_id("cluj-centru-1") == node_id("cluj-centru-2")
    False
    """
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest()) or 1


class MemberState(enum.IntEnum):
    """State of a node as other nodes see it. Within one incarnation the larger value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Member(Record):
    """A node as :meth:`Membership.members` lists it. A ``leaving`` node finishes its work and
    accepts no new work."""

    __slots__ = ("name", "address", "zone", "region", "state", "leaving")
    _defaults = {"leaving": False}


class Update(Record):
    """State of a node as another node reports it.

    :param node: id of the node
    :param life: start time of the node's process in microseconds
    :param incarnation: number that the node increases with each new statement on itself, to refute
        a wrong update or to announce that it leaves or stops
    :param state: :class:`MemberState`
    :param leaving: whether the node accepts no new work because it is to stop
    :param name: name; this and the following fields are empty unless the update introduces the
        node to a receiver that may not know it
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
    def precedence(self) -> tuple:
        """Sort key of updates on the same node; the largest one is in effect."""
        return (self.life, self.incarnation, self.state)


class MessageKind(enum.StrEnum):
    """Kinds of messages; the values are the field names of the union in the schema.

    ``DIGEST`` messages carry no probe, only what each datagram can carry: revision, readiness,
    roster digest, updates, changes and payloads.
    """

    DIGEST = "digest"
    PING = "ping"
    ACK = "ack"
    PING_REQ = "pingReq"
    FETCH_REQUEST = "fetchRequest"
    FETCH_REPLY = "fetchReply"


class Message(Record):
    """Content of one packet.

    :param kind: :class:`MessageKind`
    :param revision: number of the configuration revision that the sender holds
    :param ready: whether the sender is ready, see
        :class:`~basilwinch.membership.revision_sync.RevisionSync`
    :param large: whether the changes that the receiver lacks do not fit into a datagram
    :param roster: digest of the sender's roster
    :param updates: tuple of :class:`Update`
    :param delta: changes that the receiver lacks, or the whole state, as the replica exports them
    :param payloads: tuple of (kind, data), see :class:`~basilwinch.membership.exchange.Exchange`
    :param probe: number of the probe, repeated in the ack
    :param about: id of the target of an indirect probe, 0 for a direct one
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
        # Record.__init__ would take three times as long for 12 fields.
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
