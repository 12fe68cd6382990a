"""Mutation tests: for each invariant, a scenario must detect a defect patched into the node."""

import pathlib

import pytest

from basilwinch.order import OrderNotRun
from basilwinch.order.outage import OutageTracker
from basilwinch.order.runner import OrderRunner
from basilwinch.order.writer import ClaimWriter
from basilwinch.pipeline import Chain, FrameChecker
from basilwinch.relay.run import Run
from basilwinch.release import Replica
from basilwinch.routing import ChainRouter
from basilwinch.scenario import read_scenario, run_scenario
from basilwinch.standin import StandinEngines


def drop_last_stage(patch):
    """Route requests to chains without their last stage."""
    choose = ChainRouter.choose

    def choose_short(self, request, now):
        choice = choose(self, request, now)
        if choice and len(choice.chain.stages) > 1:
            choice.chain = Chain(choice.chain.model, choice.chain.stages[:-1])
        return choice

    patch.setattr(ChainRouter, "choose", choose_short)


def repeat_tokens_after_resume(patch):
    """Generate the response from its first token again on a resume, and accept all frames."""
    start = StandinEngines.start

    def start_again(self, call, *args):
        return start(self, call.replace(resume_from=0, tokens=()), *args)

    patch.setattr(StandinEngines, "start", start_again)
    patch.setattr(FrameChecker, "check", lambda self, frame: None)


def report_lost_replies_as_not_run(patch):
    """Report orders as not run if their reply was lost."""

    async def resolve(self, request, entry, failure):
        return OrderNotRun(failure)

    patch.setattr(OrderRunner, "_resolve_sent", resolve)


def skip_claims(patch):
    """Send orders without writing a claim to the key-value service."""

    async def create(self, entry, *limits):
        entry.written = True

    patch.setattr(ClaimWriter, "create", create)
    patch.setattr(OutageTracker, "is_possibly_answered_not_run", lambda self, issued: False)


def ignore_leaving(patch):
    """Continue to send requests to leaving servers."""
    patch.setattr(ChainRouter, "mark_leaving", lambda self, server, now: None)
    patch.setattr(ChainRouter, "finish", lambda self, choice, failure, now: None)


def never_retry(patch):
    """Fail a request at its first failed attempt."""

    async def recover(self, failure):
        await self._end_attempt(failure)
        self._relay.raise_failure(failure)

    patch.setattr(Run, "_recover", recover)


def discard_changes(patch):
    """Accept changes from peers without applying them."""
    patch.setattr(Replica, "apply_notes", lambda self, notes: True)


MUTATIONS = {
    "I1": (drop_last_stage, "i1-stage-dies"),
    "I2": (repeat_tokens_after_resume, "i1-stage-dies"),
    "I3": (report_lost_replies_as_not_run, "i4-lost-replies"),
    "I4": (skip_claims, "i4-duplicates-through-all-vms"),
    "I5": (ignore_leaving, "i5-leaving-server"),
    "I6": (never_retry, "i6-graceful-shutdowns"),
    "I7": (discard_changes, "i7-notes-under-loss"),
}


@pytest.mark.parametrize("invariant", MUTATIONS)
def test_mutation_is_caught(invariant, monkeypatch):
    """Guards against scenarios that pass with a defect in the node."""
    mutate, name = MUTATIONS[invariant]
    scenario = read_scenario(pathlib.Path("scenarios") / f"{name}.txt")
    with monkeypatch.context() as patch:
        mutate(patch)
        verdict = run_scenario(scenario, 1)
    assert not verdict.passed
    found = {violation.invariant for violation in verdict.violations}
    # Missing retries may show only in the expected share of complete responses.
    assert invariant in found or (invariant == "I6" and verdict.failure is not None)
