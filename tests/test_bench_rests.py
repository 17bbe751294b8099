"""Ways to spare a target that asked another entry for rest."""

import unittest

from trestledock.bench.rests import WAYS, Day, play


def compare(**fields):
    """Return what each way comes to on a day of 24 entries."""
    day = Day(entries=24, load=0.5, **fields)
    return {name: play(day, allowed) for name, allowed in WAYS.items()}


class WaysTest(unittest.TestCase):
    """What entries that weren't asked do."""

    def test_alone_each_entry_is_turned_away(self):
        found = compare(targets=3, shedding=1)
        self.assertGreaterEqual(found['alone'].repeats, 24)
        for name in ('keep away', 'spare', 'spare few'):
            self.assertLess(found[name].repeats, 6, name)

    def test_keeping_away_wastes_the_only_target(self):
        """It is full for a moment, and rests from one entry."""
        found = compare(targets=1, shedding=1, for_s=0.1)
        for name in ('alone', 'spare', 'spare few'):
            self.assertGreater(
                found[name].served, found['keep away'].served * 1.1, name
            )

    def test_the_last_target_does_not_get_the_work_of_all(self):
        found = compare(targets=3, shedding=2)
        self.assertGreaterEqual(
            found['spare few'].served, found['spare'].served
        )
        self.assertLess(found['spare few'].twice, found['spare'].twice)
