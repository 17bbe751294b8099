"""
Token bucket
============

Spreads requests evenly over time, at a rate that may change at any moment.
"""

from dataclasses import dataclass
from math import inf

#: The time, in seconds, for which unused tokens accumulate, beyond one request.
BURST_S = 0.5


@dataclass
class TokenBucket:
    """A token bucket that held `tokens` at the instant `filled_at`.

    Unused tokens accumulate for `burst_s`, beyond one request.

    >>> bucket = TokenBucket(tokens=1, filled_at=0)
    >>> bucket.try_consume(now=0, per_s=2), bucket.try_consume(now=0, per_s=2)
    (True, False)
    >>> bucket.get_wait_s(1, now=0, per_s=2)
    0.5
    """

    tokens: float
    filled_at: float
    burst_s: float = BURST_S

    def get_tokens(self, now: float, per_s: float) -> float:
        """Return the number of requests that may be sent, as a fraction."""
        refilled = max(0, now - self.filled_at) * per_s
        return min(self.tokens + refilled, 1 + per_s * self.burst_s)

    def has_token(self, now: float, per_s: float) -> bool:
        """Return whether a request may be sent now."""
        return per_s > 0 and self.get_tokens(now, per_s) >= 1

    def try_consume(self, now: float, per_s: float) -> bool:
        """Take a token for a request; return whether there was one."""
        if not self.has_token(now, per_s):
            return False
        self.tokens = self.get_tokens(now, per_s) - 1
        self.filled_at = now
        return True

    def get_wait_s(self, count: int, now: float, per_s: float) -> float:
        """Return after how many seconds `count` more requests can be sent."""
        if per_s <= 0:
            return inf
        return max(0, (count - self.get_tokens(now, per_s)) / per_s)
