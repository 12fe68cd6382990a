"""The decision parts of one node and the state in effect that they share."""

import random
import time
from collections.abc import Callable

import prometheus_client
import structlog
import trio

from basilwinch.admission import Admission, AdmissionConfig
from basilwinch.catalog import Catalog
from basilwinch.exception import NOT_READY, Failure
from basilwinch.observability import DecisionLog
from basilwinch.order import OrderConfig, OrderRunner
from basilwinch.pipeline import Placement
from basilwinch.placement import read_placements
from basilwinch.record import Record
from basilwinch.relay import Relay, RelayConfig, SuspectConfig, SuspectRegistry
from basilwinch.release import Replica
from basilwinch.routing import ChainRouter, RoutingConfig
from basilwinch.service import ServiceDispatcher

__all__ = ["CoreConfig", "NodeCore", "Outside"]

# Revisions are seconds in the making; a tenth of a second more does not count.
APPLY_EVERY_S = 0.1


class Outside(Record):
    """The systems around a node.

    :param store: key-value service
    :param engines: client of model engines
    :param services: client of plain services
    """

    __slots__ = ("store", "engines", "services")


class CoreConfig(Record):
    """Settings of the decision parts.

    :param name: name of this node
    :param zone: availability zone of this node
    :param region: region of this node
    :param slots: model requests in progress on this node at most
    :param seed: seed of random choices
    :param write_lines: whether each decision writes a log line
    """

    __slots__ = ("name", "zone", "region", "slots", "seed", "write_lines")
    _defaults = {"slots": 4096, "seed": 0, "write_lines": True}


class NodeCore:
    """Decision parts of a node: state in effect, admission, routing, relay, orders.

    :param config: settings
    :param outside: systems around the node
    :param registry: registry of metrics
    """

    __slots__ = (
        "config",
        "outside",
        "replica",
        "catalog",
        "router",
        "admission",
        "suspects",
        "relay",
        "dispatcher",
        "orders",
        "placements",
        "nodes",
        "log",
        "registry",
        "_applied",
        "_holdings",
        "_queries",
        "find_unsynced",
        "watch_leaving",
        "peers_reach_platform",
        "_structlog",
    )

    def __init__(
        self, config: CoreConfig, outside: Outside, registry, replica: Replica, wall_clock: Callable
    ):
        rng = random.Random(config.seed)
        self.config = config
        self.outside = outside
        self.registry = registry
        self.log = DecisionLog(registry, config.write_lines)
        self.replica = replica
        routing = RoutingConfig(node=config.name, zone=config.zone, region=config.region)
        self.router = ChainRouter.from_config(routing, rng, self.log)
        self.admission = Admission.from_config(AdmissionConfig(), self.log)
        self.suspects = SuspectRegistry(SuspectConfig(node=config.name), self.log)
        self.relay = Relay.from_config(
            RelayConfig(), self.router, outside.engines, self.suspects, rng, self.log
        )
        self.dispatcher = ServiceDispatcher(outside.services, rng, self.log)
        #: Paths that tell whether an order ran, by service; filled from the catalog.
        self._queries: dict[str, str] = {}
        self.orders = OrderRunner.from_config(
            OrderConfig(node=config.name, query_paths=self._queries),
            outside.store,
            outside.services,
            rng,
            self.log,
            wall_clock,
            lambda service: self.dispatcher.candidates(service, trio.current_time()),
            lambda: self.peers_reach_platform(),
        )
        #: The state that all parts use; it follows the replica as a whole, see :meth:`apply`.
        self.catalog = Catalog()
        self.placements: dict[str, Placement] = {}
        self.nodes = 1
        #: Tells whether another node may reach the platform while this one does not.
        self.peers_reach_platform: Callable[[], bool] = lambda: False
        #: Called in each round, to pass on newly leaving servers.
        self.watch_leaving: Callable[[], None] = lambda: None
        #: Returns a ``Failure`` while the node may hold an old state, else None.
        self.find_unsynced: Callable[[], Failure | None] = lambda: None
        self._applied: tuple | None = None
        self._holdings: object = None
        self._structlog = structlog.get_logger("node")

    @classmethod
    def from_config(
        cls,
        config: CoreConfig,
        outside: Outside,
        registry: prometheus_client.CollectorRegistry | None = None,
        replica: Replica | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> "NodeCore":
        """Build the decision parts.

        :param config: settings
        :param outside: systems around the node
        :param registry: registry of metrics, new by default
        :param replica: state in effect, empty by default
        :param wall_clock: returns seconds since the epoch
        """
        registry = registry or prometheus_client.CollectorRegistry()
        return cls(config, outside, registry, replica or Replica(), wall_clock)

    def check_ready(self) -> Failure | None:
        """Return ``NOT_READY`` until a first revision is in effect and known to be the newest."""
        if self.catalog.revision == 0:
            return NOT_READY.because("no release note is in effect yet", retry_after=1.0)
        return self.find_unsynced()

    def describe(self) -> dict:
        """Return what operators see under ``/admin/state``."""
        unready = self.check_ready()
        return {
            "name": self.config.name,
            "zone": self.config.zone,
            "region": self.config.region,
            "revision": self.catalog.revision,
            "revision_id": self.replica.revision_id,
            "ready": unready is None,
            "nodes": self.nodes,
            "requests_in_progress": self.relay.in_progress,
            "stages": {name: len(p.stages) for name, p in sorted(self.placements.items())},
        }

    def apply(self) -> None:
        """Bring all parts to the state in effect."""
        now = trio.current_time()
        catalog = self.catalog = self.replica.catalog
        if catalog.holdings is not self._holdings:
            self._holdings = catalog.holdings
            self.placements = read_placements(catalog)
        self._applied = (catalog.revision, self.nodes)
        self.router.update(catalog, self.placements, now)
        self.admission.update(catalog.organisations, self.nodes, now)
        self.relay.update(catalog)
        self.dispatcher.update(catalog)
        self._queries.clear()
        for name, service in catalog.services.items():
            if service.order_query:
                self._queries[name] = service.order_query
        for model in catalog.models:
            slots = min(self.config.slots, self.router.capacity(model))
            self.admission.set_capacity(model, max(1, slots))
        self._structlog.info("revision applied", revision=catalog.revision, nodes=self.nodes)

    async def run(self) -> None:
        """Apply new revisions until cancelled."""
        while True:
            if self._applied != (self.replica.revision, self.nodes):
                self.apply()
            self.watch_leaving()
            await trio.sleep(APPLY_EVERY_S)
