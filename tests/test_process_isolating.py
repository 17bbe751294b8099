"""Tests of the quarantine shared by instances of the own interface."""

import unittest
from dataclasses import replace
from random import Random

from trestledock.process import Identity, Policy, Timing
from trestledock.process._actions import SendToPeer
from trestledock.process._live_request import LiveRequest
from trestledock.process._payloads import TargetEnds
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


def make_live_with_part(number):
    """Return a request that shares nothing but a part with others."""
    req = replace(REQ, fingerprint=f'f{number}', parts=('part:d',))
    return LiveRequest(req, 0, pool='')


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

    # Guards against new requests that crash one target after the other, since
    # they share a part of their prompts.
    def test_part_that_crashes_targets(self):
        """Each request has a fingerprint and targets of its own."""
        payloads = []
        for number in range(5):
            target = TargetInfo(f'p{number}', f'b:{number}', 'x')
            self.one.fleet.merge_targets((target,), 0)
            live = make_live_with_part(number)
            self.assertFalse(is_quarantined(self.one, live))
            record_crash(self.one, live, target.name, number)
            payloads.extend((number, sent) for sent in pop_payloads(self.one))
        self.assertTrue(is_quarantined(self.one, make_live_with_part(9)))
        for at, payload in payloads:
            merge_crashes(self.other, payload, at)
        self.assertTrue(is_quarantined(self.other, make_live_with_part(9)))
        self.assertFalse(is_quarantined(self.other, make_live()))

    def test_new_peer_blames_the_part(self):
        """The crashes that it is sent keep their times."""
        for number in range(5):
            merge_crashes(
                self.one, TargetEnds('part:d', (f't{number}',)), number
            )
        peer = self.one.fleet.peers['entry-1#0001']
        send_quarantine(self.one, peer, 9)
        self.send(pop_payloads(self.one))
        self.assertTrue(is_quarantined(self.other, make_live_with_part(9)))

    def test_request_without_fingerprint_is_not_suspected(self):
        live = LiveRequest(Request('r2', 'kiosks', Kind.call, 9), 0, pool='')
        for target in TARGETS:
            record_crash(self.one, live, target.name, 1)
        self.assertFalse(is_quarantined(self.one, live))
        self.assertEqual(pop_payloads(self.one), [])
