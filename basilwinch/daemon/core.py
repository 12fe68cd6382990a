"""The components of one node that decide about requests, and the state that they share."""

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
from basilwinch.relay import Relay, RelayConfig
from basilwinch.release import Replica
from basilwinch.routing import ChainRouter, RoutingConfig
from basilwinch.service import ServiceDispatcher
from basilwinch.suspicion import SuspectConfig, SuspectRegistry

__all__ = ["CoreConfig", "ExternalSystems", "NodeCore"]

# Publishing a revision takes seconds, so a further delay of 0.1 s does not matter.
APPLY_INTERVAL_S = 0.1


class ExternalSystems(Record):
    """Clients of the systems that a node depends on.

    :param store: client of the key-value service
    :param engines: client of model engines
    :param services: client of plain services
    """

    __slots__ = ("store", "engines", "services")


class CoreConfig(Record):
    """Settings of the components of a node.

    :param name: name of this node
    :param zone: availability zone of this node
    :param region: region of this node
    :param slots: maximum number of model requests in progress on this node
    :param seed: seed of random choices
    :param write_lines: whether to write a log line for each decision
    """

    __slots__ = ("name", "zone", "region", "slots", "seed", "write_lines")
    _defaults = {"slots": 4096, "seed": 0, "write_lines": True}


class NodeCore:
    """Components of a node: state in effect, admission, routing, relay and orders.

    :param config: settings
    :param external: clients of the systems that the node depends on
    :param registry: registry of metrics
    :param replica: the state that this node has received
    :param wall_clock: returns seconds since the epoch
    """

    __slots__ = (
        "config",
        "external",
        "replica",
        "catalog",
        "router",
        "admission",
        "suspects",
        "relay",
        "dispatcher",
        "orders",
        "placements",
        "node_count",
        "decision_log",
        "registry",
        "_applied",
        "_applied_holdings",
        "_order_query_paths",
        "check_synced",
        "announce_leaving",
        "may_peers_reach_platform",
        "_log",
    )

    def __init__(
        self,
        config: CoreConfig,
        external: ExternalSystems,
        registry,
        replica: Replica,
        wall_clock: Callable,
    ):
        rng = random.Random(config.seed)
        self.config = config
        self.external = external
        self.registry = registry
        self.decision_log = DecisionLog(registry, config.write_lines)
        self.replica = replica
        routing = RoutingConfig(node=config.name, zone=config.zone, region=config.region)
        self.router = ChainRouter.from_config(routing, rng, self.decision_log)
        self.admission = Admission.from_config(AdmissionConfig(), self.decision_log)
        self.suspects = SuspectRegistry(SuspectConfig(node=config.name), self.decision_log)
        self.relay = Relay.from_config(
            RelayConfig(), self.router, external.engines, self.suspects, rng, self.decision_log
        )
        self.dispatcher = ServiceDispatcher(external.services, rng, self.decision_log)
        #: Paths for asking a service whether an order ran, by service; taken from the catalog.
        self._order_query_paths: dict[str, str] = {}
        self.orders = OrderRunner.from_config(
            OrderConfig(node=config.name, query_paths=self._order_query_paths),
            external.store,
            external.services,
            rng,
            self.decision_log,
            wall_clock,
            lambda service: self.dispatcher.candidates(service, trio.current_time()),
            lambda: self.may_peers_reach_platform(),
        )
        #: The catalog that all components use; :meth:`apply` replaces it in all of them at once.
        self.catalog = Catalog()
        self.placements: dict[str, Placement] = {}
        self.node_count = 1
        #: Returns whether another node may reach the platform while this one does not.
        self.may_peers_reach_platform: Callable[[], bool] = lambda: False
        #: Called on each pass of :meth:`run`; sends newly leaving servers to the other nodes.
        self.announce_leaving: Callable[[], None] = lambda: None
        #: Returns a ``Failure`` until the node knows that it has held the newest revision once
        #: since its start, else None.
        self.check_synced: Callable[[], Failure | None] = lambda: None
        self._applied: tuple | None = None
        self._applied_holdings: object = None
        self._log = structlog.get_logger("node")

    @classmethod
    def from_config(
        cls,
        config: CoreConfig,
        external: ExternalSystems,
        registry: prometheus_client.CollectorRegistry | None = None,
        replica: Replica | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> "NodeCore":
        """Build the components of a node.

        :param config: settings
        :param external: clients of the systems that the node depends on
        :param registry: registry of metrics, a new one by default
        :param replica: the state that this node has received, empty by default
        :param wall_clock: returns seconds since the epoch
        """
        registry = registry or prometheus_client.CollectorRegistry()
        return cls(config, external, registry, replica or Replica(), wall_clock)

    def check_ready(self) -> Failure | None:
        """Return a ``Failure`` until a first revision is in effect and :attr:`check_synced` holds.

        Without peers ``check_synced`` always holds.
        """
        if self.catalog.revision == 0:
            return NOT_READY.because("no revision is in effect yet", retry_after=1.0)
        return self.check_synced()

    def describe(self) -> dict:
        """Return the JSON document of ``/admin/state``."""
        failure = self.check_ready()
        return {
            "name": self.config.name,
            "zone": self.config.zone,
            "region": self.config.region,
            "revision": self.catalog.revision,
            "revision_id": self.replica.revision_id,
            "ready": failure is None,
            "nodes": self.node_count,
            "requests_in_progress": self.relay.in_progress,
            "stages": {name: len(p.stages) for name, p in sorted(self.placements.items())},
        }

    def apply(self) -> None:
        """Put the state of the replica in effect in all components."""
        now = trio.current_time()
        catalog = self.catalog = self.replica.catalog
        if catalog.holdings is not self._applied_holdings:
            self._applied_holdings = catalog.holdings
            self.placements = read_placements(catalog)
        self._applied = (catalog.revision, self.node_count)
        self.router.update(catalog, self.placements, now)
        self.admission.update(catalog.organisations, self.node_count, now)
        self.relay.update(catalog)
        self.dispatcher.update(catalog)
        self._order_query_paths.clear()
        for name, service in catalog.services.items():
            if service.order_query:
                self._order_query_paths[name] = service.order_query
        for model in catalog.models:
            slots = min(self.config.slots, self.router.capacity(model))
            self.admission.set_capacity(model, max(1, slots))
        self._log.info("state applied", revision=catalog.revision, nodes=self.node_count)

    async def run(self) -> None:
        """Apply new revisions and changes in the number of nodes, until cancelled."""
        while True:
            if self._applied != (self.replica.revision, self.node_count):
                self.apply()
            self.announce_leaving()
            await trio.sleep(APPLY_INTERVAL_S)
