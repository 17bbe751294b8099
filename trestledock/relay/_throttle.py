"""
Throttle
========

Whether a request may be sent to a target with a rate limit for all instances
together, with a back-off for this instance, or that is cold.  All other targets
accept requests at any time.
"""

from heapq import nsmallest
from math import inf
from typing import Callable, Sequence

from trestledock.relay._backoff import BackoffGate
from trestledock.relay._cold_gate import ColdGate
from trestledock.relay._cold_starts import ColdStart
from trestledock.relay._notices import Backoff, Notices, PeerBackoff
from trestledock.relay._quotas import (
    MIN_RATE_PER_S,
    Member,
    Membership,
    QuotaCache,
    TargetRate,
)
from trestledock.relay._rate_limits import RateLimit
from trestledock.relay._target_records import ListedTarget
from trestledock.relay._token_bucket import TokenBucket


#: The notices that ask for fewer requests.
RESTRAINTS = (RateLimit, Backoff, PeerBackoff, ColdStart)


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
        self.backoffs = BackoffGate(notices)
        self.cold = ColdGate(notices, draw=draw)
        self.get_members: Callable[[], Membership] = lambda: Membership(own)
        self._draw = draw
        self._quotas = QuotaCache(Membership(own))
        self._buckets: dict[str, TokenBucket] = {}

    @property
    def has_restraints(self) -> bool:
        """Whether any target ever asked for fewer requests."""
        return any(map(self.notices.by_kind.get, RESTRAINTS))

    def is_restrained(self, target: ListedTarget) -> bool:
        """Return whether a target has a rate limit or back-off, or is cold."""
        return (
            self.is_limited(target)
            or self.backoffs.has_backoff(target.incarnation)
            or self.cold.is_cold(target)
        )

    def is_limited(self, target: ListedTarget) -> bool:
        """Return whether a target has a rate limit."""
        return self._get_rate_limit(target) is not None

    def has_peer_backoff(self, target: ListedTarget, now: float) -> bool:
        """Return whether a target has a back-off for another instance now."""
        backoff = self.notices.get(PeerBackoff, target.incarnation)
        return backoff is not None and not backoff.is_over(now)

    def is_backing_off(self, target: ListedTarget, now: float) -> bool:
        """Return whether a target has a back-off for this instance now."""
        return self.backoffs.is_backing_off(target.incarnation, now)

    def can_send(self, target: ListedTarget, now: float) -> bool:
        """Return whether a request may be sent to a target now."""
        if not self.backoffs.can_send(target.incarnation, now):
            return False
        if not self.cold.can_send(target, now):
            return False
        if not self.is_limited(target):
            return True
        quota = self.get_quota(target)
        return self._get_bucket(target, now).has_token(now, quota)

    def get_quota(self, target: ListedTarget) -> float:
        """Return the rate at which this instance may send to a target."""
        limit = self._get_rate_limit(target)
        if limit is None or limit.per_s is None:
            return inf
        self._quotas.set_members(self.get_members())
        return self._quotas.get(
            TargetRate(target.incarnation, target.data_centre, limit.per_s)
        )

    def acquire(
        self, targets: Sequence[ListedTarget], now: float
    ) -> ListedTarget | None:
        """Send a request to all given targets or to none.

        Return the first target that doesn't accept it, or None if all do.
        """
        for target in targets:
            if not self.can_send(target, now):
                return target
        for target in targets:
            self.backoffs.record_sent(target.incarnation, now)
            self.cold.record_sent(target, now)
        for limited in filter(self.is_limited, targets):
            quota = self.get_quota(limited)
            self._get_bucket(limited, now).try_consume(now, quota)
        return None

    def get_wait_s(
        self, targets: Sequence[ListedTarget], ahead: int, now: float
    ) -> float:
        """Return after how many seconds a request may be sent to any target.

        The `ahead` requests before it in the queue go first.
        """
        waits = [
            self._get_wait_s(target, count, now)
            for target in targets
            for count in range(1, ahead + 2)
        ]
        return max(nsmallest(ahead + 1, waits), default=inf)

    def get_total_limit(self, targets: Sequence[ListedTarget]) -> float:
        """Return the total rate that some limited targets accept."""
        limits = map(self._get_rate_limit, targets)
        return sum(
            max(limit.per_s or 0, MIN_RATE_PER_S) for limit in limits if limit
        )

    def forget(self, target: str) -> None:
        """Forget a removed target and its notices."""
        self.notices.forget(target)
        self.backoffs.forget(target)
        self.cold.forget(target)
        self._buckets.pop(target, None)

    def _get_wait_s(
        self, target: ListedTarget, count: int, now: float
    ) -> float:
        """Return in how many seconds the last of `count` requests can be sent.

        After a back-off, they follow the first one within moments.
        """
        wait_s = max(
            self.backoffs.get_wait_s(target.incarnation, now),
            self.cold.get_wait_s(target, count, now),
        )
        if not self.is_limited(target):
            return wait_s
        bucket = self._get_bucket(target, now)
        quota = self.get_quota(target)
        return max(wait_s, bucket.get_wait_s(count, now, quota))

    def _get_rate_limit(self, target: ListedTarget) -> RateLimit | None:
        return self.notices.get(RateLimit, target.incarnation)

    def _get_bucket(self, target: ListedTarget, now: float) -> TokenBucket:
        name = target.incarnation
        if name not in self._buckets:
            self._buckets[name] = TokenBucket(self._draw(), now)
        return self._buckets[name]
