"""
Budgets for repeats
===================

What an entry may send again of what all entries together may: by service, and
for requests that are given up at their target early.
"""

from dataclasses import dataclass, field
from typing import Callable

from trestledock.relay import EARLY_TERMS, BudgetTerms, RetryWindow


def _make_early_window() -> RetryWindow:
    """Return the window of requests that are given up early."""
    return RetryWindow(EARLY_TERMS)


@dataclass
class Budgets:
    """The budgets of one entry; `count_entries` says how many share them."""

    terms: BudgetTerms
    count_entries: Callable[[], int]
    windows: dict[str, RetryWindow] = field(default_factory=dict)
    early: RetryWindow = field(default_factory=_make_early_window)

    def earn(self, service: str, now: float) -> None:
        """Count the first sending of a request."""
        self._get_window(service).earn(now)
        self.early.earn(now)

    def is_repeat_left(self, service: str, now: float) -> bool:
        """Whether there is a repeat for a service."""
        return self._get_window(service).is_left(now, self.count_entries())

    def spend_repeat(self, service: str, now: float) -> bool:
        """Take a repeat; return whether one was left."""
        return self._get_window(service).spend(now, self.count_entries())

    def may_leave_early(self, now: float) -> bool:
        """Whether one more request may be given up at its target early."""
        return self.early.is_left(now, self.count_entries())

    def note_early(self, now: float) -> None:
        """Count a request that was given up at its target early."""
        self.early.spend(now, self.count_entries())

    def _get_window(self, service: str) -> RetryWindow:
        if service not in self.windows:
            self.windows[service] = RetryWindow(self.terms)
        return self.windows[service]
