"""What a node knows about outages of the key-value service."""

import math

__all__ = ["PlatformContact"]

_GAPS_KEPT = 200


class PlatformContact:
    """Tells which orders may have been refused somewhere while the key-value service was down.

    All times are the node's wall clock in seconds. An outage means that no call of any node
    succeeds. If it lasts ``wait_s``, nodes answer orders issued during it with "not run" without
    being able to record that. Two rules make this answer final:

    - A node gives it only for an id issued after the outage began (:meth:`is_born_in_outage`), so
      no copy can have been claimed before.
    - After the outage every node refuses to run such an id (:meth:`is_doubtful`). A node takes
      each period of ``wait_s`` without a successful call of its own for a possible outage, so it
      needs no word from the others.

    :param wait_s: shortest outage in which an order is refused
    :param skew_s: largest difference between the clocks of two nodes

    >>> contact = PlatformContact(10.0, 0.5)
    >>> contact.succeed(100.0, 100.1, 7)
    >>> contact.fail(101.0)
    >>> contact.is_born_in_outage(103.0, 111.5), contact.is_born_in_outage(100.9, 111.5)
    (True, False)
    >>> contact.succeed(112.0, 112.1, 8)
    >>> contact.is_doubtful(103.0), contact.is_doubtful(113.2)
    (True, False)
    """

    __slots__ = ("_wait_s", "_skew_s", "_last_success", "_down_since", "_gaps", "_revision")

    def __init__(self, wait_s: float, skew_s: float):
        self._wait_s = wait_s
        self._skew_s = skew_s
        self._last_success: float | None = None
        self._down_since: float | None = None
        self._gaps: list[tuple[float, float]] = []
        self._revision = 0

    @property
    def last_success(self) -> float | None:
        """Start of the last call that succeeded, or None."""
        return self._last_success

    @property
    def down_since(self) -> float | None:
        """Time of the first failed call since the last success, or None."""
        return self._down_since

    def succeed(self, started: float, ended: float, revision: int = 0) -> None:
        """Note a successful call; ``revision`` is the store's revision if the call told it.

        A lower revision than before means that the store was restored from an older state, and
        claims may be missing: every id issued until now is doubtful.
        """
        last = self._last_success
        restored = bool(revision) and revision < self._revision
        if last is None or restored:
            self._gaps.append((-math.inf, ended))
        elif ended - last >= self._wait_s * 0.9:
            self._gaps.append((last, ended))
        if revision:
            self._revision = revision if restored else max(revision, self._revision)
        self._last_success = started if last is None else max(last, started)
        self._down_since = None
        if len(self._gaps) > _GAPS_KEPT:
            first, second, *rest = self._gaps
            self._gaps = [(first[0], second[1]), *rest]

    def fail(self, ended: float) -> None:
        """Note a call that certainly had no effect because the service did not take it."""
        if self._down_since is None:
            self._down_since = ended

    def is_born_in_outage(self, issued: float, now: float) -> bool:
        """Return whether the service has been down since before an id was issued, for ``wait_s``.

        A claim is sent only if its id is at most ``skew_s`` ahead of the claiming node's clock,
        and that clock is at most ``skew_s`` off, so a claim of this id would fall into the outage.
        """
        down = self._down_since
        if down is None or now - down < self._wait_s:
            return False
        return issued > down + 2 * self._skew_s

    def is_doubtful(self, issued: float) -> bool:
        """Return whether an id may have been refused as not run in an outage. Linear in outages."""
        skew = 2 * self._skew_s
        return any(start - skew < issued < end + skew for start, end in self._gaps)

    def forget(self, before: float) -> None:
        """Drop outages that ended before a time; ids that old are not run any more."""
        self._gaps = [(start, end) for start, end in self._gaps if end >= before]
