"""The state of a node that follows the platform and its peers."""

import math
import random
import time
from functools import partial

import trio

from basilwinch.admission import UsageExchange
from basilwinch.daemon.core import NodeCore
from basilwinch.exception import (
    INVALID_SETTING,
    MALFORMED_PACKET,
    ConfigurationError,
    Failure,
    ProtocolError,
)
from basilwinch.membership import Keyring, Membership, MembershipConfig, UdpTransport
from basilwinch.platform import KeyValue, KeyValueStore, WatchEvent
from basilwinch.relay import SuspectRegistry
from basilwinch.release import Follower, FollowerConfig, Replica
from basilwinch.release.layout import HEAD, Head
from basilwinch.routing import ChainRouter
from basilwinch.settings import Settings

__all__ = [
    "PlatformSource",
    "SuspectExchange",
    "build_membership",
    "connect_exchanges",
    "follow_members",
]

MEMBERS_EVERY_S = 1.0
MOST_ENTRIES = 8
NEWS_S = 5.0
QUIET_MESSAGES = 16
# Gossip reaches all nodes well within this time; later the catalog or the VM list tells.
LEAVING_NEWS_S = 20.0


class SuspectExchange:
    """Carries suspect requests between nodes.

    :param suspects: registry of this node
    """

    __slots__ = ("_suspects", "_known", "_changed_at", "_skipped")

    kind = 1
    # An entry takes about 150 bytes. There are none on most days. After a crash three peers must
    # get it at once, and again after the second crash half a second later, because the caller may
    # send the request again right after the answer; 800 bytes/s let the second one wait.
    bytes_per_s = 2400.0

    def __init__(self, suspects: SuspectRegistry):
        self._suspects = suspects
        self._known: set = set()
        self._changed_at = -math.inf
        self._skipped = 0

    def export(self, limit: int, now: float) -> bytes:
        """Return the newest suspects that fit into ``limit`` bytes. Linear in their number.

        Suspects without news go into one message of ``QUIET_MESSAGES``: they are there for nodes
        that start later.
        """
        self.refresh(now)
        if now - self._changed_at > NEWS_S:
            self._skipped = (self._skipped + 1) % QUIET_MESSAGES
            if self._skipped:
                return b""
        data = b""
        for count in range(1, MOST_ENTRIES + 1):
            longer = self._suspects.export(now, count)
            if len(longer) > limit or len(longer) == len(data):
                break
            data = longer
        return data

    def absorb(self, node: str, data: bytes, now: float) -> bool | Failure:
        """Take in the suspects of another node; returns whether there is news in them."""
        try:
            self._suspects.absorb_bytes(data, now)
        except ProtocolError as error:
            return error.failure
        return self.refresh(now)

    def refresh(self, now: float) -> bool:
        """Take over what the registry knows; returns whether there is news in it."""
        known = _list_strikes(self._suspects.suspects(now))
        if known == self._known:
            return False
        self._known = known
        self._changed_at = now
        return True


def _list_strikes(entries) -> set:
    """Return what decides about likely suspects, without the times, which differ between nodes.

    Requests that only stood beside a likely cause are no news; they travel with other messages.
    """
    entries = [entry for entry in entries if any(strike.strong for strike in entry.strikes)]
    return {
        (entry.digest, strike.id, strike.id in entry.cleared)
        for entry in entries
        for strike in entry.strikes
    } | {(entry.digest, test[0], test[1], test[2] > 0) for entry in entries for test in entry.tests}


class LeavingExchange:
    """Tells the other nodes which servers refuse new requests because they leave.

    Each node would otherwise learn it by a request of its own, which the server must not get.

    :param router: router of this node
    """

    __slots__ = ("_router", "_noted")

    kind = 3
    # A name takes about 20 bytes and is sent for ``LEAVING_NEWS_S`` only.
    bytes_per_s = 600.0

    def __init__(self, router: ChainRouter):
        self._router = router
        #: Time at which this node learnt of each leaving server.
        self._noted: dict[str, float] = {}

    def refresh(self, now: float) -> bool:
        """Take over what the router knows; returns whether a server was added."""
        leaving = set(self._router.leaving())
        self._noted = {name: at for name, at in self._noted.items() if name in leaving}
        added = leaving - self._noted.keys()
        for name in added:
            self._noted[name] = now
        return bool(added)

    def export(self, limit: int, now: float) -> bytes:
        """Return as many names as fit, the newest first."""
        self.refresh(now)
        data = b""
        for name, at in sorted(self._noted.items(), key=lambda item: -item[1]):
            row = f"{now - at:.1f} {name}\n".encode()
            if now - at > LEAVING_NEWS_S or len(data) + len(row) > limit:
                break
            data += row
        return data

    def absorb(self, node: str, data: bytes, now: float) -> bool | Failure:
        """Take servers out of use that another node knows to leave."""
        try:
            rows = [row.split(" ", 1) for row in data.decode().splitlines()]
            ages = {name: float(age) for age, name in rows}
        except ValueError as error:
            return MALFORMED_PACKET.because(f"leaving servers: {error}")
        news = False
        for name, age_s in ages.items():
            if name not in self._noted and 0 <= age_s <= LEAVING_NEWS_S:
                self._router.mark_leaving(name, now)
                self._noted[name] = now - age_s
                news = True
        return news


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
    connect_exchanges(core, membership)
    return membership


def connect_exchanges(core: NodeCore, membership: Membership) -> None:
    """Let suspects and leaving servers travel between nodes, and news at once.

    :param core: decision parts of this node
    :param membership: membership of this node
    """
    suspects = SuspectExchange(core.suspects)
    membership.add_exchange(suspects)
    core.suspects.on_change = partial(_hasten_suspects, suspects, membership)
    leaving = LeavingExchange(core.router)
    membership.add_exchange(leaving)
    core.watch_leaving = partial(_hasten_leaving, leaving, membership)


def _hasten_suspects(suspects: SuspectExchange, membership: Membership) -> None:
    if suspects.refresh(trio.current_time()):
        membership.hasten(suspects.kind)


def _hasten_leaving(leaving: LeavingExchange, membership: Membership) -> None:
    if leaving.refresh(trio.current_time()):
        membership.hasten(leaving.kind)


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
            usage.update(core.catalog.organisations, names, now)
            await trio.sleep(MEMBERS_EVERY_S)
