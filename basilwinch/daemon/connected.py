"""The state of a node that follows the platform and its peers."""

import random
import time
from functools import partial

import trio

from basilwinch.daemon.core import NodeCore
from basilwinch.exception import INVALID_SETTING, ConfigurationError, Failure, ProtocolError
from basilwinch.membership import Keyring, Membership, MembershipConfig, UdpTransport
from basilwinch.platform import KeyValue, KeyValueStore, WatchEvent
from basilwinch.relay import SuspectRegistry
from basilwinch.release import Follower, FollowerConfig, Replica
from basilwinch.release.layout import HEAD, Head
from basilwinch.settings import Settings

__all__ = [
    "PlatformSource",
    "SuspectExchange",
    "build_membership",
    "connect_suspects",
    "follow_members",
]

MEMBERS_EVERY_S = 1.0
MOST_ENTRIES = 8


class SuspectExchange:
    """Carries suspect requests between nodes.

    :param suspects: registry of this node
    """

    __slots__ = ("_suspects",)

    kind = 1
    # An entry takes about 150 bytes. There are none on most days; after a crash three peers must
    # get it at once, because the caller may send the request again within a second.
    bytes_per_s = 800.0

    def __init__(self, suspects: SuspectRegistry):
        self._suspects = suspects

    def export(self, limit: int, now: float) -> bytes:
        """Return the newest suspects that fit into ``limit`` bytes. Linear in their number."""
        data = b""
        for count in range(1, MOST_ENTRIES + 1):
            longer = self._suspects.export(now, count)
            if len(longer) > limit or len(longer) == len(data):
                break
            data = longer
        return data

    def absorb(self, node: str, data: bytes, now: float) -> bool | Failure:
        """Take in the suspects of another node; returns whether there is news in them."""
        before = _list_strikes(self._suspects.suspects(now))
        try:
            self._suspects.absorb_bytes(data, now)
        except ProtocolError as error:
            return error.failure
        return _list_strikes(self._suspects.suspects(now)) != before


def _list_strikes(entries) -> set:
    """Return what decides about suspects, without the times, which differ between nodes."""
    return {
        (entry.digest, entry.tester, strike.id, strike.id in entry.cleared)
        for entry in entries
        for strike in entry.strikes
    }


class PlatformSource:
    """The head of the release notes, as the membership package reads it.

    :param store: key-value service
    :param follower: brings the replica to the head
    :param replica: state in effect on this node
    """

    __slots__ = ("_store", "_follower", "_replica")

    def __init__(self, store: KeyValueStore, follower: Follower, replica: Replica):
        self._store = store
        self._follower = follower
        self._replica = replica

    @classmethod
    def from_config(cls, store: KeyValueStore, core: NodeCore, rng: random.Random):
        """Build the source of a node."""
        follower = Follower(FollowerConfig(), store, core.replica, rng)
        return cls(store, follower, core.replica)

    async def refresh(self) -> bool:
        """Read the head and bring the replica to it.

        :returns: whether the replica holds a newer revision than before
        :raises PlatformError: if the platform does not answer
        """
        return await self._follower.catch_up()

    async def run(self) -> None:
        """Follow the head without peers, until cancelled."""
        await self._follower.run()

    def watch(self):
        """Watch the head; yields once for each time it moved."""
        return self._store.watch(HEAD)

    def is_met(self, event: WatchEvent) -> bool:
        """Tell whether the replica holds the revision that an event of the watch announced."""
        if event.value is None:
            return False
        head = Head.decode(KeyValue(event.key, event.value, event.mod_revision))
        return self._replica.state.contains(head.revision)


async def build_membership(
    settings: Settings, core: NodeCore, source: PlatformSource, rng: random.Random
) -> Membership:
    """Build the membership of a node from its settings.

    :raises ConfigurationError: if the keys are missing or not valid
    """
    keyring = _read_keyring(settings)
    ip, port = settings.peer_listen
    address = f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"
    config = MembershipConfig(
        name=core.config.name,
        address=address,
        zone=settings.zone,
        region=settings.region,
        cluster=settings.cluster,
        keyring=keyring,
        peers=tuple(f"{peer_ip}:{peer_port}" for peer_ip, peer_port in settings.peers),
        life=_draw_life(),
    )
    transport = await UdpTransport.bind(address)
    membership = Membership.from_config(
        config, transport, core.replica, rng, core.log, source=source
    )
    connect_suspects(core.suspects, membership)
    return membership


def connect_suspects(suspects: SuspectRegistry, membership: Membership) -> None:
    """Let suspects travel between nodes, and new ones at once.

    :param suspects: registry of this node
    :param membership: membership of this node
    """
    membership.add_exchange(SuspectExchange(suspects))
    suspects.on_change = partial(membership.hasten, SuspectExchange.kind)


def _read_keyring(settings: Settings) -> Keyring:
    keyring = Keyring.from_setting(settings.cluster_keys)
    if isinstance(keyring, Failure):
        reason = f"--cluster-keys: {keyring.reason}"
        raise ConfigurationError(INVALID_SETTING.because(reason, faults=[reason]))
    return keyring


def _draw_life() -> int:
    """Return a start time that grows with each restart, in microseconds."""
    return time.time_ns() // 1000


async def follow_members(core: NodeCore, membership: Membership) -> None:
    """Keep the number of nodes that share the limits up to date, until cancelled."""
    while True:
        core.nodes = max(1, len(membership.members(trio.current_time())))
        await trio.sleep(MEMBERS_EVERY_S)
