"""Which requests are quarantined for crashing their targets."""

import unittest
from itertools import permutations
from random import Random

from trestledock.relay import MAX_AGE_S, Crash, Quarantine
from trestledock.relay._blame import SHARED_THRESHOLD
from trestledock.relay._quarantine import (
    MAX_CLEARED,
    MAX_SENT_CLEARED,
    MAX_SUSPECTS,
    MIN_CRASHES,
    PROBE_DELAYS_S,
)

DEADLY, HARMLESS = 'deadly', 'beside'


def record_crashes(quarantine, fingerprint, *targets, now=0):
    """Record that targets crashed while they ran a request."""
    for target in targets:
        quarantine.record_crash(Crash(fingerprint, target), now)


def make_quarantine(*targets):
    """Return a quarantine with one request under which targets crashed."""
    quarantine = Quarantine()
    record_crashes(quarantine, DEADLY, *targets)
    return quarantine


class CrashTest(unittest.TestCase):
    """Ends of incarnations that count as crashes."""

    def test_quarantined_from_third_crash(self):
        quarantined = [
            make_quarantine(
                *(f't{number}' for number in range(count))
            ).is_quarantined(DEADLY)
            for count in range(MIN_CRASHES + 2)
        ]
        self.assertEqual(quarantined, [False, False, False, True, True])

    def test_same_crash_counts_once(self):
        """Duplicated messages and the store report the same crash again."""
        quarantine = make_quarantine('t1', 't2')
        record_crashes(quarantine, DEADLY, 't1', 't2')
        self.assertFalse(quarantine.is_quarantined(DEADLY))

    def test_each_incarnation_counts(self):
        self.assertTrue(
            make_quarantine('t1@1', 't1@2', 't1@3').is_quarantined(DEADLY)
        )

    # Guards against quarantine by crashes that an answer outweighs: a popular
    # request is at many targets that crash together.
    def test_answered_lately(self):
        quarantine = Quarantine()
        quarantine.record_answer(DEADLY, 0)
        record_crashes(quarantine, DEADLY, 't1', 't2', 't3', 't4', 't5', now=1)
        self.assertFalse(quarantine.is_quarantined(DEADLY))
        record_crashes(quarantine, DEADLY, 't6', now=1.4)
        self.assertFalse(quarantine.is_quarantined(DEADLY))
        record_crashes(quarantine, DEADLY, 't7', now=1.8)
        self.assertTrue(quarantine.is_quarantined(DEADLY))

    def test_other_request_with_more_crashes(self):
        """A request with more crashes, by other causes, excuses no other."""
        quarantine = make_quarantine('t1', 't2', 't3')
        record_crashes(quarantine, HARMLESS, 't1', 't2', 't3', 't4')
        self.assertTrue(quarantine.is_quarantined(DEADLY))

    def test_order_does_not_matter(self):
        """Each instance learns of the same crashes in its own order."""
        crashes = [Crash(DEADLY, f't{number}') for number in range(4)]
        crashes.extend(Crash(HARMLESS, f't{number}') for number in range(1, 4))
        results = set()
        for order in permutations(crashes):
            quarantine = Quarantine()
            for crash in order:
                quarantine.record_crash(crash, 0)
            results.add(
                (
                    quarantine.is_quarantined(DEADLY),
                    quarantine.is_quarantined(HARMLESS),
                )
            )
        self.assertEqual(results, {(True, True)})

    def test_answer_clears(self):
        quarantine = make_quarantine('t1', 't2', 't3')
        self.assertEqual(len(quarantine.record_answer(DEADLY, 0)), MIN_CRASHES)
        self.assertFalse(quarantine.is_quarantined(DEADLY))
        self.assertFalse(quarantine.has_crashed('t1'))


class ProbeTest(unittest.TestCase):
    """When a quarantined request is sent as a probe."""

    def test_probe_delays_increase(self):
        quarantine = make_quarantine('t1', 't2', 't3')
        now = 0
        for number, wait_s in enumerate(PROBE_DELAYS_S):
            self.assertFalse(quarantine.is_probe_due(DEADLY, now + wait_s - 1))
            now += wait_s
            self.assertTrue(quarantine.is_probe_due(DEADLY, now))
            quarantine.record_probe(DEADLY, now)
            now += 1
            record_crashes(quarantine, DEADLY, f'u{number}', now=now)
        # Guards against a deadly request that reaches targets without end.
        self.assertFalse(quarantine.is_probe_due(DEADLY, now * 1_000))
        self.assertLessEqual(
            quarantine.get_retry_after_s(DEADLY, now), PROBE_DELAYS_S[-1]
        )

    def test_records_keep_age(self):
        """An instance that starts later has the same state."""
        quarantine = make_quarantine('t1', 't2', 't3')
        quarantine.record_probe(DEADLY, 70)
        later = Quarantine()
        for record in quarantine.get_records(now=100):
            later.merge(record, now=0)
        self.assertTrue(later.is_quarantined(DEADLY))
        self.assertEqual(
            later.get_probe_delay_s(DEADLY, 0),
            quarantine.get_probe_delay_s(DEADLY, 100),
        )


class ClearedTest(unittest.TestCase):
    """Crashes cleared by an answer stay cleared, however late others learn."""

    def test_late_reports_change_nothing(self):
        """An instance that missed the answer still reports the old crashes."""
        quarantine = make_quarantine('t1', 't2', 't3')
        stale = list(quarantine.get_records(now=0))
        quarantine.record_answer(DEADLY, 0)
        for record in stale:
            quarantine.merge(record, now=1)
        record_crashes(quarantine, DEADLY, 't1', 't2', 't3')
        self.assertFalse(quarantine.is_quarantined(DEADLY))

    def test_new_crashes_count(self):
        quarantine = make_quarantine('t1', 't2', 't3')
        quarantine.record_answer(DEADLY, 0)
        for number in range(SHARED_THRESHOLD.crashes):
            record_crashes(quarantine, DEADLY, f'u{number}', now=number)
        self.assertTrue(quarantine.is_quarantined(DEADLY))

    def test_records_keep_cleared(self):
        """An instance that missed the answer learns of it from a peer."""
        quarantine = make_quarantine('t1', 't2', 't3')
        quarantine.record_answer(DEADLY, 0)
        other = make_quarantine('t1', 't2', 't3', 't4')
        for record in quarantine.get_records(now=0):
            other.merge(record, now=0)
        self.assertEqual(other.count_crashes(DEADLY), 1)

    def test_newest_are_kept(self):
        """A popular request is cleared of some crashes again and again."""
        quarantine = Quarantine()
        for number in range(MAX_CLEARED * 2):
            record_crashes(quarantine, DEADLY, f't{number}')
            quarantine.record_answer(DEADLY, 0)
        cleared = quarantine.make_record(DEADLY, 0).cleared
        self.assertEqual(len(cleared), MAX_CLEARED)
        self.assertEqual(cleared[-1], f't{MAX_CLEARED * 2 - 1}')

    def test_cleared_is_evicted_first(self):
        quarantine = make_quarantine('t1', 't2', 't3')
        quarantine.record_answer(DEADLY, 0)
        for number in range(MAX_SUSPECTS):
            record_crashes(quarantine, f'f{number}', f'u{number}')
        self.assertEqual(quarantine.evict_excess(), [DEADLY])


class OnlyClearedTest(unittest.TestCase):
    """Requests of which only the clearing is known here."""

    def make(self):
        quarantine = Quarantine()
        quarantine.clear_crashes(DEADLY, ('t1', 't2', 't3'))
        return quarantine

    # Guards against an infinite age in what is sent or stored.
    def test_age_is_finite(self):
        record = self.make().make_record(DEADLY, 5)
        self.assertEqual((record.incarnations, record.age_s), ((), MAX_AGE_S))
        self.assertTrue(record.is_probe_due)

    def test_age_sent_is_no_instant(self):
        """The age of an earlier record does not age later crashes."""
        other = Quarantine()
        other.merge(self.make().make_record(DEADLY, 5), now=50)
        self.assertIsNone(other.suspects[DEADLY].since)
        record_crashes(other, DEADLY, 't4', 't5', 't6', now=50)
        self.assertEqual(other.get_probe_delay_s(DEADLY, 50), PROBE_DELAYS_S[0])

    def test_evicted_before_dated_requests(self):
        quarantine = self.make()
        quarantine.clear_crashes('g', ('t1', 't2', 't3'))
        record_crashes(quarantine, 'h', 't4')
        quarantine.record_answer('h', 0)
        for number in range(MAX_SUSPECTS - 1):
            record_crashes(quarantine, f'f{number}', f'u{number}')
        self.assertEqual(quarantine.evict_excess(), [DEADLY, 'g'])


class BoundTest(unittest.TestCase):
    """A flood of different requests, each of which crashes targets."""

    def test_fewest_crashes_are_evicted_first(self):
        quarantine = make_quarantine('t1', 't2', 't3')
        for number in range(MAX_SUSPECTS * 2):
            record_crashes(quarantine, f'f{number}', f'u{number}', now=number)
            quarantine.evict_excess()
        self.assertEqual(len(quarantine.suspects), MAX_SUSPECTS)
        self.assertTrue(quarantine.is_quarantined(DEADLY))
        self.assertIn(f'f{MAX_SUSPECTS * 2 - 1}', quarantine.suspects)

    # Guards against updates of megabytes about requests that were answered.
    def test_records_of_cleared_requests(self):
        """The latest are sent, beside all that are in quarantine."""
        quarantine = make_quarantine('t1', 't2', 't3')
        count = MAX_SENT_CLEARED * 2
        for number in range(count):
            quarantine.clear_crashes(f'f{number}', ('u1', 'u2', 'u3'))
        quarantine.clear_crashes('f0', ('u4',))
        sent = [record.name for record in quarantine.get_records(0)]
        self.assertEqual(len(sent), 1 + MAX_SENT_CLEARED)
        self.assertEqual(
            (sent[0], sent[-2:]), (DEADLY, [f'f{count - 1}', 'f0'])
        )

    def test_targets_are_evicted_too(self):
        quarantine = Quarantine()
        for number in range(MAX_SUSPECTS * 2):
            record_crashes(quarantine, f'f{number}', f'u{number}')
            quarantine.evict_excess()
        self.assertFalse(quarantine.has_crashed('u0'))


class DetectionRateTest(unittest.TestCase):
    """How often harmless and deadly requests are quarantined.

    Eighteen targets run seven requests each.  A request is sent to one target,
    and to a second one if that crashes; its caller retries once.
    """

    targets = 18
    requests_per_target = 7
    sends = 4

    def play(self, rng, *, crash_share, deadly_rounds=0):
        """Return how many of 126 harmless requests are quarantined.

        Also return whether the deadly one is.  In each round a share of the
        targets crash by themselves; the deadly request crashes one more.
        """
        quarantine = Quarantine()
        waiting = {
            f'r{number}': 0
            for number in range(self.targets * self.requests_per_target)
        }
        for round_number in range(self.sends):
            assigned = {
                name: rng.randrange(self.targets)
                for name, sends in waiting.items()
                if sends == round_number
            }
            crashed = {
                target
                for target in range(self.targets)
                if rng.random() < crash_share
            }
            if round_number < deadly_rounds:
                target = rng.randrange(self.targets)
                crashed.add(target)
                record_crashes(quarantine, DEADLY, f't{target}@{round_number}')
            for name, target in assigned.items():
                if target in crashed:
                    record_crashes(
                        quarantine, name, f't{target}@{round_number}'
                    )
                    waiting[name] += 1
        blamed = sum(map(quarantine.is_quarantined, waiting))
        return blamed, quarantine.is_quarantined(DEADLY)

    def count(self, **settings):
        """Return the quarantined shares of harmless and of deadly requests."""
        rng = Random(7)
        days = [self.play(rng, **settings) for _ in range(300)]
        others = sum(blamed for blamed, _ in days)
        share = others / len(days) / self.targets / self.requests_per_target
        return share, sum(deadly for _, deadly in days) / len(days)

    def test_crashes_alone(self):
        """A tenth, or a third, of all targets crash in each of four rounds."""
        share, _ = self.count(crash_share=0.1)
        self.assertLess(share, 0.001)
        share, _ = self.count(crash_share=0.33)
        self.assertLess(share, 0.05)

    def test_deadly_request_alone(self):
        """It is detected at its third crash, with hardly any false positive."""
        share, detected = self.count(crash_share=0, deadly_rounds=3)
        self.assertEqual(detected, 1)
        self.assertLess(share, 0.0005)

    def test_deadly_request_among_crashes(self):
        """It is detected at its third crash, however many others crash."""
        share, detected = self.count(crash_share=0.1, deadly_rounds=3)
        self.assertEqual(detected, 1)
        self.assertLess(share, 0.005)
        _, detected = self.count(crash_share=0.33, deadly_rounds=3)
        self.assertEqual(detected, 1)
