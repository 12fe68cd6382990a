"""Fixtures: an entry node connected to the stand-in platform."""

import contextlib

import pytest
import trio

from basilwinch.entry.node import EntryNode
from basilwinch.entry.settings import Address, Bounds, EntrySettings
from basilwinch.exception import ServerError
from basilwinch.platform import Dialect, MetadataStore, decode_configuration, decode_server
from basilwinch.platform.documents import CONFIGURATION_KEY, SERVERS_PREFIX
from basilwinch.platform.tests.site import make_configuration
from basilwinch.platform.tests.standin import StandinPlatform
from basilwinch.standin.port import find_free_port
from basilwinch.view.source import ViewSource
from basilwinch.wire import connect

KEY = "key-1"
HOSTS = ["127.0.0.41", "127.0.0.42", "127.0.0.43"]  # nodes of a fleet


@pytest.fixture
def configuration():
    return make_configuration() | {"tenants": [{"name": "org", "api-keys": [KEY]}]}


class Site:
    """A running node with its stand-in platform."""

    def __init__(self, platform, node, settings, nursery):
        self.platform = platform
        self.node = node
        self.settings = settings
        self.nursery = nursery

    async def call(self, method, path, request_id, body=b"", key=KEY, headers=(), deadline_ms=1500):
        """Send a request; return status, header and body."""
        front = self.settings.front
        connection = await connect(front.host, front.port, 1.0)
        try:
            header = [
                (b"Host", b"h.example"),
                (b"X-Request-Id", request_id),
                (b"X-Deadline-Ms", b"%d" % deadline_ms),
                (b"X-Credential", key.encode()),
                (b"Content-Length", b"%d" % len(body)),
                *headers,
            ]
            await connection.send(method, path, header, body)
            response = await connection.receive_head()
            body = await connection.receive_body(1 << 20)
            return response.status_code, dict(response.headers), body
        finally:
            connection.close()

    async def wait_until(self, condition):
        """Wait until a condition holds."""
        with trio.fail_after(10):
            while not condition():
                await trio.sleep(0.02)

    async def read_readiness(self) -> int:
        """Return the HTTP status of the readiness endpoint."""
        connection = await connect(self.settings.ready.host, self.settings.ready.port, 1.0)
        try:
            await connection.send(b"GET", b"/-/readyz", [], b"")
            return (await connection.receive_head()).status_code
        finally:
            connection.close()


def start_node(platform, nursery, name, host, peer_port, zone="z0"):
    """Start a node; return it with its settings and a scope that ends it."""
    address = [Address(host, find_free_port()) for _ in range(3)]
    bounds = Bounds(4.0, 5.0, True, 0.2, 10.0, 100, 2.0, 2.0, 3.0, 1.2)
    settings = EntrySettings(name, zone, host, *address, peer_port, None, bounds)
    store = MetadataStore("127.0.0.1", platform.port)
    source = ViewSource(
        store, CONFIGURATION_KEY, SERVERS_PREFIX, decode_configuration, decode_server
    )
    node = EntryNode.from_config(settings, store, source, Dialect(), seed=1)
    scope = trio.CancelScope()

    async def run():
        with scope:
            await node.run()

    nursery.start_soon(run)
    return node, settings, scope


@contextlib.asynccontextmanager
async def run_site(configuration, plain=2, chains=2):
    """Run a node with plain servers and with chains of two members each."""
    async with trio.open_nursery() as nursery:
        platform = StandinPlatform(configuration)
        await platform.start(nursery)
        for number in range(plain):
            await platform.add_server(nursery, f"p{number}", "plain")
        for number in range(chains * 2):
            await platform.add_server(nursery, f"c{number}", "llm", "card")
        node, settings, _ = start_node(platform, nursery, "n1", "127.0.0.1", find_free_port())
        site = Site(platform, node, settings, nursery)
        await site.wait_until(lambda: node.view.configuration is not None)
        await site.wait_until(lambda: all(s.layers for s in platform.servers if s.kind))
        llm = [s.id for s in platform.servers if s.kind]
        await site.wait_until(lambda: all(node.view.servers[s].layers for s in llm))
        await _wait_for_front(settings)
        yield site
        nursery.cancel_scope.cancel()


async def _wait_for_front(settings):
    for _ in range(100):
        with contextlib.suppress(ServerError):
            (await connect(settings.front.host, settings.front.port, 0.5)).close()
            return
        await trio.sleep(0.02)


@pytest.fixture
def run_with(configuration):
    """Return a function that runs an async test with a site."""

    def run(test, **options):
        async def main():
            with trio.fail_after(30):
                async with run_site(configuration, **options) as site:
                    await test(site)

        trio.run(main)

    return run


class Fleet:
    """Three nodes of one platform: ``sites`` in the order of ``HOSTS``, and scopes to end them."""

    def __init__(self, platform, sites, scopes):
        self.platform = platform
        self.sites = sites
        self.scopes = scopes

    async def cut(self, numbers, how):
        """Cut nodes from all servers, and wait until they know it."""
        for number in numbers:
            self.platform.cut_node(HOSTS[number], how)
        nodes = [self.sites[number].node for number in numbers]
        await self.sites[0].wait_until(lambda: all(n._links.is_disconnected for n in nodes))

    async def heal(self, numbers):
        for number in numbers:
            self.platform.heal_node(HOSTS[number])
        nodes = [self.sites[number].node for number in numbers]
        await self.sites[0].wait_until(lambda: not any(n._links.is_disconnected for n in nodes))

    def count_runs(self, request_id) -> int:
        return sum(server.runs.count(request_id) for server in self.platform.servers)


@pytest.fixture
def run_fleet(run_with):
    """Return a function that runs an async test with a :class:`Fleet`."""

    def run(test):
        async def with_fleet(site):
            port = find_free_port()
            sites, scopes = [], []
            for number, host in enumerate(HOSTS):
                node, settings, scope = start_node(
                    site.platform, site.nursery, f"node-{number}", host, port
                )
                sites.append(Site(site.platform, node, settings, site.nursery))
                scopes.append(scope)
            for other in sites:
                await site.wait_until(lambda other=other: other.node.view.configuration is not None)
                await site.wait_until(lambda other=other: other.node._peers.count_peers() >= 3)
                await site.wait_until(lambda other=other: len(other.node.view.servers) == 6)
            # The node of the fixture has another port, so it carries nothing.
            for other in sites:
                other.node._carriers.remove("n1")
            await test(Fleet(site.platform, sites, scopes))

        run_with(with_fleet)

    return run
