"""Quotas of one entry at cold targets."""

import unittest
from dataclasses import replace
from math import inf

from hypothesis import given
from hypothesis import strategies as st

from tests.test_relay_quotas import PLACES, make_members
from tests.test_relay_throttle import ONE, TWO
from trestledock.relay import (
    ColdBounds,
    ColdLimit,
    ColdService,
    ColdStart,
    KnownInstances,
    Member,
    Notices,
    RateLimit,
    Throttle,
)
from trestledock.relay._cold_starts import WINDOW_S

LIMIT = ColdLimit(ColdService(17, 3), ColdBounds(1.5, 5))
COLD = ColdStart(until=3, since=0, asked_at=0, heard_at=0)
OWN = Member('e', 'dc')
ALONE = KnownInstances(OWN, (), since=0)


def make_throttle(known=ALONE, limit=LIMIT, draw=lambda: 1, **cold):
    """Return the throttle of an entry, with cold targets."""
    notices = Notices()
    for name, notice in cold.items():
        notices.record(name, notice)
    throttle = Throttle(OWN, notices, draw)
    throttle.cold.get_limit = lambda service: limit
    throttle.cold.get_known = lambda: known
    return throttle


def send_all(throttle, until, targets=(ONE,), step_s=0.01):
    """Send whenever that is possible; return the times."""
    times = [number * step_s for number in range(round(until / step_s))]
    return [at for at in times if throttle.acquire(targets, at) is None]


class LimitTest(unittest.TestCase):
    """The rate of all entries together."""

    @given(
        st.floats(0.1, 1000),
        st.floats(0, 3),
        st.floats(0, 100),
        st.floats(-1, 9),
    )
    def test_holders_keep_the_bound(self, per_s, over, slack, left_s):
        """Guards against bounds that leave no request above the rate."""
        limit = ColdLimit(ColdService(per_s, 3), ColdBounds(over, slack))
        rate = limit.get_rate(left_s)
        self.assertLessEqual(rate, per_s)
        if rate:
            most = rate + limit.max_holders
            self.assertLessEqual(most, limit.max_per_s + 1e-9)


class GateTest(unittest.TestCase):
    """What one entry sends."""

    def test_ramp_from_nothing(self):
        """Guards against a burst, and against no use of the quota."""
        times = send_all(make_throttle(t1=COLD), until=4)
        self.assertGreater(times[0], 1 / 17)
        first, last = (
            sum(start <= at < start + 1 for at in times) for start in (0, 3)
        )
        self.assertLess(first, 12)
        self.assertGreater(last, 14)

    def test_saves_nothing(self):
        """Guards against a burst after a pause."""
        throttle = make_throttle(t1=COLD)
        self.assertIsNone(throttle.acquire([ONE], 2))
        self.assertIs(throttle.acquire([ONE], 2.01), ONE)

    def test_end(self):
        """Guards against a window that begins in the cold time."""
        throttle = make_throttle(t1=COLD)
        over_at = COLD.until + WINDOW_S
        throttle.acquire([ONE], over_at - 0.01)
        self.assertFalse(throttle.can_send(ONE, over_at - 0.01))
        for _ in range(100):
            self.assertIsNone(throttle.acquire([ONE], over_at))

    def test_without_limit_of_the_service(self):
        throttle = make_throttle(limit=None, t1=COLD)
        self.assertFalse(throttle.is_restrained(ONE))
        self.assertEqual(throttle.cold.get_quota(ONE, 1), inf)

    def test_without_knowledge_of_entries(self):
        """Guards against requests of an entry that others don't know."""
        throttle = make_throttle(known=None, t1=COLD)
        self.assertEqual(send_all(throttle, until=3.9), [])
        self.assertEqual(throttle.get_wait_s([ONE], 0, 1), 3)

    def test_new_holder_starts_empty(self):
        """Guards against two holders of the same quota in a second."""
        known = replace(ALONE, since=2)
        throttle = make_throttle(known, t1=COLD)
        self.assertFalse(throttle.can_send(ONE, 2))
        throttle.cold.get_known = lambda: replace(known, since=2.5)
        self.assertFalse(throttle.can_send(ONE, 2.51))
        self.assertTrue(throttle.can_send(ONE, 2.6))

    def test_long_holder_starts_at_once(self):
        """Guards against a cold time of which half is not used."""
        throttle = make_throttle(replace(ALONE, since=-1), t1=COLD)
        self.assertTrue(throttle.can_send(ONE, 0))
        throttle = make_throttle(replace(ALONE, since=-0.9), t1=COLD)
        self.assertFalse(throttle.can_send(ONE, 0))

    def test_cold_again_saves_nothing(self):
        """Guards against tokens of the time between two cold times."""
        throttle = make_throttle(draw=float, t1=COLD)
        throttle.acquire([ONE], 3.5)
        again = ColdStart(until=13, since=10, asked_at=10, heard_at=10)
        throttle.notices.record('t1', again)
        self.assertFalse(throttle.can_send(ONE, 10))

    def test_later_end_counts(self):
        """A later notice prolongs a cold time, an earlier one doesn't."""
        notices = make_throttle(t1=COLD).notices
        notices.record('t1', ColdStart(5, 2, 2, 2))
        notices.record('t1', ColdStart(4, 2, 2, 2))
        found = notices.get(ColdStart, 't1')
        self.assertEqual((found.until, found.since), (5, 0))

    def test_helpers_count(self):
        """A prompt with helpers goes to all of them, or to none."""
        throttle = make_throttle(t1=COLD, t2=COLD)
        throttle.acquire([TWO], 1)
        self.assertIs(throttle.acquire([ONE, TWO], 1), TWO)
        self.assertIsNone(throttle.acquire([ONE], 1))

    def test_lower_rate_limit_counts_too(self):
        throttle = make_throttle(t1=COLD)
        throttle.notices.record('t1', RateLimit(0.5, 0, 0))
        self.assertLessEqual(len(send_all(throttle, until=3)), 2)

    def test_forgotten_with_its_target(self):
        throttle = make_throttle(t1=COLD)
        throttle.forget('t1')
        self.assertFalse(
            throttle.has_restraints and throttle.is_restrained(ONE)
        )


class RankTest(unittest.TestCase):
    """Who holds quotas, by what each entry knows."""

    @given(
        st.integers(1, 30),
        st.integers(1, 9),
        st.lists(st.sets(st.integers(0, 29)), min_size=30, max_size=30),
    )
    def test_too_many_known_cost_only_holders(self, count, holders, unheard):
        """Guards against unknown data centres that make more holders."""
        members = make_members(count)
        ranks = [
            KnownInstances(
                own,
                tuple(
                    replace(other, data_centre='')
                    if other_id in hidden
                    else other
                    for other_id, other in enumerate(members)
                    if other != own
                ),
                since=0,
            ).count_ahead('t1', PLACES[0])
            for own, hidden in zip(members, unheard, strict=False)
        ]
        self.assertLessEqual(sum(rank < holders for rank in ranks), holders)

    def test_all_known(self):
        """All quotas are held, those of the target's data centre first."""
        members = make_members(12)
        ranks = {
            own: KnownInstances(
                own, tuple(set(members) - {own}), since=0
            ).count_ahead('t1', PLACES[0])
            for own in members
        }
        self.assertEqual(sorted(ranks.values()), list(range(12)))
        nearest = {own.data_centre for own in members if ranks[own] < 4}
        self.assertEqual(nearest, {PLACES[0]})
