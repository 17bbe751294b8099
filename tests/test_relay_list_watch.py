"""Monitoring of the target list, and what it implies."""

import unittest

from trestledock.relay._list_watch import (
    GAP_S,
    LAPSE_GRACE_S,
    RETURN_GRACE_S,
    ListWatch,
)


class ListWatchTest(unittest.TestCase):
    """Gaps and disturbances between reads of the list."""

    def make(self, *reads):
        watch = ListWatch()
        for at in reads:
            watch.record_read(at, at)
        return watch

    def test_first_list_is_not_synchronized(self):
        """An instance that has just started can't tell which leases lapsed."""
        watch = self.make(0)
        self.assertFalse(watch.is_synchronized(1))
        self.assertTrue(watch.is_synchronized(LAPSE_GRACE_S))

    def test_gap_is_no_disturbance(self):
        """A gap without failed reads retains nothing, and confirms nothing."""
        watch = self.make(0, 5)
        self.assertFalse(watch.is_synchronized(6))
        self.assertLess(watch.grace_end, 5)

    def test_gap_with_failed_reads_is_disturbance(self):
        watch = self.make(0)
        watch.record_failure(4.9)
        watch.record_read(5, 5)
        self.assertEqual(watch.grace_end, 5 + LAPSE_GRACE_S)
        self.assertTrue(watch.is_disturbed(6))

    def test_grace_from_last_failure(self):
        """The grace ends in time for targets removed before the outage."""
        watch = self.make(0)
        watch.record_failure(4)
        watch.record_read(5, 5)
        self.assertEqual(watch.grace_end, 4 + RETURN_GRACE_S)

    def test_failure_before_last_read(self):
        """A failure that a successful read has followed does not count."""
        watch = self.make(0)
        watch.record_failure(0.1)
        watch.record_read(0.2, 0.2)
        watch.record_read(5, 5)
        self.assertLess(watch.grace_end, 5)

    def test_gap_counts_from_query(self):
        """A slow answer makes no gap if its query was sent in time."""
        watch = self.make(0)
        watch.record_failure(1)
        watch.record_read(GAP_S, GAP_S + 1)
        self.assertLess(watch.grace_end, 0)

    def test_older_list_changes_nothing(self):
        watch = self.make(0, 1)
        watch.record_read(0.5, 1.5)
        self.assertEqual(watch.read_at, 1)
