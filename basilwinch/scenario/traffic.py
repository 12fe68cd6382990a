"""Simulated callers that send model requests and orders and record the answers."""

from collections import Counter

import trio

from basilwinch.admission import AdmitRequest
from basilwinch.exception import BasilwinchError
from basilwinch.history import Answered, Invoked, Outcome, TokenDelivered
from basilwinch.order import OrderDone, OrderNotRun, OrderRequest, OrderUnknown
from basilwinch.relay import ModelRequest
from basilwinch.scenario.fleet import MODEL, PLAIN_SERVICE, Fleet, Vm, read_wall_clock
from basilwinch.server import ServiceCall
from basilwinch.standin import expected_tokens

__all__ = ["Traffic"]

REQUEST_DEADLINE_S = 60.0
ORGANISATIONS = ("first-org", "second-org")
_ORDER_OUTCOMES = {
    OrderDone: Outcome.DONE,
    OrderNotRun: Outcome.NOT_RUN,
    OrderUnknown: Outcome.UNKNOWN,
}


class Traffic:
    """Sends requests to the VMs of a fleet and records the answers.

    :param fleet: fleet that serves the requests
    """

    __slots__ = (
        "fleet",
        "outcomes",
        "failure_codes",
        "order_failure_reasons",
        "admitted",
        "_name_count",
        "_order_ids",
    )

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        #: Latest outcome by name of the request or order.
        self.outcomes: dict[str, Outcome] = {}
        #: Number of failures by code.
        self.failure_codes: Counter = Counter()
        #: Number of admitted flood requests by organisation.
        self.admitted: Counter = Counter()
        #: Failure reason in the latest answer to an order, empty if it succeeded.
        self.order_failure_reasons: dict[str, str] = {}
        self._name_count = 0
        self._order_ids: dict[str, str] = {}

    def choose_vm(self, name: str = "any") -> Vm | None:
        """Return a VM by name, or a random serving one for ``any``; None if there is none."""
        if name != "any":
            return self.fleet.vms.get(name)
        serving = [vm for vm in self.fleet.vms.values() if vm.serving]
        return self.fleet.rng.choice(serving) if serving else None

    def generate_name(self, prefix: str) -> str:
        """Return a new unique request name."""
        self._name_count += 1
        return f"{prefix}{self._name_count}"

    async def send_request(
        self, request: str, tokens: int, prompt: str, vm_name: str = "any"
    ) -> None:
        """Send one model request and record its answer.

        :param request: id of the request
        :param tokens: length of the response
        :param prompt: prompt text
        :param vm_name: name of the VM to send to, or ``any``
        """
        history = self.fleet.history
        expected = tuple(expected_tokens(prompt, tokens))
        history.append(Invoked(trio.current_time(), request, expected))
        vm = self.choose_vm(vm_name)
        received: list[int] = []
        outcome = Outcome.FAILED
        if vm is not None:
            # The caller's connection breaks when the VM dies.
            with trio.CancelScope() as connection:
                outcome = await self._stream_response(
                    vm, connection, request, tokens, prompt, received
                )
        self.outcomes[request] = outcome
        history.append(Answered(trio.current_time(), request, outcome, tuple(received)))

    async def _stream_response(
        self, vm: Vm, connection, request, tokens, prompt, received
    ) -> Outcome:
        self.fleet.nursery.start_soon(_cancel_when_vm_ends, vm, connection)
        organisation = ORGANISATIONS[len(request) % len(ORGANISATIONS)]
        admit = AdmitRequest(request, organisation, MODEL, tokens, REQUEST_DEADLINE_S)
        model_request = ModelRequest(
            request, organisation, MODEL, prompt, tokens, deadline_s=REQUEST_DEADLINE_S
        )
        layers = vm.core.catalog.models[MODEL].layers
        try:
            async with vm.core.admission.enter(admit) as ticket:
                if not ticket:
                    self.failure_codes[ticket.code] += 1
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
            self.failure_codes[error.failure.code] += 1
            return Outcome.FAILED
        return Outcome.COMPLETE

    async def send_order(self, order: str, vm_name: str = "any") -> None:
        """Send one order and record its outcome."""
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
        self.fleet.nursery.start_soon(_cancel_when_vm_ends, vm, connection)
        order_id = self.find_order_id(order)
        headers = ((b"idempotency-key", order_id.encode()),)
        call = ServiceCall("POST", f"/orders/{order}", headers, b'{"order": 1}')
        servers = tuple(vm.core.dispatcher.candidates(PLAIN_SERVICE, trio.current_time()))
        request = OrderRequest("first-org", order_id, PLAIN_SERVICE, servers, call)
        try:
            outcome = await vm.core.orders.run(request)
        except BasilwinchError as error:
            self.failure_codes[error.failure.code] += 1
            return Outcome.FAILED
        failure = getattr(outcome, "failure", None)
        self.order_failure_reasons[order] = failure.reason if failure is not None else ""
        return _ORDER_OUTCOMES[type(outcome)]

    def find_order_id(self, order: str) -> str:
        """Return the id of an order, which contains the time at which it was first sent.

        The ids of callers should contain it too: during an outage, a VM can give the final answer
        "not run" only for an id that contains its time.
        """
        if order not in self._order_ids:
            self._order_ids[order] = f"{read_wall_clock():.3f}-{order}"
        return self._order_ids[order]

    async def send_requests(self, rate: float, tokens: int, seconds: float) -> None:
        """Send model requests at ``rate`` per second for ``seconds``, each in its own task."""
        rng = self.fleet.rng
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                name = self.generate_name("r")
                nursery.start_soon(self.send_request, name, tokens, f"prompt {name}")
                await trio.sleep(rng.expovariate(rate))

    async def flood(self, organisation: str, rate: float, seconds: float) -> None:
        """Send one-token requests of an organisation at ``rate`` per second; some may fail."""
        rng = self.fleet.rng
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                nursery.start_soon(self._send_flood_request, organisation, self.generate_name("f"))
                await trio.sleep(rng.expovariate(rate))

    async def _send_flood_request(self, organisation: str, request: str) -> None:
        vm = self.choose_vm()
        admit = AdmitRequest(request, organisation, MODEL, 1, REQUEST_DEADLINE_S)
        async with vm.core.admission.enter(admit) as ticket:
            self.admitted[organisation] += bool(ticket)

    async def send_orders(self, rate: float, seconds: float, duplicate_share: float) -> None:
        """Send orders at ``rate`` per second for ``seconds``, a share ``duplicate_share`` twice."""
        rng = self.fleet.rng
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                name = self.generate_name("o")
                nursery.start_soon(self.send_order, name)
                if rng.random() < duplicate_share:
                    nursery.start_soon(self._resend_order, name, rng.expovariate(1.0))
                await trio.sleep(rng.expovariate(rate))

    async def _resend_order(self, name: str, delay_s: float) -> None:
        await trio.sleep(delay_s)
        await self.send_order(name)


async def _cancel_when_vm_ends(vm: Vm, connection: trio.CancelScope) -> None:
    await vm.ended.wait()
    connection.cancel()
