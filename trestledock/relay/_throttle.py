"""
Throttle
========

Whether a request may be sent to a target with a rate limit for all instances
together, or with a back-off for this instance.  All other targets accept
requests at any time.
"""

from heapq import nsmallest
from math import inf
from typing import Callable, Sequence

from trestledock.relay._listed import Listed
from trestledock.relay._notices import Notices, Rest, RestElsewhere
from trestledock.relay._pacing import Bucket
from trestledock.relay._quotas import (
    LEAST_PER_S,
    Demand,
    Member,
    Members,
    Quotas,
)
from trestledock.relay._rate_limits import RateLimit
from trestledock.relay._resting import Resting


#: The notices that ask for fewer requests.
RESTRAINTS = (RateLimit, Rest, RestElsewhere)


class Throttle:
    """Limits the requests that one instance sends to targets.

    `get_members` returns the active instances.  A token bucket starts with the
    fraction of a token that `draw` returns, so that instances that learn of a
    limit at the same moment don't send at the same moment.
    """

    def __init__(
        self, own: Member, notices: Notices, draw: Callable[[], float]
    ) -> None:
        """Create a throttle without other instances."""
        self.notices = notices
        self.resting = Resting(notices)
        self.get_members: Callable[[], Members] = lambda: Members(own)
        self._draw = draw
        self._quotas = Quotas(Members(own))
        self._buckets: dict[str, Bucket] = {}

    @property
    def restrains_any(self) -> bool:
        """Whether any target ever asked for fewer requests."""
        return any(map(self.notices.known.get, RESTRAINTS))

    def is_restrained(self, target: Listed) -> bool:
        """Return whether a target has a rate limit or a back-off."""
        return self.is_limited(target) or self.resting.is_known(
            target.incarnation
        )

    def is_limited(self, target: Listed) -> bool:
        """Return whether a target has a rate limit."""
        return self._get_rate_limit(target) is not None

    def is_spared(self, target: Listed, now: float) -> bool:
        """Return whether a target has a back-off for another instance now."""
        rest = self.notices.get(RestElsewhere, target.incarnation)
        return rest is not None and not rest.is_over(now)

    def is_resting(self, target: Listed, now: float) -> bool:
        """Return whether a target has a back-off for this instance now."""
        return self.resting.is_resting(target.incarnation, now)

    def is_free(self, target: Listed, now: float) -> bool:
        """Return whether a request may be sent to a target now."""
        if not self.resting.is_free(target.incarnation, now):
            return False
        if not self.is_limited(target):
            return True
        quota = self.get_quota(target)
        return self._get_bucket(target, now).is_free(now, quota)

    def get_quota(self, target: Listed) -> float:
        """Return the rate at which this instance may send to a target."""
        limit = self._get_rate_limit(target)
        if limit is None or limit.per_s is None:
            return inf
        self._quotas.set_members(self.get_members())
        return self._quotas.get(
            Demand(target.incarnation, target.data_centre, limit.per_s)
        )

    def take(self, targets: Sequence[Listed], now: float) -> Listed | None:
        """Send a request to all given targets or to none.

        Return the first target that doesn't accept it, or None if all do.
        """
        for target in targets:
            if not self.is_free(target, now):
                return target
        for target in targets:
            self.resting.take(target.incarnation, now)
        for limited in filter(self.is_limited, targets):
            quota = self.get_quota(limited)
            self._get_bucket(limited, now).take(now, quota)
        return None

    def get_wait_s(
        self, targets: Sequence[Listed], ahead: int, now: float
    ) -> float:
        """Return after how many seconds one of some restrained targets is free.

        The `ahead` requests before it in the queue go first.
        """
        waits = [
            self._get_wait_s(target, count, now)
            for target in targets
            for count in range(1, ahead + 2)
        ]
        return max(nsmallest(ahead + 1, waits), default=inf)

    def get_limit(self, targets: Sequence[Listed]) -> float:
        """Return the total rate that some limited targets accept."""
        limits = map(self._get_rate_limit, targets)
        return sum(
            max(limit.per_s or 0, LEAST_PER_S) for limit in limits if limit
        )

    def forget(self, target: str) -> None:
        """Forget a removed target and its notices."""
        self.notices.forget(target)
        self.resting.forget(target)
        self._buckets.pop(target, None)

    def _get_wait_s(self, target: Listed, count: int, now: float) -> float:
        """Return after how many seconds `count` requests have been sent.

        After a back-off, they follow the first one within moments.
        """
        wait_s = self.resting.get_wait_s(target.incarnation, now)
        if not self.is_limited(target):
            return wait_s
        bucket = self._get_bucket(target, now)
        quota = self.get_quota(target)
        return max(wait_s, bucket.get_wait_s(count, now, quota))

    def _get_rate_limit(self, target: Listed) -> RateLimit | None:
        return self.notices.get(RateLimit, target.incarnation)

    def _get_bucket(self, target: Listed, now: float) -> Bucket:
        name = target.incarnation
        if name not in self._buckets:
            self._buckets[name] = Bucket(self._draw(), now)
        return self._buckets[name]
