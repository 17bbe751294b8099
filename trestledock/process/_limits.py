"""
Team limits
===========

A team's limit applies to all instances together, without a central controller.
Each instance enforces a share of the limit in proportion to its own recent
demand; heartbeats carry the demands.  If the demand of a known peer is missing,
the limit is divided equally among the known instances, so that the shares still
add up to about the limit when instances can't reach each other.
"""

from dataclasses import dataclass, field

#: The time over which demand is averaged and decays, in seconds.
DEMAND_WINDOW_S = 10.0
#: The minimum demand that is assumed for an instance, in engine seconds per
#: second.
MIN_DEMAND = 0.01
#: The size of a burst, in seconds of the limit's rate.
BURST_S = 10.0


@dataclass
class Demand:
    """A decaying average of the requested engine seconds per second."""

    rate: float = 0
    updated_at: float = 0

    def add(self, cost: float, now: float) -> None:
        """Add work of `cost` engine seconds."""
        self.rate = self.get_rate(now) + cost / DEMAND_WINDOW_S
        self.updated_at = now

    def get_rate(self, now: float) -> float:
        """Return the demand at `now`."""
        age = max(0, now - self.updated_at)
        return self.rate * max(0, 1 - age / DEMAND_WINDOW_S)


@dataclass
class Bucket:
    """A token bucket of engine seconds, refilled at this instance's share."""

    level: float
    filled_at: float

    def refill(self, rate: float, now: float) -> None:
        """Refill the bucket for the time since the last call."""
        gained = max(0, now - self.filled_at) * rate
        self.level = min(rate * BURST_S, self.level + gained)
        self.filled_at = now


@dataclass
class Limits:
    """The demands and buckets of all teams at one instance."""

    demands: dict[str, Demand] = field(default_factory=dict)
    buckets: dict[str, Bucket] = field(default_factory=dict)

    def record_demand(self, team: str, cost: float, now: float) -> None:
        """Record a team's demand, admitted or not."""
        self.demands.setdefault(team, Demand()).add(cost, now)

    def get_demand(self, team: str, now: float) -> float:
        """Return a team's local demand, in engine seconds per second."""
        demand = self.demands.get(team)
        return demand.get_rate(now) if demand else 0

    def get_share(
        self,
        team: str,
        limit: float,
        peer_demands: list[float | None],
        now: float,
    ) -> float:
        """Return this instance's share of `limit`.

        `peer_demands` holds each known peer's demand, None if it is missing.
        """
        if None in peer_demands:
            return limit / (len(peer_demands) + 1)
        own = max(MIN_DEMAND, self.get_demand(team, now))
        others = sum(max(MIN_DEMAND, rate or 0) for rate in peer_demands)
        return limit * own / (own + others)

    def spend(self, team: str, cost: float, rate: float, now: float) -> float:
        """Take `cost` from the bucket, or return the seconds to wait.

        0 means that the work is admitted.  Work larger than a burst takes the
        bucket below zero, because it could never be admitted otherwise.
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
