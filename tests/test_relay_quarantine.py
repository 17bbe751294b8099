"""Which requests are quarantined for crashing their targets."""

import unittest
from itertools import permutations
from random import Random

from trestledock.relay import End, Quarantine
from trestledock.relay._quarantine import (
    MOST_CLEARED,
    MOST_ENDS,
    MOST_KNOWN,
    TRIALS_S,
)

DEADLY, BESIDE = 'deadly', 'beside'


def note(quarantine, fingerprint, *targets, now=0):
    """Record that targets crashed while they ran a request."""
    for target in targets:
        quarantine.note_end(End(fingerprint, target), now)


def make_quarantine(*targets):
    """Return a quarantine with one request under which targets crashed."""
    quarantine = Quarantine()
    note(quarantine, DEADLY, *targets)
    return quarantine


class EndTest(unittest.TestCase):
    """Which crashes count."""

    def test_held_from_the_third_on(self):
        known = [
            make_quarantine(
                *(f't{one}' for one in range(count))
            ).is_quarantined(DEADLY)
            for count in range(MOST_ENDS + 2)
        ]
        self.assertEqual(known, [False, False, False, True, True])

    def test_the_same_end_counts_once(self):
        """Duplicated messages and the store report the same crash again."""
        quarantine = make_quarantine('t1', 't2')
        note(quarantine, DEADLY, 't1', 't2')
        self.assertFalse(quarantine.is_quarantined(DEADLY))

    def test_another_start_of_a_target_is_another_end(self):
        self.assertTrue(
            make_quarantine('t1@1', 't1@2', 't1@3').is_quarantined(DEADLY)
        )

    def test_who_was_beside_does_not_hide_it(self):
        """A request with more crashes, by other causes, excuses no other."""
        quarantine = make_quarantine('t1', 't2', 't3')
        note(quarantine, BESIDE, 't1', 't2', 't3', 't4')
        self.assertTrue(quarantine.is_quarantined(DEADLY))

    def test_order_does_not_matter(self):
        """Each instance learns of the same crashes in its own order."""
        ends = [End(DEADLY, f't{one}') for one in range(4)]
        ends.extend(End(BESIDE, f't{one}') for one in range(1, 4))
        found = set()
        for order in permutations(ends):
            quarantine = Quarantine()
            for end in order:
                quarantine.note_end(end, 0)
            found.add(
                (
                    quarantine.is_quarantined(DEADLY),
                    quarantine.is_quarantined(BESIDE),
                )
            )
        self.assertEqual(found, {(True, True)})

    def test_an_answer_clears(self):
        quarantine = make_quarantine('t1', 't2', 't3')
        self.assertEqual(len(quarantine.note_answered(DEADLY, 0)), MOST_ENDS)
        self.assertFalse(quarantine.is_quarantined(DEADLY))
        self.assertFalse(quarantine.was_ended('t1'))


class TrialTest(unittest.TestCase):
    """When a quarantined request is sent as a probe."""

    def test_each_trial_later_than_the_last(self):
        quarantine = make_quarantine('t1', 't2', 't3')
        now = 0
        for number, wait_s in enumerate((*TRIALS_S, TRIALS_S[-1])):
            self.assertFalse(quarantine.is_due(DEADLY, now + wait_s - 1))
            now += wait_s
            self.assertTrue(quarantine.is_due(DEADLY, now))
            quarantine.note_trial(DEADLY, now)
            now += 1
            note(quarantine, DEADLY, f'u{number}', now=now)

    def test_handed_on_with_its_age(self):
        """An instance that starts later has the same state."""
        known = make_quarantine('t1', 't2', 't3')
        known.note_trial(DEADLY, 70)
        later = Quarantine()
        for record in known.get_records(now=100):
            later.take(record, now=0)
        self.assertTrue(later.is_quarantined(DEADLY))
        self.assertEqual(
            later.get_due_in_s(DEADLY, 0), known.get_due_in_s(DEADLY, 100)
        )


class ClearedTest(unittest.TestCase):
    """Crashes cleared by an answer stay cleared, however late others learn."""

    def test_late_words_bring_nothing_back(self):
        """An instance that missed the answer still reports the old crashes."""
        known = make_quarantine('t1', 't2', 't3')
        stale = list(known.get_records(now=0))
        known.note_answered(DEADLY, 0)
        for record in stale:
            known.take(record, now=1)
        note(known, DEADLY, 't1', 't2', 't3')
        self.assertFalse(known.is_quarantined(DEADLY))

    def test_new_ends_count(self):
        known = make_quarantine('t1', 't2', 't3')
        known.note_answered(DEADLY, 0)
        note(known, DEADLY, 't4', 't5', 't6')
        self.assertTrue(known.is_quarantined(DEADLY))

    def test_handed_on(self):
        """An instance that missed the answer learns of it from a peer."""
        known = make_quarantine('t1', 't2', 't3')
        known.note_answered(DEADLY, 0)
        other = make_quarantine('t1', 't2', 't3', 't4')
        for record in known.get_records(now=0):
            other.take(record, now=0)
        self.assertEqual(other.count_ends(DEADLY), 1)

    def test_newest_are_kept(self):
        """A popular request is cleared of some crashes again and again."""
        known = Quarantine()
        for number in range(MOST_CLEARED * 2):
            note(known, DEADLY, f't{number}')
            known.note_answered(DEADLY, 0)
        cleared = known.make_record(DEADLY, 0).cleared
        self.assertEqual(len(cleared), MOST_CLEARED)
        self.assertEqual(cleared[-1], f't{MOST_CLEARED * 2 - 1}')

    def test_first_forgotten(self):
        known = make_quarantine('t1', 't2', 't3')
        known.note_answered(DEADLY, 0)
        for number in range(MOST_KNOWN):
            note(known, f'f{number}', f'u{number}')
        self.assertEqual(known.trim(), [DEADLY])


class BoundTest(unittest.TestCase):
    """A flood of different requests, each of which crashes targets."""

    def test_fewest_ends_are_forgotten_first(self):
        quarantine = make_quarantine('t1', 't2', 't3')
        for number in range(MOST_KNOWN * 2):
            note(quarantine, f'f{number}', f'u{number}', now=number)
            quarantine.trim()
        self.assertEqual(len(quarantine.suspects), MOST_KNOWN)
        self.assertTrue(quarantine.is_quarantined(DEADLY))
        self.assertIn(f'f{MOST_KNOWN * 2 - 1}', quarantine.suspects)

    def test_targets_are_forgotten_with_them(self):
        quarantine = Quarantine()
        for number in range(MOST_KNOWN * 2):
            note(quarantine, f'f{number}', f'u{number}')
            quarantine.trim()
        self.assertFalse(quarantine.was_ended('u0'))


class BlameTest(unittest.TestCase):
    """How often harmless and deadly requests are quarantined.

    Eighteen targets run seven requests each.  A request is sent to one target,
    and to a second one if that crashes; its caller retries once.
    """

    targets = 18
    beside = 7
    sends = 4

    def play(self, rng, *, ending_share, deadly_rounds=0):
        """Return how many of 126 harmless requests are quarantined.

        Also return whether the deadly one is.  In each round a share of the
        targets crash by themselves; the deadly request crashes one more.
        """
        quarantine = Quarantine()
        waiting = {f'r{one}': 0 for one in range(self.targets * self.beside)}
        for turn in range(self.sends):
            places = {
                name: rng.randrange(self.targets)
                for name, sends in waiting.items()
                if sends == turn
            }
            ended = {
                target
                for target in range(self.targets)
                if rng.random() < ending_share
            }
            if turn < deadly_rounds:
                target = rng.randrange(self.targets)
                ended.add(target)
                note(quarantine, DEADLY, f't{target}@{turn}')
            for name, target in places.items():
                if target in ended:
                    note(quarantine, name, f't{target}@{turn}')
                    waiting[name] += 1
        blamed = sum(map(quarantine.is_quarantined, waiting))
        return blamed, quarantine.is_quarantined(DEADLY)

    def count(self, **how):
        """Return the quarantined shares of harmless and of deadly requests."""
        rng = Random(7)
        days = [self.play(rng, **how) for _ in range(300)]
        others = sum(blamed for blamed, _ in days)
        share = others / len(days) / self.targets / self.beside
        return share, sum(found for _, found in days) / len(days)

    def test_crashes_alone(self):
        """A tenth, or a third, of all targets crash in each of four rounds."""
        share, _ = self.count(ending_share=0.1)
        self.assertLess(share, 0.001)
        share, _ = self.count(ending_share=0.33)
        self.assertLess(share, 0.05)

    def test_deadly_request_alone(self):
        """It is detected at its third crash, with hardly any false positive."""
        share, found = self.count(ending_share=0, deadly_rounds=3)
        self.assertEqual(found, 1)
        self.assertLess(share, 0.0005)

    def test_both(self):
        """It is detected at its third crash, however many others crash."""
        share, found = self.count(ending_share=0.1, deadly_rounds=3)
        self.assertEqual(found, 1)
        self.assertLess(share, 0.005)
        _, found = self.count(ending_share=0.33, deadly_rounds=3)
        self.assertEqual(found, 1)
