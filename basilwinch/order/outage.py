"""Outages of the key-value service as observed by a node."""

import math

__all__ = ["OutageTracker"]

# When there are more, the two oldest are merged.
_MAX_OUTAGES_KEPT = 200


class OutageTracker:
    """Tells which orders a node may have answered with "not run" while the service was down.

    All times are the node's wall clock in seconds. An outage means that no call of any node
    succeeds. Once it has lasted ``min_outage_s``, nodes answer orders issued during it with "not
    run", but cannot record this answer. Two rules make this answer final:

    - A node gives it only for an id issued after the outage began (:meth:`is_issued_in_outage`), so
      no copy can have been claimed before.
    - After the outage every node refuses to run such an id
      (:meth:`is_possibly_answered_not_run`). A node counts each period of at least 0.9
      ``min_outage_s`` without a successful call of its own as a possible outage, so it needs no
      information from other nodes.

    :param min_outage_s: shortest outage in which orders are answered with "not run"
    :param max_clock_skew_s: largest difference between the clocks of two nodes

    >>> outages = OutageTracker(10.0, 0.5)
    >>> outages.record_success(100.0, 100.1, 7)
    >>> outages.record_failure(101.0)
    >>> outages.is_issued_in_outage(103.0, 111.5), outages.is_issued_in_outage(100.9, 111.5)
    (True, False)
    >>> outages.record_success(112.0, 112.1, 8)
    >>> outages.is_possibly_answered_not_run(103.0), outages.is_possibly_answered_not_run(113.2)
    (True, False)
    """

    __slots__ = (
        "_min_outage_s",
        "_max_clock_skew_s",
        "_last_success",
        "_down_since",
        "_outages",
        "_revision",
    )

    def __init__(self, min_outage_s: float, max_clock_skew_s: float):
        self._min_outage_s = min_outage_s
        self._max_clock_skew_s = max_clock_skew_s
        self._last_success: float | None = None
        self._down_since: float | None = None
        self._outages: list[tuple[float, float]] = []
        self._revision = 0

    @property
    def last_success_at(self) -> float | None:
        """Start of the last call that succeeded, or None."""
        return self._last_success

    @property
    def down_since(self) -> float | None:
        """Time of the first failed call since the last success, or None.

        Calls whose result is not known do not count.
        """
        return self._down_since

    def record_success(self, started: float, ended: float, revision: int = 0) -> None:
        """Record a successful call.

        A lower revision than before means that the store was restored from an older state, and
        claims may be missing: every id issued until now is treated as answered "not run".

        :param revision: revision of the store, 0 if the call did not return it
        """
        last = self._last_success
        restored = bool(revision) and revision < self._revision
        if last is None or restored:
            self._outages.append((-math.inf, ended))
        elif ended - last >= self._min_outage_s * 0.9:
            self._outages.append((last, ended))
        if revision:
            self._revision = revision if restored else max(revision, self._revision)
        self._last_success = started if last is None else max(last, started)
        self._down_since = None
        if len(self._outages) > _MAX_OUTAGES_KEPT:
            first, second, *rest = self._outages
            self._outages = [(first[0], second[1]), *rest]

    def record_failure(self, ended: float) -> None:
        """Record a call that certainly had no effect because the service did not accept it."""
        if self._down_since is None:
            self._down_since = ended

    def is_issued_in_outage(self, issued: float, now: float) -> bool:
        """Return whether an id was issued during the current outage of at least ``min_outage_s``.

        A claim is sent only if its id is at most ``max_clock_skew_s`` ahead of the claiming node's
        clock, and that clock is at most ``max_clock_skew_s`` off, so a claim of this id would fall
        into the outage.
        """
        down = self._down_since
        if down is None or now - down < self._min_outage_s:
            return False
        return issued > down + 2 * self._max_clock_skew_s

    def is_possibly_answered_not_run(self, issued: float) -> bool:
        """Return whether an id may have been refused as not run in an outage. Linear in outages."""
        skew = 2 * self._max_clock_skew_s
        return any(start - skew < issued < end + skew for start, end in self._outages)

    def drop_outages(self, before: float) -> None:
        """Drop outages that ended before a time; ids that old are no longer run."""
        self._outages = [(start, end) for start, end in self._outages if end >= before]
