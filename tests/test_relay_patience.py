"""How long targets may be silent."""

import unittest

from trestledock.relay import (
    EARLY_RETRY_LIMITS,
    Flight,
    Health,
    Phase,
    RetryBudget,
    Route,
    RouteKind,
    get_first_event_timeout_s,
    get_pause_timeout_s,
    is_waiting_for_memory,
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
        wait_s = get_first_event_timeout_s(STREAM, 0.06, early=True)
        self.assertLess(wait_s + 0.06, STREAM.objective_s)
        self.assertLess(
            get_first_event_timeout_s(PLAIN, 0, early=True) + 0.03,
            PLAIN.objective_s,
        )

    def test_prediction_is_waited_for(self):
        """Twice the predicted time is never too long."""
        for predicted_s in (0.05, 0.2, 0.5, 2, 9):
            wait_s = get_first_event_timeout_s(STREAM, predicted_s, early=True)
            self.assertGreaterEqual(wait_s, 2 * predicted_s)

    def test_longer_where_it_must_be_sure(self):
        """A target is not given up lightly where that may do harm."""
        for route in (STREAM, PLAIN):
            first_s = get_first_event_timeout_s(route, 0.06, early=True)
            last_s = get_first_event_timeout_s(route, 0.06, early=False)
            self.assertGreater(last_s, first_s)

    def test_helpers(self):
        """A dead helper is named after a stall, which is waited for."""
        wait_s = get_first_event_timeout_s(
            STREAM, 0.5, early=False, helped=True
        )
        self.assertGreater(wait_s, 0.5 + 1.5)

    def test_once_only(self):
        """What must not be repeated is waited for."""
        self.assertEqual(
            get_first_event_timeout_s(BOOKING, 0, early=False), float('inf')
        )
        self.assertEqual(get_pause_timeout_s(BOOKING), float('inf'))


class PauseTest(unittest.TestCase):
    """Between events."""

    def test_beyond_what_callers_take(self):
        """A pause that is merely late is no failure."""
        self.assertGreater(get_pause_timeout_s(STREAM), STREAM.pause_s * 2)


class EarlyTest(unittest.TestCase):
    """Giving up early must not crowd targets that are merely busy."""

    def test_few_in_a_window(self):
        """Of many requests that are all late, few are given up early."""
        window = RetryBudget(EARLY_RETRY_LIMITS)
        left = 0
        for number in range(1000):
            now = number / 100
            window.record_request(now)
            left += window.try_spend(now, instances=8)
        self.assertLess(left, 1000 * EARLY_RETRY_LIMITS.ratio)
        self.assertGreater(left, 0)

    def test_asking_spends_nothing(self):
        """What is left stays left until it is spent."""
        window = RetryBudget(EARLY_RETRY_LIMITS)
        answers = [window.has_budget(0, 1) for _ in range(100)]
        self.assertTrue(all(answers))

    def test_one_doubt_is_no_silence(self):
        """A target that was late once is used on."""
        health = Health()
        health.record_early_timeout('t', 0)
        self.assertFalse(health.is_suspect('t', 0.1))
        self.assertGreater(health.get('t').get_failure_share(0.1), 0)

    def test_two_doubts_in_a_row_are(self):
        """A target that says nothing again is left alone."""
        health = Health()
        health.record_early_timeout('t', 0)
        health.record_early_timeout('t', 0.5)
        self.assertTrue(health.is_suspect('t', 0.6))

    def test_answer_between_two_doubts(self):
        """An answer shows that the target works."""
        health = Health()
        health.record_early_timeout('t', 0)
        health.record_success('t', 0.3)
        health.record_early_timeout('t', 0.5)
        self.assertFalse(health.is_suspect('t', 0.6))


class MemoryTest(unittest.TestCase):
    """Two prompts at an engine that has memory for one of them.

    The second one begins once the first has been answered, some seconds later
    than predicted: 540,889 tokens at an engine with 382,500.
    """

    def setUp(self):
        self.first = Flight('a', 't', 279_967, 600, Phase.prefill, since=1)
        self.second = Flight('b', 't', 260_922, 600, Phase.prefill, since=2)

    def check(self, own, capacity_tokens):
        return is_waiting_for_memory(
            own, [self.first, self.second], capacity_tokens
        )

    def test_younger_one_waits(self):
        self.assertTrue(self.check(self.second, 382_500))
        self.assertFalse(self.check(self.first, 382_500))

    def test_room_for_both(self):
        self.assertFalse(self.check(self.second, 600_000))
