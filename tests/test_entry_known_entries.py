"""When an entry holds quotas at cold targets, by what it knows of others."""

import unittest

from trestledock.entry._known_entries import LEASE_S, MARGIN_S, KnownEntries
from trestledock.entry._peer_addresses import PeerAddresses
from trestledock.relay import Member

OWN, OTHER, THIRD = (('127.0.0.1', number) for number in (1, 2, 3))


class KnownEntriesTest(unittest.TestCase):
    """One entry that starts beside another one."""

    def setUp(self):
        self.addresses = PeerAddresses(OWN, 'dc')
        self.known = KnownEntries(Member('127.0.0.1:1', 'dc'), self.addresses)

    def list_at(self, now, *addresses):
        self.addresses.add_addresses(addresses, now)
        self.known.record_list(now, now)

    def get_since(self, now):
        known = self.known.get(now)
        return known and known.since

    def test_before_the_list_is_read(self):
        """Guards against an entry that takes itself for the only one."""
        self.addresses.record_address(OTHER, 'dc', 1)
        self.assertIsNone(self.known.get(2))

    def test_after_all_were_heard(self):
        """They send messages to those only that they know."""
        self.list_at(1, OTHER)
        self.assertIsNone(self.known.get(2))
        self.addresses.record_address(OTHER, 'dc', 3)
        self.assertEqual(self.get_since(4), 3)

    def test_beside_a_silent_entry(self):
        """It may be cut off, and hold quotas until it must read the list."""
        self.list_at(1, OTHER)
        waited_at = 1 + LEASE_S + MARGIN_S
        self.list_at(200, OTHER)
        self.assertIsNone(self.known.get(waited_at - 0.1))
        self.assertEqual(self.get_since(waited_at), waited_at)

    def test_without_the_store(self):
        """Guards against an entry that never learns of newer ones."""
        self.list_at(1)
        self.assertEqual(self.get_since(1 + LEASE_S), 1)
        self.assertIsNone(self.known.get(2 + LEASE_S))
        self.list_at(2 * LEASE_S)
        self.assertEqual(self.get_since(2 * LEASE_S), 2 * LEASE_S)

    def test_another_entry_appears(self):
        """Its holders change, also if all that happens at one instant."""
        self.list_at(1)
        self.assertEqual(self.known.get(1).others, ())
        self.addresses.record_address(OTHER, 'dc', 1)
        self.addresses.add_addresses([THIRD], 5)
        known = self.known.get(6)
        self.assertEqual(
            [member.data_centre for member in known.others], ['dc', '']
        )
        self.assertEqual(known.since, 5)
