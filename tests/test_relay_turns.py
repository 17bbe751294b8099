"""Who goes first where requests wait for their turn."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from trestledock.relay import WaitingRequest, WaitQueue

TURNS = st.lists(
    st.tuples(st.sampled_from('abc'), st.sampled_from([None, 0, 5, 9])),
    max_size=20,
)


def make_turns(drawn):
    """Return requests that wait, in the order of their arrival."""
    found = WaitQueue()
    for number, (team, priority) in enumerate(drawn):
        found.add(WaitingRequest(f'r{number}', 'svc', team, number, priority))
    return found


def serve_all(turns):
    """Return the requests in the order in which they go."""
    served = []
    while turns.waiting:
        waiting = turns.waiting.values()
        first = [one for one in waiting if not turns.count_ahead(one)]
        assert len(first) == 1, first
        turns.remove(first[0].req_id)
        turns.record_served(first[0], len(served) + 100)
        served.append(first[0])
    return served


class TurnsTest(unittest.TestCase):
    """Urgency, then teams, then arrival."""

    @given(TURNS)
    def test_one_is_first(self, drawn):
        """Always exactly one, and the more urgent ones before the others."""
        served = serve_all(make_turns(drawn))
        ranks = [one.rank for one in served]
        self.assertEqual(ranks, sorted(ranks))

    @given(TURNS)
    def test_known_in_advance(self, drawn):
        """Where nobody comes, each goes when it was told."""
        turns = make_turns(drawn)
        told = [(turns.count_ahead(one), one) for one in turns.waiting.values()]
        order = serve_all(turns)
        for ahead, one in told:
            if one.rank == order[0].rank:
                self.assertEqual(order.index(one), ahead)

    def test_team_by_team(self):
        served = serve_all(make_turns([(one, None) for one in 'aaaabb']))
        self.assertEqual(''.join(one.team for one in served), 'ababaa')

    def test_other_services_are_not_in_the_way(self):
        turns = make_turns([('a', 0)])
        self.assertEqual(
            turns.count_ahead(WaitingRequest('x', 'other', 'a', 9)), 0
        )
