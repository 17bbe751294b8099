"""How long targets may be silent."""

import unittest

from trestledock.relay import (
    Route,
    RouteKind,
    get_first_patience_s,
    get_pause_patience_s,
)


def make_route(kind, **fields):
    fields.setdefault('max_attempts', 2)
    return Route('r', 'h', '/', kind, (), **fields)


STREAM = make_route(
    RouteKind.streaming, resumable=True, objective_s=0.3, pause_s=0.25
)
PLAIN = make_route(RouteKind.idempotent, objective_s=0.15)
BOOKING = make_route(RouteKind.non_idempotent, objective_s=0.15)


class FirstTest(unittest.TestCase):
    """Until the first part of an answer."""

    def test_second_target_can_be_in_time(self):
        """A lost answer leaves time for another one within the objective."""
        wait_s = get_first_patience_s(STREAM, 0.06, 0)
        self.assertLess(wait_s + 0.06, STREAM.objective_s)
        self.assertLess(
            get_first_patience_s(PLAIN, 0, 0) + 0.03, PLAIN.objective_s
        )

    def test_prediction_is_waited_for(self):
        """Twice the predicted time is never too long."""
        for predicted_s in (0.05, 0.2, 0.5, 2, 9):
            wait_s = get_first_patience_s(STREAM, predicted_s, 0)
            self.assertGreaterEqual(wait_s, 2 * predicted_s)

    def test_last_target_gets_longer(self):
        """Nothing is gained by giving up the last target early."""
        for route in (STREAM, PLAIN):
            first_s = get_first_patience_s(route, 0.06, 0)
            last_s = get_first_patience_s(route, 0.06, 1)
            self.assertGreater(last_s, first_s)

    def test_helpers(self):
        """A dead helper is named after a stall, which is waited for."""
        wait_s = get_first_patience_s(STREAM, 0.5, 0, helped=True)
        self.assertGreater(wait_s, 0.5 + 1.5)

    def test_once_only(self):
        """What must not be repeated is waited for."""
        self.assertEqual(get_first_patience_s(BOOKING, 0, 0), float('inf'))
        self.assertEqual(get_pause_patience_s(BOOKING), float('inf'))


class PauseTest(unittest.TestCase):
    """Between events."""

    def test_beyond_what_callers_take(self):
        """A pause that is merely late is no failure."""
        self.assertGreater(get_pause_patience_s(STREAM), STREAM.pause_s * 2)
