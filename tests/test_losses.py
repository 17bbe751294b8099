"""`losses` sums lost worth by cause, route and time from entry logs."""

import json
import unittest

from click.testing import CliRunner

from trestledock.cli import main

ADMITTED = {
    'message': 'admitted',
    'route': 'r-1',
    'objective_ms': 300,
    'pause_ms': 250,
    'worth': 2.0,
}


def make_line(req, second, message, **fields):
    """Return a log line in the format that an entry writes."""
    base = ADMITTED if message == 'admitted' else {'message': message}
    asctime = f'2026-01-01 10:00:{second:02},500'
    return json.dumps({**base, 'asctime': asctime, 'req': req, **fields})


def make_log(*ends):
    """Return a log with one request per second, each with its own lines."""
    lines = []
    for number, end in enumerate(ends):
        req = f'r{number}'
        lines.append(make_line(req, number, 'admitted'))
        lines.extend(
            make_line(req, number, message, **fields) for message, fields in end
        )
    return '\n'.join(['not a JSON line', *lines])


def make_answered(first_ms, longest_ms=50):
    return ('answered', {'first_ms': first_ms, 'longest_ms': longest_ms})


class LossesTest(unittest.TestCase):
    """Tests which requests lose worth and which cause is printed."""

    def run_losses(self, log):
        return CliRunner().invoke(main, ['losses'], input=log)

    def check(self, end, cause, lost):
        """Check that a request with these lines has this cause and loss."""
        result = self.run_losses(make_log(end))
        self.assertEqual(result.exit_code, 0)
        rows = result.output.splitlines()
        row = next(line for line in rows if line.startswith(cause))
        self.assertEqual(row[len(cause) :].split(), ['1', lost])

    def test_late_through_another_entry(self):
        """A late answer of a target that only another entry reaches."""
        sent = ('sent_through', {'via': 'entry-2', 'tunnel': 'entry-1-1'})
        self.check(
            [sent, make_answered(400)], 'late through another entry', '1.5'
        )

    def test_causes(self):
        """Each cause is printed with the worth that it lost."""
        failed_attempt = (
            'sending_ended',
            {'ending': 'lost', 'step': 'answer', 'peer': 't1'},
        )
        placed = ('placed', {'waited_ms': 10, 'predicted_ms': 100})
        for end, cause, lost in (
            ([placed, make_answered(400)], 'later than predicted', '1.5'),
            (
                [('placed', {'waited_ms': 200}), make_answered(400)],
                'late after waiting for a place',
                '1.5',
            ),
            (
                [
                    ('placed', {'waited_ms': 0, 'predicted_ms': 390}),
                    make_answered(400),
                ],
                'late as predicted',
                '1.5',
            ),
            (
                [failed_attempt, make_answered(900)],
                'late after lost at answer',
                '1.5',
            ),
            ([make_answered(100, 400)], 'pause', '1.5'),
            ([('refused', {'reason': 'no_time'})], 'refused: no_time', '2.0'),
            ([('cut', {'reason': 'failed'})], 'cut: failed', '2.0'),
            ([('caller_left', {})], 'its caller left', '2.0'),
            ([placed], 'no end in the logs: its entry ended', '2.0'),
        ):
            with self.subTest(cause=cause):
                self.check(end, cause, lost)

    def test_in_time(self):
        """A request that was answered in time is not listed."""
        result = self.run_losses(make_log([make_answered(200)]))
        self.assertIn('1 requests, worth 2.0', result.output)
        self.assertNotIn('1.5', result.output)

    def test_by_window_and_route(self):
        """Losses are summed by time window and by route."""
        late = [make_answered(400)]
        result = self.run_losses(make_log(late, late, late))
        rows = [' '.join(row.split()) for row in result.output.splitlines()]
        self.assertIn('10:00:00 2 3.0', rows)
        self.assertIn('10:00:02 1 1.5', rows)
        self.assertIn('r-1 3 4.5', rows)

    def test_nothing_found(self):
        """Logs without an admitted request are an error."""
        result = self.run_losses('no log\n')
        self.assertEqual(result.exit_code, 2)
        self.assertIn('no admitted request in 0 lines', result.output)
