"""What nodes tell each other besides revisions: suspects, leaving servers, platform contact."""

import math
from collections.abc import Callable

import trio

from basilwinch.exception import MALFORMED_PACKET, Failure, ProtocolError
from basilwinch.order import OrderRunner
from basilwinch.relay import SuspectRegistry
from basilwinch.routing import ChainRouter

__all__ = ["ContactExchange", "LeavingExchange", "SuspectExchange"]

MOST_ENTRIES = 8
NEWS_S = 5.0
QUIET_MESSAGES = 16
# Gossip reaches all nodes well within this time; later the catalog or the VM list tells.
LEAVING_NEWS_S = 20.0
# A node reports with each message, about twice a second on average.
CONTACT_FRESH_S = 5.0
# A node that is not heard may be cut off from this one only, and may reach the platform. It is
# counted for as long as an order that it took could still matter.
CONTACT_FORGET_S = 600.0


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
            longer = self._suspects.export_bytes(now, count)
            if len(longer) > limit or len(longer) == len(data):
                break
            data = longer
        return data

    def merge(self, node: str, data: bytes, now: float) -> bool | Failure:
        """Take in the suspects of another node; returns whether there is news in them."""
        try:
            self._suspects.merge_bytes(data, now)
        except ProtocolError as error:
            return error.failure
        return self.refresh(now)

    def refresh(self, now: float) -> bool:
        """Take over what the registry knows; returns whether there is news in it."""
        known = _list_strikes(self._suspects.list_entries(now))
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

    def merge(self, node: str, data: bytes, now: float) -> bool | Failure:
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


class ContactExchange:
    """Tells the other nodes whether this one reaches the key-value service.

    A node may call an order "not run" during an outage only if no other node can have claimed it.
    A node that is cut off alone must not take its own isolation for an outage.

    :param orders: orders of this node, which know of the last successful call
    :param has_left: tells whether a node by its name said that it leaves; it takes no new orders
    """

    __slots__ = ("_orders", "_has_left", "_heard")

    kind = 4
    # A report takes three bytes.
    bytes_per_s = 60.0

    def __init__(self, orders: OrderRunner, has_left: Callable[[str], bool]):
        self._orders = orders
        self._has_left = has_left
        #: By node: when it was heard, and whether it reached the platform then.
        self._heard: dict[str, tuple[float, bool]] = {}

    def export(self, limit: int, now: float) -> bytes:
        """Return one byte: 1 if the last call succeeded."""
        return b"\1" if self._orders.is_platform_reachable() else b"\0"

    def merge(self, node: str, data: bytes, now: float) -> bool | Failure:
        """Take in the report of another node."""
        if data not in (b"\0", b"\1"):
            return MALFORMED_PACKET.because(f"platform contact of {len(data)} bytes")
        self._heard[node] = (now, data == b"\1")
        return False

    def is_reached_by_peers(self) -> bool:
        """Tell whether another node may reach the platform: one says so, or one is not heard."""
        now = trio.current_time()
        self._heard = {
            node: report
            for node, report in self._heard.items()
            if now - report[0] <= CONTACT_FORGET_S and not self._has_left(node)
        }
        return any(reached or now - at > CONTACT_FRESH_S for at, reached in self._heard.values())
