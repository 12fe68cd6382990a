"""Tests of the command-line tool."""

import io
import json
import os
import pathlib
import random

import hypercorn
import hypercorn.trio
import pytest
import trio
import trio.testing

from basilwinch.cli.arguments import split_urls
from basilwinch.cli.context import Context
from basilwinch.cli.nodes import wait_for_revision
from basilwinch.cli.output import ExitCode, Output
from basilwinch.cli.program import build_parser, execute, main
from basilwinch.exception import Failure, catalogue
from basilwinch.release import read_note
from basilwinch.settings import DAEMON_SETTINGS, read_settings
from basilwinch.standin import MemoryKeyValueStore
from basilwinch.standin.etcd import EtcdGateway

EXAMPLE = str(pathlib.Path(__file__).parents[3] / "examples" / "first.toml")


@pytest.fixture
def tool(tmp_path):
    """Return a function that runs the tool on one store; it returns (exit code, text or JSON)."""
    store = MemoryKeyValueStore()
    rng = random.Random(1)

    def run(*argv, note=None):
        if note is not None:
            path = tmp_path / "note.toml"
            path.write_text(note, encoding="utf-8")
            argv = (*argv, str(path))
        args = build_parser().parse_args(argv)
        stream = io.StringIO()
        context = Context(Output(stream, args.json), store, rng, clock=lambda: 0.0)
        clock = trio.testing.MockClock(autojump_threshold=0)
        code = trio.run(execute, args, context, clock=clock)
        text = stream.getvalue()
        return code, json.loads(text) if args.json else text

    run.store = store
    return run


LEAVING = '[[changed.server]]\nname = "howrah-engine-01"\nstate = "leaving"\n'
WITHDRAWN = '[[withdrawn.organisation]]\nname = "সবুজ-পাতা"\n'


def test_operators_read_back_what_they_published(tool):
    """Guards against output that does not match what was published."""
    code, result = tool("publish", "--json", EXAMPLE)
    assert (code, result["revision"], len(result["changes"])) == (0, 1, 53)
    code, text = tool("plan", note=LEAVING)
    assert code == 0 and 'changed    server howrah-engine-01: state "live" -> "leaving"' in text
    assert tool("publish", "--base", "1", note=LEAVING)[0] == 0
    code, text = tool("publish", note=WITHDRAWN)
    assert code == 0 and "accepted as revision 3" in text
    _, result = tool("status", "--json")
    assert result["revision"] == 3 and result["entries"]["servers"] == 36
    assert result["last_note"] == {"added": 0, "changed": 0, "withdrawn": 1}
    _, text = tool("status")
    assert "last note: 0 added, 0 changed, 1 withdrawn" in text and "in effect: added" in text
    _, result = tool("history", "--json")
    assert [note["revision"] for note in result["notes"]] == [3, 2, 1]
    code, text = tool("show", "3")
    assert code == 0 and "withdrawn  organisation সবুজ-পাতা" in text
    _, result = tool("diff", "--json", "1", "3")
    assert [change["verb"] for change in result["changes"]] == ["withdrawn", "changed"]
    _, result = tool("diff", "--json", "3", "1")
    assert [change["verb"] for change in result["changes"]] == ["added", "changed"]
    assert result["changes"][1]["after"] == {"state": "live"}
    _, text = tool("status", "--entries")
    assert len(read_note(text).items) == 52


def test_exit_codes_tell_the_outcomes_apart(tool):
    """Guards against scripts that take a refused or unknown outcome for a success.

    They decide by the exit code.
    """
    code, text = tool("check", note="[[added.modle]]\n")
    assert code == 3 and "note.toml:1: note_unknown_table" in text
    assert tool("check", EXAMPLE, "--first")[0] == 0
    assert tool("publish", note=LEAVING)[0] == 3
    assert tool("publish", "--id", "n1", EXAMPLE)[0] == 0
    assert tool("publish", "--id", "n1", "--json", EXAMPLE)[1]["revision"] == 1
    assert tool("status", "--note", "n1")[0] == 0
    assert tool("status", "--note", "n2")[0] == 8
    assert tool("publish", note=LEAVING)[0] == 0
    code, result = tool("publish", "--json", "--base", "1", note=LEAVING.replace("lea", "Lea"))
    assert code == 3
    code, result = tool("publish", "--json", "--base", "1", note=LEAVING)
    assert code == 4 and result["error"]["detail"]["keys"] == ["server/howrah-engine-01"]
    assert tool("show", "9")[0] == 8 and tool("diff", "0", "9")[0] == 8
    assert tool("publish", "--wait", note=WITHDRAWN)[0] == 2
    tool.store.down()
    assert tool("publish", note=WITHDRAWN)[0] == 5 and tool("status")[0] == 5
    tool.store.up()
    tool.store.lose_requests(1000)
    code, result = tool("publish", "--json", note=WITHDRAWN)
    assert code == 6 and result["error"]["detail"]["note"]


def test_settings_come_from_flags_and_environment(monkeypatch, capsys):
    """Guards against a setting that only the flag or only the variable can change."""
    monkeypatch.setenv("BASILWINCH_PLATFORM", "http://10.0.0.9:2379")
    monkeypatch.setenv("BASILWINCH_JSON", "1")
    args = build_parser().parse_args(["status"])
    assert args.platform == "http://10.0.0.9:2379" and args.json
    assert build_parser().parse_args(["status", "--platform", "x"]).platform == "x"
    monkeypatch.setenv("BASILWINCH_TIMEOUT", "-1")
    with pytest.raises(SystemExit) as caught:
        build_parser().parse_args(["status"])
    assert caught.value.code == 2 and "--timeout" in capsys.readouterr().err
    monkeypatch.delenv("BASILWINCH_TIMEOUT")
    assert main(["status", "--platform", "ftp://127.0.0.1:2379"]) == 2
    assert json.loads(capsys.readouterr().out)["error"]["code"] == "invalid_setting"


def test_one_variable_sets_daemon_and_tool(monkeypatch):
    """Guards against a variable whose value is valid only for the daemon or only for the tool."""
    monkeypatch.setenv("BASILWINCH_PLATFORM", "127.0.0.1:2379")
    daemon = read_settings(DAEMON_SETTINGS, {}, dict(os.environ))
    assert daemon.platform == ("127.0.0.1", 2379)
    args = build_parser().parse_args(["status"])
    assert split_urls(args.platform) == ["http://127.0.0.1:2379"]


def test_the_operator_page_lists_every_code():
    """Guards against codes that are missing in the documentation."""
    page = (pathlib.Path(__file__).parents[3] / "docs/operators/release-notes.md").read_text()
    codes = [kind.code for kind in catalogue() if kind.code.startswith(("note_", "release_"))]
    assert len(codes) > 20
    assert [code for code in codes if f"| `{code}` |" not in page] == []
    assert [code for code in ExitCode if f"| {int(code)} |" not in page] == []


async def _serve(app, task_status):
    config = hypercorn.Config()
    config.bind = ["127.0.0.1:0"]
    config.errorlog = None
    config.graceful_timeout = 0.1
    await hypercorn.trio.serve(
        app, config, shutdown_trigger=trio.sleep_forever, task_status=task_status
    )


def test_the_tool_publishes_over_http_and_waits_for_nodes(capsys):
    """Guards against a tool that works only with the in-memory store."""
    current = {"revision": 0}

    async def node(scope, receive, send):
        if scope["type"] == "lifespan":
            while True:
                message = await receive()
                await send({"type": message["type"] + ".complete"})
        body = json.dumps(current).encode()
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": body})

    async def simulate():
        async with trio.open_nursery() as nursery:
            platform = (await nursery.start(_serve, EtcdGateway(MemoryKeyValueStore())))[0]
            url = (await nursery.start(_serve, node))[0]
            lagging = await wait_for_revision([url], 1, 0.3)
            assert isinstance(lagging, Failure) and lagging.detail["nodes"] == {url: 0}
            current["revision"] = 1
            argv = ["publish", "--platform", platform, "--nodes", url, "--wait", "--json", EXAMPLE]
            assert await trio.to_thread.run_sync(main, argv) == 0
            nursery.cancel_scope.cancel()

    trio.run(simulate)
    result = json.loads(capsys.readouterr().out)
    assert result["revision"] == 1 and list(result["nodes"].values()) == [1]


@pytest.mark.parametrize("target", ["127.0.0.1:8080", "http://127.0.0.1:8080", "http://node-1:80/"])
def test_load_takes_an_address_or_a_url(target):
    """Guards against a URL that is used as a host name, so that each call fails to connect."""
    args = build_parser().parse_args(["load", "--target", target])
    assert args.target == target.removeprefix("http://").rstrip("/")


@pytest.mark.parametrize("target", ["127.0.0.1", "https://a:1", "http://a:1/v1", "a:b", ""])
def test_load_refuses_other_targets_at_start(target, capsys):
    with pytest.raises(SystemExit) as info:
        build_parser().parse_args(["load", "--target", target])
    assert info.value.code == 2
    assert "--target" in capsys.readouterr().err
