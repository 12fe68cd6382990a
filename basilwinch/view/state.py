"""State of the view, without I/O."""

import time

import structlog

from basilwinch.view.configuration import Configuration
from basilwinch.view.server import ServerEntry

__all__ = ["View", "read_boot_clock"]


def read_boot_clock() -> float:
    """Return the seconds since the VM started, including time in which it was suspended.

    The age of the view must grow while the VM is suspended, which the clock of trio does not count.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class View:
    """The newest configuration and the registered servers.

    The version of the configuration never decreases within one process.
    """

    __slots__ = (
        "configuration",
        "servers",
        "by_service",
        "confirmed_at",
        "_log",
    )

    def __init__(self):
        self.configuration: Configuration | None = None
        self.servers: dict[str, ServerEntry] = {}
        self.by_service: dict[str, list[ServerEntry]] = {}
        self.confirmed_at = float("-inf")
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
        if self.servers.pop(server_id, None) is None:
            return
        self._index()
        self._log.info("server removed", server=server_id, revision=revision, reason=reason)

    def confirm(self, asked_at: float) -> None:
        """Record that the view was complete at a time.

        :param asked_at: time in seconds at which the query that confirms this was sent
        """
        self.confirmed_at = max(self.confirmed_at, asked_at)

    @property
    def is_loaded(self) -> bool:
        """Whether the view has been read completely at least once."""
        return self.confirmed_at != float("-inf")

    def age(self, now: float) -> float:
        """Return the seconds since the view was last confirmed to be complete."""
        return now - self.confirmed_at

    def _index(self) -> None:
        """Group the servers by service. Time is linear in their number."""
        groups: dict[str, list[ServerEntry]] = {}
        for entry in self.servers.values():
            groups.setdefault(entry.service, []).append(entry)
        self.by_service = groups
