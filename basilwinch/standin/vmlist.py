"""Simulated list of VMs with a delay."""

import trio

from basilwinch.exception import PLATFORM_UNAVAILABLE, PlatformError
from basilwinch.store.interface import VmEntry, VmState

__all__ = ["LaggingVmList"]


class LaggingVmList:
    """Implements :class:`~basilwinch.store.VmList`; changes become visible after a delay.

    :param entries: entries that are visible at once
    :param lag_s: seconds until a change is visible
    """

    def __init__(self, entries=(), lag_s: float = 0.0):
        self.lag_s = lag_s
        self.calls = 0
        self._down = False
        self._visible = {entry.name: entry for entry in entries}
        self._pending: list[tuple[float, str, VmEntry | None]] = []

    def set(self, name: str, address: str, state: VmState = VmState.LIVE) -> None:
        """Add or change an entry."""
        entry = VmEntry(name, address, state)
        self._pending.append((trio.current_time() + self.lag_s, name, entry))

    def remove(self, name: str) -> None:
        """Remove an entry."""
        self._pending.append((trio.current_time() + self.lag_s, name, None))

    def down(self) -> None:
        """Start an outage: refuse all calls."""
        self._down = True

    def up(self) -> None:
        """End the outage."""
        self._down = False

    async def snapshot(self) -> list[VmEntry]:
        """Return the entries as of ``lag_s`` seconds ago, ordered by name.

        :raises PlatformError: ``PLATFORM_UNAVAILABLE`` during an outage
        """
        self.calls += 1
        await trio.lowlevel.checkpoint()
        if self._down:
            raise PlatformError(PLATFORM_UNAVAILABLE.because("the VM list service is down"))
        now = trio.current_time()
        due = [change for change in self._pending if change[0] <= now]
        self._pending = [change for change in self._pending if change[0] > now]
        for _, name, entry in due:
            if entry is None:
                self._visible.pop(name, None)
            else:
                self._visible[name] = entry
        return [self._visible[name] for name in sorted(self._visible)]
