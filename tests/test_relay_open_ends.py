"""Possible crashes of targets until the list confirms them."""

import unittest

from trestledock.relay import Listed, OpenEnds
from trestledock.relay._open_ends import MOST_OPEN, OPEN_S

ORIGINAL = Listed('t1', 's', 'a:1', born=1)
RESTARTED = Listed('t1', 's', 'a:2', born=2)
REPLACEMENT = Listed('t2', 's', 'a:1', born=1)


def make_unconfirmed(*fingerprints):
    """Return the unconfirmed crashes of a target's first incarnation."""
    crashes = OpenEnds()
    for fingerprint in fingerprints:
        crashes.keep(fingerprint, ORIGINAL, now=0)
    return crashes


def get_fingerprints(crashes):
    """Return the fingerprints of crashes."""
    return [crash.fingerprint for crash in crashes]


class UnconfirmedCrashesTest(unittest.TestCase):
    """What confirms a crash, for how long, and how many are kept."""

    def test_all_requests_of_target(self):
        crashes = make_unconfirmed('f', 'g')
        self.assertEqual(get_fingerprints(crashes.take('t1@1', 1)), ['f', 'g'])
        self.assertEqual(crashes.take('t1@1', 1), [])

    def test_replaced_by_other_target(self):
        crashes = make_unconfirmed('f')
        self.assertEqual(crashes.take_replaced_by(ORIGINAL, 1), [])
        self.assertEqual(crashes.take_replaced_by(RESTARTED, 1), [])
        ends = crashes.take_replaced_by(REPLACEMENT, 1)
        self.assertEqual(get_fingerprints(ends), ['f'])

    def test_expiry(self):
        self.assertEqual(make_unconfirmed('f').take('t1@1', OPEN_S), [])

    def test_maximum(self):
        crashes = OpenEnds()
        for number in range(MOST_OPEN + 1):
            crashes.keep('f', Listed(f't{number}', 's', 'a:1'), now=0)
        self.assertEqual(crashes.take(f't{MOST_OPEN}', 1), [])
        crashes.keep('f', ORIGINAL, now=OPEN_S + 1)
        self.assertEqual(
            get_fingerprints(crashes.take('t1@1', OPEN_S + 2)), ['f']
        )
