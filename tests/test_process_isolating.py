"""What instances of the own interface tell one another of deadly requests."""

import unittest
from random import Random

from trestledock.process import Identity, Policy, Timing
from trestledock.process._actions import SendToPeer
from trestledock.process._isolating import (
    is_quarantined,
    note_answered,
    note_end,
    take_ends,
    tell_new_peer,
    try_again,
)
from trestledock.process._live import Live
from trestledock.process._state import State
from trestledock.process._targets import PeerInfo, TargetInfo
from trestledock.request import Kind, Request

REQ = Request('r1', 'kiosks', Kind.call, 9, fingerprint='f')
TARGETS = tuple(TargetInfo(f't{one}', f'a:{one}', 'x') for one in range(3))
TRIAL_S = 10


def make_instance(number):
    """Return an instance that knows all targets, and one other instance."""
    identity = Identity(f'entry-{number}', '0001', 'dc')
    state = State(identity, Timing(), Policy(), Random(number))
    state.fleet.take_targets(TARGETS, 0)
    other = 1 - number
    state.fleet.hear_peer(PeerInfo(f'entry-{other}', '0001', 'b', 'dc'), 0)
    return state


def make_live():
    return Live(REQ, 0, pool='')


def take_told(state):
    """Return what an instance has told, once."""
    told = [one.payload for one in state.out if isinstance(one, SendToPeer)]
    state.out.clear()
    return told


def see_ends(state):
    """Let a request end all targets at an instance; return what it tells."""
    for target in TARGETS:
        note_end(state, make_live(), target.name, 1)
    return take_told(state)


class IsolatingTest(unittest.TestCase):
    """Ends, answers and trials among two instances."""

    def setUp(self):
        self.one, self.other = map(make_instance, (0, 1))

    def tell(self, ends):
        for one in ends:
            take_ends(self.other, one, 2)

    def test_ends_are_told(self):
        self.tell(see_ends(self.one))
        self.assertTrue(is_quarantined(self.other, make_live()))

    def test_new_peer_is_told_once(self):
        see_ends(self.one)
        peer = self.one.fleet.peers['entry-1#0001']
        for _ in range(2):
            tell_new_peer(self.one, peer, 3)
        told = take_told(self.one)
        self.assertEqual(len(told), 1)
        self.tell(told)
        self.assertTrue(is_quarantined(self.other, make_live()))

    def test_answer_is_told(self):
        """Else the other would go on refusing what one of them answers."""
        ends = see_ends(self.one)
        self.tell(ends)
        note_answered(self.one, REQ, 3)
        self.tell(take_told(self.one))
        self.assertFalse(is_quarantined(self.other, make_live()))
        self.tell(ends)
        self.assertFalse(is_quarantined(self.other, make_live()))

    def test_one_of_them_tries_again(self):
        self.tell(see_ends(self.one))
        found = []
        for state in (self.one, self.other):
            for at in (TRIAL_S, 2 + TRIAL_S, 3 + TRIAL_S):
                live = make_live()
                try_again(state, live, at)
                found.append(live.is_trial)
        self.assertEqual(sum(found), 1)

    def test_unknown_request_is_not_blamed(self):
        live = Live(Request('r2', 'kiosks', Kind.call, 9), 0, pool='')
        for target in TARGETS:
            note_end(self.one, live, target.name, 1)
        self.assertFalse(is_quarantined(self.one, live))
        self.assertEqual(take_told(self.one), [])
