"""Results of property tests don't depend on the load of the machine."""

import unittest

from hypothesis import HealthCheck, settings


class ProfileTest(unittest.TestCase):
    """The settings of all property tests."""

    def test_no_wall_time(self):
        """There is neither a deadline nor a check for slow tests."""
        self.assertIsNone(settings.default.deadline)
        suppressed = settings.default.suppress_health_check
        self.assertIn(HealthCheck.too_slow, suppressed)

    def test_same_examples(self):
        """Examples depend only on the test."""
        self.assertTrue(settings.default.derandomize)
        self.assertIsNone(settings.default.database)

    def test_own_settings_keep_to_it(self):
        """A test with a setting of its own gets the rest from the profile."""
        own = settings(max_examples=400)
        self.assertIsNone(own.deadline)
        self.assertTrue(own.derandomize)
