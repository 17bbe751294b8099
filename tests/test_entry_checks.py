"""Values of another type, or of an impossible size, are refused."""

import unittest

from trestledock.entry import _checks
from trestledock.relay import MAX_AGE_S

NOT_FINITE = (float('inf'), float('-inf'), float('nan'))
#: Integers and floats with which arithmetic may overflow.
TOO_LARGE = (10**400, -(10**400), 2**64, 1e308, -1e308)


class NumberTest(unittest.TestCase):
    """Numbers of other processes."""

    def assert_refused(self, read, *values):
        for json_value in values:
            with self.subTest(read=read.__name__, json_value=json_value):
                self.assertRaises(ValueError, read, json_value)

    def test_other_types(self):
        for read in (
            _checks.read_int,
            _checks.read_count,
            _checks.read_number,
            _checks.read_age_s,
        ):
            self.assert_refused(read, True, None, '1', [1], {})

    # Guards against numbers whose arithmetic ends the task that reads them.
    def test_numbers_that_arithmetic_cannot_bear(self):
        for read in (_checks.read_int, _checks.read_number):
            self.assert_refused(read, *NOT_FINITE, *TOO_LARGE)
        self.assert_refused(_checks.read_count, 2**64, -1)

    def test_large_numbers(self):
        """Unix times in nanoseconds are still read."""
        for read in (_checks.read_int, _checks.read_count, _checks.read_number):
            self.assertEqual(read(1_800_000_000_000_000_000), 1.8e18)

    def test_ages(self):
        found = [
            _checks.read_age_s(json_value)
            for json_value in (-5, 0, 0.5, MAX_AGE_S * 2, float('inf'))
        ]
        self.assertEqual(found, [0, 0, 0.5, MAX_AGE_S, MAX_AGE_S])
        self.assert_refused(
            _checks.read_age_s, float('-inf'), float('nan'), 10**400
        )
