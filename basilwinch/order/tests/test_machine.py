"""State machine test of orders under failures in any sequence."""

import trio
import trio.testing
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from basilwinch.order import OrderDone, OrderNotRun
from basilwinch.order.tests.conftest import OrderFleet

NODES = 3


class OrderMachine(RuleBasedStateMachine):
    """Builds a script of steps, which is run and checked at the end."""

    def __init__(self):
        super().__init__()
        self.script = []

    @rule(node=st.integers(0, NODES - 1), number=st.integers(0, 3))
    def send(self, node, number):
        """Send an order, or a copy of one sent before."""
        self.script.append(("send", node, number))

    @rule(node=st.integers(0, NODES - 1), number=st.integers(0, 3))
    def look_up(self, node, number):
        """Look an order up."""
        self.script.append(("look_up", node, number))

    @rule(seconds=st.sampled_from((0.0005, 0.0015, 0.003, 0.3, 4.0, 20.0, 70.0)))
    def wait(self, seconds):
        """Let time pass."""
        self.script.append(("wait", seconds))

    @rule(node=st.integers(0, NODES - 1))
    def toggle_pause(self, node):
        """Pause or resume a node."""
        self.script.append(("pause", node))

    @rule(down=st.booleans())
    def switch_platform(self, down):
        """Stop or start the key-value service."""
        self.script.append(("platform", down))

    @rule(count=st.integers(1, 3), kind=st.sampled_from(("lose_answers", "lose_requests")))
    def lose_writes(self, count, kind):
        """Lose answers or requests of writes."""
        self.script.append(("lose", kind, count))

    @rule(server=st.sampled_from(("p0", "p1", "p2")), fault=st.sampled_from(("kill", "revive")))
    def switch_server(self, server, fault):
        """Stop or start a server of the service."""
        self.script.append(("server", server, fault))

    @rule(server=st.sampled_from(("p0", "p1", "p2")))
    def lose_reply(self, server):
        """Lose a reply of a server."""
        self.script.append(("reply", server))

    def teardown(self):
        """Run the script and compare the outcomes reported to callers with what the service ran."""
        trio.run(self._play, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _play(self):
        fleet, ids, told = OrderFleet(NODES, retention_s=60.0), {}, []
        paused = set()

        async def act(kind, node, order_id):
            runner = fleet.runners[node]
            if kind == "send":
                told.append((order_id, await runner.run(fleet.make_request(order_id))))
            else:
                told.append((order_id, await runner.look_up("org", order_id)))

        async with trio.open_nursery() as nursery:
            for runner in fleet.runners:
                nursery.start_soon(runner.maintain)
            await trio.sleep(3.0)
            async with trio.open_nursery() as callers:
                for step, *values in self.script:
                    if step in ("send", "look_up"):
                        node, number = values
                        order_id = ids.setdefault(number, fleet.make_id(number))
                        callers.start_soon(act, step, node, order_id)
                    elif step == "wait":
                        await trio.sleep(values[0])
                    elif step == "pause":
                        node = fleet.nodes[values[0]]
                        (node.resume if values[0] in paused else node.pause)()
                        paused ^= {values[0]}
                    elif step == "platform":
                        (fleet.store.down if values[0] else fleet.store.up)()
                    elif step == "lose":
                        getattr(fleet.store, values[0])(values[1])
                    elif step == "server":
                        getattr(fleet.services, values[1])(values[0])
                    else:
                        fleet.services.lose_replies(values[0], 1)
                fleet.store.up()
                for node in fleet.nodes:
                    node.resume()
            for node, order_id in enumerate(ids.values()):
                await act("send", node % NODES, order_id)
            nursery.cancel_scope.cancel()
        for order_id in ids.values():
            runs = fleet.count_runs(order_id)
            outcomes = [outcome for told_id, outcome in told if told_id == order_id]
            assert runs <= 1, f"{order_id} ran {runs} times"
            if any(isinstance(outcome, OrderNotRun) for outcome in outcomes):
                assert runs == 0, f"{order_id} ran but was reported as not run"
            if any(isinstance(outcome, OrderDone) for outcome in outcomes):
                assert runs == 1, f"{order_id} did not run but was reported as done"


def test_orders_run_at_most_once_and_outcomes_are_true_under_any_sequence_of_failures():
    """Guards against an order that runs twice, or runs after 'not run', in rare sequences."""
    run_state_machine_as_test(
        OrderMachine,
        settings=settings(
            derandomize=True,
            max_examples=150,
            stateful_step_count=25,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
