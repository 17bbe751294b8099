"""Reads of topics while the store is restored from an older copy.

After a restore, an offset may belong to a different record.  Every read must
return the complete records of one epoch, and never those of an epoch older than
one already received.
"""

import unittest
from unittest.mock import patch

import anyio

from hypothesis import given, strategies as st

from tests.restoring import StoreWire
from tests.soak import store as fake_store
from tests.soak.store import Store
from tests.virtual_loop import run_virtually
from trestledock.entry import DirectoryError, Head
from trestledock.platform import _epochs, _log
from trestledock.platform._epochs import MISMATCH_TIMEOUT_S, StoreEpochs
from trestledock.platform._log import KeyedTopic, StoreClient
from trestledock.platform._quarantine import QuarantineTopic
from trestledock.relay import QuarantineRecord

TOPIC = 'keyed.things'
RECORD = QuarantineRecord('f', ('t1@1', 't2@1', 't3@2'), age_s=70)


def run_with_topic(scenario, era=1):
    """Run `scenario(store, topic)` on a virtual clock; return its result."""

    async def main():
        store = Store(era=era)
        StoreWire.store = store
        StoreWire.requests = []
        client = StoreClient('store', StoreEpochs())
        return await scenario(store, KeyedTopic(client, TOPIC))

    with patch.object(_log, 'Wire', StoreWire):
        return run_virtually(main)


def get_keys(batch):
    """Return the keys of a batch's records, in order."""
    return [record.key for record in batch.records]


class OffsetTest(unittest.TestCase):
    """The offset of the next read after a restore."""

    def test_offset_that_was_reused(self):
        """All records are read when as many were written as were lost.

        Otherwise the read would continue behind the new records and miss them
        unnoticed.
        """

        async def scenario(store, topic):
            store.put(TOPIC, 'kept', b'1')
            await anyio.sleep(10)
            store.put(TOPIC, 'lost', b'1')
            await topic.read()
            store.go_back(5)
            store.put(TOPIC, 'new', b'1')
            batch = await topic.read()
            return batch.whole, batch.epoch, get_keys(batch)

        found = run_with_topic(scenario)
        self.assertEqual(found, (True, 2, ['kept', 'new']))

    def test_offset_past_the_end(self):
        async def scenario(store, topic):
            for key in ('a', 'b', 'c'):
                await anyio.sleep(5)
                store.put(TOPIC, key, b'1')
            await topic.read()
            store.go_back(7)
            batch = await topic.read()
            return batch.whole, batch.epoch, get_keys(batch)

        self.assertEqual(run_with_topic(scenario), (True, 2, ['a']))

    def test_read_that_waits_across_a_restore(self):
        """It ends with the restore and returns the restored records."""

        async def scenario(store, topic):
            store.put(TOPIC, 'a', b'1')
            await anyio.sleep(5)
            store.put(TOPIC, 'b', b'1')
            await topic.read()
            batches = []

            async def wait():
                batches.append(await topic.read(wait_s=20))

            async with anyio.create_task_group() as group:
                group.start_soon(wait)
                await anyio.sleep(1)
                store.go_back(3)
                store.put(TOPIC, 'c', b'1')
            return batches[0].epoch, get_keys(batches[0])

        self.assertEqual(run_with_topic(scenario), (2, ['a', 'c']))

    def test_epoch_known_from_another_topic(self):
        """The outdated offset is not requested, which saves one call."""

        async def scenario(store, topic):
            store.put(TOPIC, 'a', b'1')
            await topic.read()
            store.go_back(0)
            await KeyedTopic(topic.client, 'keyed.others').read()
            StoreWire.requests.clear()
            await topic.read()
            return StoreWire.requests

        found = run_with_topic(scenario)
        self.assertEqual(found, [('/log-newest', TOPIC)])

    def test_store_without_epochs(self):
        """Reads continue where the last read ended."""

        async def scenario(store, topic):
            store.put(TOPIC, 'a', b'1')
            await topic.read()
            store.put(TOPIC, 'b', b'1')
            batch = await topic.read()
            return batch.whole, batch.epoch, get_keys(batch)

        found = run_with_topic(scenario, era=None)
        self.assertEqual(found, (False, None, ['b']))


class PagesTest(unittest.TestCase):
    """All pages of a read are from one epoch."""

    def read_during(self, *restores):
        """Return the result of a read during which restores happen."""
        remaining = list(restores)

        async def scenario(store, topic):
            for number in range(6):
                store.put(TOPIC, f'k{number}', b'old')
                await anyio.sleep(5)
            handle = store.handle

            async def handle_then_restore(exchange):
                await handle(exchange)
                if remaining and remaining.pop(0):
                    store.go_back(12)
                    store.put(TOPIC, 'k0', b'new')

            store.handle = handle_then_restore
            batch = await topic.read()
            return batch.epoch, [(row.key, row.value) for row in batch.records]

        with patch.object(fake_store, 'PAGE', 2):
            return run_with_topic(scenario)

    def test_restore_in_the_middle_of_a_read(self):
        """Pages from before the restore are discarded."""
        epoch, found = self.read_during(False, True)
        self.assertEqual(epoch, 2)
        self.assertEqual(dict(found)['k0'], b'new')
        self.assertNotIn('k5', dict(found))

    def test_two_restores_in_one_second(self):
        epoch, found = self.read_during(True, False, True)
        self.assertEqual(epoch, 3)
        self.assertEqual(dict(found)['k0'], b'new')

    def test_endless_restores(self):
        """A read that can't be completed raises an error."""
        with self.assertRaises(DirectoryError):
            self.read_during(*[True for _ in range(20)])


class InconsistentEpochTest(unittest.TestCase):
    """Responses whose epoch is inconsistent with the current one."""

    def setUp(self):
        self.lines = []
        patched = patch.object(_epochs, 'emit', self.lines.append)
        patched.start()
        self.addCleanup(patched.stop)

    def read(self, *headers_sent, pause_s=0.1):
        """Return the result of each response in turn."""

        async def main():
            epochs = StoreEpochs()
            results = []
            for text in headers_sent:
                await anyio.sleep(pause_s)
                headers = ((b'Store-Era', text.encode()),) if text else ()
                try:
                    results.append(epochs.record(Head(200, headers)))
                except DirectoryError:
                    results.append('rejected')
            return results

        return run_virtually(main)

    def test_lower_epoch(self):
        """A late response from before a restore is rejected."""
        self.assertEqual(self.read('4', '5', '4', '5'), [4, 5, 'rejected', 5])
        self.assertEqual(len(self.lines), 1)

    def test_missing_or_invalid_epoch(self):
        found = self.read('4', '', 'x', '-1', '4')
        self.assertEqual(found, [4, 'rejected', 'rejected', 'rejected', 4])
        self.assertEqual(len(self.lines), 1)

    def test_permanently_lower_epoch(self):
        """After the timeout it is accepted as the epoch of another store."""
        found = self.read('9', '1', '1', '1', pause_s=MISMATCH_TIMEOUT_S * 0.6)
        self.assertEqual(found, [9, 'rejected', 'rejected', 1])

    def test_error_responses_without_epoch(self):
        """A proxy rejects calls for longer than the timeout.

        This must not pass for another store, nor the end of it for a restore.
        """

        async def main():
            epochs = StoreEpochs()
            epochs.record(Head(200, ((b'Store-Era', b'4'),)))
            for _ in range(3):
                await anyio.sleep(MISMATCH_TIMEOUT_S * 0.6)
                epochs.record(Head(503, ()))
            return epochs.current

        self.assertEqual(run_virtually(main), 4)
        self.assertEqual(self.lines, [])

    def test_error_response_with_epoch(self):
        """The epoch of an error response is recorded."""

        async def scenario(store, topic):
            await topic.read()
            store.go_back(0)
            store.status = 503
            with self.assertRaises(DirectoryError):
                await topic.read()
            return topic.client.epochs.current

        self.assertEqual(run_with_topic(scenario), 2)


class ClaimTest(unittest.TestCase):
    """Compare-and-set at an offset that was reused."""

    def test_same_offset_in_another_epoch(self):
        """A claim fails if the records before it were lost."""

        async def scenario(store, _):
            topic = QuarantineTopic('store', StoreEpochs())
            await topic.write_records([RECORD])
            await anyio.sleep(10)
            await topic.write_records([RECORD])
            stored = await topic.read_whole()
            store.go_back(5)
            store.put('keyed.quarantine', 'other', b'{}')
            return await topic.write_records([RECORD], stored.end)

        self.assertFalse(run_with_topic(scenario))


#: Steps of a test: a write of a key, a restore, a read.
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('write'), st.sampled_from('abc'), st.booleans()),
        st.tuples(st.just('restore'), st.integers(0, 6), st.none()),
        st.tuples(st.just('read'), st.none(), st.none()),
    ),
    max_size=30,
)


class ConsistencyTest(unittest.TestCase):
    """The last read reflects the store after any sequence of steps."""

    @given(STEPS)
    def test_reader_ends_equal_to_the_store(self, steps):
        async def scenario(store, topic):
            known = {}
            epochs = []

            async def read():
                batch = await topic.read()
                epochs.append(batch.epoch)
                if batch.whole:
                    known.clear()
                known.update(
                    {record.key: record.value for record in batch.records}
                )

            for number, (step, arg, has_value) in enumerate(steps):
                await anyio.sleep(1)
                if step == 'write':
                    store.put(TOPIC, arg, b'%d' % number if has_value else b'')
                elif step == 'restore':
                    store.go_back(arg)
                else:
                    await read()
            await read()
            present = {key: value for key, value in known.items() if value}
            newest = store.get_topic(TOPIC).newest
            stored = {key: value for key, (_, value) in newest.items()}
            self.assertEqual(present, stored)
            self.assertEqual(epochs, sorted(epochs))

        run_with_topic(scenario)


class FakeStoreTest(unittest.TestCase):
    """The fake store of the soak test."""

    def test_lost_records_are_written_again(self):
        """This includes a second restore before they are written."""

        async def scenario(store, _):
            for version in (1, 2, 3):
                await anyio.sleep(3)
                store.put_json(*fake_store.CONFIG, {'version': version})
            store.go_back(1)
            store.go_back(5)
            store.write_again()
            topic = store.get_topic(fake_store.CONFIG[0])
            return topic.newest[fake_store.CONFIG[1]][1]

        self.assertEqual(run_with_topic(scenario), b'{"version": 3}')
