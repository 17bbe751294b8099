"""
Budgets for repeats
===================

What an entry may send again of what all entries together may: by service, and
for requests that are given up at their target early.
"""

from dataclasses import dataclass, field
from typing import Callable

from trestledock.relay import EARLY_RETRY_LIMITS, RetryLimits, RetryBudget


def _make_early_window() -> RetryBudget:
    """Return the window of requests that are given up early."""
    return RetryBudget(EARLY_RETRY_LIMITS)


@dataclass
class Budgets:
    """The budgets of one entry; `count_entries` says how many share them."""

    terms: RetryLimits
    count_entries: Callable[[], int]
    windows: dict[str, RetryBudget] = field(default_factory=dict)
    early: RetryBudget = field(default_factory=_make_early_window)

    def record_request(self, service: str, now: float) -> None:
        """Count the first sending of a request."""
        self._get_window(service).record_request(now)
        self.early.record_request(now)

    def has_retry_left(self, service: str, now: float) -> bool:
        """Whether there is a repeat for a service."""
        return self._get_window(service).has_budget(now, self.count_entries())

    def spend_retry(self, service: str, now: float) -> bool:
        """Take a repeat; return whether one was left."""
        return self._get_window(service).try_spend(now, self.count_entries())

    def may_fail_over_early(self, now: float) -> bool:
        """Whether one more request may be given up at its target early."""
        return self.early.has_budget(now, self.count_entries())

    def record_early_failover(self, now: float) -> None:
        """Count a request that was given up at its target early."""
        self.early.try_spend(now, self.count_entries())

    def _get_window(self, service: str) -> RetryBudget:
        if service not in self.windows:
            self.windows[service] = RetryBudget(self.terms)
        return self.windows[service]
