"""Fixtures: a site as users run it, with three zones and three kinds of accelerators."""

import pytest

from basilwinch.view import AcceleratorKind, Engine, ServerEntry

KINDS = {
    "a100": AcceleratorKind("a100", 72000.0, 2.4, 3.2),
    "l40s": AcceleratorKind("l40s", 43200.0, 5.6, 2.7),
    "l4": AcceleratorKind("l4", 21600.0, 16.0, 8.2),
}
# Servers of each zone, in the order of KINDS.
SERVER_COUNTS = {"z0": (1, 3, 8), "z1": (1, 6, 5), "z2": (2, 2, 5)}


@pytest.fixture
def engine():
    return Engine(80, 1750.0, 22950.0, KINDS, 1.02, 0.01428, 0.01912, 105.0, 3, 974, 14.0)


@pytest.fixture
def servers():
    entries = []
    for zone, counts in SERVER_COUNTS.items():
        for kind, count in zip(KINDS, counts, strict=True):
            for number in range(count):
                name = f"{zone}-{kind}-{number}"
                port = 8000 + len(entries)
                entries.append(
                    ServerEntry(name, "llm", "10.0.0.1", port, zone, 96, False, kind, None, 1, 0)
                )
    return entries
