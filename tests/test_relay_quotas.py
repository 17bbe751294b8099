"""Quotas of entries for a rate-limited target."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from trestledock.relay import Member, Membership
from trestledock.relay._quotas import (
    EXTRA_HOLDERS,
    MIN_RATE_PER_S,
    QuotaCache,
    TargetRate,
    get_quota,
)

PLACES = ('dc-0', 'dc-1', 'dc-2')


def make_members(count):
    """Return `count` entries in three data centres."""
    return [
        Member(f'10.0.0.{number}:1', PLACES[number % 3])
        for number in range(count)
    ]


def get_quotas(groups, per_s, known, target='t1'):
    """Return the quotas of all entries, which know only their group."""
    demand = TargetRate(target, 'dc-0', per_s)
    return [
        get_quota(
            Membership(
                member, tuple(peer for peer in group if peer != member), known
            ),
            demand,
        )
        for group in groups
        for member in group
    ]


class QuotaTest(unittest.TestCase):
    """Quotas of entries with the same and with different views."""

    @given(st.integers(1, 200), st.floats(0, 1000))
    def test_sum_of_quotas(self, count, per_s):
        """The quotas add up to the limit, and all holders' are equal."""
        quotas = get_quotas([make_members(count)], per_s, count)
        self.assertAlmostEqual(sum(quotas), max(per_s, MIN_RATE_PER_S))
        self.assertLessEqual(len({quota for quota in quotas if quota}), 1)

    @given(
        st.integers(2, 60),
        st.floats(0, 100),
        st.lists(st.integers(0, 3), min_size=60, max_size=60),
    )
    def test_network_partition(self, count, per_s, group_numbers):
        """No group uses the share of entries that it can't reach."""
        members = make_members(count)
        groups = [
            [
                member
                for member, group_number in zip(
                    members, group_numbers, strict=False
                )
                if group_number == group
            ]
            for group in range(4)
        ]
        quotas = get_quotas(groups, per_s, count)
        self.assertAlmostEqual(sum(quotas), max(per_s, MIN_RATE_PER_S))

    def test_few_hold_a_small_limit(self):
        quotas = get_quotas([make_members(195)], 1, 195)
        self.assertEqual(sum(1 for quota in quotas if quota), 1 + EXTRA_HOLDERS)

    def test_own_data_centre_first(self):
        members = make_members(12)
        quotas = get_quotas([members], 1, 12)
        holders = [
            member
            for member, quota in zip(members, quotas, strict=True)
            if quota
        ]
        self.assertEqual({member.data_centre for member in holders}, {'dc-0'})

    def test_targets_have_different_holders(self):
        holders = [
            tuple(get_quotas([make_members(60)], 1, 60, target=f't{number}'))
            for number in range(10)
        ]
        self.assertGreater(len(set(holders)), 8)

    def test_restart_keeps_quota(self):
        """An entry is known by its address, through all restarts."""
        own, *others = make_members(9)
        before = get_quota(
            Membership(own, tuple(others), 9), TargetRate('t', '', 2)
        )
        restarted = Member(own.name, own.data_centre)
        after = get_quota(
            Membership(restarted, tuple(others), 9), TargetRate('t', '', 2)
        )
        self.assertEqual(before, after)

    def test_cached_until_members_change(self):
        own, *others = make_members(6)
        quotas = QuotaCache(Membership(own))
        demand = TargetRate('t', 'dc-0', 3)
        self.assertEqual(quotas.get(demand), 3)
        quotas.set_members(Membership(own, tuple(others), 6))
        self.assertLess(quotas.get(demand), 3)
