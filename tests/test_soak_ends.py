"""The soak's view of how answers end, on ledgers and on its fake server."""

import unittest
from random import Random

from tests.soak.checks import run_checks
from tests.soak.ends import draw_cut
from tests.soak.ledger import Change
from tests.soak.serving import Close, Reset
from tests.test_soak_checks import (
    BOOKING,
    CUT_ONCE,
    STREAM,
    make_ledger,
    make_request,
    make_run,
)


def make_short(**fields):
    """Return a stream without framing that a close has ended early."""
    defaults = {
        'whole': False,
        'is_framed': False,
        'is_closed': True,
        'last_event': 1,
    }
    return make_request(STREAM, **{**defaults, **fields})


class FramingTest(unittest.TestCase):
    """Which answers may have neither a length nor chunks, and be short."""

    def check(self, request, *runs):
        """Return the violations of the framing."""
        ledger = make_ledger(request, *runs)
        return [
            line for line in run_checks(ledger) if line.startswith('framing')
        ]

    def test_whole_answer_of_a_target_that_closes(self):
        request = make_request(STREAM, is_framed=False, is_closed=True)
        self.assertEqual(
            self.check(request, make_run(STREAM, is_framed=False)), []
        )

    def test_short_answer_that_nothing_tells(self):
        run = make_run(STREAM, is_framed=False, cut=Close.__name__)
        self.assertEqual(self.check(make_short(), run), [])

    # Guards against a check that excuses answers cut by a reset, a crash, or
    # before their length or last chunk.
    def test_short_answers_that_something_tells(self):
        for fields in (
            {'is_framed': False},
            {'is_framed': False, 'cut': Reset.__name__},
            {'cut': Close.__name__},
        ):
            with self.subTest(fields=fields):
                found = self.check(make_short(), make_run(STREAM, **fields))
                self.assertIn('framing: r1 ended short after 1 runs', found)

    def test_last_run_at_a_target_that_leaves(self):
        """Its end tells nothing, but a first run leaves another one."""
        run = make_run(STREAM, is_framed=False)
        for runs, count in (((run,), 1), ((run, run), 0)):
            ledger = make_ledger(make_short(), *runs)
            ledger.changes.append(Change('leaving', run.target, 10))
            found = [one for one in run_checks(ledger) if 'framing' in one]
            self.assertEqual(len(found), count)

    def test_framing_that_no_target_gave(self):
        request = make_request(BOOKING, is_framed=False, is_closed=True)
        self.assertEqual(
            self.check(request, make_run(BOOKING)),
            ['framing: r2 got neither a length nor chunks'],
        )

    def test_framed_answer_with_an_unproven_end(self):
        """A framed answer may be cut if it is resumed without framing."""
        request = make_request(STREAM, whole=False)
        runs = [
            make_run(STREAM, began_at=10, cut=Reset.__name__),
            make_run(STREAM, began_at=10.5, is_framed=False),
        ]
        self.assertEqual(run_checks(make_ledger(request, *runs)), [])
        self.assertIn(
            CUT_ONCE, run_checks(make_ledger(request, make_run(STREAM)))
        )


class DrawTest(unittest.TestCase):
    """Where answers are cut."""

    def test_each_way(self):
        """Cuts end by a close and by a reset, inside a piece and after one."""
        rng = Random(1)
        cuts = [draw_cut(rng, 0.5) for _ in range(200)]
        drawn = {(cut.ending, cut.ends_piece) for cut in cuts if cut}
        self.assertEqual(len(drawn), 4)
        self.assertIn(None, cuts)
