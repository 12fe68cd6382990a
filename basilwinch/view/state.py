"""State of the view, free of I/O."""

import time

import structlog

from basilwinch.view.configuration import Configuration
from basilwinch.view.server import ServerEntry

__all__ = ["View", "read_boot_clock"]


def read_boot_clock() -> float:
    """Return seconds since the VM started, including time in which it was suspended.

    The age of the view must grow while the VM stands still; the clock of trio does not count that.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class View:
    """The newest configuration and the registered servers.

    The version of the configuration never goes back within one process.

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
        """Put a configuration in force unless a newer one is."""
        held = self.configuration
        if held is not None and configuration.version <= held.version:
            return
        self.configuration = configuration
        self._log.info(
            "configuration in force",
            version=configuration.version,
            revision=revision,
            routes=len(configuration.routes),
        )

    def set_server(self, entry: ServerEntry, revision: int) -> None:
        """Take over a server's entry."""
        held = self.servers.get(entry.id)
        if held == entry:
            return
        self.servers[entry.id] = entry
        self._index()
        self._log.info(
            "server changed" if held else "server registered",
            server=entry.id,
            leaving=entry.leaving,
            zone=entry.zone,
            address=f"{entry.host}:{entry.port}",
            layers=entry.layers,
            revision=revision,
        )

    def remove_server(self, server_id: str, revision: int, reason: str) -> None:
        """Forget a server."""
        if self.servers.pop(server_id, None) is None:
            return
        self._index()
        self._log.info("server gone", server=server_id, revision=revision, reason=reason)

    def confirm(self, asked_at: float) -> None:
        """Note that the view was complete at a time.

        :param asked_at: time, in seconds, before the store answered
        """
        self.confirmed_at = max(self.confirmed_at, asked_at)

    @property
    def is_known(self) -> bool:
        """Whether the view has been complete at any time."""
        return self.confirmed_at != float("-inf")

    def age(self, now: float) -> float:
        """Return the seconds since the view was known to be complete."""
        return now - self.confirmed_at

    def _index(self) -> None:
        """Group the servers by service. Time linear in their number."""
        groups: dict[str, list[ServerEntry]] = {}
        for entry in self.servers.values():
            groups.setdefault(entry.service, []).append(entry)
        self.by_service = groups
