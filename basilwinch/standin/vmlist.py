"""List of VMs that lags."""

import trio

from basilwinch.exception import PLATFORM_UNAVAILABLE, PlatformError
from basilwinch.store.interface import VmEntry, VmState

__all__ = ["LaggingVmList"]


class LaggingVmList:
    """A :class:`~basilwinch.store.VmList` whose changes show after ``lag_s`` seconds.

    :param entries: entries that show at once
    :param lag_s: seconds until a change shows
    """

    def __init__(self, entries=(), lag_s: float = 0.0):
        self.lag_s = lag_s
        self.calls = 0
        self._down = False
        self._shown = {entry.name: entry for entry in entries}
        self._pending: list[tuple[float, str, VmEntry | None]] = []

    def set(self, name: str, address: str, state: VmState = VmState.LIVE) -> None:
        """Add or change an entry."""
        entry = VmEntry(name, address, state)
        self._pending.append((trio.current_time() + self.lag_s, name, entry))

    def remove(self, name: str) -> None:
        """Remove an entry."""
        self._pending.append((trio.current_time() + self.lag_s, name, None))

    def down(self) -> None:
        """Refuse all calls."""
        self._down = True

    def up(self) -> None:
        """End the outage."""
        self._down = False

    async def snapshot(self) -> list[VmEntry]:
        """Return the entries as they were ``lag_s`` seconds ago, ordered by name."""
        self.calls += 1
        await trio.lowlevel.checkpoint()
        if self._down:
            raise PlatformError(PLATFORM_UNAVAILABLE.because("the list of VMs is down"))
        now = trio.current_time()
        due = [change for change in self._pending if change[0] <= now]
        self._pending = [change for change in self._pending if change[0] > now]
        for _, name, entry in due:
            if entry is None:
                self._shown.pop(name, None)
            else:
                self._shown[name] = entry
        return [self._shown[name] for name in sorted(self._shown)]
