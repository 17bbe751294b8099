"""The order of waiting requests."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from trestledock.relay import WaitQueue, WaitingRequest

REQUESTS = st.lists(
    st.tuples(st.sampled_from('abc'), st.sampled_from([None, 0, 5, 9])),
    max_size=20,
)


def make_queue(drawn):
    """Return waiting requests in the order of their arrival."""
    queue = WaitQueue()
    for number, (team, priority) in enumerate(drawn):
        queue.add(WaitingRequest(f'r{number}', 'svc', team, number, priority))
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
        queue.remove(first[0].req_id)
        queue.record_served(first[0], len(served) + 100)
        served.append(first[0])
    return served


class WaitQueueTest(unittest.TestCase):
    """Priority first, then teams in turn, then arrival."""

    @given(REQUESTS)
    def test_exactly_one_is_first(self, drawn):
        """Exactly one request is first, and priorities are in order."""
        served = serve_all(make_queue(drawn))
        ranks = [request.rank for request in served]
        self.assertEqual(ranks, sorted(ranks))

    @given(REQUESTS)
    def test_predicted_position(self, drawn):
        """If no request arrives, each keeps its predicted position."""
        queue = make_queue(drawn)
        predicted = [
            (queue.count_ahead(request), request)
            for request in queue.waiting.values()
        ]
        order = serve_all(queue)
        for ahead, request in predicted:
            if request.rank == order[0].rank:
                self.assertEqual(order.index(request), ahead)

    def test_teams_alternate(self):
        served = serve_all(make_queue([(team, None) for team in 'aaaabb']))
        self.assertEqual(''.join(request.team for request in served), 'ababaa')

    def test_other_services_are_ignored(self):
        queue = make_queue([('a', 0)])
        self.assertEqual(
            queue.count_ahead(WaitingRequest('x', 'other', 'a', 9)), 0
        )
