"""Which rate limit notice of a target holds."""

import unittest

from trestledock.relay import NoticeChange, Notices, RateLimit

TARGET = 't1@5'


def record(*arguments):
    """Return what each notice changes, and which one holds in the end."""
    notices = Notices()
    changes = [notices.record(TARGET, RateLimit(*args)) for args in arguments]
    return changes, notices.get(RateLimit, TARGET)


class OrderTest(unittest.TestCase):
    """Notices in the order in which they were made, and out of it."""

    def test_learnt_changed_lifted(self):
        changes, last = record((2, 0, 1), (3, 1, 2), (None, 2, 3), (1, 3, 4))
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

    def test_unlimited_without_limit_is_ignored(self):
        notices = Notices()
        notices.record(TARGET, RateLimit(None, 0, 1))
        self.assertEqual(notices.get_all(RateLimit), {})

    def test_request_before_limit_lifts_nothing(self):
        """Its order relative to the limit is unknown."""
        changes, last = record((2, 5, 6), (None, 5.5, 7))
        self.assertEqual(changes[1], NoticeChange.nothing)
        self.assertEqual(last.per_s, 2)

    def test_lowest_of_unordered(self):
        for arguments in (((2, 5, 6), (9, 5, 7)), ((9, 5, 7), (2, 5, 6))):
            _, last = record(*arguments)
            self.assertEqual(last.per_s, 2)

    def test_request_before_last_notice_lifts_nothing(self):
        """A limit is as recent as the last notice that agreed with it."""
        _, last = record((2, 5, 6), (2, 5.5, 8), (None, 7, 9))
        self.assertEqual(last.per_s, 2)

    def test_old_notice_changes_nothing(self):
        changes, last = record((5, 8, 9), (1, 2, 3))
        self.assertEqual(changes[1], NoticeChange.nothing)
        self.assertEqual(last.per_s, 5)

    def test_overtaken_notice_holds_until_next(self):
        """Their order is unknown, and the target may be overloaded."""
        changes, last = record(
            (2, 0, 1), (None, 4, 5), (2, 4.5, 6), (None, 6, 7)
        )
        self.assertEqual(changes[1], NoticeChange.lifted)
        self.assertEqual(changes[2], NoticeChange.learnt)
        self.assertEqual(changes[3], NoticeChange.lifted)
        self.assertIsNone(last)

    def test_removed_with_target(self):
        notices = Notices()
        notices.record(TARGET, RateLimit(2, 0, 1))
        notices.forget(TARGET)
        self.assertIsNone(notices.get(RateLimit, TARGET))
