"""Short runs of the soak with real processes; no timed checks."""

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from tests.soak.playing import play
from tests.soak.world import Size

SIZE = Size(entries=3, engines=4, plain=2, callers=10, run_s=6)


class SoakTest(unittest.TestCase):
    """The promises that hold however busy the machine is."""

    def check(self, size):
        with tempfile.TemporaryDirectory() as folder:
            report = play(3, size, Path(folder) / 'run', timed=False)
        self.assertEqual(report.violations, ())
        self.assertGreater(report.answered, 0)
        return report

    def test_short_run(self):
        self.check(SIZE)

    def test_planned_work_alone(self):
        report = self.check(replace(SIZE, plan='planned'))
        self.assertGreater(report.changes, 0)

    def test_targets_start_again(self):
        report = self.check(replace(SIZE, plan='again'))
        self.assertGreater(report.changes, 0)

    def test_requests_that_end_their_targets(self):
        report = self.check(replace(SIZE, plan='deadly'))
        self.assertGreater(report.changes, 0)

    def test_reader_stands_still(self):
        report = self.check(replace(SIZE, plan='standstill'))
        self.assertGreater(report.changes, 0)

    def test_targets_that_ask_for_fewer_requests(self):
        report = self.check(replace(SIZE, plan='limited'))
        self.assertGreater(report.changes, 0)

    def test_targets_that_say_that_they_leave_or_want_rest(self):
        report = self.check(replace(SIZE, plan='told'))
        self.assertGreater(report.changes, 0)

    def test_store_comes_back_from_a_copy(self):
        report = self.check(replace(SIZE, plan='restored'))
        self.assertGreater(report.faults, 0)
