"""The ablation: every mechanism has a row, with what it measured."""

import unittest
from dataclasses import fields, replace

from click.testing import CliRunner

from trestledock.bench.ablation import (
    ROWS,
    main,
    make_table,
    play_day,
)
from trestledock.relay import DEFAULT_POLICY


class RowsTest(unittest.TestCase):
    """What is switched off."""

    def test_every_mechanism_alone(self):
        """Each term is switched off in one row, with all others as they run."""
        changed = [
            [
                one.name
                for one in fields(DEFAULT_POLICY)
                if getattr(terms, one.name) != getattr(DEFAULT_POLICY, one.name)
            ]
            for _, terms in ROWS
        ]
        self.assertEqual(changed[0], [])
        self.assertEqual(
            sorted(name for names in changed for name in names),
            sorted(one.name for one in fields(DEFAULT_POLICY)),
        )
        self.assertTrue(all(len(names) == 1 for names in changed[1:]))


class TableTest(unittest.TestCase):
    """What is measured."""

    def test_difference_to_all(self):
        """The first row is the measure of the others, on the same seeds."""
        rows = (ROWS[0], ('no helpers', replace(DEFAULT_POLICY, helpers=False)))
        lines = list(make_table(2, rows, seconds=6.0))
        cells = [line.split(' | ') for line in lines[2:]]
        self.assertTrue(cells[0][-1].startswith('+0.000 ± 0.000'))
        self.assertTrue(cells[1][-1].startswith('-'))

    def test_helpers_matter(self):
        """Long prompts that no helper reads are late."""
        without = play_day(replace(DEFAULT_POLICY, helpers=False), 0, 6.0)
        self.assertGreater(
            play_day(DEFAULT_POLICY, 0, 6.0).whole, without.whole + 0.05
        )

    def test_bad_option(self):
        """A count of seeds that makes no sense is an error."""
        found = CliRunner().invoke(main, ['--seeds', '0'])
        self.assertEqual(found.exit_code, 2)
        self.assertIn('--seeds', found.output)
