"""The steps of the scenario language."""

import random

import trio

from basilwinch.exception import EXPECTATION_FAILED, BasilwinchError, Failure
from basilwinch.history import History, Outcome
from basilwinch.release import Publisher, read_note
from basilwinch.scenario.fleet import POLL_S, Fleet, read_wall_clock
from basilwinch.scenario.language import Pattern
from basilwinch.scenario.note import render_limit, render_organisation, render_server_state
from basilwinch.scenario.traffic import Traffic
from basilwinch.standin import CRASH_MARK

__all__ = ["PATTERNS", "World"]


class World:
    """What the steps of one run act on.

    :param seed: seed of the run
    :param nursery: runs the fleet
    :param tasks: runs requests and publications; the run ends when they have ended
    """

    __slots__ = ("seed", "history", "fleet", "traffic", "tasks", "refusals", "snapshot")

    def __init__(self, seed: int, nursery: trio.Nursery, tasks: trio.Nursery):
        self.seed = seed
        self.history = History()
        self.fleet = Fleet(seed, self.history, nursery)
        self.traffic = Traffic(self.fleet)
        self.tasks = tasks
        #: Failures of publications, by name of what was published.
        self.refusals: dict[str, Failure] = {}
        self.snapshot = None


PATTERNS: list[Pattern] = []


def step(form: str):
    """Register a function as the action of a step.

    :param form: words of the step, arguments in upper case
    """

    def register(action):
        PATTERNS.append(Pattern(tuple(form.split()), action))
        return action

    return register


def require(condition: bool, reason: str) -> None:
    """Fail the scenario unless a condition holds.

    :raises BasilwinchError: ``EXPECTATION_FAILED``
    """
    if not condition:
        raise BasilwinchError(EXPECTATION_FAILED.because(reason))


# Fleet.


@step("start COUNT servers COUNT plain COUNT vms")
async def start_fleet(world: World, servers: int, plain: int, vms: int) -> None:
    """Start the fleet; must be the first step."""
    await world.fleet.start(servers, plain, vms)


@step("start vm NAME")
async def start_vm(world: World, name: str) -> None:
    """Start a VM in the background."""
    world.fleet.nursery.start_soon(world.fleet.start_vm, name)


@step("stop vm NAME")
async def stop_vm(world: World, name: str) -> None:
    """Drain a VM, then stop it."""
    await world.fleet.stop_vm(name)


@step("kill vm NAME")
async def kill_vm(world: World, name: str) -> None:
    """Kill a VM."""
    world.fleet.kill_vm(name)


@step("kill server NAME")
async def kill_server(world: World, name: str) -> None:
    """Kill a server."""
    world.fleet.kill_server(name)


@step("kill busiest server")
async def kill_busiest(world: World) -> None:
    """Kill the engine that runs the most streams."""
    states = [s for s in world.fleet.engines.states.values() if s.alive]
    busiest = max(states, key=lambda state: (len(state.resident), state.name))
    world.fleet.kill_server(busiest.name)


@step("kill zone NAME")
async def kill_zone(world: World, name: str) -> None:
    """Kill all servers and VMs of a zone."""
    world.fleet.kill_zone(name)


@step("revive server NAME")
async def revive_server(world: World, name: str) -> None:
    """Start a dead server again."""
    fleet = world.fleet
    (fleet.engines if name in fleet.engines.states else fleet.services).revive(name)


@step("leave server NAME")
async def leave_server(world: World, name: str) -> None:
    """Tell a server to leave."""
    world.fleet.leave_server(name)


@step("stop server NAME")
async def stop_server(world: World, name: str) -> None:
    """Shut a server down gracefully, in the background."""
    world.tasks.start_soon(world.fleet.stop_server, name)


@step("slow server NAME by FACTOR")
async def slow_server(world: World, name: str, factor: float) -> None:
    """Slow a server down; 1 restores it."""
    world.fleet.engines.slow(name, factor)


@step("degrade link NAME NAME by FACTOR")
async def degrade_link(world: World, source: str, target: str, factor: float) -> None:
    """Degrade a link between two servers; 1 restores it."""
    world.fleet.engines.degrade((source, target), factor)


@step("lose COUNT replies of NAME")
async def lose_replies(world: World, count: int, name: str) -> None:
    """Lose replies of a plain server after the calls took effect."""
    world.fleet.services.lose_replies(name, count)


# Network and platform.


@step("cut vm NAME")
async def cut_vm(world: World, name: str) -> None:
    """Cut a VM off from the platform and its peers."""
    world.fleet.cut_vm(name)


@step("heal")
async def heal(world: World) -> None:
    """Undo all cuts."""
    world.fleet.heal()


@step("lose packets SHARE")
async def lose_packets(world: World, share: float) -> None:
    """Lose a share of the packets between VMs."""
    world.fleet.network.loss = share


@step("duplicate packets SHARE")
async def duplicate_packets(world: World, share: float) -> None:
    """Deliver a share of the packets between VMs twice."""
    world.fleet.network.duplicate = share


@step("platform down")
async def stop_platform(world: World) -> None:
    """Take the key-value service down."""
    world.fleet.store.down()


@step("platform up")
async def restart_platform(world: World) -> None:
    """Bring the key-value service back."""
    world.fleet.store.up()


@step("platform slow SECONDS")
async def slow_platform(world: World, seconds: float) -> None:
    """Slow each call of the key-value service down; 0 restores it."""
    world.fleet.store.slow(seconds)


@step("platform loses COUNT answers")
async def lose_answers(world: World, count: int) -> None:
    """Lose answers of the key-value service after writes took effect."""
    world.fleet.store.lose_answers(count)


@step("platform save")
async def save_platform(world: World) -> None:
    """Take a snapshot of the key-value service."""
    world.snapshot = world.fleet.store.snapshot()


@step("platform restore")
async def restore_platform(world: World) -> None:
    """Restore the key-value service from its last snapshot."""
    world.fleet.store.restore(world.snapshot)


# Callers and operators.


@step("wait SECONDS")
async def wait(world: World, seconds: float) -> None:
    """Let time pass."""
    await trio.sleep(seconds)


@step("ask NAME tokens TOKENS via NAME")
async def ask(world: World, name: str, tokens: int, vm: str) -> None:
    """Send one model request in the background; ``any`` stands for any VM."""
    world.tasks.start_soon(world.traffic.ask, name, tokens, f"prompt {name}", vm)


@step("ask NAME crashing via NAME")
async def ask_crashing(world: World, name: str, vm: str) -> None:
    """Send a request that kills each server that runs it, and wait for the answer."""
    await world.traffic.ask(name, 20, f"bad prompt {CRASH_MARK}", vm)


@step("requests RATE tokens TOKENS for SECONDS")
async def send_requests(world: World, rate: float, tokens: int, seconds: float) -> None:
    """Send model requests in the background."""
    world.tasks.start_soon(world.traffic.send_requests, rate, tokens, seconds)


@step("order NAME via NAME")
async def order(world: World, name: str, vm: str) -> None:
    """Send one order in the background; a later expectation is about this sending."""
    world.traffic.outcomes.pop(name, None)
    world.tasks.start_soon(world.traffic.order, name, vm)


@step("orders RATE for SECONDS duplicates SHARE")
async def send_orders(world: World, rate: float, seconds: float, share: float) -> None:
    """Send orders in the background, a share of them twice."""
    world.tasks.start_soon(world.traffic.send_orders, rate, seconds, share)


@step("publish organisation NAME")
async def publish_organisation(world: World, name: str) -> None:
    """Publish a note that adds an organisation, by an operator of its own, in the background."""
    world.tasks.start_soon(_publish, world, name, render_organisation(name))


@step("limit NAME to RATE requests")
async def limit_organisation(world: World, name: str, rate: float) -> None:
    """Publish a note that limits an organisation to requests a second over all VMs."""
    await _publish(world, name, render_limit(name, rate))


@step("flood NAME rate RATE for SECONDS")
async def flood(world: World, name: str, rate: float, seconds: float) -> None:
    """Send short requests of one organisation in the background."""
    world.tasks.start_soon(world.traffic.flood, name, rate, seconds)


@step("expect granted NAME at most COUNT")
async def expect_granted(world: World, name: str, count: int) -> None:
    """Require that at most so many requests of a flood were admitted, and some."""
    granted = world.traffic.granted[name]
    require(0 < granted <= count, f"{granted} requests of {name} were admitted")


@step("publish server NAME NAME")
async def publish_server(world: World, name: str, state: str) -> None:
    """Publish a note that changes the state of a server, in the background."""
    if state == "leaving":
        world.fleet.leave_server(name)
    world.tasks.start_soon(_publish, world, name, render_server_state(name, state))


async def _publish(world: World, name: str, text: str) -> None:
    fleet = world.fleet
    operator = Publisher(
        fleet.store, random.Random(fleet.rng.getrandbits(31)), clock=read_wall_clock
    )
    result = await fleet.publish(read_note(text), operator)
    if isinstance(result, Failure):
        world.refusals[name] = result


# Expectations.


@step("expect NAME NAME")
async def expect_outcome(world: World, name: str, outcome: str) -> None:
    """Wait for the answer to a request or an order and compare it."""
    await _wait_for(world, lambda: name in world.traffic.outcomes, f"{name} is not answered")
    found = world.traffic.outcomes[name]
    reason = world.traffic.reasons.get(name, "")
    require(found == outcome, f"{name} is {found}, expected {outcome}; {reason}")


@step("expect complete SHARE")
async def expect_complete(world: World, share: float) -> None:
    """Require that a share of the model requests answered so far are complete."""
    found = [o for o in world.traffic.outcomes.values() if o in (Outcome.COMPLETE, Outcome.FAILED)]
    complete = found.count(Outcome.COMPLETE)
    codes = dict(world.traffic.codes)
    require(
        bool(found) and complete >= share * len(found),
        f"{complete} of {len(found)} requests are complete; failures {codes}",
    )


@step("expect unknown at most SHARE")
async def expect_unknown(world: World, share: float) -> None:
    """Require that at most a share of the orders is unknown."""
    wanted = (Outcome.DONE, Outcome.NOT_RUN, Outcome.UNKNOWN)
    found = [o for o in world.traffic.outcomes.values() if o in wanted]
    unknown = found.count(Outcome.UNKNOWN)
    require(
        bool(found) and unknown <= share * len(found), f"{unknown} of {len(found)} orders unknown"
    )


@step("expect order NAME ran COUNT")
async def expect_ran(world: World, name: str, count: int) -> None:
    """Require that an order ran so many times by now."""
    ran = len(world.fleet.services.find_runs(world.traffic.find_order_id(name)))
    require(ran == count, f"order {name} ran {ran} times")


@step("expect servers lost at most COUNT")
async def expect_lost(world: World, count: int) -> None:
    """Require that at most so many engines are dead."""
    dead = sorted(s.name for s in world.fleet.engines.states.values() if not s.alive)
    require(len(dead) <= count, f"servers {dead} are dead")


@step("expect everywhere NAME within SECONDS")
async def expect_everywhere(world: World, name: str, seconds: float) -> None:
    """Wait until every VM that serves knows an organisation."""

    def done() -> bool:
        vms = [vm for vm in world.fleet.vms.values() if vm.serving and not vm.store.cut]
        return bool(vms) and all(name in vm.core.catalog.organisations for vm in vms)

    await _wait_for(world, done, f"{name} is not in effect everywhere", seconds)


@step("expect refused NAME NAME")
async def expect_refused(world: World, name: str, code: str) -> None:
    """Wait until a publication is refused with a code."""
    await _wait_for(world, lambda: name in world.refusals, f"{name} is not refused")
    found = world.refusals[name].code
    require(found == code, f"{name} is refused with {found}")


@step("expect ready NAME within SECONDS")
async def expect_ready(world: World, name: str, seconds: float) -> None:
    """Wait until a VM serves."""

    def done() -> bool:
        vm = world.fleet.vms.get(name)
        return vm is not None and vm.serving

    await _wait_for(world, done, f"{name} is not ready", seconds)


@step("expect unready NAME")
async def expect_unready(world: World, name: str) -> None:
    """Require that a VM does not serve."""
    require(not world.fleet.vms[name].serving, f"{name} is ready")


async def _wait_for(world: World, condition, reason: str, seconds: float = 90.0) -> None:
    with trio.move_on_after(seconds):
        while not condition():
            await trio.sleep(POLL_S)
    require(condition(), f"{reason} after {seconds:g} s")


# Forms with more fixed words are tried first, so that "expect complete 1.0" is not read as the
# outcome of a request named "complete".
PATTERNS.sort(key=lambda pattern: -sum(not word.isupper() for word in pattern.words))
