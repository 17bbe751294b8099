"""Which attempts count as the same request."""

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
    """Return the fingerprint that an entry computes for a call."""
    state = EntryState(SETTINGS, 'e#a', Random(1), None)
    state.catalog = Catalog(
        1, {HOST: (make_route(),)}, {'svc': Service('svc')}, KEYS
    )
    state.proof.renew(0)
    return admit(state, call, 1).fingerprint


class FingerprintTest(unittest.TestCase):
    """Retries share a fingerprint, and different requests don't."""

    def test_retry_has_same_fingerprint(self):
        """Id, time, key and last event of an attempt don't matter."""
        retry = replace(
            CALL, req_id='r2', arrived_at=90, key='new', resume_after='4'
        )
        self.assertEqual(get_fingerprint(retry), get_fingerprint(CALL))

    def test_other_requests_differ(self):
        """Each part that a target acts on counts, and so does its position."""
        others = [
            replace(CALL, method='PUT'),
            replace(CALL, key='o'),
            replace(CALL, path='/p/8'),
            replace(CALL, query=''),
            replace(CALL, body=Body.from_bytes(b'text2')),
            replace(CALL, path='/p/7?a', query='=1'),
        ]
        fingerprints = {get_fingerprint(call) for call in (CALL, *others)}
        self.assertEqual(len(fingerprints), len(others) + 1)
