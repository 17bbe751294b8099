"""Requests spread over time, at changing rates."""

import unittest
from math import inf

from hypothesis import given
from hypothesis import strategies as st

from trestledock.relay._token_bucket import BURST_S, TokenBucket

WINDOW_S = 4.0
RATES = st.floats(0, 50)


class TokenBucketTest(unittest.TestCase):
    """The number of requests that are sent."""

    @given(RATES, st.floats(0, 1), st.lists(st.floats(0, 0.5), max_size=300))
    def test_bound_in_any_window(self, per_s, tokens, pauses):
        bucket = TokenBucket(tokens, filled_at=0)
        now = 0
        sent = []
        for pause in pauses:
            now += pause
            if bucket.try_consume(now, per_s):
                sent.append(now)
        max_count = max(
            (sum(at <= time <= at + WINDOW_S for time in sent) for at in sent),
            default=0,
        )
        self.assertLessEqual(max_count, 1 + per_s * (WINDOW_S + BURST_S) + 1e-6)

    def test_steady_rate_is_used(self):
        bucket = TokenBucket(0, filled_at=0)
        count = sum(bucket.try_consume(step / 100, 5) for step in range(1000))
        self.assertGreaterEqual(count, 48)

    def test_rate_of_zero(self):
        bucket = TokenBucket(1, filled_at=0)
        self.assertFalse(bucket.try_consume(5, per_s=0))
        self.assertEqual(bucket.get_wait_s(1, now=5, per_s=0), inf)

    def test_wait_is_exact(self):
        bucket = TokenBucket(0.25, filled_at=0)
        wait_s = bucket.get_wait_s(1, now=0, per_s=0.5)
        self.assertFalse(bucket.has_token(wait_s - 0.01, per_s=0.5))
        self.assertTrue(bucket.has_token(wait_s + 0.01, per_s=0.5))
