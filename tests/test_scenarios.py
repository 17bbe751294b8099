"""Runs each scenario file on a virtual clock and checks every promise."""

import unittest
from pathlib import Path

from nose2.tools import params

from trestledock.connection._metrics import COUNTERS
from trestledock.proof import (
    ScenarioError,
    finish_run,
    read_scenario,
    run_scenario,
)

FOLDER = Path(__file__).parent.parent / 'scenarios'
NAMES = sorted(path.stem for path in FOLDER.glob('*.txt'))


class ScenarioFiles(unittest.TestCase):
    """No file in scenarios/ breaks a promise."""

    @params(*NAMES)
    def test_file(self, name):
        text = (FOLDER / f'{name}.txt').read_text()
        self.assertEqual(run_scenario(text), [])

    def test_same_verdict_each_time(self):
        text = 'fleet a:2:1:1\ntraffic call rate=9 from=9 until=12\nend 20'
        expect = f'{text}\nexpect answered call 1.1'
        self.assertEqual(run_scenario(expect), run_scenario(expect))
        self.assertEqual(len(run_scenario(expect)), 1)

    def test_every_counter_has_a_metric(self):
        text = (FOLDER / 'kill_instance.txt').read_text()
        run = read_scenario(text)
        finish_run(run)
        counted = {name for name, _ in run.world.counts}
        self.assertIn('taken_up_holds', counted)
        self.assertLessEqual(counted, set(COUNTERS))

    def test_calls_earn_retries(self):
        text = 'fleet a:1:1:1\ntraffic call rate=9 from=9 until=12\nend 8'
        run = read_scenario(text)
        run.world.run_until(8)
        budget = run.world.hosts['entry-a1'].node.state.get_budget('booking')
        for _ in range(99):
            budget.try_spend(8, instances=1)
        self.assertFalse(budget.has_budget(8, instances=1))
        run.world.run_until(14)
        self.assertTrue(budget.has_budget(14, instances=1))

    @params('fly 3', 'at 3 explode', 'traffic call', 'end soon')
    def test_unknown_words(self, line):
        with self.assertRaisesRegex(ScenarioError, 'line 1'):
            run_scenario(line)
