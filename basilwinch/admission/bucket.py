"""Token bucket of one limit, shared by all nodes."""

import math

__all__ = ["SharedBucket"]

# While the fleet-wide level is at or above this fraction of the burst, a node grants each request
# that the level covers; below, it grants only from its demand share.
FREE_GRANT_MIN_LEVEL_RATIO = 0.35
# While the known demand is above this multiple of the limit, nodes grant only from their demand
# shares: otherwise all nodes would grant at once and see it only in the next reports, and the
# granted rate would oscillate.
FREE_GRANT_MAX_DEMAND_RATIO = 1.5
# A node fills its demand share at between (1 - ratio) and (1 + ratio) times its rate: slower while
# the fleet-wide level is below its target, faster while it is above.
MAX_FILL_RATE_CORRECTION_RATIO = 0.5


class SharedBucket:
    """One node's view of a token bucket that all nodes share.

    ``level`` is the node's estimate of the fleet-wide bucket: it fills at the limit and is drained
    by the node's own grants and by the reported rates of the other nodes. While the level is high
    and the known demand is not far above the limit, the node grants every request that the level
    covers. Otherwise it grants only from ``local_level``, which fills at its demand share of the
    limit; the demand share is its fraction of the fleet's demand. Grants that the nodes had not yet
    reported to each other can take the level below zero; the fill rates are then reduced until it
    has recovered, so that the limit holds over time.

    :param rate: limit in units per second over all nodes
    :param burst: units that may be used at once over all nodes
    :param coverage: fraction of the nodes whose reports arrive, this node included, 0 to 1
    :param demand_window_s: time constant of the smoothed demand in seconds
    :param max_debt: units by which the level may fall below zero
    :param now: current time in seconds
    :param min_level: level below which the node grants nothing, not even from its demand share. A
        share below one unit still holds one, so without this many nodes exceed a small limit.

    Notes: if none of ``n`` nodes receives reports, each grants at most ``max(1, burst / n)`` at
    once and ``rate / n`` a second after that. If reports arrive with a delay, each node may grant
    up to the level that it knows, so at most ``n * burst`` beyond the limit, once; the reduced
    fill rates make up for it.
    """

    __slots__ = (
        "rate",
        "burst",
        "demand_window_s",
        "max_debt",
        "min_level",
        "coverage",
        "level",
        "local_level",
        "updated_at",
        "demand",
        "granted_since_report",
        "demand_since_report",
        "others_granted",
        "others_demand",
        "others_valid_until",
    )

    def __init__(
        self,
        rate: float,
        burst: float,
        coverage: float,
        demand_window_s: float,
        max_debt: float,
        now: float,
        min_level: float = -math.inf,
    ):
        self.rate = rate
        self.burst = burst
        self.demand_window_s = demand_window_s
        self.max_debt = max_debt
        self.min_level = min_level
        self.coverage = coverage
        # A node that receives reports from only a fraction of the fleet starts with that fraction
        # of the burst.
        self.level = burst * coverage
        self.local_level = max(1.0, burst * coverage)
        self.updated_at = now
        self.demand = 0.0
        self.granted_since_report = 0.0
        self.demand_since_report = 0.0
        self.others_granted = 0.0
        self.others_demand = 0.0
        self.others_valid_until = -math.inf

    def compute_demand_share(self) -> float:
        """Return this node's fraction of the demand of all nodes whose reports it receives."""
        total_demand = self.demand + self.others_demand
        return self.demand / total_demand if total_demand > 0 else 1.0

    def refresh(self, coverage: float, now: float) -> None:
        """Advance the levels and the demand to a time. O(1)."""
        if coverage != self.coverage:
            # Each node holds a fraction of the burst. The change is the same in both directions, so
            # that a flapping link adds no units.
            self.level += (coverage - self.coverage) * self.burst
            self.coverage = coverage
        elapsed = now - self.updated_at
        if elapsed <= 0:
            return
        if now > self.others_valid_until:
            self.others_granted = self.others_demand = 0.0
        self.updated_at = now
        limit = self.rate * coverage
        burst = self.burst * coverage
        demand_share = self.compute_demand_share()
        if self.others_demand:
            # The target is half of the minimum free level, so that errors in either direction are
            # corrected.
            target_level = burst * FREE_GRANT_MIN_LEVEL_RATIO / 2
            level_error = max(-1.0, min(1.0, (self.level - target_level) / max(target_level, 1e-9)))
            fill_rate = limit * demand_share * (1 + MAX_FILL_RATE_CORRECTION_RATIO * level_error)
        else:
            fill_rate = limit
        max_local_level = max(1.0, burst * demand_share)
        self.local_level = min(max_local_level, self.local_level + elapsed * fill_rate)
        self.level += elapsed * (limit - self.others_granted)
        self.level = max(-self.max_debt, min(burst, self.level))
        self.demand *= math.exp(-elapsed / self.demand_window_s)

    def set_rate(self, rate: float, burst: float, max_debt: float) -> None:
        """Change the limit and keep what has been used of it. Refresh the bucket before."""
        self.rate = rate
        self.burst = burst
        self.max_debt = max_debt
        self.level = max(-max_debt, min(self.level, burst))
        self.local_level = max(-max_debt, min(self.local_level, max(1.0, burst)))

    def record_demand(self, amount: float) -> None:
        """Add an amount to the demand, whether it is granted or not."""
        self.demand += amount / self.demand_window_s
        self.demand_since_report += amount

    def compute_wait(self, amount: float, coverage: float) -> float:
        """Return 0 if an amount may be granted now, else the seconds until then.

        An amount above the burst is granted from a full bucket; otherwise it would never be.
        """
        required = min(amount, max(1.0, self.burst * coverage))
        contended = self.others_demand and (
            self.demand + self.others_demand > FREE_GRANT_MAX_DEMAND_RATIO * self.rate * coverage
        )
        min_free_level = max(required, self.burst * coverage * FREE_GRANT_MIN_LEVEL_RATIO)
        if not contended and self.level >= min_free_level:
            return 0.0
        if self.level < self.min_level:
            return (self.min_level - self.level) / max(self.rate * coverage, 1e-9)
        demand_share = self.compute_demand_share()
        required = min(required, max(1.0, self.burst * coverage * demand_share))
        if self.local_level >= required:
            return 0.0
        fill_rate = max(self.rate * coverage * demand_share, 1e-9)
        return (required - self.local_level) / fill_rate

    def take(self, amount: float) -> None:
        """Grant an amount; a negative amount returns unused units."""
        self.local_level = min(self.local_level - amount, max(1.0, self.burst))
        self.local_level = max(self.local_level, -self.max_debt)
        self.level = max(-self.max_debt, min(self.burst, self.level - amount))
        self.granted_since_report += amount

    def collect_rates(self, interval_s: float) -> tuple[float, float]:
        """Return the granted rate and the demand in units per second since the last call."""
        rates = (
            max(0.0, self.granted_since_report) / interval_s,
            self.demand_since_report / interval_s,
        )
        # Units returned beyond the grants of this interval are subtracted from the next one.
        self.granted_since_report = min(0.0, self.granted_since_report)
        self.demand_since_report = 0.0
        return rates

    def correct_level(self, amount: float) -> None:
        """Correct the level by the assumed minus the actual grants of other nodes."""
        self.level = max(-self.max_debt, min(self.burst, self.level + amount))

    def set_others_rates(self, granted: float, demand: float, valid_until: float) -> None:
        """Set the granted rate and the demand of the other nodes, valid until a time."""
        self.others_granted = granted
        self.others_demand = demand
        self.others_valid_until = valid_until
