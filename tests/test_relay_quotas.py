"""Who may send how much to a target that takes only so many requests."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from trestledock.relay import Member, Membership
from trestledock.relay._quotas import (
    MIN_RATE_PER_S,
    EXTRA_HOLDERS,
    TargetRate,
    QuotaCache,
    get_quota,
)

PLACES = ('dc-0', 'dc-1', 'dc-2')


def make_members(count):
    """Return so many entries in three data centres."""
    return [Member(f'10.0.0.{one}:1', PLACES[one % 3]) for one in range(count)]


def get_quotas(groups, per_s, known, target='t1'):
    """Return the quotas of all entries; those of a group hear one another."""
    demand = TargetRate(target, 'dc-0', per_s)
    return [
        get_quota(
            Membership(
                one, tuple(other for other in group if other != one), known
            ),
            demand,
        )
        for group in groups
        for one in group
    ]


class QuotaTest(unittest.TestCase):
    """Quotas of entries that agree, and of those that don't."""

    @given(st.integers(1, 200), st.floats(0, 1000))
    def test_all_together(self, count, per_s):
        """They add up to the limit, and none is above the others."""
        quotas = get_quotas([make_members(count)], per_s, count)
        self.assertAlmostEqual(sum(quotas), max(per_s, MIN_RATE_PER_S))
        self.assertLessEqual(len({one for one in quotas if one}), 1)

    @given(
        st.integers(2, 60),
        st.floats(0, 100),
        st.lists(st.integers(0, 3), min_size=60, max_size=60),
    )
    def test_cut_in_any_groups(self, count, per_s, sides):
        """No group takes the part of those that it does not hear."""
        everyone = make_members(count)
        groups = [
            [
                one
                for one, at in zip(everyone, sides, strict=False)
                if at == side
            ]
            for side in range(4)
        ]
        quotas = get_quotas(groups, per_s, count)
        self.assertAlmostEqual(sum(quotas), max(per_s, MIN_RATE_PER_S))

    def test_few_hold_a_small_limit(self):
        quotas = get_quotas([make_members(195)], 1, 195)
        self.assertEqual(sum(1 for one in quotas if one), 1 + EXTRA_HOLDERS)

    def test_own_data_centre_first(self):
        everyone = make_members(12)
        quotas = get_quotas([everyone], 1, 12)
        holders = [
            one for one, quota in zip(everyone, quotas, strict=True) if quota
        ]
        self.assertEqual({one.data_centre for one in holders}, {'dc-0'})

    def test_targets_have_different_holders(self):
        holders = [
            tuple(get_quotas([make_members(60)], 1, 60, target=f't{one}'))
            for one in range(10)
        ]
        self.assertGreater(len(set(holders)), 8)

    def test_restart_keeps_its_place(self):
        """An entry is known by its address, whichever start it is."""
        own, *others = make_members(9)
        before = get_quota(
            Membership(own, tuple(others), 9), TargetRate('t', '', 2)
        )
        again = Member(own.name, own.data_centre)
        after = get_quota(
            Membership(again, tuple(others), 9), TargetRate('t', '', 2)
        )
        self.assertEqual(before, after)

    def test_kept_until_the_members_change(self):
        own, *others = make_members(6)
        quotas = QuotaCache(Membership(own))
        demand = TargetRate('t', 'dc-0', 3)
        self.assertEqual(quotas.get(demand), 3)
        quotas.set_members(Membership(own, tuple(others), 6))
        self.assertLess(quotas.get(demand), 3)
