"""Follows the head in the key-value service on behalf of a node."""

import time

import structlog
import trio

from basilwinch.exception import RELEASE_FORKED, RELEASE_GAP, Failure, PlatformError
from basilwinch.record import Record
from basilwinch.release.layout import HEAD
from basilwinch.release.loader import load_state, read_head, read_history
from basilwinch.release.reinstate import reinstate
from basilwinch.release.replica import Replica
from basilwinch.store import KeyValueStore

__all__ = ["Follower", "FollowerConfig"]

# A replica that is further behind reads the whole state.
_MAX_BEHIND = 100


class FollowerConfig(Record):
    """Settings of a follower.

    :param reread_s: seconds after which the head is read again even without an event, in case the
        connection of the watch is dead
    :param backoff_s: largest wait after a failure of the platform
    """

    __slots__ = ("reread_s", "backoff_s")
    _defaults = {"reread_s": 30.0, "backoff_s": 2.0}


class Follower:
    """Keeps a replica up to date from the platform; run it on the nodes that watch.

    :param config: :class:`FollowerConfig`
    :param store: key-value service
    :param replica: :class:`~basilwinch.release.Replica` to keep up to date
    :param rng: :class:`random.Random` for waits
    :param on_change: called without arguments after each change of the replica
    :param clock: function that returns seconds since the epoch, for the history
    """

    def __init__(
        self,
        config: FollowerConfig,
        store: KeyValueStore,
        replica: Replica,
        rng,
        on_change=lambda: None,
        clock=time.time,
    ):
        self._config = config
        self._store = store
        self._replica = replica
        self._rng = rng
        self._on_change = on_change
        self._clock = clock
        self._lock = trio.Lock()
        self._log = structlog.get_logger("release")

    @classmethod
    def from_config(cls, config: FollowerConfig, store, replica, rng, **options) -> "Follower":
        """Build a follower from its settings; see the class for the parameters."""
        return cls(config, store, replica, rng, **options)

    async def run(self) -> None:
        """Follow the head until cancelled."""
        failures = 0
        while True:
            try:
                async with self._store.watch(HEAD) as events:
                    failures = 0
                    await self._follow(events)
            except PlatformError as error:
                failures += 1
                self._log.warning("head not readable", reason=error.failure.reason)
            delay = min(0.05 * 2**failures, self._config.backoff_s)
            await trio.sleep(delay * self._rng.uniform(0.5, 1.5))

    async def catch_up(self) -> bool:
        """Bring the replica up to the head, or the head up to the replica.

        :returns: whether the replica changed
        :raises PlatformError: if the platform fails
        """
        async with self._lock:
            before = self._replica.revision
            head = await read_head(self._store)
            if head.revision != self._replica.state.revision:
                await self._take(head)
            changed = self._replica.revision != before
        if changed:
            self._on_change()
        return changed

    async def _follow(self, events):
        """Catch up at each event and from time to time; raise the failure of either."""
        failure: list[PlatformError] = []

        async def on_events():
            async for _ in events:
                await self.catch_up()

        async def on_time():
            while True:
                # The first call takes what came before the watch was open.
                await self.catch_up()
                await trio.sleep(self._config.reread_s * self._rng.uniform(0.8, 1.2))

        async def guard(task):
            try:
                await task()
            except PlatformError as error:
                failure.append(error)
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(guard, on_events)
            nursery.start_soon(guard, on_time)
        if failure:
            raise failure[0]

    async def _take(self, head):
        held = self._replica.state.revision
        if head.revision.number > held.number:
            result = await self._take_notes(head, held)
            if isinstance(result, Failure) and result.kind is not RELEASE_FORKED:
                result = self._replica.adopt(await load_state(self._store))
            if not isinstance(result, Failure):
                return
        # The platform lacks what this node holds. Not all nodes should write at once.
        await trio.sleep(self._rng.uniform(0, 0.5))
        dropped = await reinstate(self._store, self._replica, self._rng, self._clock())
        self._log.warning(
            "platform was behind", held=held.number, head=head.revision.number, dropped=dropped
        )

    async def _take_notes(self, head, held) -> bool | Failure:
        if held.number == 0 or head.revision.number - held.number > _MAX_BEHIND:
            return RELEASE_GAP.because("too far behind")
        try:
            history = await read_history(self._store, head.revision, held.number)
        except PlatformError as error:
            if error.failure.kind is not RELEASE_GAP:
                raise
            return error.failure
        return self._replica.apply(history)
