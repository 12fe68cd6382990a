"""Organisations by API key, and ids of requests."""

import hashlib

from basilwinch.catalog import Catalog, Organisation
from basilwinch.exception import WRONG_KEY, Failure

__all__ = ["KeyIndex", "RequestIds"]


class KeyIndex:
    """Finds an organisation by its API key.

    The index is rebuilt only when the organisations of the catalog change, because a catalog of
    21,000 organisations would otherwise be read anew on each of 53,000 revisions a day.
    """

    __slots__ = ("_organisations", "_by_digest")

    def __init__(self):
        self._organisations: dict | None = None
        self._by_digest: dict[str, Organisation] = {}

    def find(self, catalog: Catalog, authorization: str) -> Organisation | Failure:
        """Return the organisation of an ``Authorization`` header, or ``WRONG_KEY``.

        :param catalog: the state in force
        :param authorization: value of the header
        """
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer" or not key.strip():
            return WRONG_KEY.because("expected the header 'Authorization: Bearer KEY'")
        if self._organisations is not catalog.organisations:
            self._organisations = catalog.organisations
            self._by_digest = {o.key_digest: o for o in catalog.organisations.values()}
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        organisation = self._by_digest.get(digest)
        return organisation or WRONG_KEY.because("no organisation has this key")


class RequestIds:
    """Ids that differ between nodes and between runs of one node.

    :param boot: text that differs for each run of each node

    >>> ids = RequestIds("n1")
    >>> ids.next(), ids.next()
    ('n1-1', 'n1-2')
    """

    __slots__ = ("_boot", "_count")

    def __init__(self, boot: str):
        self._boot = boot
        self._count = 0

    def next(self) -> str:
        """Return a new id."""
        self._count += 1
        return f"{self._boot}-{self._count}"
