"""Outcomes are derived from attempts, and `not_run` requires proof."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from trestledock.request import (
    Attempt,
    AttemptEvent,
    AttemptState,
    Outcome,
    derive_outcome,
)

EVENTS = st.lists(st.sampled_from(list(AttemptEvent)), max_size=8)


def apply_events(events):
    attempt = Attempt(1, 'engine')
    for event in events:
        attempt = attempt.advance(event)
    return attempt


class OutcomeTest(unittest.TestCase):
    def test_nothing_sent(self):
        self.assertIs(derive_outcome([], idempotent=False), Outcome.not_run)

    def test_connect_failed_before_write(self):
        attempt = apply_events([AttemptEvent.lose])
        outcome = derive_outcome([attempt], idempotent=False)
        self.assertIs(outcome, Outcome.not_run)

    def test_timeout_after_write_is_never_not_run(self):
        attempt = apply_events([AttemptEvent.write, AttemptEvent.lose])
        self.assertIs(
            derive_outcome([attempt], idempotent=False),
            Outcome.unknown,
        )
        self.assertIs(
            derive_outcome([attempt], idempotent=True),
            Outcome.failed,
        )

    def test_rejection_after_start_proves_nothing(self):
        attempt = apply_events(
            [
                AttemptEvent.write,
                AttemptEvent.answer,
                AttemptEvent.reject,
            ]
        )
        self.assertIs(attempt.state, AttemptState.lost)

    @given(EVENTS)
    def test_not_run_only_without_write_or_with_rejection(self, events):
        attempt = apply_events(events)
        outcome = derive_outcome([attempt], idempotent=False)
        if outcome is Outcome.not_run and AttemptEvent.write in events:
            self.assertIs(attempt.state, AttemptState.rejected)

    @given(EVENTS, EVENTS)
    def test_final_states_stay(self, events, more):
        attempt = apply_events(events)
        if not attempt.is_live:
            for event in more:
                self.assertEqual(attempt, attempt.advance(event))
