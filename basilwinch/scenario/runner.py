"""Runs scenarios on the virtual clock and judges their histories."""

import pathlib

import trio

from basilwinch.exception import SCENARIO_MALFORMED, BasilwinchError, Failure
from basilwinch.history import check_history
from basilwinch.record import Record
from basilwinch.scenario.actions import PATTERNS, World
from basilwinch.scenario.language import Scenario, parse_scenario
from basilwinch.standin import run_virtual

__all__ = ["Verdict", "read_scenario", "run_scenario"]

LONGEST_RUN_S = 3600.0
# The last note of a run must have had time to spread before the history is judged.
SETTLE_S = 5.0


class Verdict(Record):
    """The result of one run.

    :param title: title of the scenario
    :param seed: seed of the run
    :param steps: lines carried out, a tuple of texts with their times
    :param failure: why a step failed, or None
    :param violations: violations of the invariants, a tuple
    :param events: number of events in the history
    """

    __slots__ = ("title", "seed", "steps", "failure", "violations", "events")

    @property
    def passed(self) -> bool:
        """Whether every step and every checker passed."""
        return self.failure is None and not self.violations

    def render(self) -> str:
        """Return the steps and the verdict as text."""
        lines = [*self.steps]
        if self.failure is not None:
            lines.append(f"failed: {self.failure.reason}")
        lines += [
            f"violation of {v.invariant} at {v.time:.3f} s: {v.reason}" for v in self.violations
        ]
        word = "passed" if self.passed else "FAILED"
        lines.append(f"{word}: {self.title} (seed {self.seed}, {self.events} events)")
        return "\n".join(lines)


def read_scenario(path: str) -> Scenario | Failure:
    """Read a scenario file.

    :returns: the scenario, or ``SCENARIO_MALFORMED``
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return SCENARIO_MALFORMED.because(f"{path}: {error}")
    return parse_scenario(text, PATTERNS)


def run_scenario(scenario: Scenario, seed: int) -> Verdict:
    """Run a scenario on the virtual clock.

    :param scenario: the steps
    :param seed: seed of all random choices; the same seed gives the same verdict
    """
    return run_virtual(_run, scenario, seed, seed=seed)


async def _run(scenario: Scenario, seed: int) -> Verdict:
    steps: list[str] = []
    failure = None
    async with trio.open_nursery() as background:
        async with trio.open_nursery() as tasks:
            world = World(seed, background, tasks)
            try:
                with trio.fail_after(LONGEST_RUN_S):
                    await _run_steps(scenario, world, steps)
            except BasilwinchError as error:
                failure = error.failure
                tasks.cancel_scope.cancel()
        await trio.sleep(SETTLE_S)
        world.fleet.record_orders()
        background.cancel_scope.cancel()
    violations = tuple(check_history(world.history))
    return Verdict(scenario.title, seed, tuple(steps), failure, violations, len(world.history))


async def _run_steps(scenario: Scenario, world: World, steps: list[str]) -> None:
    for step in scenario.steps:
        steps.append(f"{trio.current_time():9.3f} s  line {step.line}: {step.text}")
        await step.pattern.action(world, *step.arguments)
