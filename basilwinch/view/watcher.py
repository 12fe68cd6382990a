"""Watches the store and keeps the view up to date."""

import structlog
import trio

from basilwinch.exception import HISTORY_COMPACTED, HISTORY_FORKED, PlatformError
from basilwinch.store import Position, Proof
from basilwinch.view.departed import DepartedServers
from basilwinch.view.node_keys import NodeKeys
from basilwinch.view.source import ViewSource
from basilwinch.view.state import View
from basilwinch.view.timing import WatchTiming

__all__ = ["StoreWatcher"]

_MIN_RETRY_PAUSE_S = 0.2  # after a failed call; doubles with further failures
_POLL_TIMEOUT_S = 10.0  # the store answers at once if there are changes
# If many nodes read the store they check less often, since its capacity grows more slowly than the
# fleet. Not the readers that other nodes follow: these are few.
_MAX_CHECK_INTERVAL_S = 2.4
_CHECK_JITTER = (0.85, 1.0)  # factors of a check interval
_FLEET_CHECKS_PER_S = 30.0  # of all nodes together, until the maximum interval is reached
# Between two questions to a reader that has no newer proof yet.
_MIN_QUESTION_PAUSE_S = 0.05
# Interval after a failed check, since keys may be refused until one succeeds.
_CHECK_RETRY_S = 0.5
# An open connection that does not answer within this time may be dead without a sign of it. A slow
# store takes up to 0.4 s.
_OPEN_CONNECTION_TIMEOUT_S = 0.6
_CATCH_UP_MARGIN_S = 0.2  # after the batch pause, for the watch to deliver what a check has shown
# Pause after changes, so that a series of them takes few calls. If many nodes read the store each
# waits longer, since a change makes all of them call it.
_MAX_BATCH_PAUSE_S = 0.7
_BATCH_PAUSE_PER_NODE_S = 0.01
_INDIRECT_BATCH_PAUSE_S = 0.1  # of a node that asks a reader, which has paused already
# After a restore each node reads all keys again. The reads are spread so that all nodes together
# make this many calls, half of what a small store takes.
_FLEET_READS_PER_S = 1000.0
_KEYS_PER_PAGE = 500
_MIN_RESTORED_READ_INTERVAL_S = 0.2  # if the store's answers contradict each other


class StoreWatcher:
    """Reads the view once, watches for changes, and checks that none is missing.

    A watch without events is no proof that nothing has changed: its connection may be dead without
    an error, or the store may have dropped events. So the store's revision is queried at intervals.
    If the watch does not deliver the changes up to that revision soon after, everything is read
    again.

    A server whose entry may have expired during an outage of the store is removed only if it has
    not registered again some time after the outage. A call that fails is no outage: a watch may be
    cut, or an answer lost, while the store answers others. So the position is queried at once, and
    the time without any answer counts. Changes that do not belong to the view are passed to
    ``node_keys``.

    After a restore of the store the configuration is read at once, and the watch goes on from
    there. The other keys are read after a delay that spreads the reads of all nodes; until then the
    entries of servers are kept as they were.

    :param source: :class:`ViewSource`
    :param view: :class:`View` to keep up to date
    :param rng: random numbers for pauses
    :param clock: function that returns the time in seconds, including time of suspension
    :param timing: :class:`~basilwinch.view.timing.WatchTiming`
    """

    __slots__ = (
        "_source",
        "_view",
        "_rng",
        "_clock",
        "_log",
        "_unreachable_since",
        "_outage_ended_at",
        "_remove_at",
        "_removal_added",
        "_check_requested",
        "_departed",
        "_nodes",
        "_position",
        "_highest",
        "_reread_at",
        "_restored_read_at",
        "_watch_scope",
        "_watch_retry",
        "_timing",
        "_applied",
        "_proven_at",
        "check_interval_s",
        "_batch_pause_s",
        "node_keys",
    )

    def __init__(self, source: ViewSource, view: View, rng, clock, timing: WatchTiming):
        self._source = source
        self._view = view
        self._rng = rng
        self._clock = clock
        self._log = structlog.get_logger("watcher")
        self._unreachable_since: float | None = None
        self._outage_ended_at = float("-inf")  # of an outage in which entries may have expired
        # Time by server id at which a server is removed that has not registered again until then.
        self._remove_at: dict[str, float] = {}
        self._removal_added = trio.Event()
        self._check_requested = trio.Event()
        self._departed = DepartedServers()
        self._nodes = 1
        self.node_keys = NodeKeys()
        # All changes up to here are applied to the configuration, and to the other keys too unless
        # they are still to be read after a restore, at ``_reread_at``.
        self._position: Position | None = None
        self._highest: Position | None = None  # last value of ``_position`` that was not None
        self._reread_at = float("inf")
        self._restored_read_at = float("-inf")
        self._watch_scope = trio.CancelScope()
        self._watch_retry = trio.Event()  # set to end the pause after a failed watch
        self._timing = timing
        self._applied = trio.Event()  # set when changes have been applied, and then replaced
        # Time from which the newest proof of a position is, or at which the watcher was started.
        self._proven_at = float("-inf")
        self.check_interval_s = timing.check_interval_s
        self._batch_pause_s = timing.batch_pause_s
        source.store.history.subscribe(self._begin_history)

    def set_nodes(self, nodes: int, reading: int) -> None:
        """Adapt check interval, batch pause and spread of reads to the size of the fleet.

        :param nodes: number of nodes
        :param reading: number of nodes that watch the store themselves
        """
        self._nodes = nodes
        self.check_interval_s = max(
            self._timing.check_interval_s,
            min(_MAX_CHECK_INTERVAL_S, reading / _FLEET_CHECKS_PER_S),
        )
        self._batch_pause_s = max(
            self._timing.batch_pause_s, min(_MAX_BATCH_PAUSE_S, reading * _BATCH_PAUSE_PER_NODE_S)
        )

    async def run(self) -> None:
        """Watch and check until cancelled."""
        self._proven_at = self._clock()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_changes)
            nursery.start_soon(self._check_position)
            nursery.start_soon(self._remove_in_time)

    def _begin_history(self) -> None:
        """Read again from the store, which was restored from an older copy."""
        self._outage_ended_at = self._clock()
        self._view.begin_history(self._clock())
        self._reread_at = trio.current_time()
        self._watch_scope.cancel()

    async def _watch_changes(self) -> None:
        pause = _MIN_RETRY_PAUSE_S
        while True:
            if self._highest is None:
                self._view.first_read.begin()
            try:
                await self._catch_up()
                with trio.CancelScope(deadline=self._reread_at) as self._watch_scope:
                    changed = await self._read_changes(self._position)
                    pause = _MIN_RETRY_PAUSE_S
                    await trio.sleep(self._choose_batch_pause() if changed else 0)
            except PlatformError as error:
                if error.failure.kind in (HISTORY_COMPACTED, HISTORY_FORKED):
                    self._log.warning(
                        "watch cannot go on, reading from the store again",
                        position=str(self._position),
                        reason=error.failure.reason,
                    )
                    self._position = None
                    continue
                if self._unreachable_since is None:
                    self._check_requested.set()
                self._mark_unreachable(error)
                if self._highest is None:
                    self._view.first_read.fail()
                self._watch_retry = trio.Event()
                with trio.move_on_after(pause * self._rng.uniform(0.5, 1.0)):
                    await self._watch_retry.wait()
                pause = min(self._timing.max_retry_pause_s, pause * 2)

    async def _catch_up(self) -> None:
        """Read what the watch cannot deliver."""
        if self._position is not None and self._position.history != self._history.number:
            self._position = None
        if self._position is None and self._is_reread_pending():
            await trio.sleep_until(self._restored_read_at + _MIN_RESTORED_READ_INTERVAL_S)
            self._restored_read_at = trio.current_time()
            await self._read_configuration()
            spread_s = self._nodes * (1 + self._count_keys() // _KEYS_PER_PAGE) / _FLEET_READS_PER_S
            self._reread_at = trio.current_time() + self._rng.uniform(0, spread_s)
        elif self._position is None or trio.current_time() >= self._reread_at:
            await self._read_all()

    def _is_reread_pending(self) -> bool:
        return self._reread_at != float("inf")

    def _count_keys(self) -> int:
        return len(self._view.servers) + len(self.node_keys)

    @property
    def _history(self):
        return self._source.store.history

    async def _check_position(self) -> None:
        """Query the store's position at intervals; read all keys again if changes are missing."""
        due = trio.current_time() + self.check_interval_s
        while True:
            with trio.move_on_at(due):
                await self._check_requested.wait()
            self._check_requested = trio.Event()
            due = trio.current_time() + _CHECK_RETRY_S
            self._drop_outdated()
            applied = self._position
            if applied is None:
                continue
            begun_at = trio.current_time()
            try:
                asked_at, proof = await self._query_position()
            except PlatformError as error:
                self._mark_unreachable(error)
                due = trio.current_time() + _CHECK_RETRY_S
                continue
            self._record_contact(asked_at)
            due = begun_at + self._choose_check_interval()
            position = proof.position
            if proof.is_relayed:
                self._watch_retry.set()
            if proof.is_direct and self._has_fallen(applied, position):
                continue
            if position.history != self._history.number:
                continue
            with trio.move_on_after(self._choose_batch_pause() + _CATCH_UP_MARGIN_S):
                await self._wait_until_applied(position)
            if self._has_applied(position):
                self._confirm(position, asked_at)
            elif proof.is_relayed:
                # A read of all keys would fail and lose the position after which a relay is asked.
                due = trio.current_time() + _CHECK_RETRY_S
            elif position.history == self._history.number:
                self._log.warning(
                    "watch missed changes, reading all keys again",
                    applied=str(self._position),
                    store=str(position),
                )
                self._position = None
                self._watch_scope.cancel()

    async def _wait_until_applied(self, position: Position) -> None:
        while not self._has_applied(position) and position.history == self._history.number:
            await self._applied.wait()

    def _notify_applied(self) -> None:
        self._applied.set()
        self._applied = trio.Event()

    def _choose_check_interval(self) -> float:
        """Return the seconds from the beginning of a check to that of the next one.

        A reader is asked again when its proof has reached an age at which it must have a newer one,
        and once more when that proof is about to be too old.
        """
        store, timing = self._source.store, self._timing
        if store.is_direct:
            interval_s = timing.check_interval_s if store.is_reader else self.check_interval_s
            return interval_s * self._rng.uniform(*_CHECK_JITTER)
        age_s = self._clock() - self._proven_at
        limit_s = timing.ask_age_s if age_s < timing.ask_age_s else timing.max_reader_age_s
        return max(_MIN_QUESTION_PAUSE_S, limit_s - age_s)

    def _choose_batch_pause(self) -> float:
        store = self._source.store
        if not store.is_direct:
            return _INDIRECT_BATCH_PAUSE_S
        return self._timing.batch_pause_s if store.is_reader else self._batch_pause_s

    def _confirm(self, position: Position, asked_at: float) -> None:
        """Record that all changes up to a position, asked for at a time, are applied."""
        self._source.store.record_confirmed(position, asked_at)
        self._view.confirm(asked_at)

    async def _query_position(self) -> tuple[float, Proof]:
        """Return a position of the store, and a time at which the store had it or a lower one.

        If an open connection does not answer soon, a new one is tried. If that one answers soon,
        the store is not slow but the open connections are dead, so the watch needs a new one too.
        """
        store = self._source.store
        asked_at = self._clock()
        with trio.move_on_after(_OPEN_CONNECTION_TIMEOUT_S):
            proof = await store.read_proof()
            return asked_at - proof.age_s, proof
        store.close_idle_connections()
        asked_at = self._clock()
        proof = await store.read_proof()
        if self._clock() - asked_at < _OPEN_CONNECTION_TIMEOUT_S:
            self._log.warning("open connections to the store do not answer, watching on a new one")
            self._watch_scope.cancel()
        return asked_at - proof.age_s, proof

    def _has_fallen(self, before: Position | None, after: Position) -> bool:
        """Return whether the store's revision has fallen; if so, a history begins.

        :param before: position of an earlier answer, or None
        :param after: position of a later one
        """
        if before is None or before.history != after.history or after.includes(before):
            return False
        self._history.report_fall(before.revision, after.revision)
        return True

    def _has_applied(self, position: Position) -> bool:
        return self._position is not None and self._position.includes(position)

    async def _read_configuration(self) -> None:
        """Read only the configuration, and set the position after which changes are to be read."""
        asked_at = self._clock()
        page, position = await self._source.store.scan_at(self._source.configuration_key)
        for item in page.items:
            self._apply(item.key, item.value, item.mod_revision)
        self._position = self._highest = position
        self._record_contact(asked_at)
        self._view.confirm(asked_at)

    async def _read_all(self) -> None:
        """Read all keys, and set the position after which changes are to be read."""
        asked_at = self._clock()
        listed = set()
        start, after = None, ""
        while True:
            page, position = await self._source.store.scan_at("", after)
            start = position if start is None else start
            if self._has_fallen(self._highest, start) or position.history != start.history:
                raise PlatformError(HISTORY_FORKED.because("restored while keys were read"))
            with self._view.group_changes():
                self._apply_page(page, listed)
            if not page.more:
                break
            after = page.items[-1].key
        self._record_contact(asked_at)
        self._remove_unlisted(listed, start.revision)
        self._position = self._highest = start
        self._notify_applied()
        self._reread_at = float("inf")
        self._confirm(start, asked_at)

    def _apply_page(self, page, listed: set) -> None:
        """Apply the items of a page, and add their keys to a set."""
        for item in page.items:
            listed.add(item.key)
            if self._is_reread_pending() and self._is_outdated(item):
                self._log.info("outdated server entry ignored after a restore", key=item.key)
            else:
                self._apply(item.key, item.value, item.mod_revision)

    async def _read_changes(self, after: Position) -> bool:
        """Apply the next changes, and return whether there were any.

        Only events advance the position, since an answer without events may have missed changes.
        """
        changes = await self._source.store.poll("", after, _POLL_TIMEOUT_S)
        with self._view.group_changes():
            for event in changes.events:
                self._apply(event.key, event.value, event.mod_revision)
                if self._position is not None:
                    revision = max(self._position.revision, event.mod_revision)
                    self._position = self._highest = Position(self._position.history, revision)
        self._notify_applied()
        return bool(changes.events)

    def _is_outdated(self, item) -> bool:
        """Return whether an item is a server's entry that is older than what is known of it."""
        prefix = self._source.servers_prefix
        if not item.key.startswith(prefix):
            return False
        entry = self._source.decode_server(item.key, item.value)
        if entry is None:
            return False
        return self._departed.is_outdated(entry, self._view.servers.get(entry.id))

    def _remove_unlisted(self, listed: set, revision: int) -> None:
        prefix = self._source.servers_prefix
        for server_id in list(self._view.servers):
            if prefix + server_id not in listed:
                self._remove(server_id, revision, "not among the keys of the store")
        if self._is_reread_pending():
            self.node_keys.await_unlisted(listed, self._clock())
        else:
            self.node_keys.drop_unlisted(listed, revision)

    def _apply(self, key: str, value: bytes | None, revision: int) -> None:
        source = self._source
        if key == source.configuration_key:
            configuration = source.decode_configuration(value) if value else None
            if configuration is not None:
                self._view.set_configuration(configuration, revision)
        elif key.startswith(source.servers_prefix):
            self._apply_server(key, value, revision)
        else:
            self.node_keys.apply(key, value, revision)

    def _apply_server(self, key: str, value: bytes | None, revision: int) -> None:
        server_id = key.removeprefix(self._source.servers_prefix)
        if value is None:
            self._remove(server_id, revision, "entry removed")
            return
        entry = self._source.decode_server(key, value)
        if entry is not None:
            self._remove_at.pop(server_id, None)
            self._departed.discard(server_id)
            self._view.set_server(entry, revision)

    def _remove(self, server_id: str, revision: int, reason: str) -> None:
        """Remove a server, or let it register again first if its entry expired in an outage.

        Any other server is removed at once: one that stops without notice must not get requests
        after its entry is gone.
        """
        if server_id not in self._view.servers:
            return
        now = self._clock()
        self._departed.add(self._view.servers[server_id], now)
        if self._may_have_expired(now):
            ended_at = now if self._unreachable_since is not None else self._outage_ended_at
            self._remove_at.setdefault(server_id, ended_at + self._timing.reregister_s)
            self._removal_added.set()
        else:
            self._remove_at.pop(server_id, None)
            self._view.remove_server(server_id, revision, reason)

    def _may_have_expired(self, now: float) -> bool:
        """Return whether an entry that is gone may be that of a live server."""
        if self._is_reread_pending():
            return True
        if self._unreachable_since is not None:
            return now - self._proven_at >= self._timing.min_outage_s
        return now - self._outage_ended_at <= self._timing.expiry_window_s

    async def _remove_in_time(self) -> None:
        """Remove servers that have not registered again, as soon as their time is over."""
        while True:
            if not self._remove_at:
                await self._removal_added.wait()
            self._removal_added = trio.Event()
            wait_s = min(self._remove_at.values(), default=0.0) - self._clock()
            with trio.move_on_after(max(0.0, wait_s)):
                await self._removal_added.wait()
            self._remove_expired()

    def _remove_expired(self) -> None:
        now = self._clock()
        for server_id in [s for s, until in self._remove_at.items() if until <= now]:
            del self._remove_at[server_id]
            self._view.remove_server(
                server_id, 0, "not registered again after an outage or restore of the store"
            )

    def _drop_outdated(self) -> None:
        """Drop what is kept for a time only, and need not end at a certain moment."""
        now = self._clock()
        self._departed.prune(now)
        self.node_keys.drop_expired(now)

    def _mark_unreachable(self, error: PlatformError) -> None:
        if self._unreachable_since is None:
            self._unreachable_since = self._clock()
            self._log.warning("store unreachable", reason=error.failure.reason)

    def _record_contact(self, asked_at: float) -> None:
        """Record an answer of the store.

        :param asked_at: time in seconds at which the store was asked, by this node or its reader
        """
        silent_s = asked_at - self._proven_at
        self._proven_at = max(self._proven_at, asked_at)
        if self._unreachable_since is None:
            return
        now = self._clock()
        is_outage = silent_s >= self._timing.min_outage_s
        self._log.info(
            "store reachable again",
            outage_s=round(now - self._unreachable_since, 3),
            silent_s=round(silent_s, 3),
            may_have_expired=is_outage,
        )
        self._unreachable_since = None
        if is_outage:
            self._outage_ended_at = now
