"""Which entries are known as peers, and their recorded state."""

import unittest

from trestledock.entry._peer_addresses import MAX_FULL_MESH
from trestledock.entry._peers import Peers
from trestledock.entry._messages import Flights


def receive(peers, name, *, data_centre='dc', now=0.0, port=1):
    """Record a message of an entry."""
    message = Flights(name, 1, True, data_centre, False, 0.1, 0.5, ())
    return peers.update(message, ('10.0.0.1', port), now)


class PeersTest(unittest.TestCase):
    """Entries that messages have come from."""

    def test_near_among_many(self):
        """Among many only the entries of the own data centre are near."""
        peers = Peers('dc')
        for number in range(MAX_FULL_MESH + 1):
            receive(peers, f'p{number}', data_centre='other', port=number)
        receive(peers, 'near', port=99)
        self.assertEqual(peers.get_near(), ['near'])
        self.assertTrue(peers.is_near('near'))
        self.assertFalse(peers.is_near('p0'))

    def test_older_versions_are_asked_last(self):
        """Guards against a start that asks only who knows no evacuations.

        An entry that starts after a restore of the store asks few of many.
        """
        peers = Peers('dc')
        for number in range(5):
            receive(peers, f'p{number}', port=number)
            peers.known[f'p{number}'].sends_evacuations = number == 4
        self.assertEqual(peers.get_most_informed()[:2], ['p4', 'p0'])

    def test_age_of_peer_state(self):
        """The age of a peer's state grows until its next message."""
        peers = Peers('dc')
        receive(peers, 'a')
        found = next(peers.get_candidates(now=2))
        self.assertAlmostEqual(found.age_s, 2.1)
        peers.record_read('a', 0, now=3)
        self.assertEqual(next(peers.get_candidates(now=3)).age_s, 0)

    def test_new_process_at_known_address(self):
        """A new process replaces the earlier one at its address."""
        peers = Peers('dc')
        receive(peers, 'a#1')
        receive(peers, 'b#1', port=2)
        self.assertTrue(receive(peers, 'a#2'))
        self.assertEqual(peers.get_previous_at('a#2'), ['a#1'])
