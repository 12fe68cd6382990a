"""One entry node: its parts, its start and its end."""

import random

import prometheus_client
import structlog
import trio

from basilwinch.daemon.core import CoreConfig, NodeCore, Outside
from basilwinch.daemon.embedded import EmbeddedPlatform, plan_placements
from basilwinch.daemon.server import drain_gateway, serve_application, wait_for_signal
from basilwinch.exception import INVALID_SETTING, ConfigurationError
from basilwinch.gateway import (
    ChatHandler,
    Gateway,
    GatewayConfig,
    GatewayMetrics,
    NodeView,
    PlainHandler,
    RequestIds,
)
from basilwinch.release import Publisher, read_note_file
from basilwinch.settings import Settings

__all__ = ["Node"]


class Node:
    """One entry node.

    :param settings: settings of the daemon
    :param core: decision parts
    :param gateway: ASGI application
    """

    __slots__ = ("settings", "core", "gateway", "tasks", "_log")

    def __init__(self, settings: Settings, core: NodeCore, gateway: Gateway, tasks):
        self.settings = settings
        self.core = core
        self.gateway = gateway
        #: Background tasks, each an async function without arguments.
        self.tasks = [*tasks, core.run, core.orders.maintain]
        self._log = structlog.get_logger("daemon")

    @classmethod
    async def from_config(cls, settings: Settings, rng: random.Random) -> "Node":
        """Build a node.

        :param settings: settings of the daemon
        :param rng: source of random choices
        :raises BasilwinchError: if its release note or its settings do not fit
        """
        if not settings.embedded:
            reason = "--platform is needed unless --embedded is given"
            raise ConfigurationError(INVALID_SETTING.because(reason, faults=[reason]))
        return await cls._embedded(settings, rng)

    @classmethod
    async def _embedded(cls, settings: Settings, rng: random.Random) -> "Node":
        note = read_note_file(settings.note)
        if isinstance(note, list):
            raise ConfigurationError(note[0])
        platform = EmbeddedPlatform(rng.getrandbits(31))
        publisher = Publisher(platform.store, rng)
        publication = await publisher.publish(note)
        if not publication:
            raise ConfigurationError(publication)
        state = await publisher.refresh()
        platform.start_servers(state.catalog)
        core = _build_core(settings, Outside(platform.store, platform.client, platform.client))
        core.replica.adopt(state)
        placements = plan_placements(state.catalog, settings.seed, core.log)
        platform.engines.place(placements.values())
        core.apply(placements)
        return cls(settings, core, _build_gateway(settings, core), [platform.run])

    async def run(self) -> None:
        """Serve callers until a signal comes, then drain and return."""
        shutdown = trio.Event()
        async with trio.open_nursery() as nursery:
            for task in self.tasks:
                nursery.start_soon(task)
            bound = await nursery.start(
                serve_application, self.gateway, [self.settings.listen], shutdown
            )
            self._log.info("serving", addresses=bound, revision=self.core.catalog.revision)
            await wait_for_signal()
            done = await drain_gateway(
                self.gateway, self.settings.drain_delay, self.settings.drain_timeout
            )
            await self.core.orders.flush()
            self._log.info("stopped", drained=done, open=self.gateway.open)
            shutdown.set()
            nursery.cancel_scope.cancel()


def _build_core(settings: Settings, outside: Outside) -> NodeCore:
    name = settings.name or "{}:{}".format(*settings.listen)
    config = CoreConfig(name, settings.zone, settings.region, settings.slots, settings.seed)
    registry = prometheus_client.CollectorRegistry()
    prometheus_client.ProcessCollector(registry=registry)
    return NodeCore.from_config(config, outside, registry)


def _build_gateway(settings: Settings, core: NodeCore) -> Gateway:
    metrics = GatewayMetrics(core.registry)
    chat = ChatHandler(core.admission, core.relay, metrics, lambda: core.catalog)
    plain = PlainHandler(core.dispatcher, core.orders, lambda: core.catalog)
    config = GatewayConfig(settings.body_limit, settings.body_timeout, settings.deadline)
    view = NodeView(lambda: core.catalog, core.find_unready, core.describe)
    boot = f"{core.config.name}-{settings.seed:x}".replace(":", ".")
    return Gateway(config, view, chat, plain, metrics, RequestIds(boot))
