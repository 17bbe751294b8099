"""
Team limits
===========

A team's limit holds over all instances without a controller.  Each instance
enforces the part of the limit that its own recent demand is of the demand of
all; peers tell theirs in heartbeats.  Without news the last known number of
instances counts, so that the parts still add up to about the limit when
instances can't hear each other.
"""

from dataclasses import dataclass, field

#: How fast the memory of demand fades, in seconds.
DEMAND_WINDOW_S = 10.0
#: The demand that every instance is assumed to have at least.
MIN_DEMAND = 0.01
#: How much of a limit may be spent in a burst, in seconds of it.
BURST_S = 10.0


@dataclass
class Demand:
    """A decaying average of engine seconds asked for a second."""

    rate: float = 0
    updated_at: float = 0

    def add(self, cost: float, now: float) -> None:
        """Count work of `cost` engine seconds."""
        self.rate = self.get_rate(now) + cost / DEMAND_WINDOW_S
        self.updated_at = now

    def get_rate(self, now: float) -> float:
        """Return the demand at `now`."""
        age = max(0, now - self.updated_at)
        return self.rate * max(0, 1 - age / DEMAND_WINDOW_S)


@dataclass
class Bucket:
    """A token bucket of engine seconds, refilled at this instance's part."""

    level: float
    filled_at: float

    def refill(self, rate: float, now: float) -> None:
        """Add what has come in since the last call."""
        gained = max(0, now - self.filled_at) * rate
        self.level = min(rate * BURST_S, self.level + gained)
        self.filled_at = now


@dataclass
class Limits:
    """The demands and buckets of all teams at one instance."""

    demands: dict[str, Demand] = field(default_factory=dict)
    buckets: dict[str, Bucket] = field(default_factory=dict)

    def record_demand(self, team: str, cost: float, now: float) -> None:
        """Count a team's demand, admitted or not."""
        self.demands.setdefault(team, Demand()).add(cost, now)

    def get_demand(self, team: str, now: float) -> float:
        """Return a team's demand here, in engine seconds a second."""
        demand = self.demands.get(team)
        return demand.get_rate(now) if demand else 0

    def get_share(
        self,
        team: str,
        limit: float,
        peers: list[float | None],
        now: float,
    ) -> float:
        """Return this instance's part of `limit`.

        `peers` holds each known peer's demand, None where there is no news.
        """
        if None in peers:
            return limit / (len(peers) + 1)
        own = max(MIN_DEMAND, self.get_demand(team, now))
        others = sum(max(MIN_DEMAND, rate or 0) for rate in peers)
        return limit * own / (own + others)

    def spend(self, team: str, cost: float, rate: float, now: float) -> float:
        """Take `cost` from the bucket; return the seconds to wait instead.

        Zero means that the work is admitted.  A bucket goes below zero for
        work larger than its burst, so that such work can pass at all.
        """
        bucket = self.buckets.get(team)
        if bucket is None:
            bucket = Bucket(rate * BURST_S, now)
            self.buckets[team] = bucket
        bucket.refill(rate, now)
        needed = min(cost, rate * BURST_S)
        if bucket.level < needed:
            return (needed - bucket.level) / rate
        bucket.level -= cost
        return 0
