"""The effect of directory records on new requests."""

import unittest
from dataclasses import replace

from trestledock.relay import (
    Backoff,
    Drain,
    Fleet,
    ListedTarget,
    PeerBackoff,
    RateLimit,
    Standing,
)


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
    return [target.target_id for target in fleet.get_usable('s')]


def remove(fleet, name, now):
    """Remove a target according to the fleet's view of the directory."""
    return fleet.record_removal(name, fleet.watch.grace_end, now)


def disturb(fleet, began_at, ended_at):
    """Let reads of the directory fail until one succeeds at `ended_at`."""
    fleet.watch.record_failure(began_at)
    fleet.watch.record_read(ended_at, ended_at)


class BackoffTest(unittest.TestCase):
    """The back-off of a target and its next incarnations."""

    def setUp(self):
        self.fleet = make_fleet()
        self.fleet.put(self.make_start(1000))
        self.fleet.notices.record('t3@1000', Backoff(9, 0, 1))

    def make_start(self, born):
        return replace(make_target(3), born=born)

    def get_end(self, incarnation):
        backoff = self.fleet.notices.get(Backoff, incarnation)
        return backoff.until if backoff else None

    # Guards against requests to a target in its back-off after a restart.
    def test_restart(self):
        self.fleet.put(self.make_start(2000))
        self.assertEqual(self.get_end('t3@2000'), 9)
        self.fleet.put(self.make_start(3000))
        self.assertEqual(self.get_end('t3@3000'), 9)

    # Guards against the same where its record was removed in between.
    def test_removed_and_listed_again(self):
        remove(self.fleet, 't3', 0.5)
        self.fleet.notices.forget('t3@1000')
        self.fleet.put(self.make_start(2000))
        self.assertEqual(self.get_end('t3@2000'), 9)

    def test_same_incarnation_listed_again(self):
        """As on platforms whose targets don't report their birth."""
        self.fleet.notices.record('t1', Backoff(7, 0, 1))
        remove(self.fleet, 't1', 0.5)
        self.fleet.notices.forget('t1')
        self.fleet.put(make_target(1, sequence=2))
        self.assertEqual(self.get_end('t1'), 7)

    def test_back_off_that_has_ended(self):
        """An answer after its end lifts it for later incarnations as well."""
        self.fleet.put(self.make_start(2000))
        self.fleet.notices.discard(Backoff, 't3@2000')
        self.fleet.put(self.make_start(3000))
        self.assertIsNone(self.get_end('t3@3000'))

    def test_other_notices_end_with_the_incarnation(self):
        notices = self.fleet.notices
        kinds = (Drain(0, 1), RateLimit(2, 0, 1), PeerBackoff(9, 0, 1))
        for notice in kinds:
            notices.record('t3@1000', notice)
        self.fleet.put(self.make_start(2000))
        found = [notices.get(type(notice), 't3@2000') for notice in kinds]
        self.assertEqual(found, [None, None, None])
        self.assertIn('t3', get_ids(self.fleet))

    def test_few_are_kept(self):
        """Those that are over are dropped with the next removal."""
        for number in range(4, 40):
            self.fleet.put(make_target(number))
            at = number * 10
            backoff = Backoff(at + 15, at, at)
            self.fleet.notices.record(f't{number}', backoff)
            remove(self.fleet, f't{number}', at)
        self.assertEqual(sorted(self.fleet.backoffs), ['t38', 't39'])


class RecordTest(unittest.TestCase):
    """Records of a target, in order and late."""

    def test_draining_is_final(self):
        """A draining target gets no requests, whatever is read later."""
        fleet = make_fleet()
        fleet.put(make_target(1, Standing.draining, 2))
        fleet.put(make_target(1, Standing.ready, 3))
        self.assertEqual(get_ids(fleet), ['t2'])

    def test_old_record_changes_nothing(self):
        """Records that arrive late don't restore an older state."""
        fleet = make_fleet()
        fleet.put(make_target(1, sequence=9))
        self.assertFalse(fleet.put(make_target(1, sequence=3)))

    def test_old_record_after_removal(self):
        """A heartbeat that is written after the removal is no return."""
        fleet = make_fleet()
        fleet.put(make_target(1, sequence=9))
        remove(fleet, 't1', 0.5)
        for sequence in (3, 9):
            self.assertFalse(fleet.put(make_target(1, sequence=sequence)))
        self.assertEqual(get_ids(fleet), ['t2'])

    def test_newer_record_after_removal(self):
        """A target whose lease had lapsed writes a newer record."""
        fleet = make_fleet()
        remove(fleet, 't1', 0.5)
        self.assertTrue(fleet.put(make_target(1, sequence=2)))
        self.assertEqual(set(get_ids(fleet)), {'t1', 't2'})


class MissingTest(unittest.TestCase):
    """Records that vanish."""

    def test_missing_without_disturbance_is_removed(self):
        """Without a disturbance, a missing target is removed at once."""
        fleet = make_fleet()
        fleet.watch.record_read(0.5, 0.5)
        self.assertTrue(remove(fleet, 't2', 0.5))
        self.assertEqual(get_ids(fleet), ['t1'])

    def test_missing_after_outage_is_retained(self):
        """After an outage a missing target is retained for about 2 s."""
        fleet = make_fleet()
        disturb(fleet, 8.6, 9)
        self.assertFalse(remove(fleet, 't2', 9))
        self.assertEqual(get_ids(fleet), ['t1', 't2'])
        self.assertEqual(fleet.expire_retained(10), [])
        self.assertEqual(fleet.expire_retained(11.3), ['t2'])
        self.assertEqual(get_ids(fleet), ['t1'])

    def test_missing_after_gap_is_removed(self):
        """A list that came late without a failed read is no outage.

        Otherwise the gap and the grace would add up to more than the time
        within which a removed target must get no more requests.
        """
        fleet = make_fleet()
        fleet.watch.record_read(2.5, 2.5)
        self.assertTrue(remove(fleet, 't2', 2.5))

    def test_one_failed_read_is_no_outage(self):
        """One failed read between two successful ones changes nothing."""
        fleet = make_fleet()
        disturb(fleet, 0.4, 0.8)
        self.assertTrue(remove(fleet, 't2', 0.8))

    def test_missing_at_synchronized_instance_is_removed(self):
        """An instance that followed the directory without a gap decides."""
        fleet = make_fleet()
        disturb(fleet, 8.6, 9)
        self.assertTrue(fleet.record_removal('t2', 9.1, 9.1))
        self.assertEqual(get_ids(fleet), ['t1'])

    def test_listed_again_after_outage(self):
        """A record that returns in time was never removed."""
        fleet = make_fleet()
        disturb(fleet, 8.6, 9)
        remove(fleet, 't2', 9)
        fleet.put(make_target(2, sequence=2))
        self.assertEqual(fleet.expire_retained(20), [])

    def test_listed_again_with_same_record(self):
        """A target that is listed again is reported to other instances."""
        fleet = make_fleet()
        disturb(fleet, 8.6, 9)
        remove(fleet, 't2', 9)
        revision = fleet.revision
        fleet.put(make_target(2))
        self.assertEqual(len(list(fleet.get_listed())), 2)
        self.assertGreater(fleet.revision, revision)


class RetainedTest(unittest.TestCase):
    """Targets that are missing but may only have lapsed."""

    def test_retained_is_not_listed(self):
        """Other instances receive that it is missing, as a change."""
        fleet = make_fleet()
        revision = fleet.revision
        disturb(fleet, 8.6, 9)
        remove(fleet, 't2', 9)
        self.assertEqual(
            [target.target_id for target in fleet.get_listed()], ['t1']
        )
        retained = [
            (target.target_id, until) for target, until in fleet.get_retained()
        ]
        self.assertEqual(retained, [('t2', 11.2)])
        self.assertGreater(fleet.revision, revision)

    def test_retained_by_other_instances(self):
        """An unknown target is retained for as long as other instances do."""
        fleet = make_fleet()
        self.assertTrue(fleet.retain(make_target(3), 2))
        self.assertIn('t3', get_ids(fleet))
        self.assertEqual(fleet.expire_retained(2), ['t3'])

    def test_removed_is_not_retained(self):
        """A target known to be removed is not retained for others."""
        fleet = make_fleet()
        remove(fleet, 't1', 0.5)
        self.assertFalse(fleet.retain(make_target(1), 2))
        self.assertEqual(get_ids(fleet), ['t2'])
