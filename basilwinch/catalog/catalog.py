"""The state in effect at one revision."""

from basilwinch.catalog.entries import (
    Adapter,
    Holding,
    Model,
    Organisation,
    Server,
    Service,
    Version,
)
from basilwinch.record import Record

__all__ = ["Catalog", "SECTIONS"]

SECTIONS = {
    "models": Model,
    "versions": Version,
    "adapters": Adapter,
    "servers": Server,
    "services": Service,
    "organisations": Organisation,
    "holdings": Holding,
}


class Catalog(Record):
    """All entries in effect, as one dict by name for each section; must not be changed.

    :param revision: number of the revision, 0 before the first accepted release note

    >>> Catalog().replace(revision=3).revision
    3
    """

    __slots__ = ("revision", *SECTIONS)

    def __init__(self, revision: int = 0, **sections):
        super().__init__(revision, **{name: sections.get(name, {}) for name in SECTIONS})

    @classmethod
    def from_dict(cls, fields: dict) -> "Catalog":
        """Build a catalog from its JSON form.

        :param fields: dict of ``revision`` and a list of entries for each section
        :raises TypeError: on a malformed entry
        """
        sections = {
            name: {entry.name: entry for entry in map(entry_type.from_dict, fields.get(name, ()))}
            for name, entry_type in SECTIONS.items()
        }
        return cls(fields.get("revision", 0), **sections)

    def to_dict(self) -> dict:
        """Return the fields by name, with each section as a dict of entries."""
        return super().to_dict()

    def to_json_dict(self) -> dict:
        """Return the JSON form that :meth:`from_dict` reads, with entries ordered by name."""
        sections = {
            name: [entry.to_dict() for _, entry in sorted(getattr(self, name).items())]
            for name in SECTIONS
        }
        return {"revision": self.revision, **sections}

    def servers_of(self, service: str) -> list[Server]:
        """Return the servers of a service, ordered by name. Scans all servers."""
        servers = (server for server in self.servers.values() if server.service == service)
        return sorted(servers, key=lambda server: server.name)
