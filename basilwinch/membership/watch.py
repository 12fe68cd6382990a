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

__all__ = ["RevisionSource", "Watcher", "choose_watchers"]

_CHECK_S = 0.25
# A node that is no longer chosen goes on watching for a while, because a suspicion that is
# contradicted would otherwise open and close a watch.
_LINGER_S = 10.0
_FIRST_POLL_S = 0.25
# Polls in a row that succeed before the watch is opened again.
_GOOD_POLLS = 2
_LONGEST_TIMEOUT_S = 8.0


class RevisionSource(Protocol):
    """The platform as the membership package needs it."""

    async def refresh(self) -> bool:
        """Read the head and bring the replica to it.

        :returns: whether the replica holds a newer revision than before
        :raises PlatformError: if the platform does not answer
        """

    def watch(self) -> AbstractAsyncContextManager[AsyncIterator]:
        """Watch the head; yields once for each time it moved.

        :raises PlatformError: if the watch cannot be opened or breaks
        """


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
    :param on_read: called after each successful read with whether the replica changed
    :param rng: source of randomness
    :param log: decision log
    """

    def __init__(
        self,
        source: RevisionSource,
        config: MembershipConfig,
        is_chosen: Callable[[], bool],
        on_read: Callable[[bool], Awaitable[None]],
        rng: Random,
        log: DecisionLog,
    ):
        self._source = source
        self._config = config
        self._is_chosen = is_chosen
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
            nursery.start_soon(_pump, moves, post)
            failure = await self._follow_moves(moved)
            nursery.cancel_scope.cancel()
        return failure

    async def _follow_moves(self, moved: trio.MemoryReceiveChannel) -> Failure | None:
        chosen_at = trio.current_time()
        while True:
            failure = await self._read(self._config.platform_timeout_s)
            if failure is not None:
                return failure
            # A watch can stall without an error, so the head is read now and then. The jitter
            # keeps the watchers from reading at the same time.
            wait_s = self._config.watch_check_s * (0.75 + 0.5 * self._rng.random())
            with trio.move_on_after(wait_s):
                try:
                    await moved.receive()
                except trio.EndOfChannel:
                    return PLATFORM_UNAVAILABLE.because("the watch broke")
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


async def _pump(moves: AsyncIterator, post: trio.MemorySendChannel) -> None:
    """Signal each move once; moves that come while one is signalled are merged."""
    with post:
        try:
            async for _ in moves:
                with contextlib.suppress(trio.WouldBlock):
                    post.send_nowait(None)
        except PlatformError:
            return
