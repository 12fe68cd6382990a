"""Tests of the registration of a node in the store."""

import pytest
import trio

from basilwinch.peers.exchange import NODES_PREFIX
from basilwinch.platform.tests.conftest import start_node

_KEY = NODES_PREFIX + "n2"
_LEASE_S = 12.0


@pytest.mark.parametrize("delay_s", [5.9, 4.4])
def test_node_stays_registered_though_its_first_write_is_done_late(run_with, delay_s):
    """Guards against a node that is unknown to the others until its process ends (RECOVER)."""

    async def test(site):
        platform, port = site.platform, site.settings.peer_port
        platform.late_writes[_KEY] = delay_s
        start = trio.current_time()
        start_node(platform, site.nursery, "n2", "127.0.0.2", port)
        await site.wait_until(lambda: _KEY in platform.items)
        await trio.sleep_until(start + _LEASE_S - 0.5)
        while trio.current_time() < start + _LEASE_S + 2.0:
            platform._expire_leases()
            assert _KEY in platform.items
            assert site.node._peers.count_peers() == 1
            await trio.sleep(0.05)

    run_with(test)
