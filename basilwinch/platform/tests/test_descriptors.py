"""Tests of a node that has no file descriptor left."""

import resource

import pytest
import trio

from basilwinch.view import read_boot_clock


@pytest.fixture
def descriptor_limit():
    """Return a function that sets the limit on open files, which is restored after the test."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)

    def set_limit(soft: int | None = None) -> None:
        new = limits if soft is None else (soft, limits[1])
        resource.setrlimit(resource.RLIMIT_NOFILE, new)

    yield set_limit
    set_limit()


def test_node_outlives_a_lack_of_descriptors(run_with, descriptor_limit):
    """Guards against a task of the node that ends the whole process, as it can't open a file."""

    async def test(site):
        descriptor_limit(3)
        site.platform.close_store_connections()
        site.node._pool.close_all_idle()
        site.node._monitor._notify_doubt()
        await trio.sleep(3.0)
        descriptor_limit()
        await site.wait_until(lambda: site.node.view.age(read_boot_clock()) < 1.0)
        await site.wait_until(lambda: not site.node._links.is_disconnected)
        assert (await site.call(b"GET", b"/safe/x", b"r1"))[0] == 200

    run_with(test)
