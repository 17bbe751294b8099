"""When targets that asked for rest get requests again."""

import unittest

from trestledock.relay import (
    NoticeChange,
    Drain,
    ListedTarget,
    Member,
    Notices,
    RateLimit,
    Backoff,
    Throttle,
    get_jitter_s,
)

ONE = ListedTarget('t1', 's', 'a')
TWO = ListedTarget('t2', 's', 'b')


def make_throttle(**untils):
    """Return the throttle of an entry that was asked for some rests."""
    throttle = Throttle(Member('e', 'dc'), Notices(), lambda: 1)
    for name, until in untils.items():
        throttle.notices.record(name, Backoff(until, asked_at=0, heard_at=0))
    return throttle


class BelievedTest(unittest.TestCase):
    """Which of several notices counts."""

    def note(self, *notices):
        known = Notices()
        changes = [known.record('t', one) for one in notices]
        return changes, known

    # Guards against a short rest that cuts an earlier, longer one.
    def test_later_end_counts(self):
        changes, known = self.note(
            Backoff(9, 0, 1), Backoff(4, 1, 2), Backoff(12, 3, 4)
        )
        self.assertEqual(
            changes,
            [NoticeChange.learnt, NoticeChange.nothing, NoticeChange.changed],
        )
        self.assertEqual(known.get(Backoff, 't').until, 12)

    def test_nothing_takes_a_leave_back(self):
        changes, known = self.note(Drain(0, 1), Drain(5, 6), Backoff(9, 0, 1))
        self.assertEqual(changes[1], NoticeChange.nothing)
        known.forget('t')
        self.assertIsNotNone(known.get(Drain, 't'))
        self.assertIsNone(known.get(Backoff, 't'))

    def test_kinds_stand_beside_each_other(self):
        _, known = self.note(RateLimit(2, 0, 1), Backoff(9, 0, 1))
        self.assertEqual(known.get(RateLimit, 't').per_s, 2)
        self.assertEqual(known.get(Backoff, 't').until, 9)


class ThrottleTest(unittest.TestCase):
    """Requests before, at and after the end of a rest."""

    def test_none_before_the_end(self):
        throttle = make_throttle(t1=3)
        self.assertIs(throttle.acquire([ONE], now=2.99), ONE)
        self.assertTrue(throttle.is_backing_off(ONE, now=2.99))
        self.assertFalse(throttle.is_backing_off(ONE, now=3))
        self.assertIsNone(throttle.acquire([TWO], now=2.99))

    # Guards against a trial that a request to another target uses up.
    def test_all_or_none_of_several(self):
        throttle = make_throttle(t1=3, t2=9)
        self.assertIs(throttle.acquire([ONE, TWO], now=4), TWO)
        self.assertIsNone(throttle.acquire([ONE], now=4))

    def test_one_at_a_time_until_an_answer(self):
        throttle = make_throttle(t1=3)
        taken = [
            now for now in range(12, 20) if not throttle.acquire([ONE], now / 4)
        ]
        self.assertEqual(taken, [12, 14, 16, 18])
        throttle.backoffs.forget('t1')
        self.assertIsNone(throttle.acquire([ONE], now=4.7))
        self.assertFalse(throttle.is_restrained(ONE))

    def test_waits(self):
        """The shorter rest is waited for, by those behind as well."""
        throttle = make_throttle(t1=3, t2=9)
        waits = [throttle.get_wait_s([ONE, TWO], one, 1) for one in range(3)]
        self.assertEqual(waits, [2, 2, 2])

    # Guards against a rate limit that a rest hides, and the other way about.
    def test_rest_and_rate_limit_both_bind(self):
        throttle = make_throttle(t1=3)
        throttle.notices.record('t1', RateLimit(0.5, 0, 1))
        self.assertIs(throttle.acquire([ONE], now=2), ONE)
        self.assertIsNone(throttle.acquire([ONE], now=3))
        throttle.backoffs.forget('t1')
        self.assertIs(throttle.acquire([ONE], now=4), ONE)

    def test_spread(self):
        self.assertEqual(get_jitter_s(3, 0), 0)
        self.assertAlmostEqual(get_jitter_s(3, 1), 0.6)
        self.assertEqual(get_jitter_s(86_400, 1), 1)
