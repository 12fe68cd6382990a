"""Tests of the outcomes of orders under single failures."""

import pytest
import trio

from basilwinch.exception import ORDER_ID_INVALID, ORDER_MISMATCH, CallerError
from basilwinch.order import OrderDone, OrderNotRun, OrderUnknown
from basilwinch.order.tests.conftest import OrderFleet


def test_copies_at_once_through_all_nodes_run_once(run_orders):
    """Guards against an order that runs twice when its caller sends it through several nodes."""
    fleet, outcomes = OrderFleet(), []

    async def send(runner, order_id):
        outcomes.append(await runner.run(fleet.make_request(order_id)))

    async def main():
        order_id = fleet.make_id("a")
        async with trio.open_nursery() as nursery:
            for runner in fleet.runners * 3:
                nursery.start_soon(send, runner, order_id)
        assert fleet.count_runs(order_id) == 1

    run_orders(main, fleet)
    assert len(outcomes) == 9 and len(set(outcomes)) == 1
    assert isinstance(outcomes[0], OrderDone)


def test_old_copy_does_not_run_after_its_record_is_gone(run_orders):
    """Guards against running a copy that arrives after the record has expired."""
    fleet = OrderFleet(retention_s=60.0)

    async def main():
        order_id = fleet.make_id("a")
        request = fleet.make_request(order_id)
        assert isinstance(await fleet.runners[0].run(request), OrderDone)
        for wait_s in (59.0, 5.0, 60.0, 600.0):
            await trio.sleep(wait_s)
            for runner in fleet.runners:
                assert isinstance(await runner.run(request), OrderDone | OrderUnknown)
        assert (await fleet.store.scan("orders/")).items == []
        assert fleet.count_runs(order_id) == 1

    run_orders(main, fleet)


@pytest.mark.parametrize("fault", ["lose_answers", "lose_requests"])
def test_lost_answer_of_a_claim_is_resolved_by_reading_back(run_orders, fault):
    """Guards against a second run, or a lost order, when the answer to a claim is lost."""
    fleet = OrderFleet()

    async def main():
        await trio.sleep(5.0)
        order_id = fleet.make_id("a")
        getattr(fleet.store, fault)(1)
        assert isinstance(await fleet.runners[0].run(fleet.make_request(order_id)), OrderDone)
        assert fleet.count_runs(order_id) == 1

    run_orders(main, fleet)


def test_paused_node_does_not_send_late(run_orders):
    """Guards against a resumed node that sends an order already recorded as not run."""
    fleet, outcomes = OrderFleet(), []

    async def send(runner, request):
        outcomes.append(await runner.run(request))

    async def main():
        order_id = fleet.make_id("a")
        request = fleet.make_request(order_id)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, fleet.runners[0], request)
            await trio.sleep(0.0015)
            fleet.nodes[0].pause()
            await trio.sleep(120.0)
            assert isinstance(await fleet.runners[1].run(request), OrderNotRun)
            fleet.nodes[0].resume()
        assert fleet.count_runs(order_id) == 0

    run_orders(main, fleet)
    assert isinstance(outcomes[0], OrderNotRun)


@pytest.mark.parametrize("sent", [False, True])
def test_lookup_resolves_the_order_of_a_dead_node(run_orders, sent):
    """Guards against an order whose outcome stays unknown after its node died."""
    fleet = OrderFleet()

    async def main():
        order_id = fleet.make_id("a")
        request = fleet.make_request(order_id)
        if sent:
            fleet.services.delay("p0", after_s=1000.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.runners[0].run, request)
            await trio.sleep(0.5 if sent else 0.0015)
            fleet.nodes[0].pause()
            fleet.services.delay("p0")
            await trio.sleep(1.0)
            early = await fleet.runners[1].look_up("org", order_id)
            assert isinstance(early, OrderUnknown)
            await trio.sleep(60.0)
            late = await fleet.runners[1].look_up("org", order_id)
            assert isinstance(late, OrderDone if sent else OrderNotRun)
            assert fleet.count_runs(order_id) == sent
            nursery.cancel_scope.cancel()
            fleet.nodes[0].resume()

    run_orders(main, fleet)


def test_lost_reply_is_resolved_by_the_service(run_orders):
    """Guards against an unknown outcome that a query of the service could resolve."""
    fleet = OrderFleet()

    async def main():
        order_id = fleet.make_id("a")
        for server in fleet.servers:
            fleet.services.lose_replies(server.name, 1)
        assert isinstance(await fleet.runners[0].run(fleet.make_request(order_id)), OrderDone)
        assert fleet.count_runs(order_id) == 1

    run_orders(main, fleet)


def test_unreachable_servers_are_passed_over_and_the_answer_is_final(run_orders):
    """Guards against an order that runs after its caller was told that it did not."""
    fleet = OrderFleet()

    async def main():
        first, second = fleet.make_id("a"), fleet.make_id("b")
        fleet.services.kill("p0")
        assert isinstance(await fleet.runners[0].run(fleet.make_request(first)), OrderDone)
        fleet.services.kill("p1")
        fleet.services.kill("p2")
        request = fleet.make_request(second)
        assert isinstance(await fleet.runners[0].run(request), OrderNotRun)
        fleet.services.revive("p0")
        for runner in fleet.runners:
            assert isinstance(await runner.run(request), OrderNotRun)
        assert (fleet.count_runs(first), fleet.count_runs(second)) == (1, 0)

    run_orders(main, fleet)


def test_outage_answers_follow_the_issue_time(run_orders):
    """Guards against 'not run' for an order whose copy ran just before the outage, and against a
    copy that runs after the outage."""
    fleet = OrderFleet()

    async def main():
        before = fleet.make_id("before")
        assert isinstance(await fleet.runners[0].run(fleet.make_request(before)), OrderDone)
        fleet.store.down()
        await trio.sleep(15.0)
        during, untimed = fleet.make_id("during"), "untimed"
        ask = fleet.runners[1].run
        assert isinstance(await ask(fleet.make_request(before)), OrderUnknown)
        assert isinstance(await ask(fleet.make_request(during)), OrderNotRun)
        assert isinstance(await ask(fleet.make_request(untimed)), OrderUnknown)
        fleet.store.up()
        for runner in fleet.runners:
            assert isinstance(await runner.run(fleet.make_request(during)), OrderNotRun)
        assert isinstance(await ask(fleet.make_request(before)), OrderDone)
        assert isinstance(await ask(fleet.make_request(untimed)), OrderDone)
        after = fleet.make_id("after")
        await trio.sleep(2.0)
        assert isinstance(await ask(fleet.make_request(fleet.make_id("after"))), OrderDone)
        assert fleet.count_runs(during) == 0 and fleet.count_runs(after) == 0

    run_orders(main, fleet)


def test_short_outage_is_waited_out(run_orders):
    """Guards against refusing orders in an outage of a few seconds."""
    fleet, outcomes = OrderFleet(), []

    async def send(number):
        request = fleet.make_request(fleet.make_id(number))
        outcomes.append(await fleet.runners[number % 3].run(request))

    async def main():
        fleet.store.down()
        async with trio.open_nursery() as nursery:
            for number in range(9):
                nursery.start_soon(send, number)
            await trio.sleep(4.0)
            fleet.store.up()

    run_orders(main, fleet)
    assert all(isinstance(outcome, OrderDone) for outcome in outcomes) and len(outcomes) == 9


def test_store_restored_from_an_older_state_runs_nothing_again(run_orders):
    """Guards against a second run when restoring a backup has removed later claims."""
    fleet = OrderFleet()

    async def main():
        backup = fleet.store.snapshot()
        order_id = fleet.make_id("a")
        request = fleet.make_request(order_id)
        for number in range(20):
            await fleet.runners[number % 2].run(fleet.make_request(fleet.make_id(number)))
        assert isinstance(await fleet.runners[0].run(request), OrderDone)
        await trio.sleep(1.0)
        fleet.store.restore(backup)
        await trio.sleep(6.0)
        assert not isinstance(await fleet.runners[1].run(request), OrderDone)
        assert fleet.count_runs(order_id) == 1

    run_orders(main, fleet)


def test_other_call_under_a_used_id_and_invalid_ids_are_refused(run_orders):
    """Guards against a caller that gets the reply to another call, and against invalid ids."""
    fleet = OrderFleet(nodes=2, require_timed_ids=True)

    async def main():
        order_id = fleet.make_id("a")
        await fleet.runners[0].run(fleet.make_request(order_id))
        for runner in fleet.runners:
            with pytest.raises(CallerError) as caught:
                await runner.run(fleet.make_request(order_id, b"other"))
            assert caught.value.failure.kind is ORDER_MISMATCH
        for wrong in ("", "x" * 300, "a\nb", "untimed"):
            with pytest.raises(CallerError) as caught:
                await fleet.runners[0].run(fleet.make_request(wrong))
            assert caught.value.failure.kind is ORDER_ID_INVALID
        future = f"{fleet.now() + 60:.3f}-x"
        assert isinstance(await fleet.runners[0].run(fleet.make_request(future)), OrderNotRun)

    run_orders(main, fleet)


def test_caller_who_leaves_does_not_stop_a_claimed_order(run_orders):
    """Guards against an order that stays claimed and unsent because its caller disconnected."""
    fleet = OrderFleet()

    async def main():
        order_id = fleet.make_id("a")
        with trio.move_on_after(0.0005):
            await fleet.runners[0].run(fleet.make_request(order_id))
        assert fleet.count_runs(order_id) == 1
        found = await fleet.runners[1].look_up("org", order_id)
        assert isinstance(found, OrderDone | OrderUnknown)

    run_orders(main, fleet)
