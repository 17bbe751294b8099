"""Admission: the check on arrival, and the recheck before each attempt."""

import unittest
from dataclasses import replace
from random import Random

from tests.relaying import HOST, KEY, SETTINGS, make_route
from trestledock.entry._admission import admit, recheck
from trestledock.entry._job import Refusal
from trestledock.entry._state import EntryState
from trestledock.relay import Body, Call, Catalog, Service, TeamKey

CALL = Call('r1', 'GET', '/p/x', '', HOST, (), Body(), arrived_at=10, key=KEY)


def make_state(route):
    state = EntryState(SETTINGS, 'e#a', Random(1), None)
    state.catalog = Catalog(
        1, {HOST: (route,)}, {'svc': Service('svc')}, {KEY: TeamKey('kiosks')}
    )
    state.proof.renew(asked_at=9)
    return state


class AdmissionTest(unittest.TestCase):
    """Requests with keys, on arrival and later."""

    def test_proof_counts_on_arrival(self):
        """A request with a proven key may continue during a store outage."""
        state = make_state(make_route())
        job = admit(state, CALL, now=10)
        self.assertIs(admit(state, CALL, now=30), Refusal.stale_proof)
        self.assertIsNone(recheck(state, job))

    def test_key_revoked_after_arrival(self):
        """A revoked key refuses a request that has not been sent."""
        state = make_state(make_route())
        job = admit(state, CALL, now=10)
        state.catalog = replace(state.catalog, version=2, keys={})
        self.assertIs(recheck(state, job), Refusal.unknown_key)

    def test_unknown_route_needs_a_proof(self):
        """Without a recent proof, an unknown route may be a new one."""
        state = make_state(make_route())
        call = replace(CALL, path='/other/')
        self.assertIs(admit(state, call, now=10), Refusal.no_route)
        self.assertIs(admit(state, call, now=30), Refusal.stale_proof)

    def test_no_configuration(self):
        """An entry without a configuration answers 503, not 404."""
        state = make_state(make_route())
        state.catalog = None
        self.assertIs(admit(state, CALL, now=10), Refusal.no_configuration)
