"""When targets that asked for a back-off get requests again."""

import unittest

from trestledock.relay import (
    Backoff,
    Drain,
    ListedTarget,
    Member,
    NoticeChange,
    Notices,
    RateLimit,
    Throttle,
    get_jitter_s,
)

ONE = ListedTarget('t1', 's', 'a')
TWO = ListedTarget('t2', 's', 'b')


def make_throttle(**ends):
    """Return the throttle of an entry that was asked for back-offs."""
    throttle = Throttle(Member('e', 'dc'), Notices(), lambda: 1)
    for name, until in ends.items():
        throttle.notices.record(name, Backoff(until, asked_at=0, heard_at=0))
    return throttle


class NoticesTest(unittest.TestCase):
    """Which of several notices holds."""

    def record(self, *received):
        notices = Notices()
        changes = [notices.record('t', notice) for notice in received]
        return changes, notices

    # Guards against a short back-off that replaces an earlier, longer one.
    def test_later_end_counts(self):
        changes, notices = self.record(
            Backoff(9, 0, 1), Backoff(4, 1, 2), Backoff(12, 3, 4)
        )
        self.assertEqual(
            changes,
            [NoticeChange.learnt, NoticeChange.nothing, NoticeChange.changed],
        )
        self.assertEqual(notices.get(Backoff, 't').until, 12)

    def test_drain_is_final(self):
        changes, notices = self.record(
            Drain(0, 1), Drain(5, 6), Backoff(9, 0, 1)
        )
        self.assertEqual(changes[1], NoticeChange.nothing)
        notices.forget('t')
        self.assertIsNotNone(notices.get(Drain, 't'))
        self.assertIsNone(notices.get(Backoff, 't'))

    def test_kinds_are_independent(self):
        _, notices = self.record(RateLimit(2, 0, 1), Backoff(9, 0, 1))
        self.assertEqual(notices.get(RateLimit, 't').per_s, 2)
        self.assertEqual(notices.get(Backoff, 't').until, 9)


class ThrottleTest(unittest.TestCase):
    """Requests before, at and after the end of a back-off."""

    def test_no_requests_before_end(self):
        throttle = make_throttle(t1=3)
        self.assertIs(throttle.acquire([ONE], now=2.99), ONE)
        self.assertTrue(throttle.is_backing_off(ONE, now=2.99))
        self.assertFalse(throttle.is_backing_off(ONE, now=3))
        self.assertIsNone(throttle.acquire([TWO], now=2.99))

    # Guards against a probe that is used up by a request to another target.
    def test_all_or_none(self):
        throttle = make_throttle(t1=3, t2=9)
        self.assertIs(throttle.acquire([ONE, TWO], now=4), TWO)
        self.assertIsNone(throttle.acquire([ONE], now=4))

    def test_one_at_a_time_until_an_answer(self):
        throttle = make_throttle(t1=3)
        sent = [
            now for now in range(12, 20) if not throttle.acquire([ONE], now / 4)
        ]
        self.assertEqual(sent, [12, 14, 16, 18])
        throttle.backoffs.forget('t1')
        self.assertIsNone(throttle.acquire([ONE], now=4.7))
        self.assertFalse(throttle.is_restrained(ONE))

    def test_waits(self):
        """The shorter back-off decides, also for requests further behind."""
        throttle = make_throttle(t1=3, t2=9)
        waits = [
            throttle.get_wait_s([ONE, TWO], ahead, 1) for ahead in range(3)
        ]
        self.assertEqual(waits, [2, 2, 2])

    # Guards against a back-off that hides a rate limit, and the reverse.
    def test_backoff_and_rate_limit(self):
        throttle = make_throttle(t1=3)
        throttle.notices.record('t1', RateLimit(0.5, 0, 1))
        self.assertIs(throttle.acquire([ONE], now=2), ONE)
        self.assertIsNone(throttle.acquire([ONE], now=3))
        throttle.backoffs.forget('t1')
        self.assertIs(throttle.acquire([ONE], now=4), ONE)

    def test_jitter(self):
        self.assertEqual(get_jitter_s(3, 0), 0)
        self.assertAlmostEqual(get_jitter_s(3, 1), 0.6)
        self.assertEqual(get_jitter_s(86_400, 1), 1)
