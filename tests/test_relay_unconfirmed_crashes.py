"""Possible crashes of targets until the list confirms them."""

import unittest

from trestledock.relay import ListedTarget, UnconfirmedCrashes
from trestledock.relay._unconfirmed_crashes import (
    MAX_UNCONFIRMED,
    UNCONFIRMED_TTL_S,
)

ORIGINAL = ListedTarget('t1', 's', 'a:1', born=1)
RESTARTED = ListedTarget('t1', 's', 'a:2', born=2)
REPLACEMENT = ListedTarget('t2', 's', 'a:1', born=1)


def make_unconfirmed(*fingerprints):
    """Return the unconfirmed crashes of a target's first incarnation."""
    crashes = UnconfirmedCrashes()
    for fingerprint in fingerprints:
        crashes.add(fingerprint, ORIGINAL, now=0)
    return crashes


def get_fingerprints(crashes):
    """Return the fingerprints of crashes."""
    return [crash.name for crash in crashes]


class UnconfirmedCrashesTest(unittest.TestCase):
    """What confirms a crash, for how long, and how many are kept."""

    def test_all_requests_of_target(self):
        crashes = make_unconfirmed('f', 'g')
        self.assertEqual(
            get_fingerprints(crashes.pop_confirmed('t1@1', 1)), ['f', 'g']
        )
        self.assertEqual(crashes.pop_confirmed('t1@1', 1), [])

    def test_replaced_by_other_target(self):
        crashes = make_unconfirmed('f')
        self.assertEqual(crashes.pop_replaced_by(ORIGINAL, 1), [])
        self.assertEqual(crashes.pop_replaced_by(RESTARTED, 1), [])
        confirmed = crashes.pop_replaced_by(REPLACEMENT, 1)
        self.assertEqual(get_fingerprints(confirmed), ['f'])

    def test_expiry(self):
        self.assertEqual(
            make_unconfirmed('f').pop_confirmed('t1@1', UNCONFIRMED_TTL_S), []
        )

    def test_maximum(self):
        crashes = UnconfirmedCrashes()
        for number in range(MAX_UNCONFIRMED + 1):
            crashes.add('f', ListedTarget(f't{number}', 's', 'a:1'), now=0)
        self.assertEqual(crashes.pop_confirmed(f't{MAX_UNCONFIRMED}', 1), [])
        crashes.add('f', ORIGINAL, now=UNCONFIRMED_TTL_S + 1)
        self.assertEqual(
            get_fingerprints(
                crashes.pop_confirmed('t1@1', UNCONFIRMED_TTL_S + 2)
            ),
            ['f'],
        )
