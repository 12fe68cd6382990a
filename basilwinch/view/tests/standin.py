"""Stand-in of the store for tests of the view, on the clock of the event loop."""

import trio

from basilwinch.exception import HISTORY_COMPACTED, PLATFORM_UNAVAILABLE, PlatformError
from basilwinch.store import KeyValue, Page, WatchEvent
from basilwinch.view import Configuration, ServerEntry
from basilwinch.view.watcher import ViewSource

__all__ = ["Store", "make_source"]


class Changes:
    """Events of a watch."""

    def __init__(self, events):
        self.events = events


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
        self.compacted = 0
        self.changed = trio.Event()

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

    async def scan_at(self, prefix, after=""):
        await trio.sleep(0.004)
        self._answer()
        return Page(list(self.items.values()), False), self.revision

    def close_idle_connections(self):
        pass

    async def read_revision(self):
        await trio.sleep(self.latency_s)
        self._answer()
        return self.revision

    async def poll(self, prefix, after, wait_s):
        self.polls += 1
        await trio.sleep(self.latency_s)
        self._answer()
        if after < self.compacted:
            raise PlatformError(HISTORY_COMPACTED.because("gone"))
        with trio.move_on_after(wait_s):
            while self.silent or not [e for e in self.events if e.mod_revision > after]:
                await self.changed.wait()
            return Changes([e for e in self.events if e.mod_revision > after])
        return Changes([])


def _decode_server(key, value):
    name = key.removeprefix("servers/")
    return ServerEntry(name, "plain", "10.0.0.1", 1, "z0", 8, False, "", None, 1, 0)


def _decode_configuration(value):
    return Configuration(int(value), [], {}, None, None)


def make_source(store) -> ViewSource:
    """Return the source of a view whose configuration is only a version number."""
    return ViewSource(store, "op/config", "servers/", _decode_configuration, _decode_server)
