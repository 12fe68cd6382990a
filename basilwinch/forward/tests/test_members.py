"""Tests of the liveness check of members."""

import pytest
import trio
import trio.testing

from basilwinch.exception import SERVER_UNREACHABLE, ServerError
from basilwinch.forward.members import MemberProbe
from basilwinch.view import ServerEntry


class Network:
    """Opens connections; servers accept them, refuse them, or do not respond."""

    def __init__(self):
        self.refusing = set()
        self.unresponsive = set()
        self.opened = []
        self.open_now = 0

    async def open(self, host, port, timeout_s):
        self.opened.append(port)
        if port in self.refusing:
            raise ServerError(SERVER_UNREACHABLE.because("refused"))
        if port in self.unresponsive:
            await trio.sleep(timeout_s)
            raise ServerError(SERVER_UNREACHABLE.because("no answer"))
        await trio.sleep(0.001)
        self.open_now += 1
        return self

    def close(self):
        self.open_now -= 1


@pytest.fixture
def network():
    return Network()


@pytest.fixture
def servers():
    return [
        ServerEntry(f"s{n}", "llm", "10.0.0.1", n, "z0", 8, False, "l4", None, 1, 0)
        for n in range(5)
    ]


@pytest.fixture
def find(network):
    """Return a function that runs concurrent probes; it returns the results and the
    time taken in seconds."""

    def run(servers, times=1):
        async def main():
            probe = MemberProbe(trio.current_time, network.open)
            start = trio.current_time()
            found = []
            async with trio.open_nursery() as nursery:

                async def probe_once():
                    found.append(await probe.find_dead(servers))

                for _ in range(times):
                    nursery.start_soon(probe_once)
            return found, trio.current_time() - start

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return run


def test_crashed_member_is_found_at_once(network, servers, find):
    network.refusing.add(3)
    found, took_s = find(servers)
    assert found == [servers[3]]
    assert took_s < 0.01
    assert network.open_now == 0


def test_member_that_does_not_answer_in_time_is_not_reported_as_dead(network, servers, find):
    """Guards against 68 nodes that connect to a server at once and take the delay for a crash."""
    network.unresponsive.add(3)
    found, took_s = find(servers)
    assert found == [None]
    assert took_s <= 0.1


def test_streams_of_a_chain_share_the_connections(network, servers, find):
    network.refusing.add(3)
    found, _ = find(servers, times=40)
    assert found == [servers[3]] * 40
    assert len(network.opened) <= 2 * len(servers)
