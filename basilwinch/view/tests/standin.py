"""Stand-in of the store for tests of the view, on the clock of the event loop."""

import trio

from basilwinch.exception import (
    HISTORY_COMPACTED,
    HISTORY_FORKED,
    PLATFORM_UNAVAILABLE,
    PlatformError,
)
from basilwinch.store import KeyValue, Page, Position, Proof, StoreHistory, WatchEvent
from basilwinch.view import Configuration, ServerEntry
from basilwinch.view.source import ViewSource

__all__ = ["Store", "make_source"]


class Changes:
    """Events of a watch."""

    def __init__(self, events, position):
        self.events = events
        self.position = position


class Store:
    """A store in memory whose watch can stop delivering events."""

    def __init__(self):
        self.items: dict[str, KeyValue] = {}
        self.events: list[WatchEvent] = []
        self.revision = 1
        self.silent = False
        self.down = False
        self.latency_s = 0.004
        self.polls = 0
        self.scans: list[tuple[str, float]] = []  # prefix and time of each
        self.compacted = 0
        self.era = 1
        self.history = StoreHistory()
        self.changed = trio.Event()
        self.cuts = 0  # how often waiting watches have been cut

    def cut_watches(self):
        """End the waiting watches without an answer; all other calls go on."""
        self.cuts += 1
        self._notify()

    def put(self, key, value=b"1"):
        self.revision += 1
        self.items[key] = KeyValue(key, value, self.revision)
        self._append(WatchEvent(key, value, self.revision))

    def delete(self, key):
        self.revision += 1
        del self.items[key]
        self._append(WatchEvent(key, None, self.revision))

    def copy(self):
        """Return a copy of the store for :meth:`restore`."""
        return dict(self.items), self.revision

    def restore(self, copy, tell=True):
        """Go back to an earlier copy; revisions are given out again.

        :param tell: whether the next answers name another era
        """
        items, self.revision = copy
        self.items = dict(items)
        self.compacted = min(self.compacted, self.revision)
        self.events = [event for event in self.events if event.mod_revision <= self.revision]
        self.era += tell
        self._notify()

    def compact(self):
        """Drop the history, so that a watch from an earlier revision fails."""
        self.compacted = self.revision
        self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = trio.Event()

    def _append(self, event):
        self.events.append(event)
        self._notify()

    def _answer(self):
        if self.down:
            raise PlatformError(PLATFORM_UNAVAILABLE.because("down"))

    def _read_position(self, asked_in):
        if not self.history.observe(self.era, asked_in):
            raise PlatformError(PLATFORM_UNAVAILABLE.because("late answer"))
        return Position(self.history.number, self.revision)

    async def scan_at(self, prefix, after=""):
        self.scans.append((prefix, trio.current_time()))
        asked_in = self.history.number
        await trio.sleep(0.004)
        self._answer()
        items = [item for key, item in self.items.items() if key.startswith(prefix)]
        return Page(items, False), self._read_position(asked_in)

    def close_idle_connections(self):
        pass

    async def read_position(self):
        asked_in = self.history.number
        await trio.sleep(self.latency_s)
        self._answer()
        return self._read_position(asked_in)

    async def read_proof(self):
        return Proof(await self.read_position())

    def record_confirmed(self, position, asked_at):
        pass

    @property
    def is_direct(self):
        return True

    @property
    def is_reader(self):
        return True

    async def poll(self, prefix, after, wait_s):
        self.polls += 1
        await trio.sleep(self.latency_s)
        self._answer()
        asked_in = self.history.number
        cuts = self.cuts
        with trio.move_on_after(wait_s):
            while self.silent or (self._has(after.revision) and not self._list(after.revision)):
                await self.changed.wait()
                if self.cuts != cuts:
                    raise PlatformError(PLATFORM_UNAVAILABLE.because("watch cut"))
        position = self._read_position(asked_in)
        if position.history != after.history:
            raise PlatformError(HISTORY_FORKED.because("restored"))
        if not self._has(after.revision):
            raise PlatformError(HISTORY_COMPACTED.because("gone"))
        return Changes([] if self.silent else self._list(after.revision), position)

    def _has(self, revision):
        return self.compacted <= revision <= self.revision

    def _list(self, after):
        return [event for event in self.events if event.mod_revision > after]


def _decode_server(key, value):
    name = key.removeprefix("servers/")
    return ServerEntry(name, "plain", "10.0.0.1", 1, "z0", 8, False, "", None, 1, 0)


def _decode_configuration(value):
    return Configuration(int(value), [], {}, None, None)


def make_source(store) -> ViewSource:
    """Return the source of a view whose configuration is only a version number."""
    return ViewSource(store, "op/config", "servers/", _decode_configuration, _decode_server)
