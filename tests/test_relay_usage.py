"""Tokens by team: time window, other entries, returns from idle."""

import unittest

from trestledock.relay import Usage, UsageKey, UsageRow, UsageTable
from trestledock.relay._usage import WINDOW_S


def key_of(team, rank=0):
    return UsageKey('svc', rank, team)


class UsageTableTest(unittest.TestCase):
    """The counters that order the teams of a rank."""

    def setUp(self):
        self.table = UsageTable()

    def serve(self, team, tokens, now=0.0):
        self.table.record(key_of(team), Usage(served=tokens), now)

    def test_window(self):
        """Guards against teams that pay for what they got long ago."""
        self.serve('a', 100)
        self.serve('a', 7, now=WINDOW_S / 2)
        self.assertEqual(self.table.get_counter(key_of('a')), 107)
        rows = self.table.get_own_rows(WINDOW_S)
        self.assertEqual(rows, (UsageRow(key_of('a'), Usage(served=7)),))
        self.assertEqual(self.table.get_counter(key_of('a')), 7)

    def test_other_entries(self):
        """Guards against teams that get their share once at each entry."""
        self.serve('a', 1)
        rows = [UsageRow(key_of('a'), Usage(served=10))]
        self.table.put('e2', rows, 0)
        self.table.put('e2', rows, 0)
        self.assertEqual(self.table.get_counter(key_of('a')), 11)
        self.table.drop('e2')
        self.assertEqual(self.table.get_counter(key_of('a')), 1)

    def test_usage_by_rank(self):
        self.serve('a', 5)
        self.table.record(key_of('b', rank=2), Usage(refused=3), 0)
        self.table.put('e2', [UsageRow(key_of('c'), Usage(served=2))], 0)
        self.assertEqual(
            self.table.get_usage_by_rank('svc', 0),
            {0: Usage(served=7), 2: Usage(refused=3)},
        )
        self.assertEqual(self.table.get_usage_by_rank('other', 0), {})

    def test_idle_team_returns(self):
        """Guards against a team that was idle and then displaces all others."""
        self.serve('a', 900)
        self.table.lift_returning([key_of('c'), key_of('a')], 1)
        self.assertEqual(self.table.get_counter(key_of('c')), 900)
        self.assertEqual(self.table.get_counter(key_of('a')), 900)
        self.serve('c', 50, now=1)
        self.table.lift_returning([key_of('c')], 2)
        self.assertEqual(self.table.get_counter(key_of('c')), 950)

    def test_idle_team_that_is_served_at_once(self):
        """Guards against a team that saved up as it never had to wait."""
        self.serve('a', 900)
        self.serve('b', 50)
        row = UsageRow(key_of('c'), Usage(served=70))
        for _ in range(2):
            self.table.put('e2', [row], 1)
        counters = [self.table.get_counter(key_of(team)) for team in 'abc']
        self.assertEqual(counters, [900, 950, 970])

    def test_refused_team_is_not_idle(self):
        """Guards against lifting a team that asks and is never served."""
        self.table.record(key_of('c'), Usage(refused=10), 0)
        self.serve('a', 900)
        self.table.lift_returning([key_of('c')], 1)
        self.assertEqual(self.table.get_counter(key_of('c')), 0)

    def test_lift_ends_with_the_window(self):
        self.serve('a', 900)
        self.table.lift_returning([key_of('c')], 1)
        self.table.get_own_rows(WINDOW_S + 1)
        self.assertEqual(self.table.get_counter(key_of('c')), 0)
