"""The ablation: each mechanism has a row with its measured contribution."""

import unittest
from dataclasses import fields, replace

from click.testing import CliRunner

from trestledock.bench.ablation import (
    ROWS,
    main,
    make_table,
    simulate_day,
)
from trestledock.relay import DEFAULT_POLICY


class RowsTest(unittest.TestCase):
    """The disabled mechanisms."""

    def test_every_mechanism_alone(self):
        """The first row disables none, and each other one a mechanism."""
        disabled = [
            [
                field.name
                for field in fields(DEFAULT_POLICY)
                if getattr(policy, field.name)
                != getattr(DEFAULT_POLICY, field.name)
            ]
            for _, policy in ROWS
        ]
        self.assertEqual(disabled[0], [])
        self.assertEqual(
            sorted(name for names in disabled for name in names),
            sorted(field.name for field in fields(DEFAULT_POLICY)),
        )
        self.assertTrue(all(len(names) == 1 for names in disabled[1:]))


class TableTest(unittest.TestCase):
    """The printed table and the measurements."""

    def test_difference_to_all(self):
        """Differences are relative to the first row, on the same seeds."""
        rows = (ROWS[0], ('no helpers', replace(DEFAULT_POLICY, helpers=False)))
        lines = list(make_table(2, rows, seconds=6.0))
        cells = [line.split(' | ') for line in lines[2:]]
        self.assertTrue(cells[0][-1].startswith('+0.000 ± 0.000'))
        self.assertTrue(cells[1][-1].startswith('-'))

    def test_helpers_matter(self):
        """Without helpers, long prompts are late."""
        without = simulate_day(replace(DEFAULT_POLICY, helpers=False), 0, 6.0)
        self.assertGreater(
            simulate_day(DEFAULT_POLICY, 0, 6.0).whole, without.whole + 0.05
        )

    def test_bad_option(self):
        """A count of seeds below 1 is an error."""
        result = CliRunner().invoke(main, ['--seeds', '0'])
        self.assertEqual(result.exit_code, 2)
        self.assertIn('--seeds', result.output)
