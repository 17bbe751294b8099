"""A short run of the soak with real processes; no timed checks."""

import tempfile
import unittest
from pathlib import Path

from tests.soak.playing import play
from tests.soak.world import Size

SIZE = Size(entries=3, engines=4, plain=2, callers=10, run_s=6)


class SoakTest(unittest.TestCase):
    """The promises that hold however busy the machine is."""

    def test_short_run(self):
        with tempfile.TemporaryDirectory() as folder:
            report = play(3, SIZE, Path(folder) / 'run', timed=False)
        self.assertEqual(report.violations, ())
        self.assertGreater(report.answered, 0)
