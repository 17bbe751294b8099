"""Entries on a store that comes back without what it has acknowledged.

What they know stays in force; the copy's word that nothing newer exists counts
once its writers have had time to write again.
"""

import unittest

import anyio

from tests.restoring import CONFIG, StoreWire, run_world
from tests.soak.store import TARGETS
from trestledock.relay import REWRITE_WAIT_S, QuarantineRecord

#: By when what entries wrote is there again, in seconds.
AGAIN_S = 1.0
#: The pause between two reads, with what jitter adds, in seconds.
READ_S = 0.5
#: When the store has a version, and no record of an epoch yet, in seconds.
BEFORE_RECORD_S = 0.15
RECORD = QuarantineRecord('f', ('t1@1', 't2@1', 't3@2'), age_s=70)
#: Where entries write their addresses.
PEERS = 'keyed.status'


async def watch(entries, for_s, look):
    """Return what a look shows at the entries every so often."""
    found = []
    until = anyio.current_time() + for_s
    while anyio.current_time() < until:
        found.extend(map(look, entries))
        await anyio.sleep(0.05)
    return found


def get_wrong_proofs(entries, revoked_at):
    """Return proofs from after a change of those that don't know it."""
    proofs = [one.state.proof for one in entries if one.state.version < 2]
    return [one.proven_at for one in proofs if one.proven_at > revoked_at]


class ConfigurationTest(unittest.TestCase):
    """A newer configuration than the copy's, and proofs."""

    def test_version_never_goes_back(self):
        async def scenario(world, *entries):
            world.keys = []
            world.publish()
            await anyio.sleep(3)
            world.store.go_back(5)
            return await watch(entries, 6, lambda one: one.state.version)

        self.assertEqual(set(run_world(3, scenario)), {2})

    def test_key_taken_away_in_a_version_that_nobody_has_read(self):
        """The copy's word is no proof until the operator has written again.

        Read from the copy, the key was proven good for ever.
        """

        async def scenario(world, *entries):
            def find_wrong(entries):
                return get_wrong_proofs(entries, revoked_at)

            world.keys = []
            world.publish()
            revoked_at = anyio.current_time()
            world.store.go_back(1)
            proofs = await watch([entries], 2, find_wrong)
            world.publish(version=2)
            proofs += await watch([entries], 6, find_wrong)
            versions = [one.state.version for one in entries]
            return sum(proofs, []), versions

        self.assertEqual(run_world(3, scenario), ([], [2, 2, 2]))

    def test_nobody_is_refused_meanwhile(self):
        """A proof from before the restore lasts until the copy is whole."""

        async def scenario(world, *entries):
            world.store.go_back(5)
            fresh = await watch(entries, 5, lambda one: one.is_key_served())
            ready = await watch(entries, 5, lambda one: one.is_ready())
            return {*fresh, *ready}

        self.assertEqual(run_world(3, scenario), {True})


class StartTest(unittest.TestCase):
    """Entries that start just after a restore."""

    def test_beside_neighbours(self):
        """It takes the newer version, and no target that has left."""

        async def scenario(world, *entries):
            world.keys = []
            world.publish()
            world.leave('t0')
            await anyio.sleep(3)
            world.store.go_back(5)
            late = await world.start(5)
            found = await watch(
                [late],
                4,
                lambda one: (one.state.version, 't0' in one.get_usable()),
            )
            return set(found)

        self.assertEqual(run_world(3, scenario), {(2, False)})

    def test_target_that_said_it_leaves(self):
        """Its old record in the copy says that it is ready."""

        async def scenario(world, *entries):
            world.beat('t0', 'draining')
            world.targets.pop('t0')
            await anyio.sleep(1)
            world.store.go_back(3)
            late = await world.start(5)
            return late.get_usable()

        self.assertEqual(run_world(2, scenario), {'t1', 't2'})

    def test_all_killed_just_before(self):
        """Nobody knows better: they wait for the operator."""

        async def scenario(world, *entries):
            world.keys = []
            world.publish()
            world.kill_all()
            world.store.go_back(2)
            began_at = anyio.current_time()
            for number in range(3):
                await world.start(number, life=2)
            served = await watch(
                world.entries,
                REWRITE_WAIT_S - (anyio.current_time() - began_at) - 0.1,
                lambda one: one.is_key_served(),
            )
            world.publish(version=2)
            await anyio.sleep(2)
            ready = {one.is_ready() for one in world.entries}
            versions = {one.state.version for one in world.entries}
            return any(served), ready, versions

        self.assertEqual(run_world(3, scenario), (False, {True}, {2}))

    def test_all_killed_beside_a_copy_without_any_record(self):
        """That nobody is known to have waited is no first start.

        Seen: keys were served 8 to 12 s after they had been taken away.  How:
        restores within seconds took the store back to before its first record
        of an epoch, and all entries were killed.  Cause: those that started
        took the missing record for the first start of all, and the copy for
        whole.  An epoch above the first proves that something was lost.
        """

        async def scenario(world, *entries):
            world.keys = []
            world.publish()
            world.kill_all()
            world.store.go_back(anyio.current_time() - BEFORE_RECORD_S)
            began_at = anyio.current_time()
            for number in range(3):
                await world.start(number, life=2)
            versions = {one.state.version for one in world.entries}
            served = await watch(
                world.entries,
                REWRITE_WAIT_S - (anyio.current_time() - began_at) - 0.1,
                lambda one: one.is_key_served(),
            )
            world.publish(version=2)
            await anyio.sleep(2)
            ready = {one.is_ready() for one in world.entries}
            return versions, any(served), ready

        self.assertEqual(run_world(3, scenario), ({1}, False, {True}))

    def test_all_killed_while_the_restored_store_is_young(self):
        """That somebody lived then does not say that all is there again."""

        async def scenario(world, *entries):
            world.store.go_back(2)
            await anyio.sleep(1)
            world.kill_all()
            late = await world.start(0, life=2)
            return late.is_ready()

        self.assertFalse(run_world(3, scenario))

    def test_start_in_calm(self):
        """Where somebody has waited in this epoch nobody does it again."""

        async def scenario(world, *entries):
            world.store.go_back(2)
            await anyio.sleep(8)
            world.kill_all()
            late = await world.start(0, life=2)
            return late.is_ready()

        self.assertTrue(run_world(3, scenario))

    def test_first_start_of_all(self):
        """Nothing was ever there to be lost."""

        async def scenario(world):
            first = await world.start(0)
            return first.is_ready()

        self.assertTrue(run_world(0, scenario))

    def test_store_without_epochs(self):
        async def scenario(world):
            world.store.era = None
            first = await world.start(0)
            await anyio.sleep(5)
            topic = world.store.get_topic(PEERS)
            return first.is_ready(), sorted(topic.newest)

        self.assertEqual(run_world(0, scenario), (True, ['entry-entry-0']))


class TargetsTest(unittest.TestCase):
    """Targets whose records are in the lost seconds."""

    def play(self, *, comes_back):
        async def scenario(world, *entries):
            world.beat('new')
            await anyio.sleep(1)
            world.store.go_back(2)
            if not comes_back:
                world.targets.pop('new')
            await anyio.sleep(1.5)
            first = [one.get_usable() for one in entries]
            await anyio.sleep(3)
            return first, [one.get_usable() for one in entries]

        return run_world(3, scenario)

    def test_target_of_the_lost_seconds(self):
        """It is held by all, and there again when it writes."""
        whole = [{'t0', 't1', 't2', 'new'} for _ in range(3)]
        self.assertEqual(self.play(comes_back=True), (whole, whole))

    def test_target_that_does_not_come_back(self):
        whole = [{'t0', 't1', 't2', 'new'} for _ in range(3)]
        less = [{'t0', 't1', 't2'} for _ in range(3)]
        self.assertEqual(self.play(comes_back=False), (whole, less))

    def test_target_that_has_left(self):
        """Its record is there again, and older than its last word."""

        async def scenario(world, *entries):
            world.leave('t0')
            await anyio.sleep(2)
            world.store.go_back(4)
            found = await watch(
                entries, 5, lambda one: 't0' in one.get_usable()
            )
            return any(found)

        self.assertFalse(run_world(3, scenario))


class WrittenTest(unittest.TestCase):
    """What entries have written in the lost seconds."""

    def test_addresses_are_there_again(self):
        """A copy from before the entries started: one writes for all."""

        async def scenario(world, *entries):
            world.store.go_back(11)
            world.publish(version=world.version)
            StoreWire.requests.clear()
            await anyio.sleep(READ_S + AGAIN_S)
            writes = StoreWire.requests.count(('/log-append', PEERS))
            newest = world.store.get_topic(PEERS).newest
            names = sorted(one for one in newest if one.startswith('entry-'))
            return writes, len(names)

        self.assertEqual(run_world(3, scenario), (1, 3))

    def test_quarantine_is_there_again(self):
        async def scenario(world, *entries):
            for one in entries:
                one.state.isolation.merge_records([RECORD], 'test')
            world.store.go_back(5)
            await anyio.sleep(READ_S + AGAIN_S)
            late = await entries[0].directory.quarantine.read_whole()
            return [one.fingerprint for one in late.records]

        self.assertEqual(run_world(3, scenario), ['f'])

    def test_quarantine_and_trials_are_there_again(self):
        async def scenario(world, *entries):
            for one in entries:
                one.state.isolation.merge_records([RECORD], 'test')
            granted = await entries[2].state.isolation.may_probe('f')
            world.store.go_back(5)
            await anyio.sleep(READ_S + AGAIN_S)
            stored = await entries[0].directory.quarantine.read_whole()
            return granted, [
                (one.fingerprint, one.probes) for one in stored.records
            ]

        self.assertEqual(run_world(3, scenario), (True, [('f', 1)]))

    def test_no_trial_before_others_could_write_again(self):
        """The record of another's trial may be lost."""

        async def scenario(world, *entries):
            for one in entries:
                one.state.isolation.merge_records([RECORD], 'test')
            world.store.go_back(5)
            return await entries[2].state.isolation.may_probe('f')

        self.assertFalse(run_world(3, scenario))

    def test_store_that_is_away_again(self):
        """It is not asked in vain again and again for what is missing."""

        async def scenario(world, *entries):
            world.store.go_back(2)
            while entries[0].state.restores.epoch == 1:
                await anyio.sleep(0.01)
            world.store.status = 503
            await anyio.sleep(3)
            StoreWire.requests.clear()
            await anyio.sleep(8)
            return StoreWire.requests.count(('/log-newest', PEERS))

        self.assertEqual(run_world(1, scenario), 0)

    def test_calls_after_a_restore(self):
        """Two reads of each topic at most, however many entries there are."""

        async def scenario(world, *entries):
            await anyio.sleep(READ_S)
            world.store.go_back(1)
            StoreWire.requests.clear()
            await anyio.sleep(REWRITE_WAIT_S)
            return [
                StoreWire.requests.count(('/log-newest', topic))
                for topic in (CONFIG[0], TARGETS, PEERS)
            ]

        self.assertLessEqual(max(run_world(6, scenario)), 2)
