"""State of the view, without I/O."""

import contextlib
import time

import structlog

from basilwinch.view.configuration import Configuration
from basilwinch.view.first_read import FirstRead
from basilwinch.view.peer_versions import PeerVersions
from basilwinch.view.server import ServerEntry

__all__ = ["View", "read_boot_clock"]


def read_boot_clock() -> float:
    """Return the seconds since the VM started, including time in which it was suspended.

    The age of the view must grow while the VM is suspended, which the clock of trio does not count.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# Servers that named themselves leaving and are remembered; the oldest are forgotten first.
_MAX_NAMED_LEAVING = 4096


class View:
    """The newest configuration and the registered servers.

    The version of the configuration never decreases within one process. ``confirmed_at`` is the
    time at which the view was last known to be complete.
    """

    __slots__ = (
        "configuration",
        "servers",
        "by_service",
        "by_address",
        "_named_leaving",
        "confirmed_at",
        "peer_versions",
        "_count_peers",
        "_notify_asking",
        "_read_at",
        "first_read",
        "_is_grouping",
        "_is_index_old",
        "_log",
    )

    def __init__(self):
        self.configuration: Configuration | None = None
        self.servers: dict[str, ServerEntry] = {}
        self.by_service: dict[str, list[ServerEntry]] = {}
        self.by_address: dict[tuple[str, int], ServerEntry] = {}
        # Time of birth by id of the servers that named themselves leaving in a response.
        self._named_leaving: dict[str, int] = {}
        self.confirmed_at = float("-inf")
        self.peer_versions = PeerVersions()
        self._count_peers = None
        self._notify_asking = None
        self._read_at = float("-inf")  # time at which it was last complete by the store alone
        self.first_read = FirstRead()
        self._is_grouping = False
        self._is_index_old = False
        self._log = structlog.get_logger("view")

    def set_configuration(self, configuration: Configuration, revision: int) -> None:
        """Replace the configuration by one of a higher version; any other is ignored.

        :param revision: revision of the store at which it was written
        """
        previous = self.configuration
        if previous is not None and configuration.version <= previous.version:
            return
        self.configuration = configuration
        self._log.info(
            "configuration applied",
            version=configuration.version,
            revision=revision,
            routes=len(configuration.routes),
        )

    def set_server(self, entry: ServerEntry, revision: int) -> None:
        """Add or replace the entry of a server.

        :param revision: revision of the store at which it was written
        """
        if self._named_leaving.get(entry.id, entry.born_ms) != entry.born_ms:
            del self._named_leaving[entry.id]  # it has started again
        if entry.id in self._named_leaving:
            entry = entry.replace(leaving=True)
        previous = self.servers.get(entry.id)
        if previous == entry:
            return
        self.servers[entry.id] = entry
        self._index()
        self._log.info(
            "server changed" if previous else "server registered",
            server=entry.id,
            leaving=entry.leaving,
            zone=entry.zone,
            address=f"{entry.host}:{entry.port}",
            layers=entry.layers,
            revision=revision,
        )

    def remove_server(self, server_id: str, revision: int, reason: str) -> None:
        """Remove a server, if it is known.

        :param revision: revision of the store at its removal, 0 if that is not known
        :param reason: why, for the log
        """
        entry = self.servers.pop(server_id, None)
        if entry is None:
            return
        if not entry.born_ms:
            self._named_leaving.pop(server_id, None)  # a new start could not be told
        self._index()
        self._log.info("server removed", server=server_id, revision=revision, reason=reason)

    def mark_leaving(self, server_id: str) -> None:
        """Take a server for leaving because a response of it said so, whatever its entry says.

        This ends when the server has started again. It outlasts the entry, which may lapse for a
        moment and come back.
        """
        entry = self.servers.get(server_id)
        if entry is None or entry.leaving:
            return
        self._named_leaving[server_id] = entry.born_ms
        while len(self._named_leaving) > _MAX_NAMED_LEAVING:
            del self._named_leaving[next(iter(self._named_leaving))]
        self.servers[server_id] = entry.replace(leaving=True)
        self._index()
        self._log.info("server says that it is leaving", server=server_id)

    @property
    def version(self) -> int:
        """Version of the configuration, 0 if there is none."""
        return self.configuration.version if self.configuration is not None else 0

    def set_peers(self, count_peers, notify_asking) -> None:
        """Ask peers before the view is confirmed for the first time, and after each restore.

        :param count_peers: function that returns the number of registered peers
        :param notify_asking: function that is called when peers must be asked
        """
        self._count_peers = count_peers
        self._notify_asking = notify_asking

    def confirm(self, asked_at: float) -> None:
        """Record that the view was complete at a time by what the store says.

        It counts as complete only after peers have been asked.

        :param asked_at: time in seconds at which the query that confirms this was sent
        """
        if self._read_at == float("-inf"):
            self._ask_peers(asked_at)
        self._read_at = max(self._read_at, asked_at)
        self._end_late_asking(asked_at)
        self._accept_read()

    def begin_history(self, now: float) -> None:
        """Ask peers again, as the store was restored from an older copy."""
        self._ask_peers(now)

    def record_peer_version(self, version: int, now: float) -> None:
        """Record the version that a peer has in force, 0 if it has none."""
        if not version:
            return
        if self.peer_versions.record(version, self.version, now):
            self._log.info(
                "peer has a newer configuration", version=version, own_version=self.version
            )
        self.peer_versions.end_asking()
        self._accept_read()

    def _ask_peers(self, now: float) -> None:
        if self._count_peers is not None and self._count_peers():
            self.peer_versions.ask(self.confirmed_at, now)
            self._notify_asking()

    def _end_late_asking(self, now: float) -> None:
        if self.peer_versions.is_asking and now >= self.peer_versions.ask_until:
            self._log.info("no peer has named its version, relying on the store")
            self.peer_versions.end_asking()
            self._accept_read()

    def _accept_read(self) -> None:
        if not self.peer_versions.is_asking:
            self.confirmed_at = max(self.confirmed_at, self._read_at)
            if self.is_loaded:
                self.first_read.complete()

    @property
    def is_loaded(self) -> bool:
        """Whether the view has been read completely at least once."""
        return self.confirmed_at != float("-inf")

    def age(self, now: float) -> float:
        """Return the seconds since the view was last known to be complete."""
        self._end_late_asking(now)
        missing_since = self.peer_versions.find_missing_since(self.version, now)
        return now - min(self.confirmed_at, missing_since)

    @contextlib.contextmanager
    def group_changes(self):
        """Group the servers once, at the end of a series of changes.

        ``by_service`` and ``by_address`` are not current within it, so it must not wait.
        """
        self._is_grouping = True
        try:
            yield
        finally:
            self._is_grouping = False
            if self._is_index_old:
                self._index()

    def _index(self) -> None:
        """Group the servers by service and by address. Time is linear in their number."""
        self._is_index_old = self._is_grouping
        if self._is_grouping:
            return
        groups: dict[str, list[ServerEntry]] = {}
        for entry in self.servers.values():
            groups.setdefault(entry.service, []).append(entry)
        self.by_service = groups
        self.by_address = {entry.address: entry for entry in self.servers.values()}
