"""Which rate limit notice of a target holds."""

import unittest

from trestledock.relay import Change, RateLimit, Notices

TARGET = 't1@5'


def note(*arguments):
    """Return what each notice changes, and which one holds in the end."""
    notices = Notices()
    changes = [notices.note(TARGET, RateLimit(*args)) for args in arguments]
    return changes, notices.get(RateLimit, TARGET)


class OrderTest(unittest.TestCase):
    """Notices in the order in which they were made, and out of it."""

    def test_learnt_changed_lifted(self):
        changes, last = note((2, 0, 1), (3, 1, 2), (None, 2, 3), (1, 3, 4))
        self.assertEqual(
            changes,
            [Change.learnt, Change.changed, Change.lifted, Change.learnt],
        )
        self.assertEqual(last.per_s, 1)

    def test_unlimited_from_the_start_is_nothing(self):
        notices = Notices()
        notices.note(TARGET, RateLimit(None, 0, 1))
        self.assertEqual(notices.get_all(RateLimit), {})

    def test_answer_to_what_was_asked_before_lifts_nothing(self):
        """Its order relative to the limit is unknown."""
        changes, last = note((2, 5, 6), (None, 5.5, 7))
        self.assertEqual(changes[1], Change.nothing)
        self.assertEqual(last.per_s, 2)

    def test_lowest_of_those_without_an_order(self):
        for arguments in (((2, 5, 6), (9, 5, 7)), ((9, 5, 7), (2, 5, 6))):
            _, last = note(*arguments)
            self.assertEqual(last.per_s, 2)

    def test_what_followed_neither_of_two_lifts_nothing(self):
        """A limit is as recent as the last notice that agreed with it."""
        _, last = note((2, 5, 6), (2, 5.5, 8), (None, 7, 9))
        self.assertEqual(last.per_s, 2)

    def test_old_word_changes_nothing(self):
        changes, last = note((5, 8, 9), (1, 2, 3))
        self.assertEqual(changes[1], Change.nothing)
        self.assertEqual(last.per_s, 5)

    def test_word_that_was_overtaken_by_its_end_holds_until_the_next(self):
        """Their order is unknown, and the target may be overloaded."""
        changes, last = note((2, 0, 1), (None, 4, 5), (2, 4.5, 6), (None, 6, 7))
        self.assertEqual(changes[1], Change.lifted)
        self.assertEqual(changes[2], Change.learnt)
        self.assertEqual(changes[3], Change.lifted)
        self.assertIsNone(last)

    def test_forgotten_with_its_target(self):
        notices = Notices()
        notices.note(TARGET, RateLimit(2, 0, 1))
        notices.forget(TARGET)
        self.assertIsNone(notices.get(RateLimit, TARGET))
