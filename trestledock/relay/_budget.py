"""
Shared retry budget
===================

Repeats to a service are bounded over all instances by a share of the requests
for it in a sliding window, plus a fixed slack.  Nothing is exchanged for it:
each instance keeps to its part of the slack and to the share of its own
requests.
"""

from collections import deque
from dataclasses import dataclass, field

#: What is left unused of the bound, for repeats that are counted elsewhere.
MARGIN = 0.7


@dataclass(frozen=True)
class RetryLimits:
    """The bound: `ratio` x requests + `slack` in any `window_s` seconds."""

    ratio: float = 0.2
    window_s: float = 10
    slack: float = 20


@dataclass
class RetryBudget:
    """The requests and repeats of one service in the last window.

    >>> window = RetryBudget(RetryLimits(ratio=0, slack=2))
    >>> [window.try_spend(now=1.0, instances=1) for _ in range(2)]
    [True, False]
    """

    limits: RetryLimits
    _requests: deque[float] = field(default_factory=deque)
    _repeats: deque[float] = field(default_factory=deque)

    def record_request(self, now: float) -> None:
        """Count a first sending."""
        self._requests.append(now)

    def try_spend(self, now: float, instances: int) -> bool:
        """Take one repeat from the budget; False where it is spent."""
        if not self.has_budget(now, instances):
            return False
        self._repeats.append(now)
        return True

    def has_budget(self, now: float, instances: int) -> bool:
        """Whether one more repeat may be taken."""
        start = now - self.limits.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] <= start:
                times.popleft()
        slack = self.limits.slack / max(1, instances)
        bound = (slack + self.limits.ratio * len(self._requests)) * MARGIN
        return len(self._repeats) + 1 <= bound
