"""Tests of the quarantine shared by instances of the own interface."""

import unittest
from random import Random

from trestledock.process import Identity, Policy, Timing
from trestledock.process._actions import SendToPeer
from trestledock.process._live_request import LiveRequest
from trestledock.process._quarantining import (
    is_quarantined,
    merge_crashes,
    record_completion,
    record_crash,
    send_quarantine,
    start_due_probe,
)
from trestledock.process._state import State
from trestledock.process._targets import PeerInfo, TargetInfo
from trestledock.request import Kind, Request

REQ = Request('r1', 'kiosks', Kind.call, 9, fingerprint='f')
TARGETS = tuple(
    TargetInfo(f't{number}', f'a:{number}', 'x') for number in range(3)
)
PROBE_S = 10


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


def pop_payloads(state):
    """Remove and return the payloads that an instance has sent."""
    payloads = [
        action.payload
        for action in state.actions
        if isinstance(action, SendToPeer)
    ]
    state.actions.clear()
    return payloads


def crash_targets(state):
    """Record a crash of every target; return the payloads about it."""
    for target in TARGETS:
        record_crash(state, make_live(), target.name, 1)
    return pop_payloads(state)


class IsolatingTest(unittest.TestCase):
    """Crashes, completed requests and probes at two instances."""

    def setUp(self):
        self.one, self.other = map(make_instance, (0, 1))

    def send(self, payloads):
        for payload in payloads:
            merge_crashes(self.other, payload, 2)

    def test_crashes_are_sent(self):
        self.send(crash_targets(self.one))
        self.assertTrue(is_quarantined(self.other, make_live()))

    def test_new_peer_gets_the_quarantine_once(self):
        crash_targets(self.one)
        peer = self.one.fleet.peers['entry-1#0001']
        for _ in range(2):
            send_quarantine(self.one, peer, 3)
        payloads = pop_payloads(self.one)
        self.assertEqual(len(payloads), 1)
        self.send(payloads)
        self.assertTrue(is_quarantined(self.other, make_live()))

    def test_completion_is_sent(self):
        """Otherwise the other instance would refuse a request that works."""
        crashes = crash_targets(self.one)
        self.send(crashes)
        record_completion(self.one, REQ, 3)
        self.send(pop_payloads(self.one))
        self.assertFalse(is_quarantined(self.other, make_live()))
        self.send(crashes)
        self.assertFalse(is_quarantined(self.other, make_live()))

    def test_one_instance_probes(self):
        self.send(crash_targets(self.one))
        probes = []
        for state in (self.one, self.other):
            for at in (PROBE_S, 2 + PROBE_S, 3 + PROBE_S):
                live = make_live()
                start_due_probe(state, live, at)
                probes.append(live.is_trial)
        self.assertEqual(sum(probes), 1)

    def test_request_without_fingerprint_is_not_suspected(self):
        live = LiveRequest(Request('r2', 'kiosks', Kind.call, 9), 0, pool='')
        for target in TARGETS:
            record_crash(self.one, live, target.name, 1)
        self.assertFalse(is_quarantined(self.one, live))
        self.assertEqual(pop_payloads(self.one), [])
