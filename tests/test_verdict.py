"""Evaluation of test reports: only known failures are not counted."""

import unittest

from tests.verdict import judge, read_known

FAILED = 'FAIL: test_x (tests.test_a.T.test_x)\nwhy\n'
OTHER = 'ERROR: test_y (tests.test_b.T.test_y)\nwhy\n'
RAN = 'Ran 5 tests in 1.0s\n'
NAME = 'tests.test_a.T.test_x'


class VerdictTest(unittest.TestCase):
    """Counts and lines for various reports."""

    def check(self, report, exit_code, known, passed, failed):
        verdict = judge(report, exit_code, known)
        found = (verdict.passed, verdict.failed)
        self.assertEqual(found, (passed, failed), verdict.lines)
        return verdict.lines

    def test_all_passed(self):
        self.check(RAN, 0, (), 5, 0)

    def test_failures_count(self):
        self.check(FAILED + OTHER + RAN, 1, (), 3, 2)

    def test_known_red_is_passed_over(self):
        """Only the listed test is not counted, and it is printed."""
        lines = self.check(FAILED + OTHER + RAN, 1, (NAME,), 3, 1)
        self.assertIn(f'known red: {NAME}', lines)
        self.assertIn('FAILED: tests.test_b.T.test_y', lines)

    def test_subtests_are_one_test(self):
        self.check(FAILED + FAILED + RAN, 1, (NAME,), 4, 0)

    def test_listed_test_that_passes(self):
        self.check(RAN, 0, (NAME,), 5, 1)

    def test_more_than_three(self):
        known = tuple(f'tests.t.T.test_{number}' for number in range(4))
        report = ''.join(f'FAIL: x ({test})\n' for test in known)
        self.check(report + RAN, 1, known, 1, 1)

    def test_nothing_ran(self):
        self.check('', 0, (), 0, 1)

    def test_runner_that_ended_early(self):
        """A nonzero exit code without a failed test is a failure."""
        self.check(RAN, 2, (), 5, 1)

    def test_list(self):
        """Lines start with the test; comments and blank lines are ignored."""
        text = f'# why\n\n{NAME}: a cause, issue 1\n'
        self.assertEqual(read_known(text), (NAME,))
