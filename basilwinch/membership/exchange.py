"""Data of other packages that travels with the messages between nodes."""

from typing import Protocol

from basilwinch.exception import UNKNOWN_PAYLOAD, Failure
from basilwinch.membership.budget import ByteBudget

__all__ = ["Exchange", "Exchanges"]

# Id and lengths of a payload in a packed message.
_OVERHEAD = 6
_MIN_SIZE = 16
# Seconds of the budget that only news may use, so that bulk does not hold it up.
_RESERVE_S = 1.0
_BURST_S = 2.0
# Largest payload of one exchange in one message. A suspect with three strikes takes about 300
# bytes, and an entry that never fits would never leave its node.
_MAX_SIZE = 400


class Exchange(Protocol):
    """A payload between nodes, e.g. limit usage or suspect requests.

    :ivar kind: number of the payload, 1 to 255, the same on all nodes
    :ivar bytes_per_s: budget, sent plus received; a node sends up to half of it, because on average
        it receives as much as it sends
    """

    kind: int
    bytes_per_s: float

    def export(self, limit: int, now: float) -> bytes:
        """Return the data most worth sending, at most ``limit`` bytes; empty for nothing."""

    def absorb(self, node: str, data: bytes, now: float) -> bool | Failure:
        """Take data in from a node; returns whether it is news that is worth passing on at once."""


class Exchanges:
    """All exchanges of a node and their budgets.

    :ivar urgent: kinds of payloads with news that are to be sent at once
    """

    __slots__ = ("_budgets", "_exchanges", "urgent")

    def __init__(self):
        self._exchanges: dict[int, Exchange] = {}
        self._budgets: dict[int, ByteBudget] = {}
        self.urgent: set[int] = set()

    def add(self, exchange: Exchange) -> None:
        """Add an exchange.

        :raises ValueError: if its kind is taken
        """
        if exchange.kind in self._exchanges:
            raise ValueError(f"payload kind {exchange.kind} is taken")
        self._exchanges[exchange.kind] = exchange
        self._budgets[exchange.kind] = ByteBudget(exchange.bytes_per_s / 2, _BURST_S)

    def export(self, room: int, now: float, urgent=frozenset(), shares: int = 1) -> tuple:
        """Return payloads for one message.

        :param room: bytes left in the message
        :param urgent: kinds that may use the reserve of their budget
        :param shares: messages that the budget of urgent kinds must still do for
        """
        payloads = []
        for kind, exchange in self._exchanges.items():
            budget = self._budgets[kind]
            left = budget.left(now)
            left = left // shares if kind in urgent else left - int(budget.rate * _RESERVE_S)
            limit = min(room, left, _MAX_SIZE) - _OVERHEAD
            if limit < _MIN_SIZE:
                continue
            data = exchange.export(limit, now)
            if data:
                payloads.append((kind, data))
                self._budgets[kind].spend(len(data) + _OVERHEAD, now)
                room -= len(data) + _OVERHEAD
        return tuple(payloads)

    def absorb(self, node: str, payloads: tuple, now: float) -> list[Failure]:
        """Take payloads in.

        :returns: failures, empty if all were understood
        """
        failures = []
        for kind, data in payloads:
            exchange = self._exchanges.get(kind)
            if exchange is None:
                failures.append(UNKNOWN_PAYLOAD.because(f"payload kind {kind}"))
                continue
            news = exchange.absorb(node, data, now)
            if isinstance(news, Failure):
                failures.append(news)
            elif news:
                self.urgent.add(kind)
        return failures
