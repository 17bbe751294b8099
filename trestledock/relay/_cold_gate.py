"""
Gate of cold targets
====================

Decides when this instance may send a request to a cold target: at the rate of
its quota, evenly spaced.  An unused quota isn't saved, since a burst would
exceed the bound on one second.
"""

from dataclasses import dataclass, field
from math import inf
from typing import Callable

from trestledock.relay._cold_starts import WINDOW_S, ColdLimit, ColdStart
from trestledock.relay._notices import Notices
from trestledock.relay._quotas import HolderRanks, KnownInstances
from trestledock.relay._target_records import ListedTarget
from trestledock.relay._token_bucket import TokenBucket


@dataclass
class ColdGate:
    """Holds back requests to cold targets.

    `get_limit` returns the limit of a service, None if its targets are never
    restrained; `get_known` returns the known instances, None while this one
    holds no quotas.  `draw` returns the fraction of a token that a bucket
    starts with, so that the holders don't all send at the same moment.
    """

    notices: Notices
    get_limit: Callable[[str], ColdLimit | None] = lambda service: None
    get_known: Callable[[], KnownInstances | None] = lambda: None
    draw: Callable[[], float] = float
    _buckets: dict[str, TokenBucket] = field(default_factory=dict)
    _ranks: HolderRanks = field(default_factory=HolderRanks)

    def is_cold(self, target: ListedTarget) -> bool:
        """Return whether a target is cold, or was a moment ago."""
        if self.notices.get(ColdStart, target.incarnation) is None:
            return False
        return self.get_limit(target.service) is not None

    def get_left_s(self, target: ListedTarget, now: float) -> float:
        """Return for how many seconds a target is restrained, 0 if it isn't."""
        notice = self.notices.get(ColdStart, target.incarnation)
        if notice is None or self.get_limit(target.service) is None:
            return 0
        return max(0, notice.until + WINDOW_S - now)

    def get_quota(self, target: ListedTarget, now: float) -> float:
        """Return the rate at which this instance may send to a target."""
        notice = self.notices.get(ColdStart, target.incarnation)
        limit = self.get_limit(target.service) if notice else None
        if notice is None or limit is None or notice.is_over(now):
            return inf
        known = self.get_known()
        if known is None:
            return 0
        holders = min(limit.max_holders, len(known.others) + 1)
        if self._ranks.get(known, target) >= holders:
            return 0
        return limit.get_rate(notice.until - now) / holders

    def can_send(self, target: ListedTarget, now: float) -> bool:
        """Return whether a request may be sent to a target now."""
        quota = self.get_quota(target, now)
        return quota == inf or self._get_bucket(target).has_token(now, quota)

    def get_wait_s(self, target: ListedTarget, count: int, now: float) -> float:
        """Return after how long the last of `count` requests can be sent."""
        quota = self.get_quota(target, now)
        if quota == inf:
            return 0
        wait_s = self._get_bucket(target).get_wait_s(count, now, quota)
        return min(wait_s, self.get_left_s(target, now))

    def record_sent(self, target: ListedTarget, now: float) -> None:
        """Record that a request is sent to a target."""
        quota = self.get_quota(target, now)
        if quota != inf:
            self._get_bucket(target).try_consume(now, quota)

    def forget(self, target: str) -> None:
        """Forget the cold time of a target."""
        self.notices.discard(ColdStart, target)
        self._buckets.pop(target, None)
        self._ranks.forget(target)

    def _get_bucket(self, target: ListedTarget) -> TokenBucket:
        """Return the bucket of a cold target.

        It starts empty unless this instance had held its quotas for `WINDOW_S`
        when the cold time began: until then, another one may have used the
        quota that is now this one's.
        """
        name = target.incarnation
        notice = self.notices.get(ColdStart, name)
        known = self.get_known()
        cold_since = notice.since if notice else -inf
        held_since = known.since if known else inf
        since = cold_since if known is None else max(cold_since, held_since)
        bucket = self._buckets.get(name)
        if bucket is None or bucket.filled_at < since:
            is_settled = held_since + WINDOW_S <= cold_since
            tokens = self.draw() if is_settled else 0
            bucket = TokenBucket(tokens, filled_at=since, burst_s=0)
            self._buckets[name] = bucket
        return bucket
