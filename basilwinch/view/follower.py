"""Follows the store and keeps the view up to date."""

import structlog
import trio

from basilwinch.exception import HISTORY_COMPACTED, PlatformError
from basilwinch.view.state import View

__all__ = ["Follower", "ViewSource"]

_PAUSE_S = 0.2  # first pause after a failed call
_LONGEST_PAUSE_S = 1.0  # half of the time in which a new configuration must be in force
# A waiting call shows no silent connection, so it ends after a share of the time in which a
# withdrawn key must be refused.
_WAIT_S = 1.2
_BATCH_S = 0.15  # pause after changes, so that a series of them takes few calls
_RETURN_S = 2.0  # time in which servers that lapsed during an outage are back


class ViewSource:
    """Names and decoders of the keys that make up the view.

    :param store: store with ``scan_at`` and ``poll``
    :param prefix: prefix of all keys
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
    """Reads the view once, then follows its changes.

    A server that vanishes while the store was away gets ``_RETURN_S`` to come back.

    :param source: :class:`ViewSource`
    :param view: :class:`View` to keep up to date
    :param rng: random numbers for pauses
    :param clock: function that returns the time in seconds
    """

    __slots__ = ("_source", "_view", "_rng", "_clock", "_log", "_lost_at", "_missing", "on_key")

    def __init__(self, source: ViewSource, view: View, rng, clock):
        self._source = source
        self._view = view
        self._rng = rng
        self._clock = clock
        self._log = structlog.get_logger("follower")
        self._lost_at: float | None = None
        self._missing: dict[str, float] = {}
        self.on_key = None

    async def run(self) -> None:
        """Follow forever."""
        revision = None
        pause = _PAUSE_S
        while True:
            try:
                if revision is None:
                    revision = await self._read_all()
                revision, changed = await self._read_changes(revision)
                self._regained()
                pause = _PAUSE_S
                if changed:
                    await trio.sleep(_BATCH_S)
            except PlatformError as error:
                if error.failure.kind is HISTORY_COMPACTED:
                    self._log.warning("history lost, reading anew", after=revision)
                    revision = None
                    continue
                self._lost(error)
                await trio.sleep(pause * self._rng.uniform(0.5, 1.0))
                pause = min(_LONGEST_PAUSE_S, pause * 2)
            self._drop_missing()

    async def _read_all(self) -> int:
        """Read every key; return the revision from which changes are to be read."""
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
        self._view.confirm(asked_at)
        return start

    def _remove_unseen(self, seen: set, revision: int) -> None:
        prefix = self._source.servers_prefix
        for server_id in list(self._view.servers):
            if prefix + server_id not in seen:
                self._remove(server_id, revision, "not listed")

    async def _read_changes(self, revision: int) -> tuple[int, bool]:
        asked_at = self._clock()
        changes = await self._source.store.poll("", revision, _WAIT_S)
        for event in changes.events:
            self._apply(event.key, event.value, event.mod_revision)
        self._view.confirm(asked_at)
        return max(revision, changes.revision), bool(changes.events)

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
        """Forget a server, at once or, after an outage, when it has had time to come back."""
        if self._lost_at is None:
            self._view.remove_server(server_id, revision, reason)
        elif server_id in self._view.servers:
            self._missing.setdefault(server_id, self._clock() + _RETURN_S)

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
        if self._lost_at is not None and not self._missing:
            self._log.info("store regained", after_s=round(self._clock() - self._lost_at, 3))
            self._lost_at = None
