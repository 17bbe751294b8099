"""What makes two attempts the same request."""

import unittest
from dataclasses import replace
from random import Random

from tests.relaying import HOST, SETTINGS, make_route
from trestledock.entry._admission import admit
from trestledock.entry._state import EntryState
from trestledock.relay import Body, Call, Catalog, Service, TeamKey

CALL = Call(
    'r1', 'POST', '/p/7', '?a=1', HOST, (), Body.from_bytes(b'text'), 5, key='k'
)
KEYS = {'k': TeamKey('kiosks'), 'new': TeamKey('kiosks'), 'o': TeamKey('desk')}


def get_fingerprint(call):
    """Return the fingerprint with which an entry admits a call."""
    state = EntryState(SETTINGS, 'e#a', Random(1), None)
    state.catalog = Catalog(
        1, {HOST: (make_route(),)}, {'svc': Service('svc')}, KEYS
    )
    state.proof.renew(0)
    return admit(state, call, 1).fingerprint


class FingerprintTest(unittest.TestCase):
    """Repeats share it, and nothing else does."""

    def test_a_repeat_shares_it(self):
        """Id, time, key and event of an attempt are its own."""
        again = replace(
            CALL, req_id='r2', arrived_at=90, key='new', resume_after='4'
        )
        self.assertEqual(get_fingerprint(again), get_fingerprint(CALL))

    def test_another_request_does_not(self):
        """Each thing that a target works by counts, and where it stands."""
        others = [
            replace(CALL, method='PUT'),
            replace(CALL, key='o'),
            replace(CALL, path='/p/8'),
            replace(CALL, query=''),
            replace(CALL, body=Body.from_bytes(b'text2')),
            replace(CALL, path='/p/7?a', query='=1'),
        ]
        found = {get_fingerprint(one) for one in (CALL, *others)}
        self.assertEqual(len(found), len(others) + 1)
