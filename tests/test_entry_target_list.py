"""Records of one target in one read, in the order of the log."""

import unittest
from dataclasses import replace
from random import Random

import anyio

from tests.relaying import SETTINGS, make_listed
from trestledock.entry import StoreUpdate, TargetUpdate
from trestledock.entry._pool import Pool
from trestledock.entry._state import EntryState
from trestledock.entry._target_list import TargetListUpdater
from trestledock.relay import UNKNOWN_BIRTH

#: A removal among sequence numbers.
REMOVED = None


class RecordsTest(unittest.TestCase):
    """Whether a target is listed after a read."""

    def read(self, known, *sequences):
        """Apply one read; `known` is the target's last sequence before it."""

        async def main():
            state = EntryState(SETTINGS, 'entry-1#a', Random(1), None)
            if known is not None:
                state.fleet.put(replace(make_listed(1, 80), sequence=known))
            listing = TargetListUpdater(state, Pool(state.spawn))
            records = tuple(map(make_record, sequences))
            listing.apply(
                StoreUpdate(targets=records, as_of=anyio.current_time())
            )
            return state.fleet

        return anyio.run(main)

    def check(self, known, sequences, *, listed):
        fleet = self.read(known, *sequences)
        self.assertEqual('t1' in fleet.targets, listed)
        return fleet

    def test_heartbeats(self):
        self.check(3, (4, 5), listed=True)

    def test_removal(self):
        self.check(3, (4, REMOVED), listed=False)

    def test_late_record_after_the_removal(self):
        """It was written before the last known record, so it is outdated."""
        self.check(6, (REMOVED, 5), listed=False)
        self.check(3, (6, REMOVED, 5), listed=False)

    def test_duplicate_record_after_the_removal(self):
        """A duplicate of the last record does not list the target again."""
        self.check(3, (6, REMOVED, 6), listed=False)
        self.check(6, (REMOVED, 6), listed=False)

    def test_listed_again(self):
        """A record had lapsed, and a newer one follows."""
        self.check(3, (4, REMOVED, 5), listed=True)
        self.check(None, (4, REMOVED, 5), listed=True)

    def test_removal_that_is_long_past(self):
        """Other entries reported the return since; reading loses nothing."""
        fleet = self.check(9, (4, REMOVED, 7, 8, 9), listed=True)
        self.assertEqual(fleet.removed, {})

    def test_removal_keeps_the_newest_sequence(self):
        """Otherwise a known record would later count as new."""
        fleet = self.check(3, (7, REMOVED, 5), listed=False)
        self.assertEqual(fleet.removed, {'t1': (UNKNOWN_BIRTH, 7)})


def make_record(sequence):
    listed = sequence and replace(make_listed(1, 80), sequence=sequence)
    return TargetUpdate('t1', listed)
