"""Usage reports between nodes: direct in a small fleet, over two hops in a large one."""

import math
from random import Random

from basilwinch.admission.admission import Admission
from basilwinch.admission.config import Usage
from basilwinch.admission.grid import DIRECT_NODES, count_columns
from basilwinch.admission.report import Direction, pack_report, short_id, unpack_report
from basilwinch.exception import Failure

__all__ = ["UsageExchange"]

# Rows of a child count for this many intervals, so that one that comes late is not missed.
_VALID = 1.5
# The home sends the usage of the fleet back from this part of a limit on; below, no node needs it.
_CONTENDED = 0.75
# Rows that an organisation at its limit needs in an interval; more are thinned out.
# With three instead of twelve, 7% of the requests of organisations at 40% of their limits were
# refused on 100 nodes.
_SAMPLES = 12
# Weight of a new sum at the home.
_SMOOTH = 0.5
# A row towards nodes is sent again if it changed by this part or after this many intervals.
_CHANGE = 0.2
_REFRESH = 1.7
_NOTHING = (0.0, 0.0, 0.0, 0.0)


class UsageExchange:
    """Decides which report goes to which node, and takes reports in. Pure: the caller sends.

    Up to ``DIRECT_NODES`` nodes, each sends its usage to all others. In a larger fleet the nodes
    form a grid of about sqrt(n) columns. Each organisation has a home node by its id; a node
    reports the organisation to the node of its own row in the home's column (the relay), which adds
    up its rows and reports to the home. The home knows the usage of the fleet and sends it back the
    same way for organisations near their limits. So a node exchanges packets with about 2 sqrt(n)
    peers, and a row crosses two hops.

    :param node: name of this node
    :param admission: its :class:`~basilwinch.admission.Admission`
    :param rng: source of randomness, to spread the sending over the interval and to thin out rows
    """

    __slots__ = (
        "node",
        "_admission",
        "_rng",
        "_names",
        "_rules",
        "_order",
        "_index",
        "_due",
        "_last",
        "_children",
        "_fleet",
        "_heard",
        "_sent",
        "_sent_at",
    )

    def __init__(self, node: str, admission: Admission, rng: Random):
        self.node = node
        self._admission = admission
        self._rng = rng
        self._names: dict[int, str] = {}
        self._rules: dict = {}
        self._order: list[str] = [node]
        self._index = {node: 0}
        self._due = -math.inf
        self._last = -math.inf
        # Rows of nodes that report to this one: id -> {child: (rates, time)}.
        self._children: dict[int, dict[str, tuple]] = {}
        # Usage of the whole fleet as the homes sent it: id -> (rates, time).
        self._fleet: dict[int, tuple] = {}
        self._heard: dict[str, float] = {}
        # Rows that went towards nodes last: id -> (rates, time).
        self._sent: dict[int, tuple] = {}
        self._sent_at: dict[str, float] = {}

    def update(self, organisations: dict, nodes, now: float) -> None:
        """Set the organisations and the names of the live nodes, this one included."""
        if organisations is not self._rules:
            self._rules = organisations
            self._names = {
                short_id(name): name
                for name, rules in organisations.items()
                if rules.requests_per_s or rules.tokens_per_s
            }
        order = sorted({self.node, *nodes})
        if order != self._order:
            self._order = order
            self._index = {name: index for index, name in enumerate(order)}

    def is_direct(self) -> bool:
        """Tell whether all nodes report to each other."""
        return len(self._order) <= DIRECT_NODES

    def interval(self) -> float:
        """Return the seconds between two reports."""
        return self._admission.report_interval(len(self._order))

    def poll(self, now: float) -> list[tuple[str, bytes]]:
        """Return the reports that are due now, as (node, data). Call it at least once a second."""
        if now < self._due:
            return []
        interval = self.interval()
        # Nodes that started together must not keep sending together.
        self._due = now + interval * self._rng.uniform(0.9, 1.1)
        usages = self._admission.usage(now)
        if self.is_direct():
            rows = [(short_id(usage.organisation), _rates(usage)) for usage in usages]
            seconds = max((usage.seconds for usage in usages), default=0.0)
            data = pack_report([(Direction.DIRECT, rows)], seconds)
            return [(node, data) for node in self._order if node != self.node]
        own = {short_id(usage.organisation): _rates(usage) for usage in usages}
        up, down = self._sort_rows(own, interval, now)
        self._take_in(own, interval, now)
        return self._encode(up, down, interval, now)

    def absorb(self, sender: str, data: bytes, now: float) -> Failure | None:
        """Take in a report.

        :returns: ``MALFORMED_USAGE`` if it cannot be read
        """
        report = unpack_report(data)
        if isinstance(report, Failure):
            return report
        sections, seconds = report
        self._heard[sender] = now
        usages = []
        for direction, rows in sections:
            for key, rates in rows:
                name = self._names.get(key)
                if name is None:
                    continue
                if direction is Direction.DIRECT:
                    usages.append(Usage(name, *rates, seconds))
                elif direction is Direction.UP:
                    self._children.setdefault(key, {})[sender] = (rates, now)
                else:
                    self._fleet[key] = (rates, now)
        if self.is_direct():
            self._admission.absorb_usage(sender, usages, now)
        return None

    # Grid of a large fleet.

    def _home(self, key: int) -> str:
        return self._order[key % len(self._order)]

    def _relay(self, key: int) -> str:
        """Return the node in the own row and the column of the home."""
        columns = count_columns(len(self._order))
        row = self._index[self.node] // columns
        column = key % len(self._order) % columns
        index = row * columns + column
        # The last row may be short; its nodes then report to the home's row above.
        return self._order[index if index < len(self._order) else index - columns]

    def _sort_rows(self, own, interval, now):
        """Return the rows to send towards homes and back from them, by node."""
        oldest = now - _VALID * interval
        _drop_older(self._fleet, now - 2 * _VALID * interval)
        _drop_older(self._sent, now - 2 * _VALID * interval)
        up: dict[str, list] = {}
        down: dict[str, list] = {}
        for key in {*own, *self._children}:
            children = self._children.get(key, {})
            _drop_older(children, oldest)
            if not children:
                self._children.pop(key, None)
            home, relay = self._home(key), self._relay(key)
            mine = own.get(key)
            if home == self.node:
                total = _sum([row for row, _ in children.values()] + ([mine] if mine else []))
                if key in self._fleet:
                    former = self._fleet[key][0]
                    pairs = zip(former, total, strict=True)
                    total = tuple(old + _SMOOTH * (new - old) for old, new in pairs)
                self._fleet[key] = (total, now)
                if not self._is_contended(key, total):
                    continue
            elif relay == self.node:
                total = _sum([row for row, _ in children.values()] + ([mine] if mine else []))
                up.setdefault(home, []).append((key, total))
            elif mine:
                row = self._thinned(key, mine, interval)
                if row:
                    up.setdefault(relay, []).append((key, row))
            if home == self.node:
                # Relays get it, and the nodes of the own row.
                self._send_down(down, key, self._peers(), interval, now)
        for key in self._fleet:
            if self._home(key) != self.node and self._relay(key) == self.node:
                self._send_down(down, key, self._row(), interval, now)
        return up, down

    def _send_down(self, down, key, targets, interval, now) -> None:
        """Add a row towards nodes unless they have got nearly the same lately."""
        rates = self._fleet[key][0]
        last = self._sent.get(key)
        if last is not None and now - last[1] < _REFRESH * interval and _is_near(rates, last[0]):
            return
        self._sent[key] = (rates, now)
        for target in targets:
            if target != self.node:
                down.setdefault(target, []).append((key, rates))

    def _row(self) -> list[str]:
        columns = count_columns(len(self._order))
        row = self._index[self.node] // columns
        return self._order[row * columns : (row + 1) * columns]

    def _thinned(self, key, rates, interval):
        """Return the rates, or by chance None or larger rates, the same on average.

        A small organisation on hundreds of nodes would otherwise need a row for each request.
        """
        rules = self._rules.get(self._names.get(key))
        if rules is None:
            return None
        limits = ((rates[2], rules.requests_per_s), (rates[3], rules.tokens_per_s))
        part = max(wanted * _SAMPLES / limit for wanted, limit in limits if limit)
        if part >= 1 or not part:
            return rates
        if self._rng.random() >= part:
            return None
        return tuple(rate / part for rate in rates)

    def _is_contended(self, key, rates) -> bool:
        rules = self._rules.get(self._names.get(key))
        if rules is None:
            return False
        limits = ((rates[2], rules.requests_per_s), (rates[3], rules.tokens_per_s))
        return any(limit and wanted >= _CONTENDED * limit for wanted, limit in limits)

    def _take_in(self, own, interval, now) -> None:
        """Give the usage of all other nodes to admission."""
        usages = []
        for key, (rates, _) in self._fleet.items():
            name = self._names.get(key)
            if name is not None and self._is_contended(key, rates):
                mine = own.get(key, _NOTHING)
                less = (max(0.0, a - b) for a, b in zip(rates, mine, strict=True))
                usages.append(Usage(name, *less))
        peers = self._peers()
        oldest = now - 3.5 * interval
        heard = sum(1 for peer in peers if self._heard.get(peer, -math.inf) >= oldest)
        others = round((len(self._order) - 1) * heard / max(len(peers), 1))
        self._admission.absorb_usage("fleet", usages, now, others)

    def _peers(self) -> list[str]:
        """Return the nodes of the own row and column, with which packets are exchanged."""
        columns = count_columns(len(self._order))
        row, column = divmod(self._index[self.node], columns)
        return [
            node
            for index, node in enumerate(self._order)
            if node != self.node and (index // columns == row or index % columns == column)
        ]

    def _encode(self, up, down, interval, now) -> list[tuple[str, bytes]]:
        packets = []
        for target in {*self._peers(), *up, *down}:
            sections = [(Direction.UP, up.get(target)), (Direction.DOWN, down.get(target))]
            sections = [(direction, rows) for direction, rows in sections if rows]
            # Without news an empty packet now and then shows that this node is there.
            if sections or now - self._sent_at.get(target, -math.inf) >= 1.5 * interval:
                self._sent_at[target] = now
                packets.append((target, pack_report(sections)))
        return packets


def _rates(usage: Usage) -> tuple[float, float, float, float]:
    return usage.requests, usage.tokens, usage.wanted_requests, usage.wanted_tokens


def _is_near(rates, last) -> bool:
    return all(
        abs(rates[i] - last[i]) + abs(rates[i + 2] - last[i + 2]) <= _CHANGE * rates[i + 2]
        for i in (0, 1)
    )


def _sum(rows) -> tuple[float, ...]:
    return tuple(map(sum, zip(*rows, strict=True))) if rows else _NOTHING


def _drop_older(store, oldest) -> None:
    for key in [key for key, row in store.items() if row[1] < oldest]:
        del store[key]
