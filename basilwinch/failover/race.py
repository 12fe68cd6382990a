"""Which of the attempts of a response is relayed, and whether another one may begin."""

__all__ = ["Race"]

_DEFAULT_MAX_ACTIVE = 2  # the attempt that is relayed, and one backup


class Race:
    """Attempts to produce one response, of which one at a time is relayed.

    The first attempt is the primary. If it falls silent, another one may run beside it as a
    backup. Whichever delivers next is the primary from then on, and the others are closed. So no
    attempt is given up before another has delivered, and the parts of two runs never alternate.

    Attempts are any objects that can be compared by identity.

    :param max_runs: maximum number of attempts that may run the request
    :param max_active: maximum number of attempts in progress at a time

    >>> race = Race(2)
    >>> race.begin("a"); race.begin("b")
    >>> race.deliver("b")
    ['a']
    >>> race.end("a", True)
    >>> race.active
    ['b']
    """

    __slots__ = ("_max_runs", "_max_active", "_active", "attempts", "runs")

    def __init__(self, max_runs: int, max_active: int = _DEFAULT_MAX_ACTIVE):
        self._max_runs = max_runs
        self._max_active = max_active
        self._active: list = []
        #: Attempts so far, refused ones included.
        self.attempts = 0
        #: Attempts that have ended and may have run the request.
        self.runs = 0

    @property
    def active(self) -> list:
        """Attempts in progress, the primary first."""
        return list(self._active)

    def may_begin(self, max_attempts: int) -> bool:
        """Return whether another attempt may begin.

        Each attempt in progress counts as a run, as it may not be refused any more.

        :param max_attempts: maximum number of attempts, refused ones included
        """
        if len(self._active) >= self._max_active or self.attempts >= max_attempts:
            return False
        return self.runs + len(self._active) < self._max_runs

    def begin(self, attempt) -> None:
        """Add an attempt; it is a backup if another one is in progress."""
        self.attempts += 1
        self._active.append(attempt)

    def deliver(self, attempt) -> list:
        """Return the attempts that are to be closed, as another one in progress has delivered."""
        return [other for other in self._active if other is not attempt]

    def end(self, attempt, may_have_run: bool) -> None:
        """Remove an attempt that has failed, was refused or is closed.

        :param may_have_run: False only if a server has stated that it did not run the request, or
            none was reached
        """
        self._active = [other for other in self._active if other is not attempt]
        self.runs += may_have_run
