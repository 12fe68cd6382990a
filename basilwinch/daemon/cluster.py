"""Sets up the follower, the membership and the exchanges of a node and tracks its members."""

import random
import time
from functools import partial

import trio

from basilwinch.admission import UsageExchange
from basilwinch.daemon.core import NodeCore
from basilwinch.daemon.exchange import LeavingExchange, ReachabilityExchange
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
from basilwinch.suspicion import SuspectExchange

__all__ = ["build_follower", "build_membership", "connect_exchanges", "track_members"]

MEMBER_UPDATE_INTERVAL_S = 1.0


def build_follower(core: NodeCore, store: KeyValueStore, rng: random.Random) -> Follower:
    """Build the follower that keeps a node's replica at the newest revision of the platform."""
    return Follower(FollowerConfig(), store, core.replica, rng)


async def build_membership(settings: Settings, core: NodeCore, rng: random.Random) -> Membership:
    """Build the membership of a node from its settings.

    :raises ConfigurationError: if the cluster keys are missing or not valid
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
        life=_read_wall_clock_us(),
    )
    transport = await UdpTransport.bind(address)
    # Only the reading of revisions counts as control traffic; orders and placement use the store
    # directly, without the meter.
    store = MeteredStore(core.external.store)
    source = ReleaseSource(store, build_follower(core, store, rng), core.replica)
    membership = Membership.from_config(
        config, transport, core.replica, rng, core.decision_log, source=source
    )
    store.spend = membership.outbox.spend
    core.registry.register(MembershipCollector(membership))
    connect_exchanges(core, membership)
    return membership


def connect_exchanges(core: NodeCore, membership: Membership) -> None:
    """Exchange suspects, leaving servers and reachability of the platform with the other nodes.

    :param core: components of this node
    :param membership: membership of this node
    """
    suspects = SuspectExchange(core.suspects)
    membership.add_exchange(suspects)
    core.suspects.on_change = partial(_send_changed_suspects, suspects, membership)
    leaving = LeavingExchange(core.router)
    membership.add_exchange(leaving)
    core.announce_leaving = partial(_send_new_leaving_servers, leaving, membership)
    reachability = ReachabilityExchange(core.orders, membership.has_announced_leave)
    membership.add_exchange(reachability)
    core.may_peers_reach_platform = reachability.may_peers_reach_platform


def _send_changed_suspects(suspects: SuspectExchange, membership: Membership) -> None:
    if suspects.refresh(trio.current_time()):
        membership.mark_urgent(suspects.kind)


def _send_new_leaving_servers(leaving: LeavingExchange, membership: Membership) -> None:
    if leaving.refresh(trio.current_time()):
        membership.mark_urgent(leaving.kind)


def _read_keyring(settings: Settings) -> Keyring:
    keyring = Keyring.from_setting(settings.cluster_keys)
    if isinstance(keyring, Failure):
        reason = f"--cluster-keys: {keyring.reason}"
        raise ConfigurationError(INVALID_SETTING.because(reason, faults=[reason]))
    return keyring


def _read_wall_clock_us() -> int:
    """Return the current time in microseconds, as a start time that grows with each restart."""
    return time.time_ns() // 1000


async def track_members(core: NodeCore, membership: Membership) -> None:
    """Exchange usage of limits with the members and update their number, until cancelled."""
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
            core.node_count = max(1, len(names))
            core.router.set_node_count(core.node_count)
            usage.update(core.catalog.organisations, names, now)
            await trio.sleep(MEMBER_UPDATE_INTERVAL_S)
