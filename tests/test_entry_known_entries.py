"""When an entry holds quotas at cold targets, by what it knows of others."""

import unittest
from dataclasses import replace
from random import Random

import anyio

from tests.relaying import SETTINGS
from tests.virtual_loop import run_virtually
from trestledock.entry import EntryAnnouncements
from trestledock.entry._follower import Follower
from trestledock.entry._gossip import Gossip
from trestledock.entry._known_entries import LEASE_S, MARGIN_S, KnownEntries
from trestledock.entry._peer_addresses import PeerAddresses
from trestledock.entry._pool import Pool
from trestledock.entry._state import EntryState
from trestledock.entry._update_exchange import UpdateExchange
from trestledock.relay import ColdBounds, Member

BOUNDS = ColdBounds(1.5, 5)
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


class FakeDirectory:
    """A store in some epoch, without other entries."""

    def __init__(self, epoch, settled_epoch):
        self.epoch = epoch
        self.settled_epoch = settled_epoch

    async def read_peers(self):
        return EntryAnnouncements({}, self.epoch, self.settled_epoch)


class RestoredStoreTest(unittest.TestCase):
    """Guards against a list that lacks entries, as the store lost them."""

    def play(self, epoch, settled_epoch, bounds):
        """Return whether quotas are held before and after the second read."""

        async def main():
            settings = replace(SETTINGS, cold_bounds=bounds)
            state = EntryState(settings, 'entry-1#a', Random(1), None)
            exchange = UpdateExchange(state, Gossip(state))
            directory = FakeDirectory(epoch, settled_epoch)
            follower = Follower(state, directory, Pool(None), exchange)
            known = exchange.gossip.known_entries
            found = []
            for read in (
                follower.store_reader.update_peers,
                follower._complete_peers,
            ):
                await read()
                found.append(known.get(anyio.current_time()) is not None)
            return found

        return run_virtually(main)

    def test_complete_store(self):
        for epoch in (None, 1, 5):
            self.assertTrue(self.play(epoch, epoch, BOUNDS)[0])

    def test_restored_store(self):
        """It is read again at once, but not for entries without bounds."""
        self.assertEqual(self.play(5, 4, BOUNDS), [False, True])
        self.assertEqual(self.play(5, 4, None), [False, False])
