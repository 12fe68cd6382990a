"""Watch of the release head in the key-value service."""

import time

import structlog
import trio

from basilwinch.exception import RELEASE_FORKED, RELEASE_GAP, Failure, PlatformError
from basilwinch.record import Record
from basilwinch.release.layout import HEAD_KEY
from basilwinch.release.loader import load_state, read_head, read_history
from basilwinch.release.reinstate import reinstate
from basilwinch.release.replica import Replica
from basilwinch.store import KeyValueStore

__all__ = ["Follower", "FollowerConfig"]

# A replica that lacks more notes reads the whole state.
_MAX_NOTES_BEHIND = 100


class FollowerConfig(Record):
    """Settings of a follower.

    :param reread_s: seconds after which the head is read again even without an event, in case the
        watch has lost its connection unnoticed
    :param max_backoff_s: maximum wait in seconds after a failure of the platform
    """

    __slots__ = ("reread_s", "max_backoff_s")
    _defaults = {"reread_s": 30.0, "max_backoff_s": 2.0}


class Follower:
    """Keeps a replica up to date from the platform, on the nodes that watch the head.

    :param config: :class:`FollowerConfig`
    :param store: key-value service
    :param replica: :class:`~basilwinch.release.Replica` to keep up to date
    :param rng: :class:`random.Random` for the jitter of waits
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
                async with self._store.watch(HEAD_KEY) as events:
                    failures = 0
                    await self._follow(events)
            except PlatformError as error:
                failures += 1
                self._log.warning("watch of the release head failed", reason=error.failure.reason)
            delay = min(0.05 * 2**failures, self._config.max_backoff_s)
            await trio.sleep(delay * self._rng.uniform(0.5, 1.5))

    async def catch_up(self) -> bool:
        """Apply newer notes of the platform, or write notes back that the platform lacks.

        :returns: whether the replica changed
        :raises PlatformError: if the platform refuses or does not answer
        """
        async with self._lock:
            before = self._replica.revision
            head = await read_head(self._store)
            if head.revision != self._replica.state.revision:
                await self._apply_head(head)
            changed = self._replica.revision != before
        if changed:
            self._on_change()
        return changed

    async def _follow(self, events):
        """Catch up at each event and at intervals; raise the failure of either task."""
        failure: list[PlatformError] = []

        async def on_events():
            async for _ in events:
                await self.catch_up()

        async def poll():
            while True:
                # The first call applies changes made before the watch was open.
                await self.catch_up()
                await trio.sleep(self._config.reread_s * self._rng.uniform(0.8, 1.2))

        async def run_guarded(task):
            try:
                await task()
            except PlatformError as error:
                failure.append(error)
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_guarded, on_events)
            nursery.start_soon(run_guarded, poll)
        if failure:
            raise failure[0]

    async def _apply_head(self, head):
        held = self._replica.state.revision
        if head.revision.number > held.number:
            result = await self._apply_notes(head, held)
            if isinstance(result, Failure) and result.kind is not RELEASE_FORKED:
                result = self._replica.apply_state(await load_state(self._store))
            if not isinstance(result, Failure):
                return
        # The platform lacks notes that this node holds. The random wait prevents that all nodes
        # write at the same time.
        await trio.sleep(self._rng.uniform(0, 0.5))
        dropped = await reinstate(self._store, self._replica, self._rng, self._clock())
        self._log.warning(
            "platform lacked notes that this node holds",
            held=held.number,
            head=head.revision.number,
            dropped=dropped,
        )

    async def _apply_notes(self, head, held) -> bool | Failure:
        if held.number == 0 or head.revision.number - held.number > _MAX_NOTES_BEHIND:
            return RELEASE_GAP.because(
                f"the replica at revision {held.number} is empty or more than {_MAX_NOTES_BEHIND}"
                f" revisions behind revision {head.revision.number}"
            )
        try:
            history = await read_history(self._store, head.revision, held.number)
        except PlatformError as error:
            if error.failure.kind is not RELEASE_GAP:
                raise
            return error.failure
        return self._replica.apply_notes(history)
