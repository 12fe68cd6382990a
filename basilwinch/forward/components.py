"""Components that all forwarders share."""

import trio

from basilwinch.failover import ChainActivity
from basilwinch.forward.context import Context

__all__ = ["Components"]

# With more nodes, the others have sent several requests since the last load report, so that all of
# them would select the same fastest path.
_MAX_NODES_FOR_FASTEST_PATH = 31


class Components:
    """Components of a node that the forwarders use.

    ``last_backup_at`` is the time in seconds at which a backup last began.
    ``activity`` is the :class:`~basilwinch.failover.ChainActivity` of this node.

    :param view: :class:`~basilwinch.view.View`
    :param pool: connections to servers
    :param dialect: decoder and encoder of header fields
    :param server_selection: :class:`~basilwinch.forward.selection.ServerSelection`
    :param retry_budget: :class:`~basilwinch.forward.budget.RetryBudget`
    :param load: :class:`~basilwinch.chains.load.FleetLoad`
    :param path_finder: :class:`~basilwinch.chains.path.PathFinder`
    :param chain_selection: :class:`~basilwinch.chains.chain_selection.ChainSelection`
    :param zone_link_budget: :class:`~basilwinch.chains.zone_link.ZoneLinkBudget`
    :param member_probe: :class:`~basilwinch.forward.members.MemberProbe`
    :param server_reports: :class:`~basilwinch.forward.reports.ServerReports`
    :param crash_attribution: :class:`~basilwinch.forward.crashes.CrashAttribution`
    :param server_limits: :class:`~basilwinch.chains.server_limits.ServerLimits`
    :param connector: :class:`~basilwinch.tunnel.ServerConnector`
    :param scheduling_delay: :class:`~basilwinch.forward.scheduling.SchedulingDelay`
    :param path_dispatcher: :class:`~basilwinch.forward.dispatcher.PathDispatcher`
    """

    __slots__ = (
        "view",
        "pool",
        "dialect",
        "server_selection",
        "retry_budget",
        "load",
        "path_finder",
        "chain_selection",
        "zone_link_budget",
        "member_probe",
        "server_reports",
        "crash_attribution",
        "server_limits",
        "connector",
        "scheduling_delay",
        "activity",
        "path_dispatcher",
        "last_backup_at",
    )

    def __init__(
        self,
        view,
        pool,
        dialect,
        server_selection,
        retry_budget,
        load,
        path_finder,
        chain_selection,
        zone_link_budget,
        member_probe,
        server_reports,
        crash_attribution,
        server_limits,
        connector,
        scheduling_delay,
        path_dispatcher,
    ):
        self.view = view
        self.pool = pool
        self.dialect = dialect
        self.server_selection = server_selection
        self.retry_budget = retry_budget
        self.load = load
        self.path_finder = path_finder
        self.chain_selection = chain_selection
        self.zone_link_budget = zone_link_budget
        self.member_probe = member_probe
        self.server_reports = server_reports
        self.crash_attribution = crash_attribution
        self.server_limits = server_limits
        self.connector = connector
        self.scheduling_delay = scheduling_delay
        self.activity = ChainActivity()
        self.path_dispatcher = path_dispatcher
        self.last_backup_at = float("-inf")

    def choose_server(self, context: Context, tried):
        """Return a plain server that has not been tried and is below its limit, or None.

        :param tried: ids of servers to leave out
        """
        servers = self.list_servers(context)
        return self.server_selection.choose(servers, self._list_exhausted(servers) | set(tried))

    def _list_exhausted(self, servers) -> set[str]:
        return self.server_limits.list_exhausted([server.id for server in servers])

    def observe_server(self, server_id: str, status: int, headers: dict[bytes, bytes]) -> None:
        """Record what the header of a response says about the server that sent it.

        :param status: status of the response
        :param headers: values by lower-case name
        """
        self.server_limits.observe(server_id, self.dialect.read_server_limit(headers))
        retry_after_s = self.dialect.read_retry_after(status, headers)
        if retry_after_s is not None:
            self.server_limits.hold(server_id, retry_after_s)
        if self.dialect.is_leaving(headers):
            self.view.mark_leaving(server_id)

    def count_exhausted(self, context: Context) -> int:
        """Return the number of servers of a request's service that are at their limit."""
        return len(self._list_exhausted(self.list_servers(context)))

    def list_servers(self, context: Context) -> list:
        """Return the entries of the servers of a request's service."""
        return self.view.by_service.get(context.service.name, [])

    def may_cross_zones(self, context: Context, tokens: int) -> bool:
        """Return whether the path of a request may cross between zones.

        :param tokens: tokens of the request's KV cache
        """
        return self.zone_link_budget.allows(tokens * context.service.engine.token_transfer_s)

    def find_path(
        self, context: Context, tokens: int, avoid, cross_zones: bool, other_head: str | None = None
    ):
        """Return a path with enough free memory for a request, or None.

        :param tokens: tokens of the request's KV cache
        :param avoid: ids of servers to leave out
        :param cross_zones: whether the path may cross between zones
        :param other_head: id of a server that is the first of the path only if no other can be
        """
        # Only the first server of a path receives the request.
        avoid_heads = self._list_exhausted(self.list_servers(context))
        if other_head is not None:
            path = self._find_path(context, tokens, avoid, cross_zones, avoid_heads | {other_head})
            if path is not None:
                return path
        return self._find_path(context, tokens, avoid, cross_zones, avoid_heads)

    def _find_path(self, context: Context, tokens: int, avoid, cross_zones: bool, avoid_heads):
        engine, prompt_tokens = context.service.engine, context.info.prompt_tokens
        if self.load.nodes > _MAX_NODES_FOR_FASTEST_PATH:
            path = self.chain_selection.find(
                context.service.name,
                self.view.servers,
                engine,
                tokens,
                prompt_tokens,
                avoid,
                cross_zones,
                avoid_heads,
                context.priority,
                context.deadline - trio.current_time(),
                self.view.configuration.find_gap_s(context.service.name),
            )
            if path is not None:
                return path
        servers = self.list_servers(context)
        return self.path_finder.find(
            servers, engine, tokens, prompt_tokens, avoid, cross_zones, avoid_heads
        )

    def signal_released_capacity(self) -> None:
        """Wake the requests that wait for a chain with free capacity."""
        self.path_dispatcher.signal_release()
