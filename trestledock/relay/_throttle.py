"""
Throttle
========

Whether a request may go to a target that takes only so many a second from all
entries together, or that wants rest from this one.  All others are free.
"""

from heapq import nsmallest
from math import inf
from typing import Callable, Sequence

from trestledock.relay._listed import ListedTarget
from trestledock.relay._notices import Notices, Backoff, PeerBackoff
from trestledock.relay._token_bucket import TokenBucket
from trestledock.relay._quotas import (
    MIN_RATE_PER_S,
    TargetRate,
    Member,
    Membership,
    QuotaCache,
)
from trestledock.relay._rate_limits import RateLimit
from trestledock.relay._backoff import BackoffGate


#: The notices that ask for fewer requests.
RESTRAINTS = (RateLimit, Backoff, PeerBackoff)


class Throttle:
    """Limits what one entry sends to targets.

    `get_members` returns which entries there are.  A quota begins with a part
    of a request that `draw` gives: entries that learn of a limit at the same
    moment don't send at the same moment.
    """

    def __init__(
        self, own: Member, notices: Notices, draw: Callable[[], float]
    ) -> None:
        """Begin without other entries."""
        self.notices = notices
        self.backoffs = BackoffGate(notices)
        self.get_members: Callable[[], Membership] = lambda: Membership(own)
        self._draw = draw
        self._quotas = QuotaCache(Membership(own))
        self._buckets: dict[str, TokenBucket] = {}

    @property
    def has_restraints(self) -> bool:
        """Whether any target ever asked for fewer requests."""
        return any(map(self.notices.by_kind.get, RESTRAINTS))

    def is_restrained(self, target: ListedTarget) -> bool:
        """Whether a target takes only so many requests, or rests."""
        return self.is_limited(target) or self.backoffs.has_backoff(
            target.incarnation
        )

    def is_limited(self, target: ListedTarget) -> bool:
        """Whether a target takes only so many requests a second."""
        return self._get_rate_limit(target) is not None

    def has_peer_backoff(self, target: ListedTarget, now: float) -> bool:
        """Whether a target wants nothing from another entry now."""
        rest = self.notices.get(PeerBackoff, target.incarnation)
        return rest is not None and not rest.is_over(now)

    def is_backing_off(self, target: ListedTarget, now: float) -> bool:
        """Whether a target wants nothing from this entry now."""
        return self.backoffs.is_backing_off(target.incarnation, now)

    def can_send(self, target: ListedTarget, now: float) -> bool:
        """Whether a request may go to a target now."""
        if not self.backoffs.can_send(target.incarnation, now):
            return False
        if not self.is_limited(target):
            return True
        quota = self.get_quota(target)
        return self._get_bucket(target, now).has_token(now, quota)

    def get_quota(self, target: ListedTarget) -> float:
        """Return how many requests a second this entry may send to a target."""
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
        """Have a request go to some targets; return the one that has no room.

        It goes to all of them or to none.
        """
        for target in targets:
            if not self.can_send(target, now):
                return target
        for target in targets:
            self.backoffs.record_sent(target.incarnation, now)
        for limited in filter(self.is_limited, targets):
            quota = self.get_quota(limited)
            self._get_bucket(limited, now).try_take(now, quota)
        return None

    def get_wait_s(
        self, targets: Sequence[ListedTarget], ahead: int, now: float
    ) -> float:
        """Return when a request may go to one of some restrained targets.

        As many as are `ahead` of it go first.
        """
        waits = [
            self._get_wait_s(target, count, now)
            for target in targets
            for count in range(1, ahead + 2)
        ]
        return max(nsmallest(ahead + 1, waits), default=inf)

    def get_total_limit(self, targets: Sequence[ListedTarget]) -> float:
        """Return what some limited targets take a second, from all entries."""
        found = map(self._get_rate_limit, targets)
        return sum(
            max(limit.per_s or 0, MIN_RATE_PER_S) for limit in found if limit
        )

    def forget(self, target: str) -> None:
        """Forget a target that is gone, with what it asked for."""
        self.notices.forget(target)
        self.backoffs.forget(target)
        self._buckets.pop(target, None)

    def _get_wait_s(
        self, target: ListedTarget, count: int, now: float
    ) -> float:
        """Return when the last of so many requests may go to a target.

        Once it has rested, they follow the first one within moments.
        """
        wait_s = self.backoffs.get_wait_s(target.incarnation, now)
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
