"""Timeouts of targets."""

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


class FirstEventTest(unittest.TestCase):
    """Timeouts until the first part of an answer."""

    def test_retry_can_be_in_time(self):
        """A lost answer leaves time for a retry within the objective."""
        timeout_s = get_first_event_timeout_s(STREAM, 0.06, early=True)
        self.assertLess(timeout_s + 0.06, STREAM.objective_s)
        self.assertLess(
            get_first_event_timeout_s(PLAIN, 0, early=True) + 0.03,
            PLAIN.objective_s,
        )

    def test_prediction_fits(self):
        """A timeout is never below twice the predicted time."""
        for predicted_s in (0.05, 0.2, 0.5, 2, 9):
            timeout_s = get_first_event_timeout_s(
                STREAM, predicted_s, early=True
            )
            self.assertGreaterEqual(timeout_s, 2 * predicted_s)

    def test_last_target_gets_more_time(self):
        """The last target gets more time than the first."""
        for route in (STREAM, PLAIN):
            first_s = get_first_event_timeout_s(route, 0.06, early=True)
            last_s = get_first_event_timeout_s(route, 0.06, early=False)
            self.assertGreater(last_s, first_s)

    def test_helpers(self):
        """A dead helper is reported after a stall, which is waited for."""
        timeout_s = get_first_event_timeout_s(
            STREAM, 0.5, early=False, helped=True
        )
        self.assertGreater(timeout_s, 0.5 + 1.5)

    def test_no_timeout_without_retry(self):
        """A request that must not be repeated has no timeout."""
        self.assertEqual(
            get_first_event_timeout_s(BOOKING, 0, early=False), float('inf')
        )
        self.assertEqual(get_pause_timeout_s(BOOKING), float('inf'))


class PauseTest(unittest.TestCase):
    """Timeouts between events."""

    def test_longer_than_allowed_pause(self):
        """A pause that is merely late is no failure."""
        self.assertGreater(get_pause_timeout_s(STREAM), STREAM.pause_s * 2)


class EarlyTimeoutTest(unittest.TestCase):
    """Early timeouts must not overload targets that are only busy."""

    def test_few_in_a_window(self):
        """If many requests are late, few of them time out early."""
        budget = RetryBudget(EARLY_RETRY_LIMITS)
        timeouts = 0
        for number in range(1000):
            now = number / 100
            budget.record_request(now)
            timeouts += budget.try_spend(now, instances=8)
        self.assertLess(timeouts, 1000 * EARLY_RETRY_LIMITS.ratio)
        self.assertGreater(timeouts, 0)

    def test_check_uses_no_budget(self):
        """Checking the budget does not use it."""
        budget = RetryBudget(EARLY_RETRY_LIMITS)
        answers = [budget.has_budget(0, 1) for _ in range(100)]
        self.assertTrue(all(answers))

    def test_one_early_timeout(self):
        """A target stays in use after one early timeout."""
        health = Health()
        health.record_early_timeout('t', 0)
        self.assertFalse(health.is_suspect('t', 0.1))
        self.assertGreater(health.get('t').get_failure_share(0.1), 0)

    def test_two_early_timeouts_in_a_row(self):
        """Two early timeouts in a row make a target suspect."""
        health = Health()
        health.record_early_timeout('t', 0)
        health.record_early_timeout('t', 0.5)
        self.assertTrue(health.is_suspect('t', 0.6))

    def test_answer_between_early_timeouts(self):
        """An answer in between shows that the target works."""
        health = Health()
        health.record_early_timeout('t', 0)
        health.record_success('t', 0.3)
        health.record_early_timeout('t', 0.5)
        self.assertFalse(health.is_suspect('t', 0.6))


class MemoryTest(unittest.TestCase):
    """Two prompts at an engine that has memory for one of them.

    The second one begins after the answer of the first, some seconds later than
    predicted: 540,889 tokens at an engine with 382,500.
    """

    def setUp(self):
        self.first = Flight('a', 't', 279_967, 600, Phase.prefill, since=1)
        self.second = Flight('b', 't', 260_922, 600, Phase.prefill, since=2)

    def check(self, own, capacity_tokens):
        return is_waiting_for_memory(
            own, [self.first, self.second], capacity_tokens
        )

    def test_newer_prompt_waits(self):
        self.assertTrue(self.check(self.second, 382_500))
        self.assertFalse(self.check(self.first, 382_500))

    def test_room_for_both(self):
        self.assertFalse(self.check(self.second, 600_000))
