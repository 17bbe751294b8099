"""Guards against sizes in the wrong tenth, and against samples that grow."""

import unittest

from trestledock.relay import NO_TENTH, SizeTenths
from trestledock.relay._size_tenths import MAX_SERVICES, MIN_SAMPLE, SAMPLE


class SizeTenthsTest(unittest.TestCase):
    """Tenths of the sizes of one service's prompts."""

    def setUp(self):
        self.tenths = SizeTenths()

    def test_even_sizes_fill_each_tenth_evenly(self):
        """Each tenth gets a tenth of the requests, whatever their order."""
        sizes = [number * 37 % 100 for number in range(SAMPLE)]
        for size in sizes:
            self.tenths.place('svc', size)
        placed = {size: self.tenths.place('svc', size) for size in sizes[:100]}
        expected = {size: size // 10 + 1 for size in range(100)}
        self.assertEqual(placed, expected)

    def test_few_sizes_have_no_tenth(self):
        """A first prompt is not called large or small."""
        placed = [self.tenths.place('svc', 9) for _ in range(MIN_SAMPLE)]
        self.assertEqual(set(placed[:-1]), {NO_TENTH})
        self.assertNotEqual(placed[-1], NO_TENTH)

    def test_services_are_apart(self):
        """A service of small prompts has large ones of its own."""
        for size in range(SAMPLE):
            self.tenths.place('large', 1_000_000 + size)
            self.tenths.place('small', size)
        self.assertEqual(self.tenths.place('small', SAMPLE), 10)
        self.assertEqual(self.tenths.place('large', SAMPLE), 1)

    def test_bounded(self):
        """Neither many prompts nor many services grow the samples."""
        for number in range(3 * SAMPLE):
            self.tenths.place(f'svc-{number}', number)
            self.tenths.place('svc-0', number)
        self.assertEqual(len(self.tenths.samples), MAX_SERVICES)
        sample = self.tenths.samples['svc-0']
        self.assertEqual(len(sample.latest), SAMPLE)
        self.assertEqual(sample.ordered, sorted(sample.latest))
