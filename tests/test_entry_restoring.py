"""Entries on a store that was restored without data it had acknowledged.

What the entries know stays in force. That the copy has nothing newer counts
only after its writers have had time to write again.
"""

import unittest

import anyio

from tests.restoring import CONFIG, StoreWire, run_world
from tests.soak.store import TARGETS
from trestledock.relay import REWRITE_WAIT_S, QuarantineRecord

#: Time until the data of entries is back, in seconds.
AGAIN_S = 1.0
#: Interval between two reads including jitter, in seconds.
READ_S = 0.5
#: Time at which the store has a version but no record of an epoch, in seconds.
BEFORE_RECORD_S = 0.15
RECORD = QuarantineRecord('f', ('t1@1', 't2@1', 't3@2'), age_s=70)
#: Topic of the addresses of entries.
PEERS = 'keyed.status'


async def watch(entries, for_s, look):
    """Return the values of `look` at the entries at regular intervals."""
    found = []
    until = anyio.current_time() + for_s
    while anyio.current_time() < until:
        found.extend(map(look, entries))
        await anyio.sleep(0.05)
    return found


def get_wrong_proofs(entries, revoked_at):
    """Return later proofs of entries that don't know a change."""
    proofs = [entry.state.proof for entry in entries if entry.state.version < 2]
    return [proof.proven_at for proof in proofs if proof.proven_at > revoked_at]


class ConfigurationTest(unittest.TestCase):
    """A configuration newer than the copy's, and proofs."""

    def test_version_never_goes_back(self):
        async def scenario(world, *entries):
            world.keys = []
            world.publish()
            await anyio.sleep(3)
            world.store.go_back(5)
            return await watch(entries, 6, lambda entry: entry.state.version)

        self.assertEqual(set(run_world(3, scenario)), {2})

    def test_key_revoked_in_an_unread_version(self):
        """The copy proves nothing until the operator has written again.

        By reads of the copy the revoked key would stay valid for ever.
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
            versions = [entry.state.version for entry in entries]
            return sum(proofs, []), versions

        self.assertEqual(run_world(3, scenario), ([], [2, 2, 2]))

    def test_no_refusals_after_restore(self):
        """A proof from before the restore lasts until the copy is complete."""

        async def scenario(world, *entries):
            world.store.go_back(5)
            fresh = await watch(entries, 5, lambda entry: entry.is_key_served())
            ready = await watch(entries, 5, lambda entry: entry.is_ready())
            return {*fresh, *ready}

        self.assertEqual(run_world(3, scenario), {True})


class StartTest(unittest.TestCase):
    """Entries that start just after a restore."""

    def test_start_beside_other_entries(self):
        """It gets the newer version, and no removed target."""

        async def scenario(world, *entries):
            world.keys = []
            world.publish()
            world.remove_target('t0')
            await anyio.sleep(3)
            world.store.go_back(5)
            late = await world.start(5)
            found = await watch(
                [late],
                4,
                lambda entry: (entry.state.version, 't0' in entry.get_usable()),
            )
            return set(found)

        self.assertEqual(run_world(3, scenario), {(2, False)})

    def test_draining_target(self):
        """Its old record in the copy says that it is ready."""

        async def scenario(world, *entries):
            world.beat('t0', 'draining')
            world.targets.pop('t0')
            await anyio.sleep(1)
            world.store.go_back(3)
            late = await world.start(5)
            return late.get_usable()

        self.assertEqual(run_world(2, scenario), {'t1', 't2'})

    def test_all_killed_before_restore(self):
        """No entry knows the newer state, so they wait for the operator."""

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
                lambda entry: entry.is_key_served(),
            )
            world.publish(version=2)
            await anyio.sleep(2)
            ready = {entry.is_ready() for entry in world.entries}
            versions = {entry.state.version for entry in world.entries}
            return any(served), ready, versions

        self.assertEqual(run_world(3, scenario), (False, {True}, {2}))

    def test_all_killed_and_copy_without_epoch_record(self):
        """A missing record of an epoch does not prove a first start.

        Guards against serving revoked keys: they were served for 8 to 12 s
        after their revocation. Restores within seconds had taken the store back
        to before its first record of an epoch, and all entries were killed. The
        new entries took the missing record for the first start of all, and the
        copy for complete. An epoch above the first proves that something was
        lost.
        """

        async def scenario(world, *entries):
            world.keys = []
            world.publish()
            world.kill_all()
            world.store.go_back(anyio.current_time() - BEFORE_RECORD_S)
            began_at = anyio.current_time()
            for number in range(3):
                await world.start(number, life=2)
            versions = {entry.state.version for entry in world.entries}
            served = await watch(
                world.entries,
                REWRITE_WAIT_S - (anyio.current_time() - began_at) - 0.1,
                lambda entry: entry.is_key_served(),
            )
            world.publish(version=2)
            await anyio.sleep(2)
            ready = {entry.is_ready() for entry in world.entries}
            return versions, any(served), ready

        self.assertEqual(run_world(3, scenario), ({1}, False, {True}))

    def test_all_killed_soon_after_restore(self):
        """An entry that ran then does not prove that everything is back."""

        async def scenario(world, *entries):
            world.store.go_back(2)
            await anyio.sleep(1)
            world.kill_all()
            late = await world.start(0, life=2)
            return late.is_ready()

        self.assertFalse(run_world(3, scenario))

    def test_start_in_settled_epoch(self):
        """No entry waits again in an epoch in which one has waited."""

        async def scenario(world, *entries):
            world.store.go_back(2)
            await anyio.sleep(8)
            world.kill_all()
            late = await world.start(0, life=2)
            return late.is_ready()

        self.assertTrue(run_world(3, scenario))

    def test_first_start_of_all(self):
        """There was never anything to be lost."""

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
            first = [entry.get_usable() for entry in entries]
            await anyio.sleep(3)
            return first, [entry.get_usable() for entry in entries]

        return run_world(3, scenario)

    def test_target_of_the_lost_seconds(self):
        """All entries retain it, and it is listed when it writes again."""
        whole = [{'t0', 't1', 't2', 'new'} for _ in range(3)]
        self.assertEqual(self.play(comes_back=True), (whole, whole))

    def test_target_that_does_not_come_back(self):
        whole = [{'t0', 't1', 't2', 'new'} for _ in range(3)]
        less = [{'t0', 't1', 't2'} for _ in range(3)]
        self.assertEqual(self.play(comes_back=False), (whole, less))

    def test_removed_target(self):
        """Its record is back, but older than its last one."""

        async def scenario(world, *entries):
            world.remove_target('t0')
            await anyio.sleep(2)
            world.store.go_back(4)
            found = await watch(
                entries, 5, lambda entry: 't0' in entry.get_usable()
            )
            return any(found)

        self.assertFalse(run_world(3, scenario))


class WrittenTest(unittest.TestCase):
    """Data that entries wrote in the lost seconds."""

    def test_addresses_are_written_again(self):
        """One entry writes all that a copy from before their start lacks."""

        async def scenario(world, *entries):
            world.store.go_back(11)
            world.publish(version=world.version)
            StoreWire.requests.clear()
            await anyio.sleep(READ_S + AGAIN_S)
            writes = StoreWire.requests.count(('/log-append', PEERS))
            newest = world.store.get_topic(PEERS).newest
            names = sorted(name for name in newest if name.startswith('entry-'))
            return writes, len(names)

        self.assertEqual(run_world(3, scenario), (1, 3))

    def test_quarantine_is_written_again(self):
        async def scenario(world, *entries):
            for entry in entries:
                entry.state.isolation.merge_records([RECORD], 'test')
            world.store.go_back(5)
            await anyio.sleep(READ_S + AGAIN_S)
            late = await entries[0].directory.quarantine.read_whole()
            return [record.name for record in late.records]

        self.assertEqual(run_world(3, scenario), ['f'])

    # Guards against a repair that fails for ever on a request without a crash.
    def test_cleared_requests_are_written_again(self):
        """No entry has seen a crash of the request."""

        async def scenario(world, *entries):
            for entry in entries:
                isolation = entry.state.isolation
                isolation.merge_cleared('g', ('t2', 't3', 't4'), 'entry-9#a')
                isolation.merge_records([RECORD], 'test')
            world.store.go_back(11)
            world.publish(version=world.version)
            await anyio.sleep(READ_S + REWRITE_WAIT_S + AGAIN_S)
            stored = await entries[0].directory.quarantine.read_whole()
            newest = world.store.get_topic(PEERS).newest
            return (
                sorted(record.name for record in stored.records),
                'epoch' in newest,
            )

        self.assertEqual(run_world(4, scenario), (['f', 'g'], True))

    def test_probes_are_written_again(self):
        async def scenario(world, *entries):
            for entry in entries:
                entry.state.isolation.merge_records([RECORD], 'test')
            granted = await entries[2].state.isolation.may_probe('f')
            world.store.go_back(5)
            await anyio.sleep(READ_S + AGAIN_S)
            stored = await entries[0].directory.quarantine.read_whole()
            return granted, [
                (record.name, record.probes) for record in stored.records
            ]

        self.assertEqual(run_world(3, scenario), (True, [('f', 1)]))

    def test_no_probe_before_repair(self):
        """The record of another entry's probe may be lost."""

        async def scenario(world, *entries):
            for entry in entries:
                entry.state.isolation.merge_records([RECORD], 'test')
            world.store.go_back(5)
            return await entries[2].state.isolation.may_probe('f')

        self.assertFalse(run_world(3, scenario))

    def test_store_is_unavailable_again(self):
        """It is not asked repeatedly for missing data."""

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
        """At most two reads of each topic, for any number of entries."""

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
