"""What makes two attempts the same request."""

import unittest
from dataclasses import replace

from trestledock.relay import Body, Call, get_fingerprint

CALL = Call(
    'r1', 'POST', '/notes/7', '?a=1', 'a.example', (), Body.of(b'text'), 5
)
TEAM = 'kiosks'


class FingerprintTest(unittest.TestCase):
    """Repeats share it, and nothing else does."""

    def test_a_repeat_shares_it(self):
        """Id, time, key and event of an attempt are its own."""
        again = replace(
            CALL, req_id='r2', arrived_at=90, key='new', resume_after='4'
        )
        self.assertEqual(
            get_fingerprint(again, TEAM), get_fingerprint(CALL, TEAM)
        )

    def test_another_request_does_not(self):
        """Each thing that a target works by counts, and where it stands."""
        others = [
            replace(CALL, method='PUT'),
            replace(CALL, host='b.example'),
            replace(CALL, path='/notes/8'),
            replace(CALL, query=''),
            replace(CALL, body=Body.of(b'text2')),
            replace(CALL, path='/notes/7?a', query='=1'),
        ]
        found = {get_fingerprint(one, TEAM) for one in (CALL, *others)}
        found.add(get_fingerprint(CALL, 'desk'))
        self.assertEqual(len(found), len(others) + 2)
