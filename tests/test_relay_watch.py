"""How closely the list was followed, and what follows from it."""

import unittest

from trestledock.relay._watch import (
    GAP_S,
    LAPSE_GRACE_S,
    RETURN_GRACE_S,
    ListWatch,
)


class WatchTest(unittest.TestCase):
    """Gaps, disturbances, and what may be vouched for."""

    def make(self, *reads):
        watch = ListWatch()
        for at in reads:
            watch.record_read(at, at)
        return watch

    def test_first_list_is_not_settled(self):
        """Who has just begun can't say what has only lapsed."""
        watch = self.make(0)
        self.assertFalse(watch.is_synchronized(1))
        self.assertTrue(watch.is_synchronized(LAPSE_GRACE_S))

    def test_gap_unsettles_and_disturbs_nothing(self):
        """A gap of one's own making holds nothing, and vouches for nothing."""
        watch = self.make(0, 5)
        self.assertFalse(watch.is_synchronized(6))
        self.assertLess(watch.grace_end, 5)

    def test_gap_with_failed_reads_disturbs(self):
        watch = self.make(0)
        watch.record_failure(4.9)
        watch.record_read(5, 5)
        self.assertEqual(watch.grace_end, 5 + LAPSE_GRACE_S)
        self.assertTrue(watch.is_disturbed(6))

    def test_directory_may_have_been_back_for_a_while(self):
        """The grace ends in time for what left just before the outage."""
        watch = self.make(0)
        watch.record_failure(4)
        watch.record_read(5, 5)
        self.assertEqual(watch.grace_end, 4 + RETURN_GRACE_S)

    def test_trouble_before_the_last_read_is_over(self):
        """A failure that a read has followed is no reason any more."""
        watch = self.make(0)
        watch.record_failure(0.1)
        watch.record_read(0.2, 0.2)
        watch.record_read(5, 5)
        self.assertLess(watch.grace_end, 5)

    def test_gap_is_between_what_lists_are_true_for(self):
        """A slow answer makes no gap where the question came in time."""
        watch = self.make(0)
        watch.record_failure(1)
        watch.record_read(GAP_S, GAP_S + 1)
        self.assertLess(watch.grace_end, 0)

    def test_older_list_changes_nothing(self):
        watch = self.make(0, 1)
        watch.record_read(0.5, 1.5)
        self.assertEqual(watch.read_at, 1)
