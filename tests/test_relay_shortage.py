"""Whether a request behind others waits, is sent or is refused."""

import unittest

from tests.test_relay_turn_order import make_request
from tests.test_relay_waiting_rows import make_row
from trestledock.relay import Decision, Timing, make_turn

TIMING = Timing(arrived_at=0, due_at=1, abandoned_at=9, deadline=9)


class TurnTest(unittest.TestCase):
    """A small request of rank 1 behind others, at two engines."""

    def decide(self, *ahead, left_s, has_placement=True):
        turn = make_turn(make_request(), ahead, 2, left_s)
        return turn.decide(1, has_placement=has_placement)

    def test_time_left(self):
        """Guards against waiting for a turn that comes too late."""
        row = make_row(count=10, work_s=1)
        self.assertIs(self.decide(row, left_s=0.5), Decision.wait)
        self.assertIs(self.decide(row, left_s=0.49), Decision.no_turn)

    def test_giants_ahead_do_not_delay_small_requests(self):
        """Guards against refusing a short prompt for work of idle engines."""
        self.assertIs(self.decide(make_row(work_s=9), left_s=0), Decision.wait)

    def test_end_of_wait_behind_a_starved_rank(self):
        """Guards against the less urgent being served more often."""
        row = make_row(rank=2)
        self.assertIs(self.decide(row, left_s=-1), Decision.send)
        self.assertIs(
            self.decide(row, left_s=-1, has_placement=False), Decision.wait
        )

    def test_retry_after(self):
        """Spread, once those ahead are served, within a third of the time.

        Guards against callers that return together, or never.
        """
        for work_s in (0.1, 2, 50):
            row = make_row(count=1000, work_s=work_s)
            turn = make_turn(make_request(), [row], 1, 0)
            low, high = (
                turn.get_retry_after_s(TIMING, 0, draw) for draw in (0, 1)
            )
            self.assertLess(low, high)
            self.assertLessEqual(high, 9 / 3)
        self.assertEqual(turn.get_retry_after_s(TIMING, 20, 0.5), 0)
