"""Which data centres an instance takes for evacuated, and its targets there."""

import unittest
from dataclasses import replace

from tests.relaying import make_listed
from trestledock.relay import EvacuationList, Evacuations, Fleet, Standing

NOBODY = frozenset()
ONE, TWO = frozenset('a'), frozenset('ab')


class ListTest(unittest.TestCase):
    """Lists that arrive late, or from a copy of the store that lacks some."""

    def setUp(self):
        self.known = Evacuations()
        self.known.apply(EvacuationList(ONE, as_of=10, latest_at=10.2))

    def apply(self, names, as_of, *, is_complete=True):
        found = EvacuationList(names, as_of, as_of + 0.2, is_complete)
        return self.known.apply(found), self.known.names

    def test_newer_list_replaces(self):
        """Guards against an evacuation that never ends."""
        self.assertEqual(self.apply(NOBODY, 10.3), (True, NOBODY))

    def test_list_that_may_be_older(self):
        """Guards against the list of an entry that stood still.

        It would end an evacuation that it has not heard of.
        """
        for as_of in (5, 10, 10.1):
            self.assertEqual(self.apply(NOBODY, as_of), (False, ONE))

    def test_restored_copy_ends_nothing(self):
        """Guards against requests until the operator has written again."""
        copy = {'is_complete': False}
        self.assertEqual(self.apply(NOBODY, 11, **copy), (True, ONE))
        self.assertEqual(self.apply(frozenset('b'), 12, **copy), (True, TWO))
        self.assertEqual(self.apply(NOBODY, 13), (True, NOBODY))

    def test_older_knowledge_completes_a_copy(self):
        """Guards against an entry that starts after a restore.

        Its own read is newer than what others know, and lacks the record.
        """
        self.known = Evacuations()
        self.apply(NOBODY, 20, is_complete=False)
        self.assertEqual(self.apply(ONE, 15), (False, ONE))

    def test_completeness_is_a_change(self):
        """Guards against followers that keep what a restore has lost.

        They fetch the list again only when its revision has changed.
        """
        self.apply(ONE, 11, is_complete=False)
        before = self.known.revision
        self.apply(ONE, 12)
        self.assertGreater(self.known.revision, before)
        before = self.known.revision
        self.apply(ONE, 13)
        self.assertEqual(self.known.revision, before)


class FleetTest(unittest.TestCase):
    """Targets of evacuated data centres."""

    def setUp(self):
        self.fleet = Fleet()
        for number, place in enumerate('abb'):
            listed = replace(make_listed(number, 80), data_centre=place)
            self.fleet.put(listed)

    def evacuate(self, *names):
        found = EvacuationList(frozenset(names), 1, 1)
        self.fleet.evacuations = Evacuations()
        self.fleet.evacuations.apply(found)

    def get_usable(self):
        usable = [one.target_id for one in self.fleet.get_usable('svc')]
        checked = [name for name in self.fleet.targets if self.is_usable(name)]
        self.assertEqual(usable, checked)
        return usable

    def is_usable(self, name):
        return self.fleet.is_usable(name)

    def test_targets_are_left_out(self):
        """Guards against requests there; an unknown name has no effect."""
        self.evacuate('b')
        self.assertEqual(self.get_usable(), ['t0'])
        self.evacuate('elsewhere')
        self.assertEqual(self.get_usable(), ['t0', 't1', 't2'])

    def test_only_evacuated_targets_are_left(self):
        """Guards against a wait for targets that won't be back soon.

        Targets that drain don't count, and neither does a service without any.
        """
        self.evacuate('b')
        self.assertFalse(self.fleet.are_all_evacuated('svc'))
        draining = replace(
            make_listed(0, 80),
            data_centre='a',
            standing=Standing.draining,
            sequence=1,
        )
        self.fleet.put(draining)
        self.assertTrue(self.fleet.are_all_evacuated('svc'))
        self.assertFalse(self.fleet.are_all_evacuated('other'))
