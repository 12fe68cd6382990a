"""Random faults of the store and of the node's clock, and what a confirmed view promises."""

import random

import pytest
import trio
import trio.testing

from basilwinch.view import View
from basilwinch.view.tests.standin import Store, make_source
from basilwinch.view.timing import WatchTiming
from basilwinch.view.watcher import StoreWatcher

_FAULTS = ("silent", "down", "slow", "compact", "suspend", "none")
_FAULTS_WITH_RESTORE = (*_FAULTS, "restore", "restore", "restore in an outage")

TIMING = WatchTiming.from_bounds(2.0, 3.0, 1.2)


class Run:
    """A watcher under random faults, with the times at which versions were acknowledged."""

    def __init__(self, seed: int, faults):
        self.faults = faults
        self.copies: list[tuple] = []
        self.rng = random.Random(seed)
        self.store = Store()
        self.view = View()
        self.suspended_s = 0.0
        self.acknowledged: list[tuple[float, int]] = []

    def read_clock(self) -> float:
        """Return the time, which counts suspension, unlike the event loop's."""
        return trio.current_time() + self.suspended_s

    def change(self) -> None:
        """Write the next version; the store acknowledges it at once."""
        version = self.acknowledged[-1][1] + self.rng.randint(1, 5) if self.acknowledged else 1
        self.store.put("op/config", b"%d" % version)
        self.acknowledged.append((self.read_clock(), version))

    def check(self) -> None:
        """Check that the view has each version acknowledged before it was confirmed."""
        due = [v for at, v in self.acknowledged if at < self.view.confirmed_at]
        if due:
            assert self.view.configuration.version >= due[-1]

    def restore(self) -> None:
        """Go back to a copy; the operator writes the last version again, or the next one."""
        copy, count = self.rng.choice(self.copies[-3:])
        lost = self.acknowledged[count:]
        del self.acknowledged[count:]
        self.copies = [(copy, count)]
        self.store.restore(copy)
        if not lost:
            return
        version = lost[-1][1] + self.rng.choice([0, 2])
        self.store.put("op/config", b"%d" % version)
        self.acknowledged.append((self.read_clock(), version))
        for _ in range(self.rng.choice([0, 0, 50])):
            self.store.put("servers/s1")

    async def inject(self) -> None:
        """Start one fault, write versions while it lasts, and end it."""
        store, rng = self.store, self.rng
        self.copies.append((store.copy(), len(self.acknowledged)))
        fault = rng.choice(self.faults)
        if fault == "suspend":
            self.suspended_s += rng.uniform(1.0, 12.0)
        store.silent = fault == "silent"
        store.down = fault in ("down", "restore in an outage")
        store.latency_s = rng.uniform(0.1, 1.2) if fault == "slow" else 0.004
        for _ in range(rng.randint(0, 3)):
            await trio.sleep(rng.uniform(0.0, 1.0))
            self.change()
            if fault == "compact":
                store.compact()
            if fault.startswith("restore") and rng.random() < 0.7:
                await trio.sleep(rng.uniform(0.0, 0.5))
                self.restore()
        await trio.sleep(rng.uniform(0.0, 3.0))
        store.silent = store.down = False
        store.latency_s = 0.004

    async def observe(self) -> None:
        """Check at short intervals."""
        while True:
            self.check()
            await trio.sleep(0.01)


@pytest.mark.parametrize("faults", [_FAULTS, _FAULTS_WITH_RESTORE])
@pytest.mark.parametrize("seed", range(20))
def test_confirmed_view_has_all_versions_acknowledged_before(seed, faults):
    """Guards against a view that counts as complete although it lacks a version.

    Routes and keys are denied on the strength of a confirmed view.
    """

    async def main():
        run = Run(seed, faults)
        watcher = StoreWatcher(make_source(run.store), run.view, run.rng, run.read_clock, TIMING)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            nursery.start_soon(run.observe)
            for _ in range(20):
                await run.inject()
            await trio.sleep(3.0)
            assert run.view.age(run.read_clock()) < 2.0
            assert run.view.configuration.version == run.acknowledged[-1][1]
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
