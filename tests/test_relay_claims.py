"""Two entries that place long prompts at the same engine at one moment.

They chose 20 and 35 ms apart, each before the other's message had arrived:
279,967 and 260,922 tokens at an engine that holds 382,500.  The second prompt
waited for the memory of the first, timed out as silent, and was refused.
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


class NeedsClaimTest(unittest.TestCase):
    """Only prompts with a long prefill are worth the delay."""

    def test_only_long_prompts(self):
        long = Placement(TARGETS[0], first_token_s=2.1)
        short = Placement(TARGETS[0], first_token_s=0.1)
        self.assertTrue(needs_claim(long, 20))
        self.assertFalse(needs_claim(short, 20))
        self.assertFalse(needs_claim(long, 0.5))


class PriorClaimTest(unittest.TestCase):
    """Both entries agree on which of two prompts goes first."""

    def test_same_moment(self):
        for gap_s in (0, 0.02, -0.02, CLAIM_DELAY_S, 0.1, -0.1):
            with self.subTest(gap_s=gap_s):
                other = replace(OTHER, since=LONG.since + gap_s)
                priors = (
                    find_prior_claim(LONG, [LONG, other], ()),
                    find_prior_claim(other, [LONG, other], ()),
                )
                self.assertEqual(priors.count(None), 1)

    def test_earlier_claim_goes_first(self):
        """A prompt that was announced long before is already being sent."""
        other = replace(LONG, flight_id='z', since=LONG.since - 0.05)
        self.assertEqual(find_prior_claim(LONG, [other], ()), other)

    def test_known_claim_is_ignored(self):
        """The placement took it into account: the prompts fit together."""
        self.assertIsNone(find_prior_claim(LONG, [OTHER], {'a'}))

    def test_short_or_decoding_is_ignored(self):
        short = replace(OTHER, worth=0.5)
        writing = replace(OTHER, phase=Phase.decode)
        self.assertIsNone(find_prior_claim(LONG, [short, writing], ()))
