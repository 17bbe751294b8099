"""Who reads the store for the others."""

import unittest

from trestledock.relay import (
    ReaderCandidate,
    ReadSchedule,
    choose_reader,
    get_own_read_delay_s,
    get_read_retry_s,
)


class ReadersTest(unittest.TestCase):
    """The choice, and what happens when readers fail."""

    def test_all_choose_alike(self):
        """The order in which candidates are known does not matter."""
        known = [ReaderCandidate(one, 0.3) for one in 'cab']
        self.assertEqual(choose_reader(known), 'a')
        self.assertEqual(choose_reader(reversed(known)), 'a')

    def test_reader_cut_from_the_store(self):
        """A reader whose proof grows old hands over to a fresh one."""
        known = [ReaderCandidate('a', 2.0), ReaderCandidate('b', 0.7)]
        self.assertEqual(choose_reader(known), 'b')

    def test_two_readers_cut(self):
        """With two cut off, the third in order reads."""
        known = [
            ReaderCandidate('a', 2),
            ReaderCandidate('b', 3),
            ReaderCandidate('c', 0.5),
        ]
        self.assertEqual(choose_reader(known), 'c')

    def test_reader_that_is_lost_is_made_good_in_time(self):
        """Everyone reads itself well before the bound on drains (2 s)."""
        names = [f'e{one}' for one in range(8)]
        for name in names:
            self.assertGreater(get_own_read_delay_s(name, names, 0.8), 0)
            self.assertLess(get_own_read_delay_s(name, names, 1.2), 0)

    def test_delays_add_up_within_the_bound(self):
        """A read, a question and an answer later a change is known."""
        for settle_s in (2, 3, 4, 10):
            pace = ReadSchedule(settle_s)
            self.assertLess(
                pace.read_interval_s + pace.ask_interval_s, settle_s / 2
            )
            self.assertLessEqual(pace.ask_interval_s, 0.6)

    def test_own_reads_are_spread(self):
        """Not all of many instances read at the same moment."""
        names = [f'e{one:03}' for one in range(90)]
        waits = [get_own_read_delay_s(name, names, 1) for name in names]
        self.assertLess(sum(wait < 0 for wait in waits), 6)

    def test_outage(self):
        """While all are stale, tries are spread out and bounded."""
        names = [f'e{one:03}' for one in range(90)]
        waits = [get_read_retry_s(name, names) for name in names]
        self.assertEqual(waits, sorted(waits))
        tries_per_s = sum(1 / wait for wait in waits)
        self.assertLess(tries_per_s, 25)
