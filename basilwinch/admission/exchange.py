"""Usage reports between nodes: direct in a small fleet, over two hops in a large fleet."""

import math
from collections.abc import Awaitable, Callable
from random import Random

import trio

from basilwinch.admission.admission import Admission
from basilwinch.admission.config import Usage
from basilwinch.admission.grid import MAX_DIRECT_NODES, count_columns
from basilwinch.admission.report import Direction, assign_ids, pack_report, unpack_report
from basilwinch.exception import Failure

__all__ = ["UsageExchange"]

# Rows reported by another node are used for this many report intervals, so that a late report does
# not leave a gap.
_ROW_VALIDITY_INTERVALS = 1.5
# The home node sends the fleet's usage back once demand reaches this fraction of a limit; below,
# no node needs it.
_CONTENDED_ENTER_RATIO = 0.9
# It stops sending below this fraction of the limit. Nodes that receive no usage of the fleet count
# only their own grants against the limit, so without the hysteresis, noise around one threshold
# would let each node repeatedly exceed the limit by a burst.
_CONTENDED_EXIT_RATIO = 0.6
# Expected number of rows in one interval for an organisation at its limit; further rows are left
# out by random sampling. With 3 rows, 7% of the requests of organisations at 40% of their limits
# were refused on 100 nodes.
_ROWS_PER_INTERVAL_AT_LIMIT = 12
# Weight of a new total in the moving average at the home node.
_TOTAL_SMOOTHING_WEIGHT = 0.4
# A row on the way back from the home node is sent again if it changed by this ratio, or after this
# many report intervals.
_RESEND_CHANGE_RATIO = 0.2
_RESEND_INTERVALS = 1.7
_ZERO_RATES = (0.0, 0.0, 0.0, 0.0)


class UsageExchange:
    """Decides which report goes to which node, and processes received reports.

    The caller provides the transport.

    In a fleet of up to ``MAX_DIRECT_NODES`` nodes, each sends its usage to all others. In a larger
    fleet the nodes form a grid of about sqrt(n) columns. The id of an organisation determines its
    home node. A node reports the organisation to the node in its own grid row and in the home's
    column (the aggregator), which adds up the rows that it receives and reports the sum to the
    home. The home knows the usage of the whole fleet and sends it back the same way for
    organisations near their limits. A node thus exchanges packets with about 2 sqrt(n) peers, and a
    report row crosses two hops.

    :param node: name of this node
    :param admission: its :class:`~basilwinch.admission.Admission`
    :param rng: random generator that spreads the sending over the interval and samples rows
    """

    #: Number of this payload type in messages between nodes.
    kind = 2
    #: Budget of this payload type in bytes per second, sent plus received.
    bytes_per_s = 1000.0

    __slots__ = (
        "node",
        "_admission",
        "_rng",
        "_ids_by_name",
        "_names_by_id",
        "_rules",
        "_nodes",
        "_node_indices",
        "_next_report_at",
        "_last",
        "_received_rows",
        "_fleet_usage",
        "_contended_ids",
        "_last_heard_at",
        "_sent_rows",
        "_last_sent_at",
    )

    def __init__(self, node: str, admission: Admission, rng: Random):
        self.node = node
        self._admission = admission
        self._rng = rng
        self._ids_by_name: dict[str, int] = {}
        self._names_by_id: dict[int, str] = {}
        self._rules: dict = {}
        self._nodes: list[str] = [node]
        self._node_indices = {node: 0}
        self._next_report_at = -math.inf
        self._last = -math.inf
        # Rows received from the nodes that report to this one: id -> {node: (rates, time)}.
        self._received_rows: dict[int, dict[str, tuple]] = {}
        # Usage of the whole fleet as sent by the home nodes: id -> (rates, time).
        self._fleet_usage: dict[int, tuple] = {}
        # Ids of organisations that have this node as home and are near their limits.
        self._contended_ids: set[int] = set()
        self._last_heard_at: dict[str, float] = {}
        # Rows last sent back from the home node: id -> (rates, time).
        self._sent_rows: dict[int, tuple] = {}
        self._last_sent_at: dict[str, float] = {}

    def update(self, organisations: dict, nodes, now: float) -> None:
        """Set the organisations and the names of the live nodes, this one included."""
        if organisations is not self._rules:
            self._rules = organisations
            limited = [
                name
                for name, rules in organisations.items()
                if rules.requests_per_s or rules.tokens_per_s
            ]
            self._ids_by_name = assign_ids(limited)
            self._names_by_id = {
                organisation_id: name for name, organisation_id in self._ids_by_name.items()
            }
        nodes_in_order = sorted({self.node, *nodes})
        if nodes_in_order != self._nodes:
            self._nodes = nodes_in_order
            self._node_indices = {name: index for index, name in enumerate(nodes_in_order)}

    def is_direct(self) -> bool:
        """Return whether all nodes report directly to each other."""
        return len(self._nodes) <= MAX_DIRECT_NODES

    def interval(self) -> float:
        """Return the seconds between two reports."""
        return self._admission.report_interval(len(self._nodes))

    def poll(self, now: float) -> list[tuple[str, bytes]]:
        """Return the reports that are due now, as (node, data). Call it at least once a second."""
        if now < self._next_report_at:
            return []
        report_interval_s = self.interval()
        # The random factor keeps nodes that started together from sending together.
        self._next_report_at = now + report_interval_s * self._rng.uniform(0.9, 1.1)
        usages = self._admission.collect_usage(now)
        own_rows = {
            self._ids_by_name[usage.organisation]: _get_rates(usage)
            for usage in usages
            if usage.organisation in self._ids_by_name
        }
        if self.is_direct():
            rows = list(own_rows.items())
            interval_s = max((usage.interval_s for usage in usages), default=0.0)
            data = pack_report([(Direction.DIRECT, rows)], interval_s)
            return [(node, data) for node in self._nodes if node != self.node]
        up, down = self._route_rows(own_rows, report_interval_s, now)
        self._update_admission(own_rows, report_interval_s, now)
        return self._encode_packets(up, down, report_interval_s, now)

    async def run(self, send: Callable[[str, bytes], Awaitable[None]]) -> None:
        """Send the reports that are due, until cancelled.

        :param send: sends a payload to a node by name; a lost payload does no harm
        """
        while True:
            for node, data in self.poll(trio.current_time()):
                await send(node, data)
            await trio.sleep(0.5)

    def export(self, limit: int, now: float) -> bytes:
        """Return nothing: each report is meant for one node, see :meth:`poll`."""
        return b""

    def merge(self, sender: str, data: bytes, now: float) -> bool | Failure:
        """Process a received report.

        :returns: False, as nothing is to be forwarded at once, or ``MALFORMED_USAGE``
        """
        report = unpack_report(data)
        if isinstance(report, Failure):
            return report
        sections, interval_s = report
        self._last_heard_at[sender] = now
        usages = []
        for direction, rows in sections:
            for organisation_id, rates in rows:
                name = self._names_by_id.get(organisation_id)
                if name is None:
                    continue
                if direction is Direction.DIRECT:
                    usages.append(Usage(name, *rates, interval_s))
                elif direction is Direction.UP:
                    self._received_rows.setdefault(organisation_id, {})[sender] = (rates, now)
                else:
                    self._fleet_usage[organisation_id] = (rates, now)
        if self.is_direct():
            self._admission.record_peer_usage(sender, usages, now)
        return False

    # Grid of a large fleet.

    def _find_home(self, organisation_id: int) -> str:
        return self._nodes[organisation_id % len(self._nodes)]

    def _find_aggregator(self, organisation_id: int) -> str:
        """Return the node in this node's grid row and in the column of the home."""
        columns = count_columns(len(self._nodes))
        grid_row = self._node_indices[self.node] // columns
        column = organisation_id % len(self._nodes) % columns
        index = grid_row * columns + column
        # The last grid row may be short; its nodes then use the aggregator in the row above.
        return self._nodes[index if index < len(self._nodes) else index - columns]

    def _route_rows(self, own_rows, report_interval_s, now):
        """Return the report rows to send towards home nodes and back from them, by target node."""
        oldest_valid = now - _ROW_VALIDITY_INTERVALS * report_interval_s
        _drop_older(self._fleet_usage, now - 2 * _ROW_VALIDITY_INTERVALS * report_interval_s)
        _drop_older(self._sent_rows, now - 2 * _ROW_VALIDITY_INTERVALS * report_interval_s)
        up: dict[str, list] = {}
        down: dict[str, list] = {}
        self._contended_ids &= self._fleet_usage.keys()
        for organisation_id in {*own_rows, *self._received_rows}:
            received_rows = self._received_rows.get(organisation_id, {})
            _drop_older(received_rows, oldest_valid)
            if not received_rows:
                self._received_rows.pop(organisation_id, None)
            home, aggregator = (
                self._find_home(organisation_id),
                self._find_aggregator(organisation_id),
            )
            own_rates = own_rows.get(organisation_id)
            if home == self.node:
                total = _sum_rates(
                    [row for row, _ in received_rows.values()] + ([own_rates] if own_rates else [])
                )
                if organisation_id in self._fleet_usage:
                    previous = self._fleet_usage[organisation_id][0]
                    pairs = zip(previous, total, strict=True)
                    total = tuple(old + _TOTAL_SMOOTHING_WEIGHT * (new - old) for old, new in pairs)
                self._fleet_usage[organisation_id] = (total, now)
                if not self._update_contended(organisation_id, total):
                    continue
            elif aggregator == self.node:
                total = _sum_rates(
                    [row for row, _ in received_rows.values()] + ([own_rates] if own_rates else [])
                )
                up.setdefault(home, []).append((organisation_id, total))
            elif own_rates:
                row = self._sample_row(organisation_id, own_rates, report_interval_s)
                if row:
                    up.setdefault(aggregator, []).append((organisation_id, row))
            if home == self.node:
                # The aggregators of all grid rows get it, and the nodes of this node's grid row.
                self._add_down_row(
                    down, organisation_id, self._list_peers(), report_interval_s, now
                )
        for organisation_id in self._fleet_usage:
            if (
                self._find_home(organisation_id) != self.node
                and self._find_aggregator(organisation_id) == self.node
            ):
                self._add_down_row(
                    down, organisation_id, self._list_grid_row(), report_interval_s, now
                )
        return up, down

    def _add_down_row(self, down, organisation_id, targets, report_interval_s, now) -> None:
        """Add a row for the targets unless nearly the same rates were sent to them recently."""
        rates = self._fleet_usage[organisation_id][0]
        last_sent = self._sent_rows.get(organisation_id)
        if (
            last_sent is not None
            and now - last_sent[1] < _RESEND_INTERVALS * report_interval_s
            and _is_nearly_equal(rates, last_sent[0])
        ):
            return
        self._sent_rows[organisation_id] = (rates, now)
        for target in targets:
            if target != self.node:
                down.setdefault(target, []).append((organisation_id, rates))

    def _list_grid_row(self) -> list[str]:
        columns = count_columns(len(self._nodes))
        grid_row = self._node_indices[self.node] // columns
        return self._nodes[grid_row * columns : (grid_row + 1) * columns]

    def _sample_row(self, organisation_id, rates, report_interval_s):
        """Return the rates, or a random sample of them: None or larger rates with the same mean.

        Otherwise a small organisation on hundreds of nodes would need a row for each request.
        """
        rules = self._rules.get(self._names_by_id.get(organisation_id))
        if rules is None:
            return None
        limits = ((rates[2], rules.requests_per_s), (rates[3], rules.tokens_per_s))
        probability = max(
            wanted * _ROWS_PER_INTERVAL_AT_LIMIT / limit for wanted, limit in limits if limit
        )
        if probability >= 1 or not probability:
            return rates
        if self._rng.random() >= probability:
            return None
        return tuple(rate / probability for rate in rates)

    def _update_contended(self, organisation_id, rates) -> bool:
        """Return whether an organisation with this home is near its limits, with hysteresis."""
        rules = self._rules.get(self._names_by_id.get(organisation_id))
        if rules is None:
            return False
        limits = ((rates[2], rules.requests_per_s), (rates[3], rules.tokens_per_s))
        load_ratio = max((wanted / limit for wanted, limit in limits if limit), default=0.0)
        if load_ratio >= (
            _CONTENDED_EXIT_RATIO
            if organisation_id in self._contended_ids
            else _CONTENDED_ENTER_RATIO
        ):
            self._contended_ids.add(organisation_id)
            return True
        self._contended_ids.discard(organisation_id)
        return False

    def _update_admission(self, own_rows, report_interval_s, now) -> None:
        """Report the usage of all other nodes to admission."""
        usages = []
        for organisation_id, (rates, _) in self._fleet_usage.items():
            name = self._names_by_id.get(organisation_id)
            if name is not None and (
                self._find_home(organisation_id) != self.node
                or organisation_id in self._contended_ids
            ):
                own_rates = own_rows.get(organisation_id, _ZERO_RATES)
                others_rates = (max(0.0, a - b) for a, b in zip(rates, own_rates, strict=True))
                usages.append(Usage(name, *others_rates))
        peers = self._list_peers()
        # Peers count as heard for as long as reports stay valid, REPORT_VALIDITY_INTERVALS.
        oldest_valid = now - 3.5 * report_interval_s
        heard_peers = sum(
            1 for peer in peers if self._last_heard_at.get(peer, -math.inf) >= oldest_valid
        )
        covered_nodes = round((len(self._nodes) - 1) * heard_peers / max(len(peers), 1))
        self._admission.record_peer_usage("fleet", usages, now, covered_nodes)

    def _list_peers(self) -> list[str]:
        """Return the nodes of the own grid row and column, with which packets are exchanged."""
        columns = count_columns(len(self._nodes))
        grid_row, column = divmod(self._node_indices[self.node], columns)
        return [
            node
            for index, node in enumerate(self._nodes)
            if node != self.node and (index // columns == grid_row or index % columns == column)
        ]

    def _encode_packets(self, up, down, report_interval_s, now) -> list[tuple[str, bytes]]:
        packets = []
        for target in {*self._list_peers(), *up, *down}:
            sections = [(Direction.UP, up.get(target)), (Direction.DOWN, down.get(target))]
            sections = [(direction, rows) for direction, rows in sections if rows]
            # Without rows to send, an occasional empty packet shows that this node is alive.
            if (
                sections
                or now - self._last_sent_at.get(target, -math.inf) >= 1.5 * report_interval_s
            ):
                self._last_sent_at[target] = now
                packets.append((target, pack_report(sections)))
        return packets


def _get_rates(usage: Usage) -> tuple[float, float, float, float]:
    return usage.requests, usage.tokens, usage.wanted_requests, usage.wanted_tokens


def _is_nearly_equal(rates, last_sent) -> bool:
    return all(
        abs(rates[i] - last_sent[i]) + abs(rates[i + 2] - last_sent[i + 2])
        <= _RESEND_CHANGE_RATIO * rates[i + 2]
        for i in (0, 1)
    )


def _sum_rates(rows) -> tuple[float, ...]:
    return tuple(map(sum, zip(*rows, strict=True))) if rows else _ZERO_RATES


def _drop_older(store, oldest_valid) -> None:
    for key in [key for key, row in store.items() if row[1] < oldest_valid]:
        del store[key]
