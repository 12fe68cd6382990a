"""Follows the store and keeps the view up to date."""

import structlog
import trio

from basilwinch.exception import HISTORY_COMPACTED, PlatformError
from basilwinch.view.state import View

__all__ = ["Follower", "ViewSource"]

_PAUSE_S = 0.2  # first pause after a failed call
_LONGEST_PAUSE_S = 1.0  # half of the time in which a new configuration must be in force
_WAIT_S = 10.0  # of a watch; an answer comes at once when there are changes
# Between questions for the store's revision. Together with a slow answer it leaves most of the time
# until keys are refused for an outage of the store.
_CHECK_S = 1.3
# In a large fleet nodes ask less often, since the store's rate grows more slowly than the fleet.
_LONGEST_CHECK_S = 2.4
_CHECKS_PER_S = 30.0  # of all nodes, until the longest pause is reached
_CHECK_AGAIN_S = 0.5  # after a check that got no answer, as keys may be refused until one does
_CATCH_UP_S = 0.2  # beyond the pause: time for the watch to bring what a check has shown
# Pause after changes, so that a series of them takes few calls; in a large fleet each node waits
# longer, as a change wakes all of them.
_BATCH_S = 0.25
_LONGEST_BATCH_S = 0.7
_BATCH_PER_NODE_S = 0.01
_RETURN_S = 2.0  # time in which servers that lapsed during an outage are back
# After the store's return: time in which its watch tells what lapsed; covers the longest pause.
_LAPSE_S = 1.2


class ViewSource:
    """Names and decoders of the keys that make up the view.

    :param store: store with ``scan_at`` and ``poll``
    :param configuration_key: key of the configuration
    :param servers_prefix: prefix of the servers' keys
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


class Follower:
    """Reads the view once, follows its changes, and checks that none is missing.

    A watch that says nothing proves nothing: its connection may be silent for good, or the store
    may have dropped events. So the store's revision is asked for from time to time. If the watch
    has not brought the changes up to it soon after, everything is read anew.

    A server that vanishes while the store was away gets ``_RETURN_S`` to come back.

    :param source: :class:`ViewSource`
    :param view: :class:`View` to keep up to date
    :param rng: random numbers for pauses
    :param clock: function that returns the time in seconds, suspension included
    """

    __slots__ = (
        "_source",
        "_view",
        "_rng",
        "_clock",
        "_log",
        "_lost_at",
        "_returned_at",
        "_missing",
        "_revision",
        "_watch_scope",
        "check_s",
        "_batch_s",
        "on_key",
    )

    def __init__(self, source: ViewSource, view: View, rng, clock):
        self._source = source
        self._view = view
        self._rng = rng
        self._clock = clock
        self._log = structlog.get_logger("follower")
        self._lost_at: float | None = None
        self._returned_at = float("-inf")
        self._missing: dict[str, float] = {}
        self._revision: int | None = None
        self._watch_scope = trio.CancelScope()
        self.check_s = _CHECK_S
        self._batch_s = _BATCH_S
        self.on_key = None

    def set_nodes(self, nodes: int) -> None:
        """Fit the pauses to the number of nodes."""
        self.check_s = min(_LONGEST_CHECK_S, max(_CHECK_S, nodes / _CHECKS_PER_S))
        self._batch_s = min(_LONGEST_BATCH_S, max(_BATCH_S, nodes * _BATCH_PER_NODE_S))

    async def run(self) -> None:
        """Follow forever."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            nursery.start_soon(self._check)

    async def _follow(self) -> None:
        pause = _PAUSE_S
        while True:
            try:
                if self._revision is None:
                    await self._read_all()
                    self._regained()
                with trio.CancelScope() as self._watch_scope:
                    changed = await self._read_changes(self._revision)
                    self._regained()
                    pause = _PAUSE_S
                    await trio.sleep(self._batch_s if changed else 0)
            except PlatformError as error:
                if error.failure.kind is HISTORY_COMPACTED:
                    self._log.warning("history lost, reading anew", after=self._revision)
                    self._revision = None
                    continue
                self._lost(error)
                await trio.sleep(pause * self._rng.uniform(0.5, 1.0))
                pause = min(_LONGEST_PAUSE_S, pause * 2)

    async def _check(self) -> None:
        """Ask for the store's revision, and read anew if changes are missing."""
        pause = self.check_s
        while True:
            await trio.sleep(pause * self._rng.uniform(0.8, 1.0))
            # Lapsed servers are looked at often enough to be dropped in time.
            pause = _CHECK_AGAIN_S if self._missing else self.check_s
            self._drop_missing()
            if self._revision is None:
                continue
            asked_at = self._clock()
            try:
                revision = await self._source.store.read_revision()
            except PlatformError as error:
                self._lost(error)
                pause = _CHECK_AGAIN_S
                continue
            self._regained()
            if not self._holds(revision):
                await trio.sleep(self._batch_s + _CATCH_UP_S)
            if self._holds(revision):
                self._view.confirm(asked_at)
            else:
                self._log.warning("changes missing, reading anew", held=self._revision, at=revision)
                self._revision = None
                self._watch_scope.cancel()

    def _holds(self, revision: int) -> bool:
        return self._revision is not None and self._revision >= revision

    async def _read_all(self) -> None:
        """Read every key, and set the revision from which changes are to be read."""
        asked_at = self._clock()
        seen = set()
        start, after = None, ""
        while True:
            page, revision = await self._source.store.scan_at("", after)
            start = revision if start is None else start
            for item in page.items:
                seen.add(item.key)
                self._apply(item.key, item.value, item.mod_revision)
            if not page.more:
                break
            after = page.items[-1].key
        self._remove_unseen(seen, start)
        self._revision = start
        self._view.confirm(asked_at)

    async def _read_changes(self, after: int) -> bool:
        """Apply the next changes; return whether there were any.

        Only events move the revision on: an answer without them may leave changes out.
        """
        changes = await self._source.store.poll("", after, _WAIT_S)
        for event in changes.events:
            self._apply(event.key, event.value, event.mod_revision)
            if self._revision is not None:
                self._revision = max(self._revision, event.mod_revision)
        return bool(changes.events)

    def _remove_unseen(self, seen: set, revision: int) -> None:
        prefix = self._source.servers_prefix
        for server_id in list(self._view.servers):
            if prefix + server_id not in seen:
                self._remove(server_id, revision, "not listed")

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
            self._missing.pop(server_id, None)
            self._view.set_server(entry, revision)

    def _remove(self, server_id: str, revision: int, reason: str) -> None:
        """Forget a server, at once or, if it lapsed in an outage, when it has had time to return.

        Only what lapsed in the outage may wait: a server that leaves without a word is bound to get
        no requests soon after its entry goes.
        """
        now = self._clock()
        if self._lost_at is None and now - self._returned_at > _LAPSE_S:
            self._missing.pop(server_id, None)
            self._view.remove_server(server_id, revision, reason)
        elif server_id in self._view.servers:
            self._missing.setdefault(server_id, now + _RETURN_S)

    def _drop_missing(self) -> None:
        now = self._clock()
        for server_id in [s for s, until in self._missing.items() if until <= now]:
            del self._missing[server_id]
            self._view.remove_server(server_id, 0, "did not come back after an outage")

    def _lost(self, error: PlatformError) -> None:
        if self._lost_at is None:
            self._lost_at = self._clock()
            self._log.warning("store lost", reason=error.failure.reason)

    def _regained(self) -> None:
        if self._lost_at is None:
            return
        now = self._clock()
        self._log.info("store regained", after_s=round(now - self._lost_at, 3))
        self._lost_at = None
        self._returned_at = now
