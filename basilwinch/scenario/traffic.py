"""Callers of a scenario: model requests and orders, with what they were told."""

from collections import Counter

import trio

from basilwinch.admission import AdmitRequest
from basilwinch.exception import BasilwinchError
from basilwinch.history import Answered, Invoked, Outcome, TokenDelivered
from basilwinch.order import OrderDone, OrderNotRun, OrderRequest, OrderUnknown
from basilwinch.relay import ModelRequest
from basilwinch.scenario.fleet import MODEL, PLAIN, Fleet, Vm, read_wall_clock
from basilwinch.server import ServiceCall
from basilwinch.standin import expected_tokens

__all__ = ["Traffic"]

DEADLINE_S = 60.0
ORGANISATIONS = ("first-org", "second-org")
_ORDER_OUTCOMES = {
    OrderDone: Outcome.DONE,
    OrderNotRun: Outcome.NOT_RUN,
    OrderUnknown: Outcome.UNKNOWN,
}


class Traffic:
    """Sends requests to the VMs of a fleet and records the answers.

    :param fleet: the fleet
    """

    __slots__ = ("fleet", "outcomes", "codes", "reasons", "granted", "_count", "_order_ids")

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        #: Last outcome by request or order.
        self.outcomes: dict[str, Outcome] = {}
        #: Failures by code.
        self.codes: Counter = Counter()
        #: Admitted requests of floods by organisation.
        self.granted: Counter = Counter()
        #: Why the last answer to an order was not "done".
        self.reasons: dict[str, str] = {}
        self._count = 0
        self._order_ids: dict[str, str] = {}

    def choose_vm(self, name: str = "any") -> Vm | None:
        """Return a VM by name, or any one that the load balancer sends to."""
        if name != "any":
            return self.fleet.vms.get(name)
        serving = [vm for vm in self.fleet.vms.values() if vm.serving]
        return self.fleet.rng.choice(serving) if serving else None

    def next_name(self, prefix: str) -> str:
        """Return a new request name."""
        self._count += 1
        return f"{prefix}{self._count}"

    async def ask(self, request: str, tokens: int, prompt: str, vm_name: str = "any") -> None:
        """Send one model request and record its answer.

        :param request: its id
        :param tokens: length of the response
        :param prompt: prompt text
        """
        history = self.fleet.history
        expected = tuple(expected_tokens(prompt, tokens))
        history.append(Invoked(trio.current_time(), request, expected))
        vm = self.choose_vm(vm_name)
        received: list[int] = []
        outcome = Outcome.FAILED
        if vm is not None:
            # The caller's connection breaks when its VM dies.
            with trio.CancelScope() as connection:
                outcome = await self._relay(vm, connection, request, tokens, prompt, received)
        self.outcomes[request] = outcome
        history.append(Answered(trio.current_time(), request, outcome, tuple(received)))

    async def _relay(self, vm: Vm, connection, request, tokens, prompt, received) -> Outcome:
        self.fleet.nursery.start_soon(_break_with_vm, vm, connection)
        organisation = ORGANISATIONS[len(request) % len(ORGANISATIONS)]
        admit = AdmitRequest(request, organisation, MODEL, tokens, DEADLINE_S)
        model_request = ModelRequest(
            request, organisation, MODEL, prompt, tokens, deadline_s=DEADLINE_S
        )
        layers = vm.core.catalog.models[MODEL].layers
        try:
            async with vm.core.admission.enter(admit) as ticket:
                if not ticket:
                    self.codes[ticket.code] += 1
                    return Outcome.FAILED
                async with vm.core.relay.run(model_request) as frames:
                    async for frame in frames:
                        received.append(frame.token)
                        ticket.count_tokens(1)
                        spans = tuple((s.server, s.first, s.end) for s in frame.spans)
                        self.fleet.history.append(
                            TokenDelivered(
                                trio.current_time(),
                                request,
                                frame.attempt,
                                frame.position,
                                layers,
                                spans,
                            )
                        )
        except BasilwinchError as error:
            self.codes[error.failure.code] += 1
            return Outcome.FAILED
        return Outcome.COMPLETE

    async def order(self, order: str, vm_name: str = "any") -> None:
        """Send one order and record what the caller is told."""
        history = self.fleet.history
        history.append(Invoked(trio.current_time(), order))
        vm = self.choose_vm(vm_name)
        outcome = Outcome.FAILED
        if vm is not None:
            with trio.CancelScope() as connection:
                outcome = await self._run_order(vm, connection, order)
        self.outcomes[order] = outcome
        history.append(Answered(trio.current_time(), order, outcome))

    async def _run_order(self, vm: Vm, connection, order: str) -> Outcome:
        self.fleet.nursery.start_soon(_break_with_vm, vm, connection)
        order_id = self.find_order_id(order)
        headers = ((b"idempotency-key", order_id.encode()),)
        call = ServiceCall("POST", f"/orders/{order}", headers, b'{"order": 1}')
        servers = tuple(vm.core.dispatcher.candidates(PLAIN, trio.current_time()))
        request = OrderRequest("first-org", order_id, PLAIN, servers, call)
        try:
            outcome = await vm.core.orders.run(request)
        except BasilwinchError as error:
            self.codes[error.failure.code] += 1
            return Outcome.FAILED
        failure = getattr(outcome, "failure", None)
        self.reasons[order] = failure.reason if failure is not None else ""
        return _ORDER_OUTCOMES[type(outcome)]

    def find_order_id(self, order: str) -> str:
        """Return the id of an order; it carries the time of its first sending, as callers should.

        A refusal during an outage can be proved only for an id that carries its time.
        """
        if order not in self._order_ids:
            self._order_ids[order] = f"{read_wall_clock():.3f}-{order}"
        return self._order_ids[order]

    async def send_requests(self, rate: float, tokens: int, seconds: float) -> None:
        """Send model requests at a rate for a time; each is answered in a task of its own."""
        rng = self.fleet.rng
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                name = self.next_name("r")
                nursery.start_soon(self.ask, name, tokens, f"prompt {name}")
                await trio.sleep(rng.expovariate(rate))

    async def flood(self, organisation: str, rate: float, seconds: float) -> None:
        """Send one-token requests of one organisation at a rate; refusals are expected."""
        rng = self.fleet.rng
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                nursery.start_soon(self._flood_one, organisation, self.next_name("f"))
                await trio.sleep(rng.expovariate(rate))

    async def _flood_one(self, organisation: str, request: str) -> None:
        vm = self.choose_vm()
        admit = AdmitRequest(request, organisation, MODEL, 1, DEADLINE_S)
        async with vm.core.admission.enter(admit) as ticket:
            self.granted[organisation] += bool(ticket)

    async def send_orders(self, rate: float, seconds: float, duplicates: float) -> None:
        """Send orders at a rate for a time; a share of them is sent again by their callers."""
        rng = self.fleet.rng
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                name = self.next_name("o")
                nursery.start_soon(self.order, name)
                if rng.random() < duplicates:
                    nursery.start_soon(self._order_again, name, rng.expovariate(1.0))
                await trio.sleep(rng.expovariate(rate))

    async def _order_again(self, name: str, delay_s: float) -> None:
        await trio.sleep(delay_s)
        await self.order(name)


async def _break_with_vm(vm: Vm, connection: trio.CancelScope) -> None:
    await vm.ended.wait()
    connection.cancel()
