"""The small parts of relaying: events, outcomes, proof, budget, health."""

import unittest
from itertools import repeat

from hypothesis import given
from hypothesis import strategies as st

from trestledock.relay import (
    RetryLimits,
    AttemptOutcome,
    Health,
    AttemptHistory,
    FreshnessProof,
    RetryBudget,
    Route,
    RouteKind,
    RelayAttempt,
    EventSplitter,
)

NON_IDEMPOTENT = Route('r', 'h', '/', RouteKind.non_idempotent, ())
IDEMPOTENT = Route('r', 'h', '/', RouteKind.idempotent, (), max_attempts=2)
STREAM = Route('r', 'h', '/', RouteKind.streaming, (), max_attempts=2)
RESUMABLE = Route(
    'r', 'h', '/', RouteKind.streaming, (), max_attempts=2, resumable=True
)
EVENTS = b''.join(b'id: %d\ndata: x%d\n\n' % (one, one) for one in range(9))


def make_history(*endings):
    return AttemptHistory(
        tuple(RelayAttempt(one, 'step', 'peer') for one in endings)
    )


class SplitterTest(unittest.TestCase):
    """Streams are cut into whole events, wherever the bytes are cut."""

    @given(st.lists(st.integers(0, len(EVENTS)), max_size=20))
    def test_any_cut(self, cuts):
        """However the bytes arrive, the same events come out."""
        splitter = EventSplitter()
        ends = [0, *sorted(cuts), len(EVENTS)]
        found = []
        for start, end in zip(ends, ends[1:]):
            found.extend(splitter.push(EVENTS[start:end]))
        self.assertEqual(b''.join(one.raw for one in found), EVENTS)
        self.assertEqual([one.event_id for one in found], list('012345678'))
        self.assertEqual(splitter.remainder, b'')

    def test_half_an_event_is_kept_back(self):
        """What is not whole is not given out."""
        splitter = EventSplitter()
        self.assertEqual(splitter.push(b'id: 1\ndata: a'), [])
        self.assertEqual(splitter.remainder, b'id: 1\ndata: a')

    def test_line_ends_of_two_bytes(self):
        """Events may end their lines either way."""
        found = EventSplitter().push(b'id: 1\r\ndata: a\r\n\r\n')
        self.assertEqual(found[0].event_id, '1')


class HistoryTest(unittest.TestCase):
    """Which endings allow another sending."""

    cases = (
        (NON_IDEMPOTENT, (AttemptOutcome.not_sent,), True),
        (NON_IDEMPOTENT, (AttemptOutcome.rejected,), True),
        (NON_IDEMPOTENT, (AttemptOutcome.lost,), False),
        (NON_IDEMPOTENT, (AttemptOutcome.failed,), False),
        (NON_IDEMPOTENT, (AttemptOutcome.rejected, AttemptOutcome.lost), False),
        (IDEMPOTENT, (AttemptOutcome.lost,), True),
        (IDEMPOTENT, (AttemptOutcome.failed,), True),
        (IDEMPOTENT, (AttemptOutcome.failed, AttemptOutcome.lost), False),
        (IDEMPOTENT, (AttemptOutcome.rejected, AttemptOutcome.lost), True),
        (STREAM, (AttemptOutcome.lost,), False),
        (RESUMABLE, (AttemptOutcome.lost,), True),
        (RESUMABLE, (AttemptOutcome.lost, AttemptOutcome.lost), False),
    )

    def test_table(self):
        """Only what has certainly not run, or may be repeated, is sent on."""
        for route, endings, expected in self.cases:
            with self.subTest(kind=route.kind, endings=endings):
                history = make_history(*endings)
                self.assertEqual(history.may_repeat(route), expected)

    def test_promise(self):
        """A promise that nothing ran needs proof from every sending."""
        self.assertFalse(make_history(AttemptOutcome.rejected).may_have_run)
        self.assertTrue(
            make_history(
                AttemptOutcome.rejected, AttemptOutcome.lost
            ).may_have_run
        )

    def test_last_run(self):
        """The last target is the one after which nobody else may run it."""
        lost = make_history(AttemptOutcome.lost)
        for route, history, expected in (
            (RESUMABLE, make_history(), False),
            (RESUMABLE, lost, True),
            (RESUMABLE, make_history(AttemptOutcome.rejected), False),
            (STREAM, make_history(), True),
            (NON_IDEMPOTENT, make_history(), True),
            (
                IDEMPOTENT,
                make_history(*repeat(AttemptOutcome.not_sent, 5)),
                True,
            ),
        ):
            with self.subTest(route=route.kind, sendings=history.attempts):
                self.assertEqual(history.is_last_attempt(route), expected)


class ProofTest(unittest.TestCase):
    """Keys are served only while the configuration is known to be recent."""

    def test_ages_through_a_freeze(self):
        """A process that stood still serves no key when it wakes."""
        proof = FreshnessProof(max_age_s=5)
        proof.renew(asked_at=10)
        self.assertTrue(proof.is_fresh(13))
        self.assertFalse(proof.is_fresh(20))

    def test_late_answer_proves_its_question(self):
        """An answer read late proves no more than when it was asked for."""
        proof = FreshnessProof(max_age_s=5)
        proof.renew(asked_at=10)
        proof.renew(asked_at=4)
        self.assertEqual(proof.get_age_s(11), 1)

    def test_no_bound(self):
        """Without a bound no proof is asked for."""
        self.assertTrue(FreshnessProof().is_fresh(1e9))


class BudgetTest(unittest.TestCase):
    """Repeats stay within the bound over all instances."""

    @given(st.integers(1, 20), st.integers(0, 300))
    def test_sum_over_instances(self, instances, requests):
        """However many instances spend at once, the bound is kept."""
        terms = RetryLimits(ratio=0.2, window_s=10, slack=100)
        spent = 0
        for _ in range(instances):
            window = RetryBudget(terms)
            for _ in range(requests):
                window.record_request(now=0)
            while window.try_spend(now=1, instances=instances):
                spent += 1
        self.assertLessEqual(spent, 0.2 * requests * instances + 100)

    def test_window_slides(self):
        """What was spent long ago is available again."""
        window = RetryBudget(RetryLimits(ratio=0, window_s=10, slack=2))
        self.assertTrue(window.try_spend(0, 1))
        self.assertFalse(window.try_spend(9, 1))
        self.assertTrue(window.try_spend(10.1, 1))


class HealthTest(unittest.TestCase):
    """Suspicion doubles with silence and ends with an answer."""

    def test_doubles(self):
        """A target that stays silent is tried ever less often."""
        health = Health()
        health.record_silence('t', 0)
        health.record_silence('t', 0.1)
        self.assertFalse(health.is_suspect('t', 1.1))
        health.record_silence('t', 1.2)
        self.assertTrue(health.is_suspect('t', 3.1))

    def test_answer_clears(self):
        """One good answer ends the suspicion."""
        health = Health()
        health.record_silence('t', 0)
        health.record_success('t', 0.5)
        self.assertFalse(health.is_suspect('t', 0.5))

    def test_cut_data_centre(self):
        """Two silent targets of a data centre make all of it suspect."""
        health = Health()
        health.record_silence('t1', 0, 'dc2')
        self.assertFalse(health.is_suspect('t3', 0.1, 'dc2'))
        health.record_silence('t2', 0.4, 'dc2')
        self.assertTrue(health.is_suspect('t3', 0.5, 'dc2'))
        self.assertFalse(health.is_suspect('t4', 0.5, 'dc1'))
        health.record_success('t3', 0.6, 'dc2')
        self.assertFalse(health.is_suspect('t3', 0.7, 'dc2'))

    def test_silences_long_apart(self):
        """Targets that fall silent now and then say nothing of the others."""
        health = Health()
        health.record_silence('t1', 0, 'dc2')
        health.record_silence('t2', 5, 'dc2')
        self.assertFalse(health.is_suspect('t3', 5.1, 'dc2'))

    def test_failures_fade(self):
        """A failure counts for less as time passes."""
        health = Health()
        health.record_failure('t', 0)
        share = health.get('t').get_failure_share
        self.assertGreater(share(0), share(6))
