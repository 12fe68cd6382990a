"""Histories of a store: after a restore from an older copy, a new one begins."""

import structlog
import trio

from basilwinch.record import Record

__all__ = ["Position", "StoreHistory"]


class Position(Record):
    """A point in a history of the store.

    Revisions of different histories can't be compared, as a restored store gives them out again.

    :param history: number of the history, see :class:`StoreHistory`
    :param revision: revision of the store
    """

    __slots__ = ("history", "revision")

    def includes(self, other: "Position") -> bool:
        """Return whether all changes up to another point come before this one.

        >>> Position(1, 7).includes(Position(1, 6)), Position(1, 7).includes(Position(0, 6))
        (True, False)
        """
        return self.history == other.history and self.revision >= other.revision


class StoreHistory:
    """Tells which history of the store an answer is from.

    The store names an era in its answers, which changes when it is restored. Each change that this
    process sees begins a history; ``number`` counts them from 0. An era that is missing changes
    nothing. One that is lower, or no number, begins a history too, as the store may lose its count.

    ``number`` stays 0 for a store that names no era. Then only its clients' own data can show a
    restore, as in :mod:`basilwinch.release.reinstate`.

    :param clock: function that returns the time in seconds
    """

    __slots__ = (
        "number",
        "began_at",
        "_subscribers",
        "_era",
        "_highest_era",
        "_has_fallen",
        "_clock",
        "_log",
    )

    def __init__(self, clock=trio.current_time):
        self.number = 0
        self.began_at = float("-inf")
        self._subscribers = []
        self._era: int | str | None = None
        self._highest_era = 0
        self._has_fallen = False
        self._clock = clock
        self._log = structlog.get_logger("store")

    def subscribe(self, notify) -> None:
        """Call a function without arguments whenever a history begins."""
        self._subscribers.append(notify)

    @property
    def era(self) -> int:
        """Number of the era that the last answers named, 0 if they named none."""
        return self._era if isinstance(self._era, int) else 0

    @property
    def label(self) -> str:
        """Era that the last answers named, as text, empty if they named none."""
        return "" if self._era is None else str(self._era)

    @property
    def certain_era(self) -> int:
        """Era that names the current history and no other, 0 if there is none.

        An era that is lower than an earlier one, or in which the revision has fallen, may name
        several histories.
        """
        is_certain = self.era >= self._highest_era and not self._has_fallen
        return self.era if is_certain else 0

    def observe(self, era: int | str | None, asked_in: int) -> bool:
        """Take note of the era that an answer names.

        :param era: era of the answer, text if it is no number, None if it is missing
        :param asked_in: value of ``number`` when the question was sent
        :returns: whether the answer is of the current history; False for one that was on its way
            while the store was restored
        """
        if era is None or era == self._era:
            return True
        if asked_in != self.number:
            return False
        previous, self._era = self._era, era
        self._highest_era = max(self._highest_era, self.era)
        self._has_fallen = False
        if previous is not None:
            self._begin(f"era {era} after era {previous}")
        else:
            self._log.info("store era", era=era)
        return True

    def report_fall(self, before: int, after: int) -> None:
        """Begin a history because the store's revision has fallen, though its era is the same.

        :param before: revision of an earlier answer
        :param after: lower revision of a later answer
        """
        self._has_fallen = True
        self._begin(f"revision {after} after revision {before}")

    def _begin(self, reason: str) -> None:
        self.number += 1
        self.began_at = self._clock()
        self._log.warning("store restored from an older copy", history=self.number, reason=reason)
        for notify in self._subscribers:
            notify()
