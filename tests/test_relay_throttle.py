"""Whether and when a request may be sent to rate-limited targets."""

import unittest
from math import inf

from trestledock.relay import ListedTarget, Member, Notices, RateLimit, Throttle

ONE, TWO, FREE = (
    ListedTarget(name, 'svc', f'{name}:80', 'dc') for name in ('t1', 't2', 't3')
)


def make_throttle(draw=lambda: 1, **per_s):
    """Return the throttle of the only entry, with limits of some targets."""
    notices = Notices()
    for name, rate in per_s.items():
        notices.record(name, RateLimit(rate, 0, 0))
    return Throttle(Member('e', 'dc'), notices, draw)


class ThrottleTest(unittest.TestCase):
    """One entry, alone."""

    def test_without_limit(self):
        throttle = make_throttle(t1=1)
        for _ in range(100):
            self.assertIsNone(throttle.acquire([FREE], now=0))

    def test_all_or_none(self):
        """If a helper has no token, the target keeps its own."""
        throttle = make_throttle(t1=1, t2=1)
        self.assertIsNone(throttle.acquire([TWO], now=0))
        self.assertIs(throttle.acquire([ONE, FREE, TWO], now=0), TWO)
        self.assertIsNone(throttle.acquire([ONE], now=0))

    def test_wait_counts_those_ahead(self):
        throttle = make_throttle(t1=1, t2=2)
        throttle.acquire([ONE, TWO], now=0)
        waits = [
            throttle.get_wait_s([ONE, TWO], ahead, 0) for ahead in range(4)
        ]
        self.assertEqual(waits, [0.5, 1, 1, 1.5])
        self.assertEqual(throttle.get_wait_s([], 0, 0), inf)

    def test_raised_limit_applies_at_once(self):
        throttle = make_throttle(t1=0.1)
        throttle.acquire([ONE], now=0)
        throttle.notices.record('t1', RateLimit(10, 1, 1))
        self.assertTrue(throttle.can_send(ONE, now=1.2))

    def test_removed_with_target(self):
        throttle = make_throttle(t1=1)
        throttle.acquire([ONE], now=0)
        throttle.forget('t1')
        self.assertTrue(throttle.can_send(ONE, now=0))

    def test_limit_of_zero(self):
        """Otherwise no request would reveal that the limit has ended."""
        throttle = make_throttle(t1=0)
        sent = [
            now for now in range(100) if throttle.acquire([ONE], now) is None
        ]
        self.assertEqual(len(sent), 10)
