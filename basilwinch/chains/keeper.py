"""Keeper of the layout: plans chains and orders servers to hold layers; one node at a time."""

import json

import structlog
import trio

from basilwinch.chains.layout import Member, plan_chains
from basilwinch.exception import ServerError
from basilwinch.store import Compare, KeyValue

__all__ = ["LAYOUT_PREFIX", "Keeper"]

LAYOUT_PREFIX = "basilwinch/layout/"
_ROUND_S = 0.25  # pause between rounds
_SETTLE_S = 1.0  # wait for further servers before the first plan
# Part of a layout's members that may be absent when a new keeper takes over without that wait. More
# have not crashed but lapsed, and are about to return.
_ABSENT_PART = 0.1
_CALL_S = 1.0  # longest wait for an answer to an order
# A chain waits so long for a lost member or its replacement; servers are back after some seconds,
# and a new chain takes about as long to load.
_PATIENCE_S = 6.0
_REPORT_BYTES = 1 << 20
_LOAD_SLACK_S = 3.0  # beyond the time to load: until the server's entry shows it


class Keeper:
    """Plans and gives orders while this node holds the lease.

    :param view: :class:`~basilwinch.view.View`
    :param store: key-value service
    :param dialect: spelling of orders
    :param pool: connections to servers
    :param load: :class:`~basilwinch.chains.load.FleetLoad`
    """

    __slots__ = (
        "_view",
        "_store",
        "_dialect",
        "_pool",
        "_load",
        "_orders",
        "_lost_at",
        "_log",
        "_clock",
    )

    def __init__(self, view, store, dialect, pool, load, clock=trio.current_time):
        self._view = view
        self._store = store
        self._dialect = dialect
        self._pool = pool
        self._load = load
        self._clock = clock
        self._orders: dict[str, tuple[tuple[int, int], float]] = {}
        self._lost_at: dict[str, float] = {}
        self._log = structlog.get_logger("keeper")

    async def run(self, held) -> None:
        """Keep the layout until cancelled.

        :param held: the lease, checked before each order
        """
        while self._view.configuration is None or not self._view.is_known:
            await trio.sleep(_ROUND_S / 2)
        layouts: dict[str, tuple[list, int]] = {}
        for service in self._layered_services():
            key = LAYOUT_PREFIX + service.name
            layouts[key] = await self._read_layout(key)
        if self._lacks_servers([chains for chains, _ in layouts.values()]):
            await self._wait_for_servers()
        while True:
            for service in self._layered_services():
                await self._keep_service(service, layouts, held)
            await trio.sleep(_ROUND_S)

    def _layered_services(self) -> list:
        services = self._view.configuration.services.values()
        return [service for service in services if service.engine is not None]

    def _lacks_servers(self, layouts) -> bool:
        """Return whether the first plan waits: there is no layout, or much of it is absent."""
        members = [m.server for chains in layouts for chain in chains for m in chain]
        absent = sum(server not in self._view.servers for server in members)
        return absent >= _ABSENT_PART * len(members)

    async def _wait_for_servers(self) -> None:
        """Wait until no more servers come; the first plan is then made from all of them."""
        count, since = -1, self._clock()
        while not count or self._clock() - since < _SETTLE_S:
            if count != len(self._view.servers):
                count, since = len(self._view.servers), self._clock()
            await trio.sleep(_ROUND_S / 2)

    async def _keep_service(self, service, layouts, held) -> None:
        key = LAYOUT_PREFIX + service.name
        if key not in layouts:
            layouts[key] = await self._read_layout(key)
        chains, revision = layouts[key]
        servers = [s for s in self._view.by_service.get(service.name, ()) if not s.leaving]
        planned = plan_chains(servers, service.engine, chains, self._find_missed(servers, chains))
        if planned != chains:
            layouts[key] = await self._write_layout(key, planned, revision)
            self._log.info("layout planned", service=service.name, chains=_describe(planned))
        entries = {server.id: server for server in servers}
        async with trio.open_nursery() as nursery:
            for chain in planned:
                for member in chain:
                    entry = entries.get(member.server)
                    if entry is not None and self._is_due(entry, member, service.engine):
                        nursery.start_soon(self._order, entry, member, held)

    def _find_missed(self, servers, chains) -> frozenset:
        """Return the members that went a short while ago."""
        now = self._clock()
        present = {server.id for server in servers}
        lost = {member.server for chain in chains for member in chain} - present
        for server_id in present & self._lost_at.keys():
            del self._lost_at[server_id]
        return frozenset(s for s in lost if now - self._lost_at.setdefault(s, now) < _PATIENCE_S)

    async def _read_layout(self, key: str) -> tuple[list, int]:
        item = await self._store.get(key)
        if item is None:
            return [], 0
        try:
            rows = json.loads(item.value)
            return [[Member(*fields) for fields in chain] for chain in rows], item.mod_revision
        except (ValueError, TypeError) as error:
            self._log.error("layout unreadable, planning anew", key=key, error=repr(error))
            return [], item.mod_revision

    async def _write_layout(self, key: str, chains, revision: int) -> tuple[list, int]:
        rows = [[[m.server, m.first, m.end] for m in chain] for chain in chains]
        put = KeyValue(key, json.dumps(rows).encode(), 0)
        outcome = await self._store.transact([Compare(key, revision)], [put])
        if outcome.succeeded:
            return chains, outcome.revision
        self._log.warning("layout changed by another node", key=key)
        return await self._read_layout(key)

    def _is_due(self, entry, member: Member, engine) -> bool:
        wanted = (member.first, member.end)
        if entry.layers == wanted:
            self._orders.pop(entry.id, None)
            return False
        ordered, again_at = self._orders.get(entry.id, (None, 0.0))
        if ordered == wanted and self._clock() < again_at:
            return False
        share = (member.end - member.first) / engine.layers
        self._orders[entry.id] = (wanted, self._clock() + engine.load_s * share + _LOAD_SLACK_S)
        return True

    async def _order(self, entry, member: Member, held) -> None:
        """Order a server to hold layers; what an unanswered order did shows in the next round."""
        try:
            with trio.fail_after(_CALL_S):
                report = await self._ask_report(entry)
                if held.check(self._clock()) is not None:
                    return
                orders = self._dialect.read_accepted_orders(report)
                order = self._dialect.build_layer_order(member.first, member.end, orders)
                status, _ = await self._call(entry, order)
        except (ServerError, trio.TooSlowError, ValueError, KeyError) as error:
            status = 0
            reason = repr(error)
            self._orders[entry.id] = ((member.first, member.end), self._clock() + _CALL_S)
        else:
            reason = f"after {orders} orders"
            if status not in (200, 202):
                self._orders[entry.id] = ((member.first, member.end), self._clock() + _CALL_S)
        self._log.info(
            "order given",
            server=entry.id,
            first=member.first,
            end=member.end,
            status=status,
            reason=reason,
        )

    async def _ask_report(self, entry) -> dict:
        _, body = await self._call(entry, self._dialect.build_report_request())
        return json.loads(body)

    async def _call(self, entry, request) -> tuple[int, bytes]:
        # An order that is lost on a kept connection may have been taken.
        return await self._pool.call(entry.address, request, _REPORT_BYTES, fresh=True)


def _describe(chains) -> list[str]:
    return [" ".join(f"{m.server}={m.first}-{m.end}" for m in chain) for chain in chains]
