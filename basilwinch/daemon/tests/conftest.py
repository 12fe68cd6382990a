"""Shared fixtures of the daemon's tests."""

import contextlib
import random

import httpcore
import pytest
import trio

from basilwinch.daemon.node import Node
from basilwinch.daemon.server import serve_application
from basilwinch.settings import DAEMON_SETTINGS, read_settings

KEY = "example-key-bharat-press"


class Client:
    """Sends requests to a node under test."""

    def __init__(self, base, node):
        self.base = base
        self.node = node
        self.pool = httpcore.AsyncConnectionPool()

    async def request(self, method, path, key=KEY, body=b"", headers=()):
        pairs = [("authorization", f"Bearer {key}"), *headers]
        return await self.pool.request(method, self.base + path, headers=pairs, content=body)


@contextlib.asynccontextmanager
async def run_node(**flags):
    """Run an embedded node on a free port and yield a client of it."""
    texts = {"embedded": "true", "seed": "7", "listen": "127.0.0.1:0"} | flags
    settings = read_settings(DAEMON_SETTINGS, texts, {})
    node = await Node.from_config(settings, random.Random(7))
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        for task in node.tasks:
            nursery.start_soon(task)
        bound = await nursery.start(serve_application, node.gateway, [settings.listen], shutdown)
        client = Client(bound[0], node)
        yield client
        await client.pool.aclose()
        nursery.cancel_scope.cancel()


@pytest.fixture
def with_node():
    """Return a function that runs an async function with a client of an embedded node."""

    def run(function, **flags):
        async def main():
            with trio.fail_after(30):
                async with run_node(**flags) as client:
                    return await function(client)

        return trio.run(main)

    return run
