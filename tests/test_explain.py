"""The story of one request from the logs of several entries."""

import unittest

from click.testing import CliRunner

from trestledock.cli import main

LOG = """
e1 {"asctime": "10:00:01", "message": "admitted", "req": "r1", "team": "a"}
e1 {"asctime": "10:00:03", "message": "repeated", "req": "r1", "peer": "t1"}
e2 {"asctime": "10:00:02", "message": "admitted", "req": "r2", "team": "b"}
e1 {"asctime": "10:00:02", "message": "target_suspected", "peer": "t1"}
e1 {"asctime": "10:00:09", "message": "target_suspected", "peer": "t1"}
not a line of ours
e1 {broken
"""


class ExplainTest(unittest.TestCase):
    """What is printed, and what is left out."""

    def explain(self, req_id):
        return CliRunner().invoke(main, ['explain', req_id], input=LOG)

    def test_story(self):
        """The lines of a request and of its targets meanwhile, in order."""
        found = self.explain('r1')
        words = [line.split()[2] for line in found.output.splitlines()]
        self.assertEqual(words, ['admitted', 'target_suspected', 'repeated'])

    def test_unknown_request(self):
        """An id that is in no line is an error."""
        found = self.explain('r9')
        self.assertEqual(found.exit_code, 2)
        self.assertIn('no line of r9', found.output)
