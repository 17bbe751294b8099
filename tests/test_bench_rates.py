"""Ways to share a rate limit, on the same arrivals: which stay within it."""

import unittest

from trestledock.bench._rates import STRETCH_S, WAYS, Day, play

#: A day with more requests for the target than it takes, and a cut.
DAY = Day(entries=24, per_s=10, rate=2, cut_at=20, ends_at=40)
ALLOWED = 1.5 * STRETCH_S * DAY.per_s + 5


class WaysTest(unittest.TestCase):
    """What each way comes to, whole and cut in two."""

    @classmethod
    def setUpClass(cls):
        cls.found = {name: play(DAY, make(DAY)) for name, make in WAYS}

    def test_all_hold_while_everybody_is_heard(self):
        for name, found in self.found.items():
            self.assertLessEqual(found.most, ALLOWED, name)

    def test_only_few_holders_hold_in_a_cut(self):
        """The others' sides each take the whole limit."""
        held = [
            name
            for name, found in self.found.items()
            if found.most_in_cut <= ALLOWED
        ]
        self.assertEqual(held, ['few holders'])

    def test_few_holders_use_most_of_it(self):
        found = self.found['few holders']
        self.assertGreater(found.used, 0.7)
        self.assertGreater(found.used_in_cut, 0.7)
