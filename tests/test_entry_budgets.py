"""
The retry budget is shared by all entries, including unreachable ones.

Guards against two groups of entries that are cut off from each other and retry
twice as often as the budget allows: if each entry divided the budget by the
entries that it receives messages from, each group would use the whole budget.
"""

import unittest

import anyio

from tests.limiting import run_fleet
from tests.relaying import make_route

#: Longer than the time after which a cut-off entry counts as unreachable, in
#: seconds.
UNREACHABLE_S = 3


def spend_all(fleet):
    """Return how many retries all entries together make at once."""
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
            await anyio.sleep(UNREACHABLE_S)
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
