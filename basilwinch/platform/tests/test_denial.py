"""Tests of refusals that the configuration decides, while the node's view may be out of date."""

import json

import pytest
import trio

from basilwinch.platform.tests.conftest import KEY
from basilwinch.view import read_boot_clock

_DENIALS = (401, 403, 404)
_CONFIG_APPLY_S = 2.0  # time within which a new configuration must be in force
_STABLE_S = 3.0  # time after a disturbance until that must hold again


def _add_route_and_key(site, configuration) -> None:
    """Write a configuration with the route ``/added/`` and the key ``added``."""
    route = configuration["routes"][0] | {"name": "added", "prefix": "/added/"}
    newer = configuration | {
        "version": configuration["version"] + 4,
        "routes": [*configuration["routes"], route],
        "tenants": [*configuration["tenants"], {"name": "late", "api-keys": ["added"]}],
    }
    site.platform.put("op/config", json.dumps(newer).encode())


async def _collect_statuses(site, from_s: float, to_s: float) -> set[int]:
    """Send requests for the added route and with the added key; return their statuses.

    :param from_s: seconds from now at which the first ones are sent
    :param to_s: seconds from now after which no more are sent
    """
    end = trio.current_time() + to_s
    await trio.sleep(from_s)
    statuses = set()
    number = 0
    while trio.current_time() < end:
        number += 1
        statuses.add((await site.call(b"GET", b"/added/a", b"a%d" % number, key=KEY))[0])
        statuses.add((await site.call(b"GET", b"/safe/a", b"b%d" % number, key="added"))[0])
        await trio.sleep(0.1)
    return statuses


@pytest.mark.parametrize("outage_status", [0, 503, 429])
def test_node_cut_from_the_store_denies_no_route_or_key(run_with, configuration, outage_status):
    """Guards against a final 404 or 401 for what was added while the node was cut from the store.

    Its peers serve it, so the caller must be told to come back.
    """

    async def test(site):
        site.platform.outage_status = outage_status
        _add_route_and_key(site, configuration)
        statuses = await _collect_statuses(site, _CONFIG_APPLY_S, 6.0)
        assert statuses == {503}
        site.platform.outage_status = None
        await site.wait_until(lambda: site.node.view.age(read_boot_clock()) < 1.0)
        assert await _collect_statuses(site, 0.0, 0.3) == {200}

    run_with(test)


def test_unknown_route_and_key_are_denied_while_the_view_is_confirmed(run_with):
    """Guards against a request for an unknown route that is asked to come back for ever."""

    async def test(site):
        for number in range(20):
            status = (await site.call(b"GET", b"/none/a", b"a%d" % number))[0]
            assert status == 404
            status = (await site.call(b"GET", b"/safe/a", b"b%d" % number, key="none"))[0]
            assert status == 401
            await trio.sleep(0.2)

    run_with(test)


def test_node_that_has_not_read_all_keys_denies_nothing(run_with, configuration):
    """Guards against a 404 of a node whose first read of the store broke off after the
    configuration, however long ago that was."""

    async def test(site):
        site.node.view.confirmed_at = float("-inf")
        site.platform.outage_status = 503
        assert (await site.call(b"GET", b"/none/a", b"r1"))[0] == 503

    run_with(test)


def test_change_is_in_force_soon_after_all_connections_fell_silent(run_with, configuration):
    """Guards against a node that waits for one dead connection to the store after the other.

    The connections are not reset, and new ones work.
    """

    async def test(site):
        for number in range(5):
            # The connections fall silent at another time between two queries of the revision.
            await trio.sleep(2.0 + number / 5)
            site.platform.silence_connections()
            configuration["version"] += 1
            _add_route_and_key(site, configuration)
            await trio.sleep(_STABLE_S)
            assert site.node.view.configuration.version == configuration["version"] + 4
        assert await _collect_statuses(site, 0.0, 0.5) == {200}

    run_with(test)


def test_view_is_confirmed_soon_after_all_connections_fell_silent(run_with):
    """Guards against a node that refuses known keys, or is not ready, though the store answers."""

    async def test(site):
        for _ in range(3):
            await trio.sleep(1.7)
            site.platform.silence_connections()
            await trio.sleep(_STABLE_S)
            assert await site.read_readiness() == 200

    run_with(test)
