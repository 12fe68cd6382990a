"""Tests of the status command."""

import trio

from basilwinch.platform import MetadataStore
from basilwinch.platform.status import collect_status, main


def test_status_shows_configuration_servers_layout_and_lease(run_with):
    async def test(site):
        await site.wait_until(lambda: "basilwinch/layout/llm" in site.platform.items)
        status = await collect_status(MetadataStore("127.0.0.1", site.platform.port))
        assert status["configuration"] == {
            "version": 3,
            "routes": 3,
            "services": ["llm", "plain"],
        }
        assert len(status["servers"]) == 6
        assert status["leases"] == {"layout": "n1"}
        assert len(status["layouts"]["llm"]) == 2

    run_with(test)


def test_status_reports_a_store_that_does_not_answer(capsys):
    assert main(["127.0.0.1:1"]) == 1
    assert "platform_unavailable" in capsys.readouterr().err


def test_status_command_runs_its_own_event_loop(run_with, capsys):
    async def test(site):
        args = [f"127.0.0.1:{site.platform.port}"]
        assert await trio.to_thread.run_sync(main, args) == 0
        assert "configuration 3, 3 routes" in capsys.readouterr().out

    run_with(test)


def test_status_shows_what_can_be_read_beside_what_cannot(run_with):
    """Guards against a command that shows nothing because of one malformed record."""

    async def test(site):
        site.platform.put("basilwinch/layout/odd", b"[" * 100_000)
        site.platform.put("basilwinch/lease/odd/holder", b'{"owner": 1}')
        site.platform.put("servers/odd", b"[" * 100_000)
        status = await collect_status(MetadataStore("127.0.0.1", site.platform.port))
        assert len(status["servers"]) == 6
        assert "malformed_document" in status["layouts"]["odd"]
        assert "malformed_document" in status["leases"]["odd"]

    run_with(test)
