"""Payloads between nodes: leaving servers and reachability of the platform."""

from collections.abc import Callable

import trio

from basilwinch.exception import MALFORMED_PACKET, Failure
from basilwinch.order import OrderRunner
from basilwinch.routing import ChainRouter

__all__ = ["LeavingExchange", "ReachabilityExchange"]

# Gossip reaches all nodes well within this time; later a node learns of a leaving server from the
# catalog or the list of VMs.
LEAVING_RESEND_PERIOD_S = 20.0
# A node sends a report with each message, about twice a second on average.
REACHABILITY_MAX_AGE_S = 5.0
# A node that sends no reports may be cut off only from this node and may still reach the platform.
# It counts as reaching it for as long as an order that it accepted may still matter.
REACHABILITY_RETENTION_S = 600.0


class LeavingExchange:
    """Tells the other nodes which servers refuse new requests because they are leaving.

    Each node would otherwise learn of it only by sending a request, which a leaving server must not
    get.

    :param router: router of this node
    """

    __slots__ = ("_router", "_learnt_at")

    kind = 3
    # A name takes about 20 bytes and is sent only for ``LEAVING_RESEND_PERIOD_S``.
    bytes_per_s = 600.0

    def __init__(self, router: ChainRouter):
        self._router = router
        #: Time at which each leaving server became known, by name of the server.
        self._learnt_at: dict[str, float] = {}

    def refresh(self, now: float) -> bool:
        """Read the leaving servers of the router; returns whether there are new ones."""
        leaving = set(self._router.leaving())
        self._learnt_at = {name: at for name, at in self._learnt_at.items() if name in leaving}
        added = leaving - self._learnt_at.keys()
        for name in added:
            self._learnt_at[name] = now
        return bool(added)

    def export(self, limit: int, now: float) -> bytes:
        """Return the newest names with their ages in seconds, in at most ``limit`` bytes."""
        self.refresh(now)
        data = b""
        for name, at in sorted(self._learnt_at.items(), key=lambda item: -item[1]):
            row = f"{now - at:.1f} {name}\n".encode()
            if now - at > LEAVING_RESEND_PERIOD_S or len(data) + len(row) > limit:
                break
            data += row
        return data

    def merge(self, node: str, data: bytes, now: float) -> bool | Failure:
        """Mark servers as leaving that another node reports; returns whether any was new.

        Entries older than ``LEAVING_RESEND_PERIOD_S`` are ignored.
        """
        try:
            rows = [row.split(" ", 1) for row in data.decode().splitlines()]
            ages = {name: float(age) for age, name in rows}
        except ValueError as error:
            return MALFORMED_PACKET.because(
                f"leaving servers: expected lines 'AGE_S NAME', got {data[:40]!r} ({error})"
            )
        changed = False
        for name, age_s in ages.items():
            if name not in self._learnt_at and 0 <= age_s <= LEAVING_RESEND_PERIOD_S:
                self._router.mark_leaving(name, now)
                self._learnt_at[name] = now - age_s
                changed = True
        return changed


class ReachabilityExchange:
    """Tells the other nodes whether this one reaches the platform (the key-value service).

    During an outage a node may report an order as "not run" only if no other node can have claimed
    it. A node that alone cannot reach the platform must not take this for an outage.

    :param orders: order runner of this node, which knows whether the last call succeeded
    :param has_announced_leave: returns whether the node of a name has announced that it is
        leaving; such a node accepts no new orders
    """

    __slots__ = ("_orders", "_has_announced_leave", "_reports")

    kind = 4
    # A report takes three bytes in a message.
    bytes_per_s = 60.0

    def __init__(self, orders: OrderRunner, has_announced_leave: Callable[[str], bool]):
        self._orders = orders
        self._has_announced_leave = has_announced_leave
        #: Last report by node: time of receipt, and whether the node reached the platform.
        self._reports: dict[str, tuple[float, bool]] = {}

    def export(self, limit: int, now: float) -> bytes:
        """Return one byte: 1 if this node reaches the platform, else 0."""
        return b"\1" if self._orders.is_platform_reachable() else b"\0"

    def merge(self, node: str, data: bytes, now: float) -> bool | Failure:
        """Store the report of another node; it is never worth passing on at once."""
        if data not in (b"\0", b"\1"):
            return MALFORMED_PACKET.because(
                f"reachability report: expected one byte, 0 or 1, got {len(data)} bytes"
            )
        self._reports[node] = (now, data == b"\1")
        return False

    def may_peers_reach_platform(self) -> bool:
        """Return whether another node may reach the platform.

        That holds if the last report of a node says so, or if a node has sent no report for
        ``REACHABILITY_MAX_AGE_S``. Nodes that have announced that they are leaving and nodes
        silent for over ``REACHABILITY_RETENTION_S`` do not count.
        """
        now = trio.current_time()
        self._reports = {
            node: report
            for node, report in self._reports.items()
            if now - report[0] <= REACHABILITY_RETENTION_S and not self._has_announced_leave(node)
        }
        return any(
            reached or now - at > REACHABILITY_MAX_AGE_S for at, reached in self._reports.values()
        )
