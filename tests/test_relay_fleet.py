"""What the directory's entries mean for new work."""

import unittest

from trestledock.relay import Fleet, ListedTarget, Standing


def make_target(number, standing=Standing.ready, sequence=1):
    return ListedTarget(
        f't{number}', 's', f'10.0.0.{number}:80', 'dc', standing, 8, sequence
    )


def make_fleet():
    """Return a fleet that has followed the directory until now, at 0 s."""
    fleet = Fleet()
    fleet.watch.record_read(0, 0)
    fleet.watch.resumed_at = float('-inf')
    fleet.put(make_target(1))
    fleet.put(make_target(2))
    return fleet


def get_ids(fleet):
    return [one.target_id for one in fleet.get_usable('s')]


def drop(fleet, name, now):
    """Drop a target by what the fleet knows of the directory."""
    return fleet.record_removal(name, fleet.watch.grace_end, now)


def disturb(fleet, began_at, ended_at):
    """Have the directory be asked in vain until a read at `ended_at`."""
    fleet.watch.record_failure(began_at)
    fleet.watch.record_read(ended_at, ended_at)


class RecordTest(unittest.TestCase):
    """Records of a target, in order and late."""

    def test_leaving_is_final(self):
        """A target that was leaving stays out, whatever is read later."""
        fleet = make_fleet()
        fleet.put(make_target(1, Standing.leaving, 2))
        fleet.put(make_target(1, Standing.ready, 3))
        self.assertEqual(get_ids(fleet), ['t2'])

    def test_old_record_changes_nothing(self):
        """Records that arrive late don't bring back what was."""
        fleet = make_fleet()
        fleet.put(make_target(1, sequence=9))
        self.assertFalse(fleet.put(make_target(1, sequence=3)))

    def test_old_record_brings_nothing_back(self):
        """A heartbeat that is written after the removal is not a return."""
        fleet = make_fleet()
        fleet.put(make_target(1, sequence=9))
        drop(fleet, 't1', 0.5)
        for sequence in (3, 9):
            self.assertFalse(fleet.put(make_target(1, sequence=sequence)))
        self.assertEqual(get_ids(fleet), ['t2'])

    def test_newer_record_is_a_return(self):
        """A target whose entry had lapsed writes a newer one."""
        fleet = make_fleet()
        drop(fleet, 't1', 0.5)
        self.assertTrue(fleet.put(make_target(1, sequence=2)))
        self.assertEqual(set(get_ids(fleet)), {'t1', 't2'})


class MissingTest(unittest.TestCase):
    """Entries that vanish."""

    def test_missing_in_calm_is_gone(self):
        """An entry that vanishes while all is calm is gone at once."""
        fleet = make_fleet()
        fleet.watch.record_read(0.5, 0.5)
        self.assertTrue(drop(fleet, 't2', 0.5))
        self.assertEqual(get_ids(fleet), ['t1'])

    def test_missing_after_an_outage_may_come_back(self):
        """After an outage a missing entry counts for about two seconds."""
        fleet = make_fleet()
        disturb(fleet, 8.6, 9)
        self.assertFalse(drop(fleet, 't2', 9))
        self.assertEqual(get_ids(fleet), ['t1', 't2'])
        self.assertEqual(fleet.expire_retained(10), [])
        self.assertEqual(fleet.expire_retained(11.3), ['t2'])
        self.assertEqual(get_ids(fleet), ['t1'])

    def test_missing_after_a_mere_gap_is_gone(self):
        """A list that came late, though nobody asked in vain, is no outage.

        The gap and the time for which entries are held would add up to more
        than a target may take to be left alone.
        """
        fleet = make_fleet()
        fleet.watch.record_read(2.5, 2.5)
        self.assertTrue(drop(fleet, 't2', 2.5))

    def test_one_failed_read_is_no_outage(self):
        """A read that fails once, between two that don't, changes nothing."""
        fleet = make_fleet()
        disturb(fleet, 0.4, 0.8)
        self.assertTrue(drop(fleet, 't2', 0.8))

    def test_missing_at_a_settled_instance_is_gone(self):
        """Who followed the directory all the while knows better."""
        fleet = make_fleet()
        disturb(fleet, 8.6, 9)
        self.assertTrue(fleet.record_removal('t2', 9.1, 9.1))
        self.assertEqual(get_ids(fleet), ['t1'])

    def test_back_after_an_outage(self):
        """An entry that comes back in time was never away."""
        fleet = make_fleet()
        disturb(fleet, 8.6, 9)
        drop(fleet, 't2', 9)
        fleet.put(make_target(2, sequence=2))
        self.assertEqual(fleet.expire_retained(20), [])

    def test_back_with_the_same_record(self):
        """What is listed again is held no longer, and others are told."""
        fleet = make_fleet()
        disturb(fleet, 8.6, 9)
        drop(fleet, 't2', 9)
        revision = fleet.revision
        fleet.put(make_target(2))
        self.assertEqual(len(list(fleet.get_listed())), 2)
        self.assertGreater(fleet.revision, revision)


class HeldTest(unittest.TestCase):
    """Targets that are missing but may have lapsed."""

    def test_held_is_not_listed(self):
        """Others are told that it is missing, and that this is new."""
        fleet = make_fleet()
        revision = fleet.revision
        disturb(fleet, 8.6, 9)
        drop(fleet, 't2', 9)
        self.assertEqual([one.target_id for one in fleet.get_listed()], ['t1'])
        held = [(one.target_id, until) for one, until in fleet.get_retained()]
        self.assertEqual(held, [('t2', 11.2)])
        self.assertGreater(fleet.revision, revision)

    def test_held_elsewhere(self):
        """Whoever never knew a target may hold it for as long as others do."""
        fleet = make_fleet()
        self.assertTrue(fleet.retain(make_target(3), 2))
        self.assertIn('t3', get_ids(fleet))
        self.assertEqual(fleet.expire_retained(2), ['t3'])

    def test_gone_here_is_not_held_for_others(self):
        """What is known to have gone is not brought back by a doubt."""
        fleet = make_fleet()
        drop(fleet, 't1', 0.5)
        self.assertFalse(fleet.retain(make_target(1), 2))
        self.assertEqual(get_ids(fleet), ['t2'])
