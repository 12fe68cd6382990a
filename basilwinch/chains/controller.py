"""Layout controller: plans chains and orders servers to load layers, on one node at a time."""

import structlog
import trio

from basilwinch.chains.layout import ChainMember, plan_chains
from basilwinch.chains.record import decode_layout, encode_layout
from basilwinch.document import parse_object
from basilwinch.exception import DocumentError, Failure, ServerError
from basilwinch.store import Compare, KeyValue

__all__ = ["LAYOUT_PREFIX", "LayoutController"]

LAYOUT_PREFIX = "basilwinch/layout/"
_RECONCILE_INTERVAL_S = 0.25
# The first plan waits until the number of servers is above 0 and unchanged for this long.
_SETTLE_S = 1.0
# A new controller waits in the same way if at least this fraction of the members of all layouts is
# absent. So many servers hardly crash together: their entries have expired, and they are about to
# register again.
_SETTLE_ABSENT_FRACTION = 0.1
# Time-out of report query and order together; also the pause before a failed order is retried.
_CALL_TIMEOUT_S = 1.0
# A chain that lacks a member is kept for this long, so that the member or a replacement can
# register: servers are back after a few seconds, and a new chain takes about as long to load.
_MEMBER_RETURN_TIMEOUT_S = 6.0
_MAX_RESPONSE_BYTES = 1 << 20
# An order is sent again if the server's entry does not show the layers after the time to load plus
# this margin.
_LOAD_MARGIN_S = 3.0


class LayoutController:
    """Plans the layout and sends orders to servers while this node holds the lease.

    :param view: :class:`~basilwinch.view.View`
    :param store: key-value store
    :param dialect: encoder of orders and report queries, decoder of reports
    :param pool: connections to servers
    :param load: :class:`~basilwinch.chains.load.FleetLoad`
    :param clock: function that returns the time in seconds
    """

    __slots__ = (
        "_view",
        "_store",
        "_dialect",
        "_pool",
        "_load",
        "_pending_orders",
        "_lost_at",
        "_layout_history",
        "_unknown_kinds",
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
        # By server id: layers ordered, and the time at which the order may be sent again.
        self._pending_orders: dict[str, tuple[tuple[int, int], float]] = {}
        self._lost_at: dict[str, float] = {}
        self._layout_history = store.history.number
        # Servers left out because the configuration does not name their kind, by id.
        self._unknown_kinds: dict[str, str] = {}
        self._log = structlog.get_logger("layout")

    async def run(self, lease) -> None:
        """Reconcile the layout with the registered servers until cancelled.

        :param lease: :class:`~basilwinch.lease.holder.HeldLease`, checked before each order
        """
        while self._view.configuration is None or not self._view.is_loaded:
            await trio.sleep(_RECONCILE_INTERVAL_S / 2)
        self._layout_history = self._store.history.number
        layouts: dict[str, tuple[list, int]] = {}
        for service in self._list_chain_services():
            key = LAYOUT_PREFIX + service.name
            layouts[key] = await self._read_layout(key)
        if self._is_incomplete([chains for chains, _ in layouts.values()]):
            await self._wait_for_servers()
        while True:
            if lease.check(self._clock()) is None:
                await self._restore_layouts(layouts, lease)
                for service in self._list_chain_services():
                    await self._reconcile_service(service, layouts, lease)
            await trio.sleep(_RECONCILE_INTERVAL_S)

    async def _restore_layouts(self, layouts, lease) -> None:
        """Write the layouts again if the store was restored from a copy that has older ones.

        No other node can have written one since, as this node still holds the lease.
        """
        history = self._store.history.number
        if history == self._layout_history:
            return
        for key, (chains, _) in layouts.items():
            stored, revision = await self._read_layout(key)
            if stored != chains:
                layouts[key] = await self._write_layout(key, chains, revision, lease)
                self._log.info("layout written again after a restore of the store", key=key)
            else:
                layouts[key] = (chains, revision)
        self._layout_history = history

    def _list_chain_services(self) -> list:
        services = self._view.configuration.services.values()
        return [service for service in services if service.engine is not None]

    def _is_incomplete(self, layouts) -> bool:
        """Return whether there is no layout yet, or many of its members are absent."""
        members = [m.server for chains in layouts for chain in chains for m in chain]
        absent = sum(server not in self._view.servers for server in members)
        return absent >= _SETTLE_ABSENT_FRACTION * len(members)

    async def _wait_for_servers(self) -> None:
        """Wait until the number of servers is above 0 and stable.

        The first plan then includes all of them.
        """
        count, since = -1, self._clock()
        while not count or self._clock() - since < _SETTLE_S:
            if count != len(self._view.servers):
                count, since = len(self._view.servers), self._clock()
            await trio.sleep(_RECONCILE_INTERVAL_S / 2)

    async def _reconcile_service(self, service, layouts, lease) -> None:
        key = LAYOUT_PREFIX + service.name
        if key not in layouts:
            layouts[key] = await self._read_layout(key)
        chains, revision = layouts[key]
        servers = [s for s in self._view.by_service.get(service.name, ()) if not s.leaving]
        self._report_unknown_kinds(service, servers)
        if self._store.history.number != self._layout_history:
            return  # the revision is of an earlier history
        planned = plan_chains(
            servers, service.engine, chains, self._find_recently_lost(servers, chains)
        )
        if planned != chains:
            layouts[key] = await self._write_layout(key, planned, revision, lease)
            self._log.info("layout planned", service=service.name, chains=_format_chains(planned))
        entries = {server.id: server for server in servers}
        async with trio.open_nursery() as nursery:
            for chain in planned:
                for member in chain:
                    entry = entries.get(member.server)
                    if entry is not None and self._begin_order(entry, member, service.engine):
                        nursery.start_soon(self._send_order, entry, member, lease)

    def _report_unknown_kinds(self, service, servers) -> None:
        """Log once for each server that it is left out, as its kind is not in the configuration."""
        for server in servers:
            if server.kind in service.engine.kinds:
                self._unknown_kinds.pop(server.id, None)
            elif self._unknown_kinds.get(server.id) != server.kind:
                self._unknown_kinds[server.id] = server.kind
                self._log.error(
                    "server left out, its kind of accelerator is not in the configuration",
                    server=server.id,
                    service=service.name,
                    kind=server.kind,
                    known=sorted(service.engine.kinds),
                )
        for server_id in self._unknown_kinds.keys() - self._view.servers.keys():
            del self._unknown_kinds[server_id]

    def _find_recently_lost(self, servers, chains) -> frozenset:
        """Return the ids of members that disappeared a short while ago."""
        now = self._clock()
        present = {server.id for server in servers}
        lost = {member.server for chain in chains for member in chain} - present
        for server_id in present & self._lost_at.keys():
            del self._lost_at[server_id]
        return frozenset(
            s for s in lost if now - self._lost_at.setdefault(s, now) < _MEMBER_RETURN_TIMEOUT_S
        )

    async def _read_layout(self, key: str) -> tuple[list, int]:
        item = await self._store.get(key)
        if item is None:
            return [], 0
        chains = decode_layout(item.value)
        if isinstance(chains, Failure):
            self._log.error(
                "layout cannot be decoded, planning a new one", key=key, reason=chains.reason
            )
            return [], item.mod_revision
        return chains, item.mod_revision

    async def _write_layout(self, key: str, chains, revision: int, lease) -> tuple[list, int]:
        """Write a layout if neither it nor the lease has changed; return the one in the store."""
        put = KeyValue(key, encode_layout(chains), 0)
        outcome = await self._store.transact([Compare(key, revision), lease.condition], [put])
        if outcome.succeeded:
            return chains, outcome.revision
        self._log.warning("layout not written, another node has changed it or the lease", key=key)
        return await self._read_layout(key)

    def _begin_order(self, entry, member: ChainMember, engine) -> bool:
        """Return whether an order must be sent to a server now; if so, record it as pending."""
        target = (member.first, member.end)
        if entry.layers == target:
            self._pending_orders.pop(entry.id, None)
            return False
        ordered, retry_at = self._pending_orders.get(entry.id, (None, 0.0))
        if ordered == target and self._clock() < retry_at:
            return False
        fraction = (member.end - member.first) / engine.layers
        self._pending_orders[entry.id] = (
            target,
            self._clock() + engine.load_s * fraction + _LOAD_MARGIN_S,
        )
        return True

    async def _send_order(self, entry, member: ChainMember, lease) -> None:
        """Order a server to load layers.

        Whether an order without an answer was executed shows in the server's entry.
        """
        try:
            with trio.fail_after(_CALL_TIMEOUT_S):
                report = await self._fetch_report(entry)
                if lease.check(self._clock()) is not None:
                    return
                accepted_count = self._dialect.read_accepted_orders(report)
                order = self._dialect.build_layer_order(member.first, member.end, accepted_count)
                status, _ = await self._call(entry, order)
        except (ServerError, trio.TooSlowError, DocumentError) as error:
            status = 0
            reason = repr(error)
            self._pending_orders[entry.id] = (
                (member.first, member.end),
                self._clock() + _CALL_TIMEOUT_S,
            )
        else:
            reason = f"server had accepted {accepted_count} orders before"
            if status not in (200, 202):
                self._pending_orders[entry.id] = (
                    (member.first, member.end),
                    self._clock() + _CALL_TIMEOUT_S,
                )
        self._log.info(
            "layer order attempted",
            server=entry.id,
            first=member.first,
            end=member.end,
            status=status,
            reason=reason,
        )

    async def _fetch_report(self, entry) -> dict:
        _, body = await self._call(entry, self._dialect.build_report_request())
        return parse_object(body, "report")

    async def _call(self, entry, request) -> tuple[int, bytes]:
        # On a new connection: the server may have closed an idle one without notice, and the
        # failure would not show whether the order was executed.
        return await self._pool.call(entry.address, request, _MAX_RESPONSE_BYTES, fresh=True)


def _format_chains(chains) -> list[str]:
    return [" ".join(f"{m.server}={m.first}-{m.end}" for m in chain) for chain in chains]
