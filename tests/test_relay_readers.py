"""Election of the store's reader."""

import unittest

from trestledock.relay import (
    ReadSchedule,
    ReaderCandidate,
    choose_reader,
    get_own_read_delay_s,
    get_read_retry_s,
)


class ReadersTest(unittest.TestCase):
    """The choice of a reader, and the failure of readers."""

    def test_order_does_not_matter(self):
        """The order in which candidates are known does not matter."""
        candidates = [ReaderCandidate(name, 0.3) for name in 'cab']
        self.assertEqual(choose_reader(candidates), 'a')
        self.assertEqual(choose_reader(reversed(candidates)), 'a')

    def test_reader_cut_off_from_store(self):
        """A reader whose proof grows old is replaced by a fresh one."""
        candidates = [ReaderCandidate('a', 2.0), ReaderCandidate('b', 0.7)]
        self.assertEqual(choose_reader(candidates), 'b')

    def test_two_readers_cut_off(self):
        """If two are cut off, the third in the order reads."""
        candidates = [
            ReaderCandidate('a', 2),
            ReaderCandidate('b', 3),
            ReaderCandidate('c', 0.5),
        ]
        self.assertEqual(choose_reader(candidates), 'c')

    def test_lost_reader_is_replaced_in_time(self):
        """Every instance reads itself well before the bound on drains (2 s)."""
        names = [f'e{number}' for number in range(8)]
        for name in names:
            self.assertGreater(get_own_read_delay_s(name, names, 0.8), 0)
            self.assertLess(get_own_read_delay_s(name, names, 1.2), 0)

    def test_delays_add_up_within_the_bound(self):
        """A change is known after a read, a query and an answer."""
        for settle_s in (2, 3, 4, 10):
            pace = ReadSchedule(settle_s)
            self.assertLess(
                pace.read_interval_s + pace.ask_interval_s, settle_s / 2
            )
            self.assertLessEqual(pace.ask_interval_s, 0.6)

    def test_own_reads_are_spread(self):
        """Many instances don't all read at the same moment."""
        names = [f'e{number:03}' for number in range(90)]
        waits = [get_own_read_delay_s(name, names, 1) for name in names]
        self.assertLess(sum(wait < 0 for wait in waits), 6)

    def test_outage(self):
        """While all are stale, tries are spread out and bounded."""
        names = [f'e{number:03}' for number in range(90)]
        waits = [get_read_retry_s(name, names) for name in names]
        self.assertEqual(waits, sorted(waits))
        tries_per_s = sum(1 / wait for wait in waits)
        self.assertLess(tries_per_s, 25)
