"""Who of the other entries is heard, and what is known of them."""

import unittest

from trestledock.entry._peer_addresses import MAX_FULL_MESH
from trestledock.entry._peers import Peers
from trestledock.entry._messages import Flights


def hear(peers, name, *, place='dc', now=0.0, port=1):
    """Have an entry be heard."""
    word = Flights(name, 1, True, place, False, 0.1, 0.5, ())
    return peers.update(word, ('10.0.0.1', port), now)


class PeersTest(unittest.TestCase):
    """The entries that are heard."""

    def test_near_among_many(self):
        """Of many only those of the own data centre are near."""
        peers = Peers('dc')
        for number in range(MAX_FULL_MESH + 1):
            hear(peers, f'p{number}', place='other', port=number)
        hear(peers, 'near', port=99)
        self.assertEqual(peers.get_near(), ['near'])
        self.assertTrue(peers.is_near('near'))
        self.assertFalse(peers.is_near('p0'))

    def test_news_grow_old(self):
        """What was told is as old as it was, and older since."""
        peers = Peers('dc')
        hear(peers, 'a')
        found = next(peers.get_candidates(now=2))
        self.assertAlmostEqual(found.age_s, 2.1)
        peers.record_read('a', 0, now=3)
        self.assertEqual(next(peers.get_candidates(now=3)).age_s, 0)

    def test_next_process_at_an_address(self):
        """It takes the place of the one before it."""
        peers = Peers('dc')
        hear(peers, 'a#1')
        hear(peers, 'b#1', port=2)
        self.assertTrue(hear(peers, 'a#2'))
        self.assertEqual(peers.get_previous_at('a#2'), ['a#1'])
