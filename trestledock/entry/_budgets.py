"""
Retry budgets
=============

The share of an entry in the retries that all entries together may send: one
budget for each service, and one for requests that fail over early.
"""

from dataclasses import dataclass, field
from typing import Callable

from trestledock.relay import EARLY_TERMS, BudgetTerms, RetryWindow


def _make_early_window() -> RetryWindow:
    """Return the budget window of early failovers."""
    return RetryWindow(EARLY_TERMS)


@dataclass
class Budgets:
    """The budgets of one entry, shared by `count_entries()` entries."""

    terms: BudgetTerms
    count_entries: Callable[[], int]
    windows: dict[str, RetryWindow] = field(default_factory=dict)
    early: RetryWindow = field(default_factory=_make_early_window)

    def earn(self, service: str, now: float) -> None:
        """Count the first attempt of a request."""
        self._get_window(service).earn(now)
        self.early.earn(now)

    def is_repeat_left(self, service: str, now: float) -> bool:
        """Return whether a retry is left for a service."""
        return self._get_window(service).is_left(now, self.count_entries())

    def spend_repeat(self, service: str, now: float) -> bool:
        """Take a retry for a service; return whether one was left."""
        return self._get_window(service).spend(now, self.count_entries())

    def may_leave_early(self, now: float) -> bool:
        """Return whether one more request may fail over early."""
        return self.early.is_left(now, self.count_entries())

    def note_early(self, now: float) -> None:
        """Count a request that failed over early."""
        self.early.spend(now, self.count_entries())

    def _get_window(self, service: str) -> RetryWindow:
        if service not in self.windows:
            self.windows[service] = RetryWindow(self.terms)
        return self.windows[service]
