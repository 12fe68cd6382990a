"""Construction, start and shutdown of one entry node."""

import random
from functools import partial

import prometheus_client
import structlog
import trio

from basilwinch.catalog import Server
from basilwinch.daemon.cluster import build_follower, build_membership, track_members
from basilwinch.daemon.core import CoreConfig, ExternalSystems, NodeCore
from basilwinch.daemon.embedded import EmbeddedPlatform, plan_placements
from basilwinch.daemon.holding import build_holding_note
from basilwinch.daemon.placement_task import PlacementTask
from basilwinch.daemon.server import drain_gateway, serve_application, wait_for_signal
from basilwinch.exception import INVALID_SETTING, ConfigurationError, Failure
from basilwinch.gateway import (
    ChatHandler,
    Gateway,
    GatewayConfig,
    GatewayMetrics,
    NodeView,
    PlainHandler,
    RequestIds,
)
from basilwinch.membership import Membership
from basilwinch.release import Publisher, ReleaseNote, State, read_note_file
from basilwinch.server import HttpEngineClient, HttpServiceClient
from basilwinch.settings import Settings
from basilwinch.store.etcd import EtcdConfig, EtcdStore

__all__ = ["Node"]


class Node:
    """One entry node.

    :param settings: settings of the daemon
    :param core: components that decide about requests
    :param gateway: ASGI application
    :param tasks: background tasks, each an async function without arguments
    """

    __slots__ = ("settings", "core", "gateway", "tasks", "membership", "_log")

    def __init__(self, settings: Settings, core: NodeCore, gateway: Gateway, tasks):
        self.settings = settings
        self.core = core
        self.gateway = gateway
        #: All background tasks of the node.
        self.tasks = [*tasks, core.run, core.orders.maintain]
        #: Membership in the cluster, None for a node without peers.
        self.membership: Membership | None = None
        self._log = structlog.get_logger("daemon")

    @classmethod
    async def from_config(cls, settings: Settings, rng: random.Random) -> "Node":
        """Build a node.

        :param settings: settings of the daemon
        :param rng: source of random choices
        :raises BasilwinchError: if its settings or its release note are not valid
        """
        if settings.embedded:
            return await cls._build_embedded(settings, rng)
        if settings.platform is None:
            reason = (
                "--platform: expected an address, got none; it may be empty only with --embedded"
            )
            raise ConfigurationError(INVALID_SETTING.because(reason, faults=[reason]))
        return await cls._build_connected(settings, rng)

    @classmethod
    async def _build_connected(cls, settings: Settings, rng: random.Random) -> "Node":
        ip, port = settings.platform
        host = f"[{ip}]" if ":" in ip else ip
        store = EtcdStore.from_config(EtcdConfig((f"http://{host}:{port}",)))
        find_server = _ServerFinder()
        engines = HttpEngineClient.from_config(find_server, settings.slots)
        services = HttpServiceClient.from_config(settings.slots)
        core = _build_core(settings, ExternalSystems(store, engines, services))
        find_server.core = core
        membership = None
        if settings.peer_listen is None:
            tasks = [build_follower(core, store, rng).run]
        else:
            membership = await build_membership(settings, core, rng)
            core.check_synced = partial(_check_synced, membership)
            tasks = [membership.run, partial(track_members, core, membership)]
        tasks.append(PlacementTask(core, rng).run)
        node = cls(settings, core, _build_gateway(settings, core), tasks)
        node.membership = membership
        return node

    @classmethod
    async def _build_embedded(cls, settings: Settings, rng: random.Random) -> "Node":
        note = read_note_file(settings.note)
        if isinstance(note, list):
            raise ConfigurationError(note[0])
        platform = EmbeddedPlatform(rng.getrandbits(31))
        publisher = Publisher(platform.store, rng, author=settings.name)
        state = await _publish(publisher, note)
        platform.start_servers(state.catalog)
        core = _build_core(
            settings, ExternalSystems(platform.store, platform.client, platform.client)
        )
        placements = plan_placements(state.catalog, settings.seed, core.decision_log)
        platform.engines.place(placements.values())
        state = await _publish(publisher, build_holding_note(state.catalog, placements.values()))
        core.replica.apply_state(state)
        core.apply()
        return cls(settings, core, _build_gateway(settings, core), [platform.run])

    async def run(self) -> None:
        """Serve callers until SIGTERM or SIGINT, then drain and return."""
        shutdown = trio.Event()
        async with trio.open_nursery() as nursery:
            for task in self.tasks:
                nursery.start_soon(task)
            bound = await nursery.start(
                serve_application, self.gateway, [self.settings.listen], shutdown
            )
            self._log.info("serving callers", addresses=bound, revision=self.core.catalog.revision)
            await wait_for_signal()
            if self.membership is not None:
                await self.membership.leave()
            drained = await drain_gateway(
                self.gateway, self.settings.drain_delay, self.settings.drain_timeout
            )
            await self.core.orders.flush()
            if self.membership is not None:
                await self.membership.stop()
            self._log.info(
                "node stopped", drained=drained, open_requests=self.gateway.open_requests
            )
            shutdown.set()
            nursery.cancel_scope.cancel()


async def _publish(publisher: Publisher, note: ReleaseNote) -> State:
    publication = await publisher.publish(note)
    if not publication:
        raise ConfigurationError(publication)
    return await publisher.refresh()


def _check_synced(membership: Membership) -> Failure | None:
    ready = membership.ready()
    return ready if isinstance(ready, Failure) else None


class _ServerFinder:
    """Finds servers in the catalog of a core.

    ``core`` is set later, as the engine client needs the finder before the core exists.
    """

    __slots__ = ("core",)

    def __call__(self, name: str) -> Server | None:
        return self.core.catalog.servers.get(name)


def _build_core(settings: Settings, external: ExternalSystems) -> NodeCore:
    name = settings.name or "{}:{}".format(*settings.listen)
    config = CoreConfig(name, settings.zone, settings.region, settings.slots, settings.seed)
    registry = prometheus_client.CollectorRegistry()
    prometheus_client.ProcessCollector(registry=registry)
    return NodeCore.from_config(config, external, registry)


def _build_gateway(settings: Settings, core: NodeCore) -> Gateway:
    metrics = GatewayMetrics(core.registry)
    chat = ChatHandler(core.admission, core.relay, metrics, lambda: core.catalog)
    plain = PlainHandler(core.dispatcher, core.orders, lambda: core.catalog)
    config = GatewayConfig(settings.body_limit, settings.body_timeout, settings.deadline)
    view = NodeView(lambda: core.catalog, core.check_ready, core.describe)
    id_prefix = f"{core.config.name}-{settings.seed:x}".replace(":", ".")
    return Gateway(config, view, chat, plain, metrics, RequestIds(id_prefix))
