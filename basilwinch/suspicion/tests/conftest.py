"""Fixtures: registries of suspects as the entry node sets them up, and their attempts."""

import pytest

from basilwinch.observability import DecisionLog
from basilwinch.suspicion import SuspectConfig, SuspectRegistry


@pytest.fixture
def make_entry_registry():
    """Return a function that makes the registry of an entry node."""

    def make(node, **changes):
        config = SuspectConfig(
            node,
            progress_frames=2,
            weak_strikes=False,
            event_s=0.25,
            request_event_s=0.1,
            mass_loss_window_s=0.25,
            conviction_deaths=2,
            **changes,
        )
        return SuspectRegistry(config, DecisionLog.for_benchmark())

    return make


@pytest.fixture
def crash_under():
    """Return a function that runs a request on whose first event its server crashes."""

    def crash(registry, request, server, now, parts=(), trial=False):
        registry.begin_attempt(request, request, [server], False, now - 0.08, parts, trial)
        registry.report_death(server, now)
        registry.end_attempt(request, request)

    return crash


@pytest.fixture
def exchange():
    """Return a function that exchanges the suspects of all registries once."""

    def run(registries, now, max_entries=64):
        for sender in registries:
            data = sender.export_bytes(now, max_entries)
            for receiver in registries:
                if receiver is not sender:
                    receiver.merge_bytes(data, now)

    return run
