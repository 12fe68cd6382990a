"""Daemon processes under load on loopback: killed, restarted and stopped."""

import signal

import pytest
import trio

from basilwinch.load import Caller, LoadConfig, LoadReporter, generate_load
from bench.processes import API_KEY, Processes, find_base_port

MODEL_NAME = "lekha-small"


@pytest.fixture
def processes(tmp_path):
    with Processes(tmp_path, find_base_port()) as processes:
        processes.start_standins(processes.write_note())
        yield processes


async def run_load(address, seconds, reporter):
    caller = Caller.from_config(address, 256, 30.0)
    config = LoadConfig(
        (API_KEY,), MODEL_NAME, 8.0, seconds, 20, 0.25, "/services/orderdesk/orders"
    )
    await generate_load(config, caller, reporter, None)
    await caller.close()


def test_nodes_are_killed_restarted_and_stopped_under_load(processes):
    """Guards against a node's death that affects callers of other nodes, a restarted node that
    does not serve, and a stop that cuts streams."""
    first, second = processes.start_node(1), processes.start_node(2)
    processes.publish(processes.write_note())
    processes.wait_until_serving(first, MODEL_NAME)
    processes.wait_until_serving(second, MODEL_NAME)
    others, stopped, after = LoadReporter(), LoadReporter(), LoadReporter()

    async def scenario():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_load, second, 6.0, others)
            await trio.sleep(1)
            processes.signal("node1", signal.SIGKILL)
            processes.wait("node1", 10)
            processes.start_node(1)
            await trio.to_thread.run_sync(processes.wait_until_serving, first, MODEL_NAME)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_load, second, 2.0, stopped)
            await trio.sleep(2.0)
            processes.signal("node2", signal.SIGTERM)
        await run_load(first, 2.0, after)

    trio.run(scenario)
    assert processes.wait("node2", 30) == 0
    assert set(others.codes) == {"ok"}
    assert set(after.codes) == {"ok"}
    # Requests that come after the stop are refused; no accepted one is cut.
    assert stopped.codes["ok"] > 0
    assert set(stopped.codes) <= {"ok", "draining", "connection_ConnectError"}
