"""Tests of a node whose ports get connections that are reset before it accepts them."""

import pytest

HEAD = b"GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\n\r\n"


@pytest.mark.parametrize("sent", [b"", HEAD[:20], HEAD, b"\0" * 4000])
def test_node_outlives_connections_reset_before_they_are_accepted(
    run_with, reset_connections, sent
):
    """Guards against the error of one connection that ends the whole process (LOST)."""

    async def test(site):
        settings = site.settings
        addresses = [settings.front, settings.ready, settings.metrics]
        ports = [(address.host, address.port) for address in addresses]
        ports.append((settings.ip, settings.peer_port))
        for _ in range(2):
            for host, port in ports:
                reset_connections(host, port, sent)
            status, _, _ = await site.call(b"GET", b"/safe/x", b"r2")
            assert status == 200
        assert await site.read_readiness() == 200

    run_with(test)
