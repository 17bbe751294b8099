"""Each checker rejects a bad history and accepts a good one."""

import unittest

from nose2.tools import params

from trestledock.proof import CHECKERS, Event, EventType, read_lines
from trestledock.standin import get_token_text

T = EventType
ASKED = Event(0, T.invoked, 'e', 'r', 'k', number=2, text='s', limit=5)
TOKENS = tuple(
    Event(1, T.chunk, 'e', 'r', number=index, text=get_token_text('s', index))
    for index in range(2)
)
ANSWERED = Event(2, T.outcome, 'e', 'r', text='answered')
NOT_RUN = Event(2, T.outcome, 'e', 'r', text='not_run')
RAN = Event(1, T.ran, 's', 'r', 'k')
ACCEPTED = Event(1, T.published, 'e', key='p', number=3, text='accepted')

GOOD = (ASKED, *TOKENS, ANSWERED, RAN, Event(1, T.version, 'e', number=3))
BAD = (
    ('in_time', (ASKED,)),
    ('in_time', (ASKED, ANSWERED, ANSWERED)),
    ('in_time', (ASKED, Event(9, T.outcome, 'e', 'r', text='failed'))),
    ('memory', (Event(9, T.memory, 'engine', number=7),)),
    ('whole', (ASKED, TOKENS[0], ANSWERED)),
    ('whole', (ASKED, TOKENS[1], TOKENS[0], ANSWERED)),
    ('whole', (ASKED, Event(1, T.chunk, 'e', 'r', text='x'), ANSWERED)),
    ('not_run', (ASKED, RAN, NOT_RUN)),
    ('not_run', (ASKED, Event(1, T.ran, 's', 'other', 'k'), NOT_RUN)),
    ('at_most_once', (RAN, Event(3, T.ran, 's', 'r2', 'k'))),
    (
        'leaving',
        (Event(0, T.leaving, key='t'), Event(6, T.sent, 'e', 'r', 't')),
    ),
    (
        'shutdown',
        (Event(0, T.shutdown, 'e'), Event(1, T.broken, 'e', 'r')),
    ),
    (
        'versions',
        (Event(0, T.version, 'e', number=3), Event(1, T.version, 'e')),
    ),
    ('versions', (Event(0, T.version, 'e', number=0), ACCEPTED)),
    ('versions', (ACCEPTED, Event(1, T.published, key='q', text='accepted'))),
    (
        'orders',
        (
            Event(0, T.order, 'e', key='t', number=4),
            Event(1, T.order, 'f', key='t', number=3),
        ),
    ),
)


class Checkers(unittest.TestCase):
    @params(*range(len(BAD)))
    def test_bad_history(self, number):
        promise, events = BAD[number]
        self.assertTrue(CHECKERS[promise](list(events)), promise)

    @params(*CHECKERS)
    def test_good_history(self, promise):
        self.assertEqual(CHECKERS[promise](list(GOOD)), [])

    def test_every_checker_has_a_bad_history(self):
        self.assertEqual({name for name, _ in BAD}, set(CHECKERS))

    def test_lines_and_back(self):
        lines = [event.to_line() for event in GOOD]
        self.assertEqual(read_lines(lines), list(GOOD))
