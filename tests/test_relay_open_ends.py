"""Targets that may have ended, until a list tells."""

import unittest

from trestledock.relay import ListedTarget, UnconfirmedCrashes
from trestledock.relay._unconfirmed_crashes import (
    MAX_UNCONFIRMED,
    UNCONFIRMED_TTL_S,
)

FIRST = ListedTarget('t1', 's', 'a:1', born=1)
AGAIN = ListedTarget('t1', 's', 'a:2', born=2)
AT_ITS_ADDRESS = ListedTarget('t2', 's', 'a:1', born=1)


def make_open(*fingerprints):
    """Return what is open of the first start of a target."""
    found = UnconfirmedCrashes()
    for fingerprint in fingerprints:
        found.add(fingerprint, FIRST, now=0)
    return found


def get_names(ends):
    """Return the fingerprints of ends."""
    return [end.fingerprint for end in ends]


class OpenEndsTest(unittest.TestCase):
    """By whom an end is told, for how long, and how many are kept."""

    def test_all_that_ran_there(self):
        found = make_open('f', 'g')
        self.assertEqual(get_names(found.pop_confirmed('t1@1', 1)), ['f', 'g'])
        self.assertEqual(found.pop_confirmed('t1@1', 1), [])

    def test_another_target_at_its_address(self):
        found = make_open('f')
        self.assertEqual(found.pop_replaced_by(FIRST, 1), [])
        self.assertEqual(found.pop_replaced_by(AGAIN, 1), [])
        ends = found.pop_replaced_by(AT_ITS_ADDRESS, 1)
        self.assertEqual(get_names(ends), ['f'])

    def test_not_for_ever(self):
        self.assertEqual(
            make_open('f').pop_confirmed('t1@1', UNCONFIRMED_TTL_S), []
        )

    def test_so_many_at_most(self):
        found = UnconfirmedCrashes()
        for number in range(MAX_UNCONFIRMED + 1):
            found.add('f', ListedTarget(f't{number}', 's', 'a:1'), now=0)
        self.assertEqual(found.pop_confirmed(f't{MAX_UNCONFIRMED}', 1), [])
        found.add('f', FIRST, now=UNCONFIRMED_TTL_S + 1)
        self.assertEqual(
            get_names(found.pop_confirmed('t1@1', UNCONFIRMED_TTL_S + 2)), ['f']
        )
