"""Strategies for sharing a rate limit: which of them stay within it."""

import unittest

from trestledock.bench._rates import STRATEGIES, WINDOW_S, Scenario, simulate

#: A scenario with a demand above the limit and a network partition.
SCENARIO = Scenario(entries=24, per_s=10, rate=2, cut_at=20, ends_at=40)
ALLOWED = 1.5 * WINDOW_S * SCENARIO.per_s + 5


class StrategiesTest(unittest.TestCase):
    """Results of each strategy, without a partition and during it."""

    @classmethod
    def setUpClass(cls):
        cls.results = {
            name: simulate(SCENARIO, make_strategy(SCENARIO))
            for name, make_strategy in STRATEGIES
        }

    def test_all_within_limit_without_partition(self):
        for name, result in self.results.items():
            self.assertLessEqual(result.max_in_window, ALLOWED, name)

    def test_only_few_holders_within_limit_in_partition(self):
        """With the other strategies, each side uses the whole limit."""
        within_limit = [
            name
            for name, result in self.results.items()
            if result.max_in_window_cut <= ALLOWED
        ]
        self.assertEqual(within_limit, ['few holders'])

    def test_few_holders_use_most_of_the_limit(self):
        result = self.results['few holders']
        self.assertGreater(result.utilization, 0.7)
        self.assertGreater(result.utilization_cut, 0.7)
