"""Look-up of organisations by API key, and generation of request ids."""

import hashlib

from basilwinch.catalog import Catalog, Organisation
from basilwinch.exception import WRONG_KEY, Failure

__all__ = ["KeyIndex", "RequestIds"]


class KeyIndex:
    """Finds an organisation by its API key.

    The index is rebuilt only when the organisations of the catalog change, because rebuilding it
    from 21,000 organisations on each of 53,000 revisions a day would be wasted work.
    """

    __slots__ = ("_organisations", "_by_digest")

    def __init__(self):
        self._organisations: dict | None = None
        self._by_digest: dict[str, Organisation] = {}

    def find(self, catalog: Catalog, authorization: str) -> Organisation | Failure:
        """Return the organisation of an ``Authorization`` header, or ``WRONG_KEY``.

        :param catalog: the catalog in effect
        :param authorization: value of the header
        """
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer" or not key.strip():
            return WRONG_KEY.because(
                "expected the header 'Authorization: Bearer KEY'; it is missing or has another form"
            )
        if self._organisations is not catalog.organisations:
            self._organisations = catalog.organisations
            self._by_digest = {o.key_digest: o for o in catalog.organisations.values()}
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        organisation = self._by_digest.get(digest)
        return organisation or WRONG_KEY.because("the API key belongs to no organisation")


class RequestIds:
    """Generates ids that are unique across nodes and across restarts of a node.

    :param prefix: prefix of the ids, unique for each start of each node

    >>> ids = RequestIds("n1")
    >>> ids.create(), ids.create()
    ('n1-1', 'n1-2')
    """

    __slots__ = ("_prefix", "_count")

    def __init__(self, prefix: str):
        self._prefix = prefix
        self._count = 0

    def create(self) -> str:
        """Return a new id."""
        self._count += 1
        return f"{self._prefix}-{self._count}"
