"""`explain` prints the log lines of one request from several entries."""

import unittest

from click.testing import CliRunner

from trestledock.cli import main

LOG = """
e1 {"asctime": "10:00:01", "message": "admitted", "req": "r1", "team": "a"}
e1 {"asctime": "10:00:03", "message": "repeated", "req": "r1", "peer": "t1"}
e2 {"asctime": "10:00:02", "message": "admitted", "req": "r2", "team": "b"}
e1 {"asctime": "10:00:02", "message": "target_suspected", "peer": "t1"}
e1 {"asctime": "10:00:09", "message": "target_suspected", "peer": "t1"}
e1 {"asctime": "10:00:04", "message": "foreign_answer", "req": "r3", \
"answer_req": "r4", "conn": 7}
e1 {"asctime": "10:00:05", "message": "answered", "req": "r4", "conn": 7}
e1 {"asctime": "10:00:06", "message": "order_answered", "peer": "t1", \
"reservation": "r4-1", "conn": 8}
not a JSON line
e1 {broken
"""


class ExplainTest(unittest.TestCase):
    """Tests which log lines are printed and which are omitted."""

    def run_explain(self, req_id):
        return CliRunner().invoke(main, ['explain', req_id], input=LOG)

    def test_related_lines(self):
        """Lines of the request and of its targets are sorted by time.

        Lines about a target after the last line of the request are omitted.
        """
        result = self.run_explain('r1')
        events = [line.split()[2] for line in result.output.splitlines()]
        self.assertEqual(events, ['admitted', 'target_suspected', 'repeated'])

    def test_unknown_request(self):
        """An id that no line contains is an error."""
        result = self.run_explain('r9')
        self.assertEqual(result.exit_code, 2)
        self.assertIn('no line of r9', result.output)

    # Guards against orders of a request, and copies of its answer that another
    # request met, that its explanation leaves out.
    def test_orders_and_copies(self):
        result = self.run_explain('r4')
        events = [line.split()[2] for line in result.output.splitlines()]
        self.assertEqual(
            events, ['foreign_answer', 'answered', 'order_answered']
        )
