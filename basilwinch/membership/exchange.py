"""Payloads of other packages that are sent with the messages between nodes."""

from typing import Protocol

from basilwinch.exception import UNKNOWN_PAYLOAD, Failure
from basilwinch.membership.budget import ByteBudget

__all__ = ["Exchange", "Exchanges"]

# Kind and lengths of a payload in a packed message.
_PAYLOAD_OVERHEAD_BYTES = 6
# An exchange is not asked for a payload if fewer bytes than this are available for it.
_MIN_PAYLOAD_BYTES = 16
# Part of the budget, in seconds of its rate, that only urgent payloads may use, so that other
# payloads do not delay them.
_URGENT_RESERVE_S = 1.0
_PAYLOAD_BURST_S = 2.0
# Maximum payload of one exchange in one message. A suspect with three strikes takes about 300
# bytes, and an entry that exceeds the maximum would never be sent.
_MAX_PAYLOAD_BYTES = 400


class Exchange(Protocol):
    """Exports and merges one kind of payload, e.g. limit usage or suspect requests.

    :ivar kind: number of the payload, 1 to 255, the same on all nodes
    :ivar bytes_per_s: budget, sent plus received; a node sends at most half of it, because on
        average it receives as much as it sends
    """

    kind: int
    bytes_per_s: float

    def export(self, limit: int, now: float) -> bytes:
        """Return the data with the highest priority, up to ``limit`` bytes; empty if there is
        none."""

    def merge(self, node: str, data: bytes, now: float) -> bool | Failure:
        """Merge data from a node.

        :returns: whether the data was new and is to be forwarded at once, or a failure
        """


class Exchanges:
    """The exchanges of a node and their byte budgets.

    :ivar urgent: kinds of the payloads that are to be sent at once
    """

    __slots__ = ("_budgets", "_exchanges", "urgent")

    def __init__(self):
        self._exchanges: dict[int, Exchange] = {}
        self._budgets: dict[int, ByteBudget] = {}
        self.urgent: set[int] = set()

    def add(self, exchange: Exchange) -> None:
        """Add an exchange.

        :raises ValueError: if another exchange has the same kind
        """
        if exchange.kind in self._exchanges:
            raise ValueError(f"payload kind {exchange.kind} already has an exchange")
        self._exchanges[exchange.kind] = exchange
        self._budgets[exchange.kind] = ByteBudget(exchange.bytes_per_s / 2, _PAYLOAD_BURST_S)

    def export(self, room: int, now: float, urgent=frozenset(), messages_left: int = 1) -> tuple:
        """Return payloads for one message.

        :param room: bytes available in the message
        :param urgent: kinds that may use the reserve of their budget
        :param messages_left: number of messages that share the available budget of urgent kinds
        """
        payloads = []
        for kind, exchange in self._exchanges.items():
            budget = self._budgets[kind]
            available = budget.available_bytes(now)
            available = (
                available // messages_left
                if kind in urgent
                else available - int(budget.bytes_per_s * _URGENT_RESERVE_S)
            )
            limit = min(room, available, _MAX_PAYLOAD_BYTES) - _PAYLOAD_OVERHEAD_BYTES
            if limit < _MIN_PAYLOAD_BYTES:
                continue
            data = exchange.export(limit, now)
            if data:
                payloads.append((kind, data))
                self._budgets[kind].spend(len(data) + _PAYLOAD_OVERHEAD_BYTES, now)
                room -= len(data) + _PAYLOAD_OVERHEAD_BYTES
        return tuple(payloads)

    def merge(self, node: str, payloads: tuple, now: float) -> list[Failure]:
        """Merge the payloads of a message from a node.

        :returns: failures, empty if all payloads were merged
        """
        failures = []
        for kind, data in payloads:
            exchange = self._exchanges.get(kind)
            if exchange is None:
                failures.append(UNKNOWN_PAYLOAD.because(f"no exchange for payload kind {kind}"))
                continue
            is_new = exchange.merge(node, data, now)
            if isinstance(is_new, Failure):
                failures.append(is_new)
            elif is_new:
                self.urgent.add(kind)
        return failures
