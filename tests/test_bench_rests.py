"""Strategies for a target that asked another entry to back off."""

import unittest

from trestledock.bench.rests import (
    INHERITANCES,
    STRATEGIES,
    Restart,
    Scenario,
    prefer_if_enough,
    simulate,
)


def compare(**fields):
    """Return the results of each strategy with 24 entries."""
    scenario = Scenario(entries=24, load=0.5, **fields)
    return {
        name: simulate(scenario, select_targets)
        for name, select_targets in STRATEGIES.items()
    }


class StrategiesTest(unittest.TestCase):
    """Results of the strategies."""

    def test_without_sharing_each_entry_is_rejected(self):
        results = compare(targets=3, shedding=1)
        self.assertGreaterEqual(results['alone'].retries, 24)
        for name in ('keep away', 'spare', 'spare few'):
            self.assertLess(results[name].retries, 6, name)

    def test_avoiding_wastes_the_only_target(self):
        """It sheds load for 0.1 s, and one entry gets a back-off."""
        results = compare(targets=1, shedding=1, for_s=0.1)
        for name in ('alone', 'spare', 'spare few'):
            self.assertGreater(
                results[name].served, results['keep away'].served * 1.1, name
            )

    def test_last_target_is_not_overloaded(self):
        results = compare(targets=3, shedding=2)
        self.assertGreaterEqual(
            results['spare few'].served, results['spare'].served
        )
        self.assertLess(
            results['spare few'].rejected_twice, results['spare'].rejected_twice
        )


class RestartTest(unittest.TestCase):
    """What becomes of a back-off when its target restarts."""

    def compare(self, **fields):
        scenario = Scenario(
            entries=24, targets=3, load=0.5, restart=Restart(), **fields
        )
        return {
            name: simulate(scenario, prefer_if_enough, inherit).served
            for name, inherit in INHERITANCES.items()
        }

    def test_others_serve_while_one_backs_off(self):
        served = self.compare(shedding=1)
        self.assertEqual(len(set(served.values())), 1)

    def test_price_where_all_restart(self):
        """The longer the back-off, the longer nothing is served."""
        shares = [
            served['outlives'] / served['forgotten']
            for backoff_s in (1, 3, 30)
            for served in [self.compare(shedding=3, backoff_s=backoff_s)]
        ]
        self.assertGreater(shares[0], shares[1])
        self.assertGreater(shares[1], shares[2])
