"""The state of a node that follows the platform and its peers."""

import random
import time

import trio

from basilwinch.daemon.core import NodeCore
from basilwinch.exception import INVALID_SETTING, ConfigurationError, Failure
from basilwinch.membership import Keyring, Membership, MembershipConfig, UdpTransport
from basilwinch.platform import KeyValueStore
from basilwinch.relay import SuspectRegistry
from basilwinch.release import Follower, FollowerConfig
from basilwinch.release.layout import HEAD
from basilwinch.settings import Settings

__all__ = ["PlatformSource", "SuspectExchange", "build_membership", "follow_members"]

MEMBERS_EVERY_S = 1.0


class SuspectExchange:
    """Carries suspect requests between nodes.

    :param suspects: registry of this node
    """

    __slots__ = ("_suspects",)

    kind = 1
    # A suspect takes some 30 bytes and lives for a minute, so this carries several a second.
    bytes_per_s = 200.0

    def __init__(self, suspects: SuspectRegistry):
        self._suspects = suspects

    def export(self, limit: int, now: float) -> bytes:
        """Return the suspects that fit into ``limit`` bytes."""
        count = 64
        data = self._suspects.export(now, count)
        while len(data) > limit and count:
            count //= 2
            data = self._suspects.export(now, count) if count else b""
        return data

    def absorb(self, node: str, data: bytes, now: float) -> bool:
        """Take in the suspects of another node."""
        before = len(self._suspects.suspects(now))
        self._suspects.absorb_bytes(data, now)
        return len(self._suspects.suspects(now)) != before


class PlatformSource:
    """The head of the release notes, as the membership package reads it.

    :param store: key-value service
    :param follower: brings the replica to the head
    """

    __slots__ = ("_store", "_follower")

    def __init__(self, store: KeyValueStore, follower: Follower):
        self._store = store
        self._follower = follower

    @classmethod
    def from_config(cls, store: KeyValueStore, core: NodeCore, rng: random.Random):
        """Build the source of a node."""
        return cls(store, Follower(FollowerConfig(), store, core.replica, rng))

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
    membership.add_exchange(SuspectExchange(core.suspects))
    return membership


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
