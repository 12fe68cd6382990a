"""Runs scenarios on a virtual clock and checks the invariants on their histories."""

import pathlib

import trio

from basilwinch.exception import SCENARIO_MALFORMED, BasilwinchError, Failure
from basilwinch.history import check_history
from basilwinch.record import Record
from basilwinch.scenario.actions import PATTERNS, ScenarioContext
from basilwinch.scenario.language import Scenario, parse_scenario
from basilwinch.standin import run_virtual

__all__ = ["Verdict", "read_scenario", "run_scenario"]

# Limit of virtual time for all steps of a scenario.
MAX_STEPS_S = 3600.0
# Wait before the invariants are checked. It is longer than PROPAGATION_LIMIT_S, so that the last
# note of a run can reach all VMs.
FINAL_WAIT_S = 5.0


class Verdict(Record):
    """Result of one scenario run.

    :param title: title of the scenario
    :param seed: seed of the run
    :param steps: tuple of the lines carried out, each with its time
    :param failure: failure of a step, or None
    :param violations: tuple of violated invariants
    :param events: number of events in the history
    """

    __slots__ = ("title", "seed", "steps", "failure", "violations", "events")

    @property
    def passed(self) -> bool:
        """Whether every step succeeded and every invariant holds."""
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

    :returns: scenario, or ``SCENARIO_MALFORMED`` if it cannot be read or parsed
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return SCENARIO_MALFORMED.because(f"{path}: {error}")
    return parse_scenario(text, PATTERNS)


def run_scenario(scenario: Scenario, seed: int) -> Verdict:
    """Run a scenario on a virtual clock and check the invariants.

    :param scenario: parsed scenario
    :param seed: seed of all random choices; the same seed gives the same verdict
    """
    return run_virtual(_run, scenario, seed, seed=seed)


async def _run(scenario: Scenario, seed: int) -> Verdict:
    steps: list[str] = []
    failure = None
    async with trio.open_nursery() as background:
        async with trio.open_nursery() as tasks:
            context = ScenarioContext(seed, background, tasks)
            try:
                with trio.fail_after(MAX_STEPS_S):
                    await _run_steps(scenario, context, steps)
            except BasilwinchError as error:
                failure = error.failure
                tasks.cancel_scope.cancel()
        await trio.sleep(FINAL_WAIT_S)
        context.fleet.record_orders()
        background.cancel_scope.cancel()
    violations = tuple(check_history(context.history))
    return Verdict(scenario.title, seed, tuple(steps), failure, violations, len(context.history))


async def _run_steps(scenario: Scenario, context: ScenarioContext, steps: list[str]) -> None:
    for step in scenario.steps:
        steps.append(f"{trio.current_time():9.3f} s  line {step.line}: {step.text}")
        await step.pattern.action(context, *step.arguments)
