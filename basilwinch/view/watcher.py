"""Watches the store and keeps the view up to date."""

import structlog
import trio

from basilwinch.exception import HISTORY_COMPACTED, PlatformError
from basilwinch.view.state import View

__all__ = ["StoreWatcher", "ViewSource"]

_MIN_RETRY_PAUSE_S = 0.2  # after a failed call; doubles with further failures
_MAX_RETRY_PAUSE_S = 1.0  # half of the time in which a new configuration must be applied
_POLL_TIMEOUT_S = 10.0  # the store answers at once if there are changes
# Interval between queries of the store's revision. Together with a slow answer it uses less than
# half of the time after which keys are refused; the rest is left for an outage of the store.
_MIN_CHECK_INTERVAL_S = 1.3
# In a large fleet nodes check less often, since the store's capacity grows more slowly than the
# fleet.
_MAX_CHECK_INTERVAL_S = 2.4
_FLEET_CHECKS_PER_S = 30.0  # of all nodes together, until the maximum interval is reached
# Interval after a failed check, since keys may be refused until one succeeds; also while servers
# may register again.
_CHECK_RETRY_S = 0.5
# An open connection that does not answer within this time may be dead without a sign of it. A slow
# store takes up to 0.4 s.
_OPEN_CONNECTION_TIMEOUT_S = 0.6
_CATCH_UP_MARGIN_S = 0.2  # after the batch pause, for the watch to deliver what a check has shown
# Pause after changes, so that a series of them takes few calls. In a large fleet each node waits
# longer, since a change makes all of them call the store.
_MIN_BATCH_PAUSE_S = 0.25
_MAX_BATCH_PAUSE_S = 0.7
_BATCH_PAUSE_PER_NODE_S = 0.01
# Servers whose entries expired during an outage of the store register again within this time.
_REREGISTER_TIMEOUT_S = 2.0
# After an outage of the store, the watch reports the entries that expired during it within this
# time; covers the maximum retry pause.
_EXPIRY_EVENT_WINDOW_S = 1.2


class ViewSource:
    """Names and decoders of the keys that make up the view.

    :param store: store with ``scan_at``, ``poll``, ``read_revision`` and ``close_idle_connections``
    :param configuration_key: key of the configuration
    :param servers_prefix: prefix of the servers' keys
    :param decode_configuration: function of a value, which returns None if it can't be decoded
    :param decode_server: function of key and value, which returns None if they can't be decoded
    """

    __slots__ = (
        "store",
        "configuration_key",
        "servers_prefix",
        "decode_configuration",
        "decode_server",
    )

    def __init__(
        self, store, configuration_key, servers_prefix, decode_configuration, decode_server
    ):
        self.store = store
        self.configuration_key = configuration_key
        self.servers_prefix = servers_prefix
        self.decode_configuration = decode_configuration
        self.decode_server = decode_server


class StoreWatcher:
    """Reads the view once, watches for changes, and checks that none is missing.

    A watch without events is no proof that nothing has changed: its connection may be dead without
    an error, or the store may have dropped events. So the store's revision is queried at intervals.
    If the watch does not deliver the changes up to that revision soon after, everything is read
    again.

    A server whose entry expired during an outage of the store is removed only if it has not
    registered again after ``_REREGISTER_TIMEOUT_S``. ``on_key`` is called with key, value and
    revision of changes that do not belong to the view.

    :param source: :class:`ViewSource`
    :param view: :class:`View` to keep up to date
    :param rng: random numbers for pauses
    :param clock: function that returns the time in seconds, including time of suspension
    """

    __slots__ = (
        "_source",
        "_view",
        "_rng",
        "_clock",
        "_log",
        "_unreachable_since",
        "_reachable_since",
        "_remove_at",
        "_revision",
        "_watch_scope",
        "check_interval_s",
        "_batch_pause_s",
        "on_key",
    )

    def __init__(self, source: ViewSource, view: View, rng, clock):
        self._source = source
        self._view = view
        self._rng = rng
        self._clock = clock
        self._log = structlog.get_logger("watcher")
        self._unreachable_since: float | None = None
        self._reachable_since = float("-inf")
        self._remove_at: dict[str, float] = {}
        self._revision: int | None = None
        self._watch_scope = trio.CancelScope()
        self.check_interval_s = _MIN_CHECK_INTERVAL_S
        self._batch_pause_s = _MIN_BATCH_PAUSE_S
        self.on_key = None

    def set_nodes(self, nodes: int) -> None:
        """Adapt check interval and batch pause to the number of nodes."""
        self.check_interval_s = min(
            _MAX_CHECK_INTERVAL_S, max(_MIN_CHECK_INTERVAL_S, nodes / _FLEET_CHECKS_PER_S)
        )
        self._batch_pause_s = min(
            _MAX_BATCH_PAUSE_S, max(_MIN_BATCH_PAUSE_S, nodes * _BATCH_PAUSE_PER_NODE_S)
        )

    async def run(self) -> None:
        """Watch and check until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_changes)
            nursery.start_soon(self._check_revisions)

    async def _watch_changes(self) -> None:
        pause = _MIN_RETRY_PAUSE_S
        while True:
            try:
                if self._revision is None:
                    await self._read_all()
                    self._mark_reachable()
                with trio.CancelScope() as self._watch_scope:
                    changed = await self._read_changes(self._revision)
                    self._mark_reachable()
                    pause = _MIN_RETRY_PAUSE_S
                    await trio.sleep(self._batch_pause_s if changed else 0)
            except PlatformError as error:
                if error.failure.kind is HISTORY_COMPACTED:
                    self._log.warning(
                        "store history compacted, reading all keys again",
                        after_revision=self._revision,
                    )
                    self._revision = None
                    continue
                self._mark_unreachable(error)
                await trio.sleep(pause * self._rng.uniform(0.5, 1.0))
                pause = min(_MAX_RETRY_PAUSE_S, pause * 2)

    async def _check_revisions(self) -> None:
        """Query the store's revision at intervals; read all keys again if changes are missing."""
        pause = self.check_interval_s
        while True:
            await trio.sleep(pause * self._rng.uniform(0.8, 1.0))
            # While servers may register again, check more often to remove them in time.
            pause = _CHECK_RETRY_S if self._remove_at else self.check_interval_s
            self._remove_expired()
            if self._revision is None:
                continue
            try:
                asked_at, revision = await self._query_revision()
            except PlatformError as error:
                self._mark_unreachable(error)
                pause = _CHECK_RETRY_S
                continue
            self._mark_reachable()
            if not self._has_applied(revision):
                await trio.sleep(self._batch_pause_s + _CATCH_UP_MARGIN_S)
            if self._has_applied(revision):
                self._view.confirm(asked_at)
            else:
                self._log.warning(
                    "watch missed changes, reading all keys again",
                    applied_revision=self._revision,
                    store_revision=revision,
                )
                self._revision = None
                self._watch_scope.cancel()

    async def _query_revision(self) -> tuple[float, int]:
        """Return the revision of the store, and the time at which it was asked for.

        If an open connection does not answer soon, a new one is tried. If that one answers soon,
        the store is not slow but the open connections are dead, so the watch needs a new one too.
        """
        store = self._source.store
        asked_at = self._clock()
        with trio.move_on_after(_OPEN_CONNECTION_TIMEOUT_S):
            return asked_at, await store.read_revision()
        store.close_idle_connections()
        asked_at = self._clock()
        revision = await store.read_revision()
        if self._clock() - asked_at < _OPEN_CONNECTION_TIMEOUT_S:
            self._log.warning("open connections to the store do not answer, watching on a new one")
            self._watch_scope.cancel()
        return asked_at, revision

    def _has_applied(self, revision: int) -> bool:
        return self._revision is not None and self._revision >= revision

    async def _read_all(self) -> None:
        """Read all keys, and set the revision after which changes are to be read."""
        asked_at = self._clock()
        listed = set()
        start, after = None, ""
        while True:
            page, revision = await self._source.store.scan_at("", after)
            start = revision if start is None else start
            for item in page.items:
                listed.add(item.key)
                self._apply(item.key, item.value, item.mod_revision)
            if not page.more:
                break
            after = page.items[-1].key
        self._remove_unlisted(listed, start)
        self._revision = start
        self._view.confirm(asked_at)

    async def _read_changes(self, after: int) -> bool:
        """Apply the next changes, and return whether there were any.

        Only events advance the revision, since an answer without events may have missed changes.
        """
        changes = await self._source.store.poll("", after, _POLL_TIMEOUT_S)
        for event in changes.events:
            self._apply(event.key, event.value, event.mod_revision)
            if self._revision is not None:
                self._revision = max(self._revision, event.mod_revision)
        return bool(changes.events)

    def _remove_unlisted(self, listed: set, revision: int) -> None:
        prefix = self._source.servers_prefix
        for server_id in list(self._view.servers):
            if prefix + server_id not in listed:
                self._remove(server_id, revision, "not among the keys of the store")

    def _apply(self, key: str, value: bytes | None, revision: int) -> None:
        source = self._source
        if key == source.configuration_key:
            configuration = source.decode_configuration(value) if value else None
            if configuration is not None:
                self._view.set_configuration(configuration, revision)
        elif key.startswith(source.servers_prefix):
            self._apply_server(key, value, revision)
        elif self.on_key is not None:
            self.on_key(key, value, revision)

    def _apply_server(self, key: str, value: bytes | None, revision: int) -> None:
        server_id = key.removeprefix(self._source.servers_prefix)
        if value is None:
            self._remove(server_id, revision, "entry removed")
            return
        entry = self._source.decode_server(key, value)
        if entry is not None:
            self._remove_at.pop(server_id, None)
            self._view.set_server(entry, revision)

    def _remove(self, server_id: str, revision: int, reason: str) -> None:
        """Remove a server, or let it register again first if its entry expired in an outage.

        Any other server is removed at once: one that stops without notice must not get requests
        after its entry is gone.
        """
        now = self._clock()
        if self._unreachable_since is None and now - self._reachable_since > _EXPIRY_EVENT_WINDOW_S:
            self._remove_at.pop(server_id, None)
            self._view.remove_server(server_id, revision, reason)
        elif server_id in self._view.servers:
            self._remove_at.setdefault(server_id, now + _REREGISTER_TIMEOUT_S)

    def _remove_expired(self) -> None:
        now = self._clock()
        for server_id in [s for s, until in self._remove_at.items() if until <= now]:
            del self._remove_at[server_id]
            self._view.remove_server(
                server_id, 0, "not registered again after an outage of the store"
            )

    def _mark_unreachable(self, error: PlatformError) -> None:
        if self._unreachable_since is None:
            self._unreachable_since = self._clock()
            self._log.warning("store unreachable", reason=error.failure.reason)

    def _mark_reachable(self) -> None:
        if self._unreachable_since is None:
            return
        now = self._clock()
        self._log.info("store reachable again", outage_s=round(now - self._unreachable_since, 3))
        self._unreachable_since = None
        self._reachable_since = now
