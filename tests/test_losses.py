"""Where worth was lost, from the logs of several entries."""

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
    """Return a line as an entry writes it."""
    base = ADMITTED if message == 'admitted' else {'message': message}
    asctime = f'2026-01-01 10:00:{second:02},500'
    return json.dumps({**base, 'asctime': asctime, 'req': req, **fields})


def make_log(*ends):
    """Return a log of requests, one a second, each with its own lines."""
    lines = []
    for number, end in enumerate(ends):
        req = f'r{number}'
        lines.append(make_line(req, number, 'admitted'))
        lines.extend(
            make_line(req, number, message, **fields) for message, fields in end
        )
    return '\n'.join(['not a line of ours', *lines])


def answer(first_ms, longest_ms=50):
    return ('answered', {'first_ms': first_ms, 'longest_ms': longest_ms})


class LossesTest(unittest.TestCase):
    """What counts as lost, and why."""

    def run_losses(self, log):
        return CliRunner().invoke(main, ['losses'], input=log)

    def check(self, end, cause, lost):
        """A request that ends so is listed under a cause with its loss."""
        found = self.run_losses(make_log(end))
        self.assertEqual(found.exit_code, 0)
        rows = found.output.splitlines()
        row = next(one for one in rows if one.startswith(cause))
        self.assertEqual(row[len(cause) :].split(), ['1', lost])

    def test_causes(self):
        """Each way to lose worth has its cause."""
        ended = (
            'sending_ended',
            {'ending': 'lost', 'step': 'answer', 'peer': 't1'},
        )
        placed = ('placed', {'waited_ms': 10, 'predicted_ms': 100})
        for end, cause, lost in (
            ([placed, answer(400)], 'later than predicted', '1.5'),
            (
                [('placed', {'waited_ms': 200}), answer(400)],
                'late after waiting for a place',
                '1.5',
            ),
            (
                [
                    ('placed', {'waited_ms': 0, 'predicted_ms': 390}),
                    answer(400),
                ],
                'late as predicted',
                '1.5',
            ),
            ([ended, answer(900)], 'late after lost at answer', '1.5'),
            ([answer(100, 400)], 'pause', '1.5'),
            ([('refused', {'reason': 'no_time'})], 'refused: no_time', '2.0'),
            ([('cut', {'reason': 'failed'})], 'cut: failed', '2.0'),
            ([('caller_left', {})], 'its caller left', '2.0'),
            ([placed], 'no end in the logs: its entry ended', '2.0'),
        ):
            with self.subTest(cause=cause):
                self.check(end, cause, lost)

    def test_in_time(self):
        """What was in time is not listed."""
        found = self.run_losses(make_log([answer(200)]))
        self.assertIn('1 requests, worth 2.0', found.output)
        self.assertNotIn('1.5', found.output)

    def test_by_window_and_route(self):
        """Losses are added up by moment and by route."""
        late = [answer(400)]
        found = self.run_losses(make_log(late, late, late))
        rows = [' '.join(one.split()) for one in found.output.splitlines()]
        self.assertIn('10:00:00 2 3.0', rows)
        self.assertIn('10:00:02 1 1.5', rows)
        self.assertIn('r-1 3 4.5', rows)

    def test_nothing_found(self):
        """Logs without requests are an error."""
        found = self.run_losses('no log\n')
        self.assertEqual(found.exit_code, 2)
        self.assertIn('no admitted request in 0 lines', found.output)
