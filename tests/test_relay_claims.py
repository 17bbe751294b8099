"""Two entries that give the same engine to two long prompts at one moment.

They chose 20 and 35 ms apart, each before the other's word had come: 279,967
and 260,922 tokens at an engine that holds 382,500, so that the second prompt
waited for the first one's memory, was given up as silent, and refused.
"""

import unittest
from dataclasses import replace

from tests.engines import TARGETS
from trestledock.relay import (
    CLAIM_DELAY_S,
    Flight,
    Phase,
    Placement,
    find_prior_claim,
    needs_claim,
)

LONG = Flight('b', 't1', 260_922, 600, Phase.prefill, 10.0, worth=20)
OTHER = replace(LONG, flight_id='a')


class NeedTest(unittest.TestCase):
    """Only what takes long is worth a moment's wait."""

    def test_which(self):
        long = Placement(TARGETS[0], first_token_s=2.1)
        short = Placement(TARGETS[0], first_token_s=0.1)
        self.assertTrue(needs_claim(long, 20))
        self.assertFalse(needs_claim(short, 20))
        self.assertFalse(needs_claim(long, 0.5))


class PriorTest(unittest.TestCase):
    """Which of two goes first is the same for both."""

    def test_one_of_two_at_the_same_moment(self):
        for gap_s in (0, 0.02, -0.02, CLAIM_DELAY_S, 0.1, -0.1):
            with self.subTest(gap_s=gap_s):
                other = replace(OTHER, since=LONG.since + gap_s)
                found = (
                    find_prior_claim(LONG, [LONG, other], ()),
                    find_prior_claim(other, [LONG, other], ()),
                )
                self.assertEqual(found.count(None), 1)

    def test_what_is_under_way_goes_first(self):
        """Its sender has seen nobody in time, whatever the ids say."""
        other = replace(LONG, flight_id='z', since=LONG.since - 0.05)
        self.assertEqual(find_prior_claim(LONG, [other], ()), other)

    def test_what_was_known_at_the_choice(self):
        """It was reckoned with: the prompt fits beside it, or after it."""
        self.assertIsNone(find_prior_claim(LONG, [OTHER], {'a'}))

    def test_what_takes_no_time_there(self):
        short = replace(OTHER, worth=0.5)
        writing = replace(OTHER, phase=Phase.decode)
        self.assertIsNone(find_prior_claim(LONG, [short, writing], ()))
