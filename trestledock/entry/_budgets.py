"""
Retry budgets
=============

The share of an entry in the retries that all entries together may send: one
budget for each service, and one for requests that fail over early.
"""

from dataclasses import dataclass, field
from typing import Callable

from trestledock.relay import EARLY_RETRY_LIMITS, RetryLimits, RetryBudget


def _make_early_failover_budget() -> RetryBudget:
    """Return the budget of early failovers."""
    return RetryBudget(EARLY_RETRY_LIMITS)


@dataclass
class Budgets:
    """The budgets of one entry, shared by `count_entries()` entries."""

    limits: RetryLimits
    count_entries: Callable[[], int]
    by_service: dict[str, RetryBudget] = field(default_factory=dict)
    early_failovers: RetryBudget = field(
        default_factory=_make_early_failover_budget
    )

    def record_request(self, service: str, now: float) -> None:
        """Count the first attempt of a request."""
        self._get_budget(service).record_request(now)
        self.early_failovers.record_request(now)

    def has_retry_left(self, service: str, now: float) -> bool:
        """Return whether a retry is left for a service."""
        return self._get_budget(service).has_budget(now, self.count_entries())

    def spend_retry(self, service: str, now: float) -> bool:
        """Take a retry for a service; return whether one was left."""
        return self._get_budget(service).try_spend(now, self.count_entries())

    def may_fail_over_early(self, now: float) -> bool:
        """Return whether one more request may fail over early."""
        return self.early_failovers.has_budget(now, self.count_entries())

    def record_early_failover(self, now: float) -> None:
        """Count a request that failed over early."""
        self.early_failovers.try_spend(now, self.count_entries())

    def _get_budget(self, service: str) -> RetryBudget:
        if service not in self.by_service:
            self.by_service[service] = RetryBudget(self.limits)
        return self.by_service[service]
