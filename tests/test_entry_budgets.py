"""
The budget for repeats is shared by all entries, also by those not heard.

Seen: two groups of entries that are cut off from each other repeat twice as
often as one budget allows.  How: each entry takes its part by the entries that
it hears, and each group hears only itself.  Cause: the same as of targets that
got more than they asked for, what all share is kept by what each one hears.
"""

import unittest

import anyio

from tests.limiting import run_fleet
from tests.relaying import make_route

#: Above the time after which entries that are cut off are not heard any more.
UNHEARD_S = 3


def spend_all(fleet):
    """Return how many repeats all entries together take at once."""
    now = anyio.current_time()
    count = 0
    for entry in fleet.entries:
        while entry.state.budgets.spend_retry('svc', now):
            count += 1
    return count


class SharedBudgetTest(unittest.TestCase):
    """The slack of the budget, before any request."""

    def count(self, cut):
        async def scenario(fleet):
            fleet.cut = cut
            await anyio.sleep(UNHEARD_S)
            slack = fleet.entries[0].state.settings.budget.slack
            return spend_all(fleet), slack

        return run_fleet(scenario, [make_route()], entries=6, targets=1)

    def test_whole(self):
        count, slack = self.count(set())
        self.assertLessEqual(count, slack)
        self.assertGreater(count, slack / 2)

    def test_cut_in_two(self):
        count, slack = self.count({0, 1, 2})
        self.assertLessEqual(count, slack)
        self.assertGreater(count, slack / 2)
