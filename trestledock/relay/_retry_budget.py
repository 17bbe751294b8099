"""
Retry budget
============

Retries to a service are bounded, over all instances together, by a ratio of its
requests in a sliding window plus a fixed slack.  No messages are needed: each
instance keeps to its part of the slack and to the ratio of its own requests.
"""

from collections import deque
from dataclasses import dataclass, field

#: The share of the bound that is used; the rest is left for retries that are
#: counted elsewhere.
USED_SHARE = 0.7


@dataclass(frozen=True)
class RetryLimits:
    """The bound: `ratio` x requests + `slack` in any `window_s` seconds."""

    ratio: float = 0.2
    window_s: float = 10
    slack: float = 20


@dataclass
class RetryBudget:
    """The requests and retries of a service in the sliding window.

    >>> budget = RetryBudget(RetryLimits(ratio=0, slack=2))
    >>> [budget.try_spend(now=1.0, instances=1) for _ in range(2)]
    [True, False]
    """

    limits: RetryLimits
    _requests: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def record_request(self, now: float) -> None:
        """Count a request that is sent for the first time."""
        self._requests.append(now)

    def try_spend(self, now: float, instances: int) -> bool:
        """Take a retry from the budget; return False if it is exhausted."""
        if not self.has_budget(now, instances):
            return False
        self._retries.append(now)
        return True

    def has_budget(self, now: float, instances: int) -> bool:
        """Return whether the budget allows another retry."""
        start = now - self.limits.window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= start:
                times.popleft()
        slack = self.limits.slack / max(1, instances)
        bound = (slack + self.limits.ratio * len(self._requests)) * USED_SHARE
        return len(self._retries) + 1 <= bound
