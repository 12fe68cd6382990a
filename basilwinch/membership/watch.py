"""Watch of the platform's head by a few nodes of each zone."""

import contextlib
import math
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager
from random import Random
from typing import Protocol

import trio

from basilwinch.exception import PLATFORM_UNAVAILABLE, Failure, PlatformError
from basilwinch.membership.config import MembershipConfig
from basilwinch.membership.message import MemberState
from basilwinch.membership.roster import Roster
from basilwinch.observability import DecisionLog

__all__ = ["RevisionSource", "Watcher", "choose_watchers", "compute_read_delay_s", "rank_watchers"]

# Interval of the checks that take no platform call: whether this node is chosen, and whether an
# event has been applied.
_LOCAL_CHECK_INTERVAL_S = 0.25
# Interval of the check whether this node is still chosen while its watch is open.
_CHOICE_CHECK_INTERVAL_S = 5.0
# A node that is no longer chosen keeps its watch for a while. Otherwise a suspicion that is soon
# refuted would open and close a watch.
_LINGER_S = 10.0
_FIRST_POLL_INTERVAL_S = 0.25
# Consecutive polls that must succeed before the watch is opened again.
_POLLS_BEFORE_WATCH = 2
_MAX_POLL_TIMEOUT_S = 8.0
# Number of watchers that read a new revision immediately. The same number reads after
# _SECOND_READERS_DELAY_S if the revision has not reached them.
_CONCURRENT_READERS = 2
_SECOND_READERS_DELAY_S = 0.5
# A revision is to reach all nodes within 3 s in a cluster with up to this many watchers, and
# within 16 s in a larger one.
_SMALL_CLUSTER_WATCHERS = 6
_SMALL_CLUSTER_LATE_READ_DELAY_S = 1.5
_LATE_READ_DELAY_S = 5.0
# Time between the reads of the remaining watchers if the first ones fail.
_READ_STAGGER_S = 0.1


class RevisionSource(Protocol):
    """Source of configuration revisions, i.e. the platform."""

    async def refresh(self) -> bool:
        """Read the head and update the replica to its revision.

        :returns: whether the replica holds a newer revision than before
        :raises PlatformError: if the platform does not answer
        """

    def watch(self) -> AbstractAsyncContextManager[AsyncIterator]:
        """Watch the head; yields an event at each change.

        :raises PlatformError: if the watch cannot be opened or breaks
        """

    def is_applied(self, event) -> bool:
        """Return whether the replica holds the revision that an event announced."""


def rank_watchers(roster: Roster, count: int, revision: int) -> list[int]:
    """Return the ids of the watchers of all zones in the order in which they read the next
    revision. The order rotates with each revision, so that all of them read equally often; with a
    random order the busiest one would read twice as often as the mean. Takes O(n (z + log n)) time
    for n nodes in z zones.

    :param count: number of watchers per zone
    :param revision: number of the revision held
    """
    zones = {entry.zone for entry in roster.entries.values()}
    watchers = [node for zone in zones for node in choose_watchers(roster, zone, count)]
    watchers.sort(key=lambda node: roster.entries[node].rendezvous_hash)
    first = revision * _CONCURRENT_READERS % len(watchers) if watchers else 0
    return watchers[first:] + watchers[:first]


def compute_read_delay_s(order: list[int], node: int) -> float:
    """Return the seconds that a watcher waits for changes from peers before it reads the head.

    Two watchers read immediately and send the changes to peers, among them the next watchers in
    order. Two more read after half a second and the others later, each only if it still lacks
    the revision.

    :param order: result of :func:`rank_watchers`
    :param node: id of the watcher
    """
    position = order.index(node) if node in order else len(order)
    if position < _CONCURRENT_READERS:
        return 0.0
    if position < 2 * _CONCURRENT_READERS:
        return _SECOND_READERS_DELAY_S
    return (
        _LATE_READ_DELAY_S
        if len(order) > _SMALL_CLUSTER_WATCHERS
        else _SMALL_CLUSTER_LATE_READ_DELAY_S
    ) + position * _READ_STAGGER_S


def choose_watchers(roster: Roster, zone: str, count: int) -> list[int]:
    """Return the ids of the watchers of a zone: the ``count`` highest nodes in rendezvous order
    among those that are alive and not leaving. Takes time linear in the number of nodes, plus a
    sort of the nodes of the zone.

    Reference: D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates",
    IEEE/ACM Transactions on Networking 6 (1), 1998.
    """
    entries = [
        entry
        for entry in roster.entries.values()
        if entry.zone == zone and entry.state == MemberState.ALIVE and not entry.leaving
    ]
    entries.sort(key=lambda entry: entry.rendezvous_hash, reverse=True)
    return [entry.node for entry in entries[:count]]


class Watcher:
    """Keeps the replica at the revision of the platform's head while this node is chosen.

    :param source: :class:`RevisionSource`
    :param config: :class:`MembershipConfig`
    :param is_chosen: returns whether this node is to watch now
    :param read_delay_s: returns the seconds to wait for peers between an event and a read
    :param on_read: called after each successful read, with whether the replica changed
    :param rng: source of randomness
    :param log: decision log
    """

    def __init__(
        self,
        source: RevisionSource,
        config: MembershipConfig,
        is_chosen: Callable[[], bool],
        read_delay_s: Callable[[], float],
        on_read: Callable[[bool], Awaitable[None]],
        rng: Random,
        log: DecisionLog,
    ):
        self._source = source
        self._config = config
        self._is_chosen = is_chosen
        self._read_delay_s = read_delay_s
        self._last_event = None
        self._on_read = on_read
        self._rng = rng
        self._log = log
        self.watching = False
        self.failures = 0

    async def run(self) -> None:
        """Watch while chosen, until cancelled."""
        while True:
            if self._is_chosen():
                failure = await self._watch()
                if failure is not None:
                    await self._poll(failure)
            await trio.sleep(_LOCAL_CHECK_INTERVAL_S)

    async def _read(self, timeout_s: float) -> Failure | None:
        """Read the head; returns None on success."""
        try:
            with trio.fail_after(timeout_s):
                changed = await self._source.refresh()
        except trio.TooSlowError:
            return PLATFORM_UNAVAILABLE.because(f"no answer within {timeout_s} s")
        except PlatformError as error:
            return error.failure
        await self._on_read(changed)
        return None

    async def _watch(self) -> Failure | None:
        """Follow the head with a watch; returns None once this node is no longer chosen."""
        self._log.record("watch", "opened", "this node is a chosen watcher of its zone")
        # The watch is opened before the head is read, so that no change in between is missed.
        with trio.move_on_after(self._config.platform_timeout_s) as opening:
            try:
                async with self._source.watch() as events:
                    opening.deadline = math.inf
                    self.watching = True
                    return await self._follow(events)
            except PlatformError as error:
                return error.failure
            finally:
                self.watching = False
        return PLATFORM_UNAVAILABLE.because(
            f"the watch did not open within {self._config.platform_timeout_s} s"
        )

    async def _follow(self, events: AsyncIterator) -> Failure | None:
        notification_sender, notifications = trio.open_memory_channel(1)
        async with trio.open_nursery() as nursery:
            # The iterator runs in a task of its own, because a time-out would end a generator.
            nursery.start_soon(self._forward_events, events, notification_sender)
            failure = await self._follow_notifications(notifications)
            nursery.cancel_scope.cancel()
        return failure

    async def _follow_notifications(
        self, notifications: trio.MemoryReceiveChannel
    ) -> Failure | None:
        chosen_at = read_at = trio.current_time()
        while True:
            if trio.current_time() >= read_at:
                failure = await self._read(self._config.platform_timeout_s)
                if failure is not None:
                    return failure
                # A watch can stall without an error, so the head is also read at intervals. The
                # jitter keeps the watchers from reading at the same time.
                wait_s = self._config.head_read_interval_s * (0.75 + 0.5 * self._rng.random())
                read_at = trio.current_time() + wait_s
            has_changed = False
            with trio.move_on_at(min(read_at, trio.current_time() + _CHOICE_CHECK_INTERVAL_S)):
                try:
                    await notifications.receive()
                except trio.EndOfChannel:
                    return PLATFORM_UNAVAILABLE.because("the watch ended or failed")
                has_changed = True
            if has_changed and not await self._wait_for_peers():
                read_at = -math.inf
            now = trio.current_time()
            if self._is_chosen():
                chosen_at = now
            elif now - chosen_at > _LINGER_S:
                self._log.record(
                    "watch", "closed", "this node is no longer a chosen watcher of its zone"
                )
                return None

    async def _poll(self, failure: Failure) -> None:
        """Read the head at growing intervals until the platform answers again or this node is no
        longer chosen. The time-out grows as well, so that reads of a platform that stays slow
        succeed."""
        self._log.record("watch", "polling", failure.reason)
        wait_s = _FIRST_POLL_INTERVAL_S
        timeout_s = self._config.platform_timeout_s
        successes = 0
        while successes < _POLLS_BEFORE_WATCH and self._is_chosen():
            await trio.sleep(wait_s * (0.5 + 0.5 * self._rng.random()))
            if await self._read(timeout_s) is None:
                successes += 1
                continue
            successes = 0
            self.failures += 1
            wait_s = min(self._config.max_poll_interval_s, 2 * wait_s)
            timeout_s = min(_MAX_POLL_TIMEOUT_S, 2 * timeout_s)

    async def _wait_for_peers(self) -> bool:
        """After an event, wait for a peer that reads the head first to send the changes.

        :returns: whether the replica now holds the announced revision
        """
        until = trio.current_time() + self._read_delay_s()
        try:
            while trio.current_time() < until and not self._source.is_applied(self._last_event):
                await trio.sleep(min(_LOCAL_CHECK_INTERVAL_S, until - trio.current_time()))
            return self._source.is_applied(self._last_event)
        except PlatformError:
            return False

    async def _forward_events(
        self, events: AsyncIterator, notification_sender: trio.MemorySendChannel
    ) -> None:
        """Notify the receiver of events; one notification may stand for several events."""
        with notification_sender:
            try:
                async for self._last_event in events:
                    with contextlib.suppress(trio.WouldBlock):
                        notification_sender.send_nowait(None)
            except PlatformError:
                return
