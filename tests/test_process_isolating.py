"""What instances of the own interface tell one another of deadly requests."""

import unittest
from random import Random

from trestledock.process import Identity, Policy, Timing
from trestledock.process._actions import ToPeer
from trestledock.process._isolating import (
    is_quarantined,
    record_answer,
    record_crash,
    merge_crashes,
    send_quarantine,
    start_due_probe,
)
from trestledock.process._live import LiveRequest
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
    state.fleet.merge_targets(TARGETS, 0)
    other = 1 - number
    state.fleet.record_heartbeat(
        PeerInfo(f'entry-{other}', '0001', 'b', 'dc'), 0
    )
    return state


def make_live():
    return LiveRequest(REQ, 0, pool='')


def take_told(state):
    """Return what an instance has told, once."""
    told = [one.payload for one in state.actions if isinstance(one, ToPeer)]
    state.actions.clear()
    return told


def see_ends(state):
    """Let a request end all targets at an instance; return what it tells."""
    for target in TARGETS:
        record_crash(state, make_live(), target.name, 1)
    return take_told(state)


class IsolatingTest(unittest.TestCase):
    """Ends, answers and trials among two instances."""

    def setUp(self):
        self.one, self.other = map(make_instance, (0, 1))

    def tell(self, ends):
        for one in ends:
            merge_crashes(self.other, one, 2)

    def test_ends_are_told(self):
        self.tell(see_ends(self.one))
        self.assertTrue(is_quarantined(self.other, make_live()))

    def test_new_peer_is_told_once(self):
        see_ends(self.one)
        peer = self.one.fleet.peers['entry-1#0001']
        for _ in range(2):
            send_quarantine(self.one, peer, 3)
        told = take_told(self.one)
        self.assertEqual(len(told), 1)
        self.tell(told)
        self.assertTrue(is_quarantined(self.other, make_live()))

    def test_answer_is_told(self):
        """Else the other would go on refusing what one of them answers."""
        ends = see_ends(self.one)
        self.tell(ends)
        record_answer(self.one, REQ, 3)
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
                start_due_probe(state, live, at)
                found.append(live.is_trial)
        self.assertEqual(sum(found), 1)

    def test_unknown_request_is_not_blamed(self):
        live = LiveRequest(Request('r2', 'kiosks', Kind.call, 9), 0, pool='')
        for target in TARGETS:
            record_crash(self.one, live, target.name, 1)
        self.assertFalse(is_quarantined(self.one, live))
        self.assertEqual(take_told(self.one), [])
