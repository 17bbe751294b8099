"""Which requests are quarantined for ending their targets, and which not."""

import unittest
from itertools import permutations
from random import Random

from trestledock.relay import Crash, Quarantine
from trestledock.relay._quarantine import (
    MAX_CLEARED,
    MIN_CRASHES,
    MAX_SUSPECTS,
    PROBE_DELAYS_S,
)

DEADLY, BESIDE = 'deadly', 'beside'


def note(quarantine, fingerprint, *targets, now=0):
    """Note that targets ended while they ran a request."""
    for target in targets:
        quarantine.record_crash(Crash(fingerprint, target), now)


def make_quarantine(*targets):
    """Return a quarantine with one request under which targets ended."""
    quarantine = Quarantine()
    note(quarantine, DEADLY, *targets)
    return quarantine


class EndTest(unittest.TestCase):
    """Ends that count, and those that another request explains."""

    def test_held_from_the_third_on(self):
        known = [
            make_quarantine(
                *(f't{one}' for one in range(count))
            ).is_quarantined(DEADLY)
            for count in range(MIN_CRASHES + 2)
        ]
        self.assertEqual(known, [False, False, False, True, True])

    def test_the_same_end_counts_once(self):
        """It is told by words that are repeated, and by the store."""
        quarantine = make_quarantine('t1', 't2')
        note(quarantine, DEADLY, 't1', 't2')
        self.assertFalse(quarantine.is_quarantined(DEADLY))

    def test_another_start_of_a_target_is_another_end(self):
        self.assertTrue(
            make_quarantine('t1@1', 't1@2', 't1@3').is_quarantined(DEADLY)
        )

    def test_who_was_beside_does_not_hide_it(self):
        """What was at more ends, by crashes of other causes, explains none."""
        quarantine = make_quarantine('t1', 't2', 't3')
        note(quarantine, BESIDE, 't1', 't2', 't3', 't4')
        self.assertTrue(quarantine.is_quarantined(DEADLY))

    def test_order_does_not_matter(self):
        """Each instance hears of the same ends in an order of its own."""
        ends = [Crash(DEADLY, f't{one}') for one in range(4)]
        ends.extend(Crash(BESIDE, f't{one}') for one in range(1, 4))
        found = set()
        for order in permutations(ends):
            quarantine = Quarantine()
            for end in order:
                quarantine.record_crash(end, 0)
            found.add(
                (
                    quarantine.is_quarantined(DEADLY),
                    quarantine.is_quarantined(BESIDE),
                )
            )
        self.assertEqual(found, {(True, True)})

    def test_an_answer_clears(self):
        quarantine = make_quarantine('t1', 't2', 't3')
        self.assertEqual(len(quarantine.record_answer(DEADLY, 0)), MIN_CRASHES)
        self.assertFalse(quarantine.is_quarantined(DEADLY))
        self.assertFalse(quarantine.has_crashed('t1'))


class TrialTest(unittest.TestCase):
    """When a quarantined request is given to one target again."""

    def test_each_trial_later_than_the_last(self):
        quarantine = make_quarantine('t1', 't2', 't3')
        now = 0
        for number, wait_s in enumerate((*PROBE_DELAYS_S, PROBE_DELAYS_S[-1])):
            self.assertFalse(quarantine.is_probe_due(DEADLY, now + wait_s - 1))
            now += wait_s
            self.assertTrue(quarantine.is_probe_due(DEADLY, now))
            quarantine.record_probe(DEADLY, now)
            now += 1
            note(quarantine, DEADLY, f'u{number}', now=now)

    def test_handed_on_with_its_age(self):
        """A later start knows as much as who was there."""
        known = make_quarantine('t1', 't2', 't3')
        known.record_probe(DEADLY, 70)
        later = Quarantine()
        for record in known.get_records(now=100):
            later.merge(record, now=0)
        self.assertTrue(later.is_quarantined(DEADLY))
        self.assertEqual(
            later.get_probe_delay_s(DEADLY, 0),
            known.get_probe_delay_s(DEADLY, 100),
        )


class ClearedTest(unittest.TestCase):
    """What an answer has cleared stays so, however late others hear of it."""

    def test_late_words_bring_nothing_back(self):
        """Whoever has not heard of the answer tells the old ends on."""
        known = make_quarantine('t1', 't2', 't3')
        stale = list(known.get_records(now=0))
        known.record_answer(DEADLY, 0)
        for record in stale:
            known.merge(record, now=1)
        note(known, DEADLY, 't1', 't2', 't3')
        self.assertFalse(known.is_quarantined(DEADLY))

    def test_new_ends_count(self):
        known = make_quarantine('t1', 't2', 't3')
        known.record_answer(DEADLY, 0)
        note(known, DEADLY, 't4', 't5', 't6')
        self.assertTrue(known.is_quarantined(DEADLY))

    def test_handed_on(self):
        """Who missed the word learns of it with the list of another."""
        known = make_quarantine('t1', 't2', 't3')
        known.record_answer(DEADLY, 0)
        other = make_quarantine('t1', 't2', 't3', 't4')
        for record in known.get_records(now=0):
            other.merge(record, now=0)
        self.assertEqual(other.count_crashes(DEADLY), 1)

    def test_newest_are_kept(self):
        """What many ask for is cleared of some ends with each crash."""
        known = Quarantine()
        for number in range(MAX_CLEARED * 2):
            note(known, DEADLY, f't{number}')
            known.record_answer(DEADLY, 0)
        cleared = known.make_record(DEADLY, 0).cleared
        self.assertEqual(len(cleared), MAX_CLEARED)
        self.assertEqual(cleared[-1], f't{MAX_CLEARED * 2 - 1}')

    def test_first_forgotten(self):
        known = make_quarantine('t1', 't2', 't3')
        known.record_answer(DEADLY, 0)
        for number in range(MAX_SUSPECTS):
            note(known, f'f{number}', f'u{number}')
        self.assertEqual(known.evict_excess(), [DEADLY])


class BoundTest(unittest.TestCase):
    """A flood of different requests, each of which ends targets."""

    def test_fewest_ends_are_forgotten_first(self):
        quarantine = make_quarantine('t1', 't2', 't3')
        for number in range(MAX_SUSPECTS * 2):
            note(quarantine, f'f{number}', f'u{number}', now=number)
            quarantine.evict_excess()
        self.assertEqual(len(quarantine.suspects), MAX_SUSPECTS)
        self.assertTrue(quarantine.is_quarantined(DEADLY))
        self.assertIn(f'f{MAX_SUSPECTS * 2 - 1}', quarantine.suspects)

    def test_targets_are_forgotten_with_them(self):
        quarantine = Quarantine()
        for number in range(MAX_SUSPECTS * 2):
            note(quarantine, f'f{number}', f'u{number}')
            quarantine.evict_excess()
        self.assertFalse(quarantine.has_crashed('u0'))


class BlameTest(unittest.TestCase):
    """How often who ends nothing is quarantined, and who does is not.

    Eighteen targets with seven requests each.  A request goes to one target and
    to a second one if that ends, and its caller tries once more.
    """

    targets = 18
    beside = 7
    sends = 4

    def play(self, rng, *, ending_share, deadly_rounds=0):
        """Return the quarantined ones of 126, and whether the deadly one is.

        In each round a share of the targets end by themselves; the deadly
        request ends one more.
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
        """Return the share of others in quarantine, and of deadly ones."""
        rng = Random(7)
        days = [self.play(rng, **how) for _ in range(300)]
        others = sum(blamed for blamed, _ in days)
        share = others / len(days) / self.targets / self.beside
        return share, sum(found for _, found in days) / len(days)

    def test_crashes_alone(self):
        """A tenth, or a third, of all targets ends in each of four rounds."""
        share, _ = self.count(ending_share=0.1)
        self.assertLess(share, 0.001)
        share, _ = self.count(ending_share=0.33)
        self.assertLess(share, 0.05)

    def test_deadly_request_alone(self):
        """It is known at its third end, and hardly anybody else suffers."""
        share, found = self.count(ending_share=0, deadly_rounds=3)
        self.assertEqual(found, 1)
        self.assertLess(share, 0.0005)

    def test_both(self):
        """However many others end beside it, it is known at its third end."""
        share, found = self.count(ending_share=0.1, deadly_rounds=3)
        self.assertEqual(found, 1)
        self.assertLess(share, 0.005)
        _, found = self.count(ending_share=0.33, deadly_rounds=3)
        self.assertEqual(found, 1)
