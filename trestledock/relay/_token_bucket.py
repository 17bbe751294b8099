"""
Pacing
======

Spreads requests evenly over time, at a rate that may change at any moment.
"""

from dataclasses import dataclass
from math import inf

#: For how long what was not used may be used later, beside one request, in
#: seconds.
BURST_S = 0.5


@dataclass
class TokenBucket:
    """A token bucket; `tokens` is what it held at the instant `filled_at`.

    >>> bucket = TokenBucket(tokens=1, filled_at=0)
    >>> bucket.try_take(now=0, per_s=2), bucket.try_take(now=0, per_s=2)
    (True, False)
    >>> bucket.get_wait_s(1, now=0, per_s=2)
    0.5
    """

    tokens: float
    filled_at: float

    def get_tokens(self, now: float, per_s: float) -> float:
        """Return how many requests may leave; parts count as well."""
        gained = max(0, now - self.filled_at) * per_s
        return min(self.tokens + gained, 1 + per_s * BURST_S)

    def has_token(self, now: float, per_s: float) -> bool:
        """Whether a request may leave now."""
        return per_s > 0 and self.get_tokens(now, per_s) >= 1

    def try_take(self, now: float, per_s: float) -> bool:
        """Have a request leave now; return whether it may."""
        if not self.has_token(now, per_s):
            return False
        self.tokens = self.get_tokens(now, per_s) - 1
        self.filled_at = now
        return True

    def get_wait_s(self, count: int, now: float, per_s: float) -> float:
        """Return when so many more requests will have been able to leave."""
        if per_s <= 0:
            return inf
        return max(0, (count - self.get_tokens(now, per_s)) / per_s)
