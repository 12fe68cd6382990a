"""Steps of the scenario language and the actions that carry them out."""

import random

import trio

from basilwinch.exception import EXPECTATION_FAILED, BasilwinchError, Failure
from basilwinch.history import History, Outcome
from basilwinch.release import Publisher, read_note
from basilwinch.scenario.fleet import POLL_INTERVAL_S, Fleet, read_wall_clock
from basilwinch.scenario.language import Pattern
from basilwinch.scenario.note import render_limit, render_organisation, render_server_state
from basilwinch.scenario.traffic import Traffic
from basilwinch.standin import CRASH_MARK

__all__ = ["PATTERNS", "ScenarioContext"]


class ScenarioContext:
    """State that the steps of one scenario run act on.

    :param seed: seed of all random choices
    :param nursery: nursery of the fleet
    :param tasks: nursery of requests and publications; the run ends when they have ended
    """

    __slots__ = ("seed", "history", "fleet", "traffic", "tasks", "publication_failures", "snapshot")

    def __init__(self, seed: int, nursery: trio.Nursery, tasks: trio.Nursery):
        self.seed = seed
        self.history = History()
        self.fleet = Fleet(seed, self.history, nursery)
        self.traffic = Traffic(self.fleet)
        self.tasks = tasks
        #: Failures of publications by name of the published entry.
        self.publication_failures: dict[str, Failure] = {}
        self.snapshot = None


PATTERNS: list[Pattern] = []


def define_step(syntax: str):
    """Register the decorated function as the action of a step.

    :param syntax: words of the step, with arguments in upper case
    """

    def register(action):
        PATTERNS.append(Pattern(tuple(syntax.split()), action))
        return action

    return register


def require(condition: bool, reason: str) -> None:
    """Fail the scenario unless a condition holds.

    :param reason: what was found and what was expected
    :raises BasilwinchError: ``EXPECTATION_FAILED``
    """
    if not condition:
        raise BasilwinchError(EXPECTATION_FAILED.because(reason))


# Steps on servers and VMs.


@define_step("start COUNT servers COUNT plain COUNT vms")
async def start_fleet(context: ScenarioContext, servers: int, plain: int, vms: int) -> None:
    """Start the fleet; must be the first step."""
    await context.fleet.start(servers, plain, vms)


@define_step("start vm NAME")
async def start_vm(context: ScenarioContext, name: str) -> None:
    """Start a VM without waiting until it is ready."""
    context.fleet.nursery.start_soon(context.fleet.start_vm, name)


@define_step("stop vm NAME")
async def stop_vm(context: ScenarioContext, name: str) -> None:
    """Drain a VM, then stop it."""
    await context.fleet.stop_vm(name)


@define_step("kill vm NAME")
async def kill_vm(context: ScenarioContext, name: str) -> None:
    """Kill a VM."""
    context.fleet.kill_vm(name)


@define_step("kill server NAME")
async def kill_server(context: ScenarioContext, name: str) -> None:
    """Kill a server."""
    context.fleet.kill_server(name)


@define_step("kill busiest server")
async def kill_busiest_server(context: ScenarioContext) -> None:
    """Kill the engine that runs the most streams."""
    states = [s for s in context.fleet.engines.states.values() if s.alive]
    busiest = max(states, key=lambda state: (len(state.resident), state.name))
    context.fleet.kill_server(busiest.name)


@define_step("kill zone NAME")
async def kill_zone(context: ScenarioContext, name: str) -> None:
    """Kill all servers and VMs of a zone."""
    context.fleet.kill_zone(name)


@define_step("revive server NAME")
async def revive_server(context: ScenarioContext, name: str) -> None:
    """Restart a dead server."""
    fleet = context.fleet
    (fleet.engines if name in fleet.engines.states else fleet.services).revive(name)


@define_step("leave server NAME")
async def mark_server_leaving(context: ScenarioContext, name: str) -> None:
    """Mark a server as leaving: it refuses new calls and finishes those in progress."""
    context.fleet.mark_server_leaving(name)


@define_step("stop server NAME")
async def stop_server(context: ScenarioContext, name: str) -> None:
    """Shut a server down gracefully, in the background."""
    context.tasks.start_soon(context.fleet.stop_server, name)


@define_step("slow server NAME by FACTOR")
async def slow_server(context: ScenarioContext, name: str, factor: float) -> None:
    """Multiply the step time of a server by a factor; 1 restores normal speed."""
    context.fleet.engines.slow(name, factor)


@define_step("degrade link NAME NAME by FACTOR")
async def degrade_link(context: ScenarioContext, source: str, target: str, factor: float) -> None:
    """Multiply the delay between two servers by a factor; 1 restores the normal delay."""
    context.fleet.engines.degrade((source, target), factor)


@define_step("lose COUNT replies of NAME")
async def lose_replies(context: ScenarioContext, count: int, name: str) -> None:
    """Lose the next replies of a plain server, whose calls still take effect."""
    context.fleet.services.lose_replies(name, count)


# Steps on the network and the platform.


@define_step("cut vm NAME")
async def partition_vm(context: ScenarioContext, name: str) -> None:
    """Partition a VM from the platform and its peers."""
    context.fleet.partition_vm(name)


@define_step("heal")
async def heal(context: ScenarioContext) -> None:
    """End all partitions."""
    context.fleet.heal()


@define_step("lose packets SHARE")
async def lose_packets(context: ScenarioContext, share: float) -> None:
    """Lose a share of the packets between VMs."""
    context.fleet.network.loss = share


@define_step("duplicate packets SHARE")
async def duplicate_packets(context: ScenarioContext, share: float) -> None:
    """Deliver a share of the packets between VMs twice."""
    context.fleet.network.duplicate = share


@define_step("platform down")
async def stop_platform(context: ScenarioContext) -> None:
    """Take the key-value service down."""
    context.fleet.store.down()


@define_step("platform up")
async def restart_platform(context: ScenarioContext) -> None:
    """Bring the key-value service back."""
    context.fleet.store.up()


@define_step("platform slow SECONDS")
async def slow_platform(context: ScenarioContext, seconds: float) -> None:
    """Add seconds to each call of the key-value service; 0 restores normal latency."""
    context.fleet.store.slow(seconds)


@define_step("platform loses COUNT answers")
async def lose_platform_answers(context: ScenarioContext, count: int) -> None:
    """Lose the next answers of the key-value service to writes, which still take effect."""
    context.fleet.store.lose_answers(count)


@define_step("platform save")
async def save_platform(context: ScenarioContext) -> None:
    """Take a snapshot of the key-value service."""
    context.snapshot = context.fleet.store.snapshot()


@define_step("platform restore")
async def restore_platform(context: ScenarioContext) -> None:
    """Restore the key-value service from its last snapshot."""
    context.fleet.store.restore(context.snapshot)


# Steps of callers and operators.


@define_step("wait SECONDS")
async def wait(context: ScenarioContext, seconds: float) -> None:
    """Let time pass."""
    await trio.sleep(seconds)


@define_step("ask NAME tokens TOKENS via NAME")
async def send_request(context: ScenarioContext, name: str, tokens: int, vm: str) -> None:
    """Send one model request in the background; ``any`` stands for any VM."""
    context.tasks.start_soon(context.traffic.send_request, name, tokens, f"prompt {name}", vm)


@define_step("ask NAME crashing via NAME")
async def send_crashing_request(context: ScenarioContext, name: str, vm: str) -> None:
    """Send a request that crashes each server that runs it, and wait for the answer."""
    await context.traffic.send_request(name, 20, f"bad prompt {CRASH_MARK}", vm)


@define_step("requests RATE tokens TOKENS for SECONDS")
async def send_requests(context: ScenarioContext, rate: float, tokens: int, seconds: float) -> None:
    """Send model requests at ``rate`` per second, in the background."""
    context.tasks.start_soon(context.traffic.send_requests, rate, tokens, seconds)


@define_step("order NAME via NAME")
async def send_order(context: ScenarioContext, name: str, vm: str) -> None:
    """Send one order in the background; later expectations refer to its new outcome."""
    context.traffic.outcomes.pop(name, None)
    context.tasks.start_soon(context.traffic.send_order, name, vm)


@define_step("orders RATE for SECONDS duplicates SHARE")
async def send_orders(context: ScenarioContext, rate: float, seconds: float, share: float) -> None:
    """Send orders at ``rate`` per second, a share of them twice, in the background."""
    context.tasks.start_soon(context.traffic.send_orders, rate, seconds, share)


@define_step("publish organisation NAME")
async def publish_organisation(context: ScenarioContext, name: str) -> None:
    """Publish a note that adds an organisation, as a separate operator, in the background."""
    context.tasks.start_soon(_publish, context, name, render_organisation(name))


@define_step("limit NAME to RATE requests")
async def limit_organisation(context: ScenarioContext, name: str, rate: float) -> None:
    """Publish a note that limits the requests per second of an organisation over all VMs."""
    await _publish(context, name, render_limit(name, rate))


@define_step("flood NAME rate RATE for SECONDS")
async def flood(context: ScenarioContext, name: str, rate: float, seconds: float) -> None:
    """Send one-token requests of an organisation at ``rate`` per second, in the background."""
    context.tasks.start_soon(context.traffic.flood, name, rate, seconds)


@define_step("expect granted NAME at most COUNT")
async def expect_admitted_requests_at_most(context: ScenarioContext, name: str, count: int) -> None:
    """Require that a flood had between 1 and ``count`` requests admitted."""
    admitted = context.traffic.admitted[name]
    require(
        0 < admitted <= count, f"{admitted} requests of {name} were admitted, expected 1 to {count}"
    )


@define_step("publish server NAME NAME")
async def publish_server(context: ScenarioContext, name: str, state: str) -> None:
    """Publish a note that changes the state of a server, in the background.

    The state ``leaving`` also makes the server refuse new calls at once.
    """
    if state == "leaving":
        context.fleet.mark_server_leaving(name)
    context.tasks.start_soon(_publish, context, name, render_server_state(name, state))


async def _publish(context: ScenarioContext, name: str, text: str) -> None:
    fleet = context.fleet
    operator = Publisher(
        fleet.store, random.Random(fleet.rng.getrandbits(31)), clock=read_wall_clock
    )
    result = await fleet.publish(read_note(text), operator)
    if isinstance(result, Failure):
        context.publication_failures[name] = result


# Expectations.


@define_step("expect NAME NAME")
async def expect_outcome(context: ScenarioContext, name: str, outcome: str) -> None:
    """Wait for the answer to a request or an order and compare it."""
    await _wait_for(context, lambda: name in context.traffic.outcomes, f"{name} has no answer")
    found = context.traffic.outcomes[name]
    reason = context.traffic.order_failure_reasons.get(name, "")
    require(found == outcome, f"outcome of {name} is {found}, expected {outcome}; {reason}")


@define_step("expect complete SHARE")
async def expect_requests_complete(context: ScenarioContext, share: float) -> None:
    """Require that at least a share of the answered model requests are complete."""
    found = [
        o for o in context.traffic.outcomes.values() if o in (Outcome.COMPLETE, Outcome.FAILED)
    ]
    complete = found.count(Outcome.COMPLETE)
    codes = dict(context.traffic.failure_codes)
    require(
        bool(found) and complete >= share * len(found),
        f"{complete} of {len(found)} answered requests are complete, expected one or more answers "
        f"and a share of at least {share:g}; "
        f"failures by code: {codes}",
    )


@define_step("expect unknown at most SHARE")
async def expect_unknown_orders_at_most(context: ScenarioContext, share: float) -> None:
    """Require that at most a share of the answered orders have an unknown outcome."""
    wanted = (Outcome.DONE, Outcome.NOT_RUN, Outcome.UNKNOWN)
    found = [o for o in context.traffic.outcomes.values() if o in wanted]
    unknown = found.count(Outcome.UNKNOWN)
    require(
        bool(found) and unknown <= share * len(found),
        f"{unknown} of {len(found)} answered orders are unknown, expected one or more answers "
        f"and a share of at most {share:g}",
    )


@define_step("expect order NAME ran COUNT")
async def expect_order_ran(context: ScenarioContext, name: str, count: int) -> None:
    """Require that an order ran exactly ``count`` times so far."""
    ran = len(context.fleet.services.find_runs(context.traffic.find_order_id(name)))
    require(ran == count, f"order {name} ran {ran} times, expected {count}")


@define_step("expect servers lost at most COUNT")
async def expect_lost_servers_at_most(context: ScenarioContext, count: int) -> None:
    """Require that at most ``count`` engines are dead."""
    dead = sorted(s.name for s in context.fleet.engines.states.values() if not s.alive)
    require(len(dead) <= count, f"servers {dead} are dead, expected at most {count}")


@define_step("expect everywhere NAME within SECONDS")
async def expect_organisation_everywhere(
    context: ScenarioContext, name: str, seconds: float
) -> None:
    """Wait until an organisation is in the catalog of every serving VM that is not partitioned."""

    def done() -> bool:
        vms = [vm for vm in context.fleet.vms.values() if vm.serving and not vm.store.partitioned]
        return bool(vms) and all(name in vm.core.catalog.organisations for vm in vms)

    await _wait_for(context, done, f"no VM is serving or some lack organisation {name}", seconds)


@define_step("expect refused NAME NAME")
async def expect_publication_refused(context: ScenarioContext, name: str, code: str) -> None:
    """Wait until a publication is refused and compare its failure code."""
    await _wait_for(
        context,
        lambda: name in context.publication_failures,
        f"publication of {name} was not refused",
    )
    found = context.publication_failures[name].code
    require(found == code, f"publication of {name} was refused with {found}, expected {code}")


@define_step("expect ready NAME within SECONDS")
async def expect_vm_ready(context: ScenarioContext, name: str, seconds: float) -> None:
    """Wait until the load balancer sends requests to a VM."""

    def done() -> bool:
        vm = context.fleet.vms.get(name)
        return vm is not None and vm.serving

    await _wait_for(context, done, f"VM {name} is not serving", seconds)


@define_step("expect unready NAME")
async def expect_vm_unready(context: ScenarioContext, name: str) -> None:
    """Require that the load balancer sends no requests to a VM."""
    require(not context.fleet.vms[name].serving, f"VM {name} is serving, expected unready")


async def _wait_for(
    context: ScenarioContext, condition, reason: str, timeout_s: float = 90.0
) -> None:
    with trio.move_on_after(timeout_s):
        while not condition():
            await trio.sleep(POLL_INTERVAL_S)
    require(condition(), f"{reason} after {timeout_s:g} s")


# Patterns with more fixed words are tried first, so that "expect complete 1.0" is not read as the
# outcome of a request named "complete".
PATTERNS.sort(key=lambda pattern: -sum(not word.isupper() for word in pattern.words))
