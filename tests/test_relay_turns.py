"""The order of waiting requests."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from trestledock.relay import Turn, Turns

TURNS = st.lists(
    st.tuples(st.sampled_from('abc'), st.sampled_from([None, 0, 5, 9])),
    max_size=20,
)


def make_turns(drawn):
    """Return waiting requests in the order of their arrival."""
    queue = Turns()
    for number, (team, priority) in enumerate(drawn):
        queue.join(Turn(f'r{number}', 'svc', team, number, priority))
    return queue


def serve_all(queue):
    """Return the requests in the order in which they are served."""
    served = []
    while queue.waiting:
        waiting = queue.waiting.values()
        first = [
            request for request in waiting if not queue.count_ahead(request)
        ]
        assert len(first) == 1, first
        queue.leave(first[0].req_id)
        queue.note_served(first[0], len(served) + 100)
        served.append(first[0])
    return served


class TurnsTest(unittest.TestCase):
    """Priority first, then teams in turn, then arrival."""

    @given(TURNS)
    def test_one_is_first(self, drawn):
        """Exactly one request is first, and priorities are in order."""
        served = serve_all(make_turns(drawn))
        ranks = [request.rank for request in served]
        self.assertEqual(ranks, sorted(ranks))

    @given(TURNS)
    def test_known_in_advance(self, drawn):
        """If no request arrives, each keeps its predicted position."""
        queue = make_turns(drawn)
        predicted = [
            (queue.count_ahead(request), request)
            for request in queue.waiting.values()
        ]
        order = serve_all(queue)
        for ahead, request in predicted:
            if request.rank == order[0].rank:
                self.assertEqual(order.index(request), ahead)

    def test_team_by_team(self):
        served = serve_all(make_turns([(team, None) for team in 'aaaabb']))
        self.assertEqual(''.join(request.team for request in served), 'ababaa')

    def test_other_services_are_not_in_the_way(self):
        queue = make_turns([('a', 0)])
        self.assertEqual(queue.count_ahead(Turn('x', 'other', 'a', 9)), 0)
