"""Requests spread over time, at rates that change."""

import unittest
from math import inf

from hypothesis import given
from hypothesis import strategies as st

from trestledock.relay._token_bucket import BURST_S, TokenBucket

STRETCH_S = 4.0
RATES = st.floats(0, 50)


class BucketTest(unittest.TestCase):
    """How many requests leave."""

    @given(RATES, st.floats(0, 1), st.lists(st.floats(0, 0.5), max_size=300))
    def test_no_stretch_has_more(self, per_s, tokens, pauses):
        bucket = TokenBucket(tokens, filled_at=0)
        now = 0
        left = []
        for pause in pauses:
            now += pause
            if bucket.try_take(now, per_s):
                left.append(now)
        most = max(
            (sum(at <= one <= at + STRETCH_S for one in left) for at in left),
            default=0,
        )
        self.assertLessEqual(most, 1 + per_s * (STRETCH_S + BURST_S) + 1e-6)

    def test_steady_rate_is_used(self):
        bucket = TokenBucket(0, filled_at=0)
        count = sum(bucket.try_take(step / 100, 5) for step in range(1000))
        self.assertGreaterEqual(count, 48)

    def test_no_right_no_wait(self):
        bucket = TokenBucket(1, filled_at=0)
        self.assertFalse(bucket.try_take(5, per_s=0))
        self.assertEqual(bucket.get_wait_s(1, now=5, per_s=0), inf)

    def test_wait_is_over_when_it_said(self):
        bucket = TokenBucket(0.25, filled_at=0)
        wait_s = bucket.get_wait_s(1, now=0, per_s=0.5)
        self.assertFalse(bucket.has_token(wait_s - 0.01, per_s=0.5))
        self.assertTrue(bucket.has_token(wait_s + 0.01, per_s=0.5))
