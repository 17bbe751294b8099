"""Which waiting requests go before a request."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from tests.test_relay_waiting_rows import make_row
from trestledock.relay import (
    Standings,
    Usage,
    WaitingRequest,
    find_starved_ranks,
    get_rows_ahead,
)

RATE = 1000


def make_request(rank=1, team='m'):
    return WaitingRequest('r', 'svc', team, 0, rank, work_s=0.03, until=9)


def get_ahead(request, rows, counters=(), starved=()):
    """Return rank, team and number of the requests ahead."""
    known = dict(counters)
    standings = Standings(
        lambda rank, team: known.get(team, 0), frozenset(starved), RATE
    )
    ahead = get_rows_ahead(request, rows, standings)
    return [(row.rank, row.team, row.count) for row in ahead]


class OrderTest(unittest.TestCase):
    """Ranks, then teams."""

    def test_ranks(self):
        """Guards against less urgent requests that go before others."""
        rows = [make_row(rank=2), make_row('b', rank=1), make_row(count=3)]
        self.assertEqual(
            get_ahead(make_request(), rows, {'b': 5}), [(0, 'a', 3)]
        )

    def test_team_with_fewer_tokens_catches_up(self):
        """A large team leaves as much as the others got less, and no more.

        Guards against displacing small teams, and against starving the large
        one behind all that small ones ask for.
        """
        rows = [make_row('s', rank=1, count=9, work_s=9 * 0.1)]
        self.assertEqual(
            get_ahead(make_request(), rows, {'m': 250, 's': 0}),
            [(1, 's', 3)],
        )
        self.assertEqual(
            get_ahead(make_request(), rows, {'m': 250, 's': 300}), []
        )

    def test_own_team_of_other_entries(self):
        """Guards against teammates of two entries that wait for each other."""
        self.assertEqual(get_ahead(make_request(), [make_row('m', rank=1)]), [])

    @given(st.lists(st.sampled_from('abcd'), min_size=2, max_size=4))
    def test_ties(self, teams):
        """Of two requests one goes first, whoever decides.

        Guards against two entries that each wait for the other's request.
        """
        first, second = teams[:2]
        ahead = [
            get_ahead(make_request(1, own), [make_row(other, rank=1)])
            for own, other in ((first, second), (second, first))
        ]
        self.assertEqual(sum(map(bool, ahead)), first != second)

    def test_starved_rank_goes_first_for_one_placement(self):
        """Guards against giants that never get a turn, or then get all."""
        rows = [
            make_row('x', rank=2, count=4, work_s=8),
            make_row('y', rank=2, count=4, work_s=8),
            make_row('b', rank=0, count=2),
        ]
        counters = {'x': 9, 'y': 3}
        self.assertEqual(
            get_ahead(make_request(0, 'b'), rows, counters, starved=[2]),
            [(2, 'y', 1)],
        )
        self.assertEqual(
            get_ahead(make_request(2, 'y'), rows, counters, starved=[2]), []
        )


class StarvedTest(unittest.TestCase):
    """Ranks that lately got less than a quarter of what they asked for."""

    def check(self, served, refused, waiting_s):
        rows = [make_row(rank=2, work_s=waiting_s)]
        usage = {2: Usage(served, refused)}
        return bool(find_starved_ranks(rows, usage, RATE))

    def test_share(self):
        self.assertTrue(self.check(served=200, refused=500, waiting_s=0.2))
        self.assertFalse(self.check(served=300, refused=500, waiting_s=0.2))

    def test_begin_of_shortage(self):
        """Guards against a less urgent rank that goes first as it is new."""
        self.assertFalse(self.check(served=0, refused=0, waiting_s=5))

    def test_rank_without_waiting_requests(self):
        """Guards against engines that are kept for nobody."""
        usage = {2: Usage(0, 900)}
        self.assertFalse(find_starved_ranks([make_row()], usage, RATE))
