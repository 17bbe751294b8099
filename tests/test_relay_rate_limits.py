"""Which word of a target on its limit is believed."""

import unittest

from trestledock.relay import NoticeChange, RateLimit, Notices

TARGET = 't1@5'


def note(*words):
    """Return what each of some words changes, and what is believed then."""
    limits = Notices()
    changes = [limits.record(TARGET, RateLimit(*word)) for word in words]
    return changes, limits.get(RateLimit, TARGET)


class OrderTest(unittest.TestCase):
    """Words in the order in which they were said, and out of it."""

    def test_learnt_changed_lifted(self):
        changes, last = note((2, 0, 1), (3, 1, 2), (None, 2, 3), (1, 3, 4))
        self.assertEqual(
            changes,
            [
                NoticeChange.learnt,
                NoticeChange.changed,
                NoticeChange.lifted,
                NoticeChange.learnt,
            ],
        )
        self.assertEqual(last.per_s, 1)

    def test_unlimited_from_the_start_is_nothing(self):
        limits = Notices()
        limits.record(TARGET, RateLimit(None, 0, 1))
        self.assertEqual(limits.get_all(RateLimit), {})

    def test_answer_to_what_was_asked_before_lifts_nothing(self):
        """It may have been said before the limit was."""
        changes, last = note((2, 5, 6), (None, 5.5, 7))
        self.assertEqual(changes[1], NoticeChange.nothing)
        self.assertEqual(last.per_s, 2)

    def test_lowest_of_those_without_an_order(self):
        for words in (((2, 5, 6), (9, 5, 7)), ((9, 5, 7), (2, 5, 6))):
            _, last = note(*words)
            self.assertEqual(last.per_s, 2)

    def test_what_followed_neither_of_two_lifts_nothing(self):
        """The belief is as young as the last word that agreed with it."""
        _, last = note((2, 5, 6), (2, 5.5, 8), (None, 7, 9))
        self.assertEqual(last.per_s, 2)

    def test_old_word_changes_nothing(self):
        changes, last = note((5, 8, 9), (1, 2, 3))
        self.assertEqual(changes[1], NoticeChange.nothing)
        self.assertEqual(last.per_s, 5)

    def test_word_that_was_overtaken_by_its_end_holds_until_the_next(self):
        """Nobody can tell their order, and the target may be in need."""
        changes, last = note((2, 0, 1), (None, 4, 5), (2, 4.5, 6), (None, 6, 7))
        self.assertEqual(changes[1], NoticeChange.lifted)
        self.assertEqual(changes[2], NoticeChange.learnt)
        self.assertEqual(changes[3], NoticeChange.lifted)
        self.assertIsNone(last)

    def test_forgotten_with_its_target(self):
        limits = Notices()
        limits.record(TARGET, RateLimit(2, 0, 1))
        limits.forget(TARGET)
        self.assertIsNone(limits.get(RateLimit, TARGET))
