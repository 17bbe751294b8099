"""Property tests give the same verdict whatever the load of the machine."""

import unittest

from hypothesis import HealthCheck, settings


class ProfileTest(unittest.TestCase):
    """What all property tests are run with."""

    def test_no_wall_time(self):
        """Neither a deadline nor a check for slowness is in force."""
        self.assertIsNone(settings.default.deadline)
        suppressed = settings.default.suppress_health_check
        self.assertIn(HealthCheck.too_slow, suppressed)

    def test_same_examples(self):
        """Examples come from the test alone."""
        self.assertTrue(settings.default.derandomize)
        self.assertIsNone(settings.default.database)

    def test_own_settings_keep_to_it(self):
        """A test that names one setting takes the others from the profile."""
        own = settings(max_examples=400)
        self.assertIsNone(own.deadline)
        self.assertTrue(own.derandomize)
