"""One limit of an organisation, held by all nodes together."""

import math

__all__ = ["SharedBucket"]

# Above this part of the fleet-wide level a node grants freely; below, only from its own share.
FREE_ABOVE = 0.35
# Above this multiple of the limit in known demand no node grants freely: all nodes would do so at
# once and see it only in the next reports, which makes the granted rate swing.
FREE_DEMAND = 1.5
# A node repays, or uses up, the distance of the level from its target by this part of its share.
REPAY = 0.5


class SharedBucket:
    """A token bucket that each node keeps for the whole fleet.

    ``level`` is the node's estimate of the fleet-wide bucket: it fills at the limit and is drained
    by the node's own grants and by the rate of the other nodes as reported. While the level is
    high, the node grants whatever comes. While it is low, the node grants only from ``local``,
    which fills with its share of the limit; the share is its part of the demand of the fleet. The
    level may fall below zero by grants that other nodes had not seen; the shares are then cut until
    this is paid back, so that the limit holds over time.

    :param rate: limit, units a second over all nodes
    :param burst: units that may be used at once over all nodes
    :param coverage: part of the fleet whose reports are seen, this node included
    :param window: time constant of the demand in seconds
    :param most_debt: lowest level
    :param now: time

    Notes: with ``n`` nodes that see nobody, each grants at most ``max(1, burst / n)`` at once and
    ``rate / n`` a second after that. With nodes that see each other with a lag, each may grant up
    to the level that it sees, so at most ``n * burst`` beyond the limit, once, which is paid back.
    """

    __slots__ = (
        "rate",
        "burst",
        "window",
        "most_debt",
        "level",
        "local",
        "at",
        "wanted",
        "granted_since",
        "wanted_since",
        "others_granted",
        "others_wanted",
        "others_until",
    )

    def __init__(
        self,
        rate: float,
        burst: float,
        coverage: float,
        window: float,
        most_debt: float,
        now: float,
    ):
        self.rate = rate
        self.burst = burst
        self.window = window
        self.most_debt = most_debt
        # A node that sees only a part of the fleet starts with that part of the burst.
        self.level = burst * coverage
        self.local = max(1.0, burst * coverage)
        self.at = now
        self.wanted = 0.0
        self.granted_since = 0.0
        self.wanted_since = 0.0
        self.others_granted = 0.0
        self.others_wanted = 0.0
        self.others_until = -math.inf

    def share(self) -> float:
        """Return this node's part of the demand on the nodes that it sees."""
        total = self.wanted + self.others_wanted
        return self.wanted / total if total > 0 else 1.0

    def refresh(self, coverage: float, now: float) -> None:
        """Bring levels and rates up to a time. O(1)."""
        elapsed = now - self.at
        if elapsed <= 0:
            return
        if now > self.others_until:
            self.others_granted = self.others_wanted = 0.0
        self.at = now
        limit = self.rate * coverage
        burst = self.burst * coverage
        share = self.share()
        if self.others_wanted:
            # Half of the free part is the target, so that both errors of the shares are corrected.
            target = burst * FREE_ABOVE / 2
            error = max(-1.0, min(1.0, (self.level - target) / max(target, 1e-9)))
            fill = limit * share * (1 + REPAY * error)
        else:
            fill = limit
        cap = max(1.0, burst * share)
        self.local = min(cap, self.local + elapsed * fill)
        self.level += elapsed * (limit - self.others_granted)
        self.level = max(-self.most_debt, min(burst, self.level))
        self.wanted *= math.exp(-elapsed / self.window)

    def want(self, amount: float) -> None:
        """Count demand, whether it is granted or not."""
        self.wanted += amount / self.window
        self.wanted_since += amount

    def wait(self, amount: float, coverage: float) -> float:
        """Return 0 if an amount may be granted now, else the seconds until it may be.

        An amount above the burst is granted from a full bucket, or it would never be.
        """
        need = min(amount, max(1.0, self.burst * coverage))
        crowded = self.others_wanted and (
            self.wanted + self.others_wanted > FREE_DEMAND * self.rate * coverage
        )
        free = max(need, self.burst * coverage * FREE_ABOVE)
        if not crowded and self.level >= free:
            return 0.0
        share = self.share()
        need = min(need, max(1.0, self.burst * coverage * share))
        if self.local >= need:
            return 0.0
        fill = max(self.rate * coverage * share, 1e-9)
        return (need - self.local) / fill

    def take(self, amount: float) -> None:
        """Grant an amount; a negative one gives back what was not used."""
        self.local = min(self.local - amount, max(1.0, self.burst))
        self.local = max(self.local, -self.most_debt)
        self.level = max(-self.most_debt, min(self.burst, self.level - amount))
        self.granted_since += amount

    def count(self, seconds: float) -> tuple[float, float]:
        """Return the granted and wanted units a second since the last call."""
        rates = max(0.0, self.granted_since) / seconds, self.wanted_since / seconds
        # What was given back beyond the grants of this interval is taken off the next one.
        self.granted_since = min(0.0, self.granted_since)
        self.wanted_since = 0.0
        return rates

    def correct(self, amount: float) -> None:
        """Correct the level for grants of other nodes that differ from the assumed ones."""
        self.level = max(-self.most_debt, min(self.burst, self.level + amount))

    def set_others(self, granted: float, wanted: float, until: float) -> None:
        """Take in the rates of the other nodes, valid until a time."""
        self.others_granted = granted
        self.others_wanted = wanted
        self.others_until = until
