"""What all forwarders share."""

import trio

from basilwinch.forward.context import Context

__all__ = ["Services"]

# With reports less often than this, other nodes send several requests unseen between two of them.
_RARE_REPORTS_S = 0.5


class Services:
    """Shared parts of the forwarders.

    :param view: :class:`~basilwinch.view.View`
    :param pool: connections to servers
    :param dialect: spelling of header fields
    :param selection: :class:`~basilwinch.forward.selection.ServerSelection`
    :param budget: :class:`~basilwinch.forward.budget.RetryBudget`
    :param load: :class:`~basilwinch.chains.load.FleetLoad`
    :param finder: :class:`~basilwinch.chains.path.PathFinder`
    :param chains: :class:`~basilwinch.chains.chain_selection.ChainSelection`
    :param zone_link: :class:`~basilwinch.chains.zone_link.ZoneLinkBudget`
    :param members: :class:`~basilwinch.forward.members.MemberProbe`
    :param reports: :class:`~basilwinch.forward.reports.ServerReports`
    """

    __slots__ = (
        "view",
        "pool",
        "dialect",
        "selection",
        "budget",
        "load",
        "finder",
        "chains",
        "zone_link",
        "members",
        "reports",
        "freed",
    )

    def __init__(
        self,
        view,
        pool,
        dialect,
        selection,
        budget,
        load,
        finder,
        chains,
        zone_link,
        members,
        reports,
    ):
        self.view = view
        self.pool = pool
        self.dialect = dialect
        self.selection = selection
        self.budget = budget
        self.load = load
        self.finder = finder
        self.chains = chains
        self.zone_link = zone_link
        self.members = members
        self.reports = reports
        self.freed = trio.Event()

    def choose(self, context: Context, tried):
        """Return a plain server that has not been tried, or None."""
        return self.selection.choose(self.servers(context), tried)

    def servers(self, context: Context) -> list:
        """Return the servers of a request's service."""
        return self.view.by_service.get(context.service.name, [])

    def may_cross(self, context: Context, tokens: int) -> bool:
        """Return whether a path of a request may cross between zones."""
        return self.zone_link.allows(tokens * context.service.engine.transfer_s)

    def find_path(self, context: Context, tokens: int, avoid, cross_zones: bool):
        """Return a path with room for a request, or None."""
        engine, prompt = context.service.engine, context.info.prompt_tokens
        if self.load.interval_s > _RARE_REPORTS_S:
            entries = self.view.servers
            name = context.service.name
            choice = self.chains.find(name, entries, engine, tokens, prompt, avoid, cross_zones)
            if choice is not None:
                return choice
        return self.finder.find(self.servers(context), engine, tokens, prompt, avoid, cross_zones)

    def announce_room(self) -> None:
        """Wake the requests that wait for room."""
        self.freed.set()
        self.freed = trio.Event()
