"""The membership of a node that follows the platform and its peers."""

import random
import time
from functools import partial

import trio

from basilwinch.admission import UsageExchange
from basilwinch.daemon.core import NodeCore
from basilwinch.daemon.exchange import ContactExchange, LeavingExchange, SuspectExchange
from basilwinch.exception import INVALID_SETTING, ConfigurationError, Failure
from basilwinch.membership import (
    Keyring,
    Membership,
    MembershipCollector,
    MembershipConfig,
    MeteredStore,
    ReleaseSource,
    UdpTransport,
)
from basilwinch.release import Follower, FollowerConfig
from basilwinch.settings import Settings
from basilwinch.store import KeyValueStore

__all__ = ["build_follower", "build_membership", "connect_exchanges", "follow_members"]

MEMBERS_EVERY_S = 1.0


def build_follower(core: NodeCore, store: KeyValueStore, rng: random.Random) -> Follower:
    """Build what brings the replica of a node to the head of the platform."""
    return Follower(FollowerConfig(), store, core.replica, rng)


async def build_membership(settings: Settings, core: NodeCore, rng: random.Random) -> Membership:
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
    # Only the spread of revisions is control traffic; orders and placement use the store directly.
    store = MeteredStore(core.outside.store)
    source = ReleaseSource(store, build_follower(core, store, rng), core.replica)
    membership = Membership.from_config(
        config, transport, core.replica, rng, core.log, source=source
    )
    store.spend = membership.outbox.spend
    core.registry.register(MembershipCollector(membership))
    connect_exchanges(core, membership)
    return membership


def connect_exchanges(core: NodeCore, membership: Membership) -> None:
    """Let suspects, leaving servers and reports on the platform travel between nodes.

    :param core: decision parts of this node
    :param membership: membership of this node
    """
    suspects = SuspectExchange(core.suspects)
    membership.add_exchange(suspects)
    core.suspects.on_change = partial(_hasten_suspects, suspects, membership)
    leaving = LeavingExchange(core.router)
    membership.add_exchange(leaving)
    core.watch_leaving = partial(_hasten_leaving, leaving, membership)
    contact = ContactExchange(core.orders, membership.has_announced_leave)
    membership.add_exchange(contact)
    core.peers_reach_platform = contact.is_reached_by_peers


def _hasten_suspects(suspects: SuspectExchange, membership: Membership) -> None:
    if suspects.refresh(trio.current_time()):
        membership.mark_urgent(suspects.kind)


def _hasten_leaving(leaving: LeavingExchange, membership: Membership) -> None:
    if leaving.refresh(trio.current_time()):
        membership.mark_urgent(leaving.kind)


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
    """Exchange limit usage with the members and keep their number up to date, until cancelled."""
    rng = random.Random(core.config.seed)
    usage = UsageExchange(core.config.name, core.admission, rng)
    membership.add_exchange(usage)

    async def send(name: str, data: bytes) -> None:
        await membership.send_payload(name, usage.kind, data)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(usage.run, send)
        while True:
            now = trio.current_time()
            names = [member.name for member in membership.members(now)]
            core.nodes = max(1, len(names))
            core.router.set_node_count(core.nodes)
            usage.update(core.catalog.organisations, names, now)
            await trio.sleep(MEMBERS_EVERY_S)
