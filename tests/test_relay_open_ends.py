"""Possible crashes of targets until the list confirms them."""

import unittest

from trestledock.relay import Listed, OpenEnds
from trestledock.relay._open_ends import MOST_OPEN, OPEN_S

FIRST = Listed('t1', 's', 'a:1', born=1)
AGAIN = Listed('t1', 's', 'a:2', born=2)
AT_ITS_ADDRESS = Listed('t2', 's', 'a:1', born=1)


def make_open(*fingerprints):
    """Return the unconfirmed crashes of a target's first incarnation."""
    crashes = OpenEnds()
    for fingerprint in fingerprints:
        crashes.keep(fingerprint, FIRST, now=0)
    return crashes


def get_names(crashes):
    """Return the fingerprints of crashes."""
    return [crash.fingerprint for crash in crashes]


class OpenEndsTest(unittest.TestCase):
    """What confirms a crash, for how long, and how many are kept."""

    def test_all_that_ran_there(self):
        crashes = make_open('f', 'g')
        self.assertEqual(get_names(crashes.take('t1@1', 1)), ['f', 'g'])
        self.assertEqual(crashes.take('t1@1', 1), [])

    def test_another_target_at_its_address(self):
        crashes = make_open('f')
        self.assertEqual(crashes.take_replaced_by(FIRST, 1), [])
        self.assertEqual(crashes.take_replaced_by(AGAIN, 1), [])
        ends = crashes.take_replaced_by(AT_ITS_ADDRESS, 1)
        self.assertEqual(get_names(ends), ['f'])

    def test_not_for_ever(self):
        self.assertEqual(make_open('f').take('t1@1', OPEN_S), [])

    def test_so_many_at_most(self):
        crashes = OpenEnds()
        for number in range(MOST_OPEN + 1):
            crashes.keep('f', Listed(f't{number}', 's', 'a:1'), now=0)
        self.assertEqual(crashes.take(f't{MOST_OPEN}', 1), [])
        crashes.keep('f', FIRST, now=OPEN_S + 1)
        self.assertEqual(get_names(crashes.take('t1@1', OPEN_S + 2)), ['f'])
