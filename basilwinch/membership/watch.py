"""Watch of the platform by a few nodes of each zone."""

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

__all__ = ["RevisionSource", "Watcher", "choose_watchers", "rank_watchers", "reading_delay"]

_CHECK_S = 0.25
_CHOICE_S = 5.0
# A node that is no longer chosen goes on watching for a while, because a suspicion that is
# contradicted would otherwise open and close a watch.
_LINGER_S = 10.0
_FIRST_POLL_S = 0.25
# Polls in a row that succeed before the watch is opened again.
_GOOD_POLLS = 2
_LONGEST_TIMEOUT_S = 8.0
# Watchers that read a new revision at the same time.
_READERS = 2
_SECOND_DELAY_S = 0.5
# A few watchers mean a small cluster, where 3 s is the target for the spread; else it is 16 s.
_FEW_WATCHERS = 6
_LAST_DELAY_FEW_S = 1.5
_LAST_DELAY_S = 5.0
# Spreads the reads of the remaining watchers if the first ones fail.
_READ_STEP_S = 0.1


class RevisionSource(Protocol):
    """The platform as the membership package needs it."""

    async def refresh(self) -> bool:
        """Read the head and bring the replica to it.

        :returns: whether the replica holds a newer revision than before
        :raises PlatformError: if the platform does not answer
        """

    def watch(self) -> AbstractAsyncContextManager[AsyncIterator]:
        """Watch the head; yields an event each time it moved.

        :raises PlatformError: if the watch cannot be opened or breaks
        """

    def is_met(self, event) -> bool:
        """Tell whether the replica holds what an event announced."""


def rank_watchers(roster: Roster, count: int, revision: int) -> list[int]:
    """Return the watchers of all zones in the order in which they read the next revision. The order
    rotates with each revision, so that all of them read equally often; a random order would give
    the busiest one twice the mean. Costs n log n in the number of nodes.

    :param count: watchers of each zone
    :param revision: revision held
    """
    zones = {entry.zone for entry in roster.entries.values()}
    watchers = [node for zone in zones for node in choose_watchers(roster, zone, count)]
    watchers.sort(key=lambda node: roster.entries[node].rank)
    first = revision * _READERS % len(watchers) if watchers else 0
    return watchers[first:] + watchers[:first]


def reading_delay(order: list[int], node: int) -> float:
    """Return the seconds that a watcher leaves to others before it reads a new revision.

    Two watchers read at once and send the changes on, first to the next in order. Two more read
    after half a second, and the others later, each only if nothing has reached it.

    :param order: watchers as :func:`rank_watchers` gives them
    """
    rank = order.index(node) if node in order else len(order)
    if rank < _READERS:
        return 0.0
    if rank < 2 * _READERS:
        return _SECOND_DELAY_S
    return (
        _LAST_DELAY_S if len(order) > _FEW_WATCHERS else _LAST_DELAY_FEW_S
    ) + rank * _READ_STEP_S


def choose_watchers(roster: Roster, zone: str, count: int) -> list[int]:
    """Return the ids of the nodes of a zone that watch: the ``count`` highest in rendezvous order
    among nodes that are alive and stay. Linear in the number of nodes.

    Reference: D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates",
    IEEE/ACM Transactions on Networking 6 (1), 1998.
    """
    entries = [
        entry
        for entry in roster.entries.values()
        if entry.zone == zone and entry.state == MemberState.ALIVE and not entry.leaving
    ]
    entries.sort(key=lambda entry: entry.rank, reverse=True)
    return [entry.node for entry in entries[:count]]


class Watcher:
    """Keeps the replica at the platform's head while this node is chosen.

    :param source: :class:`RevisionSource`
    :param config: :class:`MembershipConfig`
    :param is_chosen: whether this node is to watch now
    :param delay_s: seconds to wait between an event and the read that it asks for
    :param on_read: called after each successful read with whether the replica changed
    :param rng: source of randomness
    :param log: decision log
    """

    def __init__(
        self,
        source: RevisionSource,
        config: MembershipConfig,
        is_chosen: Callable[[], bool],
        delay_s: Callable[[], float],
        on_read: Callable[[bool], Awaitable[None]],
        rng: Random,
        log: DecisionLog,
    ):
        self._source = source
        self._config = config
        self._is_chosen = is_chosen
        self._delay_s = delay_s
        self._event = None
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
            await trio.sleep(_CHECK_S)

    async def _read(self, timeout_s: float) -> Failure | None:
        """Read the head; returns None if that succeeded."""
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
        """Follow the head by a watch; returns None once other nodes have taken over."""
        self._log.record("watch", "opened", "among the first of its zone")
        # The watch is opened before the head is read, so that no move between the two is lost.
        with trio.move_on_after(self._config.platform_timeout_s) as opening:
            try:
                async with self._source.watch() as moves:
                    opening.deadline = math.inf
                    self.watching = True
                    return await self._follow(moves)
            except PlatformError as error:
                return error.failure
            finally:
                self.watching = False
        return PLATFORM_UNAVAILABLE.because("the watch did not open in time")

    async def _follow(self, moves: AsyncIterator) -> Failure | None:
        post, moved = trio.open_memory_channel(1)
        async with trio.open_nursery() as nursery:
            # The iterator runs in a task of its own because a timeout would end a generator.
            nursery.start_soon(self._pump, moves, post)
            failure = await self._follow_moves(moved)
            nursery.cancel_scope.cancel()
        return failure

    async def _follow_moves(self, moved: trio.MemoryReceiveChannel) -> Failure | None:
        chosen_at = check_at = trio.current_time()
        while True:
            if trio.current_time() >= check_at:
                failure = await self._read(self._config.platform_timeout_s)
                if failure is not None:
                    return failure
                # A watch can stall without an error, so the head is read now and then. The jitter
                # keeps the watchers from reading at the same time.
                wait_s = self._config.watch_check_s * (0.75 + 0.5 * self._rng.random())
                check_at = trio.current_time() + wait_s
            has_moved = False
            with trio.move_on_at(min(check_at, trio.current_time() + _CHOICE_S)):
                try:
                    await moved.receive()
                except trio.EndOfChannel:
                    return PLATFORM_UNAVAILABLE.because("the watch broke")
                has_moved = True
            if has_moved and not await self._is_met_by_peers():
                check_at = -math.inf
            now = trio.current_time()
            if self._is_chosen():
                chosen_at = now
            elif now - chosen_at > _LINGER_S:
                self._log.record("watch", "closed", "other nodes of the zone watch")
                return None

    async def _poll(self, failure: Failure) -> None:
        """Read the head at growing intervals until the platform answers again. The timeout grows
        as well: a platform that is slow for a long time still answers."""
        self._log.record("watch", "polling", failure.reason)
        wait_s = _FIRST_POLL_S
        timeout_s = self._config.platform_timeout_s
        good = 0
        while good < _GOOD_POLLS and self._is_chosen():
            await trio.sleep(wait_s * (0.5 + 0.5 * self._rng.random()))
            if await self._read(timeout_s) is None:
                good += 1
                continue
            good = 0
            self.failures += 1
            wait_s = min(self._config.poll_max_s, 2 * wait_s)
            timeout_s = min(_LONGEST_TIMEOUT_S, 2 * timeout_s)

    async def _is_met_by_peers(self) -> bool:
        """After an event, leave time for a peer that reads first to send the changes."""
        until = trio.current_time() + self._delay_s()
        try:
            while trio.current_time() < until and not self._source.is_met(self._event):
                await trio.sleep(min(_CHECK_S, until - trio.current_time()))
            return self._source.is_met(self._event)
        except PlatformError:
            return False

    async def _pump(self, moves: AsyncIterator, post: trio.MemorySendChannel) -> None:
        """Signal each move once; moves that come while one is signalled are merged."""
        with post:
            try:
                async for self._event in moves:
                    with contextlib.suppress(trio.WouldBlock):
                        post.send_nowait(None)
            except PlatformError:
                return
