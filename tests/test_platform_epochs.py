"""Topics of a store that comes back from an older copy.

An offset that is given out again names another record; what a read brings is
one copy's, whole, and no copy's word counts that is older than one heard.
"""

import unittest
from unittest.mock import patch

import anyio

from hypothesis import given, strategies as st

from tests.restoring import StoreWire
from tests.soak import store as stand_in
from tests.soak.store import Store
from tests.virtual_loop import run_virtually
from trestledock.entry import DirectoryError, Head
from trestledock.platform import _epochs, _log
from trestledock.platform._epochs import DOUBT_S, StoreEpochs
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
    return [one.key for one in batch.records]


class OffsetTest(unittest.TestCase):
    """Where a read goes on after the store went back."""

    def test_offset_that_was_given_out_again(self):
        """As many records came as were lost: all are seen.

        The read went on behind them, and nothing showed that they were missed.
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
        """It ends as the store comes back, with what is there."""

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

    def test_other_topic_has_heard_of_it(self):
        """One call fewer: the old offset is not asked for any more."""

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
        """It is read as ever: from where the last read ended."""

        async def scenario(store, topic):
            store.put(TOPIC, 'a', b'1')
            await topic.read()
            store.put(TOPIC, 'b', b'1')
            batch = await topic.read()
            return batch.whole, batch.epoch, get_keys(batch)

        found = run_with_topic(scenario, era=None)
        self.assertEqual(found, (False, None, ['b']))


class PagesTest(unittest.TestCase):
    """A whole read is of one copy."""

    def play(self, *restores):
        """Return what a read brings that restores come in the middle of."""
        left = list(restores)

        async def scenario(store, topic):
            for number in range(6):
                store.put(TOPIC, f'k{number}', b'old')
                await anyio.sleep(5)
            handle = store.handle

            async def handle_then_restore(exchange):
                await handle(exchange)
                if left and left.pop(0):
                    store.go_back(12)
                    store.put(TOPIC, 'k0', b'new')

            store.handle = handle_then_restore
            batch = await topic.read()
            return batch.epoch, [(one.key, one.text) for one in batch.records]

        with patch.object(stand_in, 'PAGE', 2):
            return run_with_topic(scenario)

    def test_restore_in_the_middle_of_a_read(self):
        """Its pages are not put together with those of before."""
        epoch, found = self.play(False, True)
        self.assertEqual(epoch, 2)
        self.assertEqual(dict(found)['k0'], b'new')
        self.assertNotIn('k5', dict(found))

    def test_two_restores_in_one_second(self):
        epoch, found = self.play(True, False, True)
        self.assertEqual(epoch, 3)
        self.assertEqual(dict(found)['k0'], b'new')

    def test_restores_without_an_end(self):
        """A read that can't be finished has failed."""
        with self.assertRaises(DirectoryError):
            self.play(*[True for _ in range(20)])


class DoubtTest(unittest.TestCase):
    """Answers whose epoch can't follow the one before."""

    def setUp(self):
        self.lines = []
        patched = patch.object(_epochs, 'emit', self.lines.append)
        patched.start()
        self.addCleanup(patched.stop)

    def read(self, *told, pause_s=0.1):
        """Return what answers count as, one after the other."""

        async def main():
            epochs = StoreEpochs()
            found = []
            for text in told:
                await anyio.sleep(pause_s)
                headers = ((b'Store-Era', text.encode()),) if text else ()
                try:
                    found.append(epochs.record(Head(200, headers)))
                except DirectoryError:
                    found.append('doubt')
            return found

        return run_virtually(main)

    def test_epoch_that_falls(self):
        """A late answer of the copy before proves nothing."""
        self.assertEqual(self.read('4', '5', '4', '5'), [4, 5, 'doubt', 5])
        self.assertEqual(len(self.lines), 1)

    def test_epoch_that_is_missing_or_unreadable(self):
        found = self.read('4', '', 'x', '-1', '4')
        self.assertEqual(found, [4, 'doubt', 'doubt', 'doubt', 4])
        self.assertEqual(len(self.lines), 1)

    def test_store_that_goes_on_with_a_lower_one(self):
        """It is another store by then: nobody is locked out for good."""
        found = self.read('9', '1', '1', '1', pause_s=DOUBT_S * 0.6)
        self.assertEqual(found, [9, 'doubt', 'doubt', 1])

    def test_refusals_without_one(self):
        """Something in front of the store refuses for longer than a doubt.

        They were taken for another store, and its return for a restore.
        """

        async def main():
            epochs = StoreEpochs()
            epochs.record(Head(200, ((b'Store-Era', b'4'),)))
            for _ in range(3):
                await anyio.sleep(DOUBT_S * 0.6)
                epochs.record(Head(503, ()))
            return epochs.current

        self.assertEqual(run_virtually(main), 4)
        self.assertEqual(self.lines, [])

    def test_refusals_tell_as_well(self):
        """What refuses a call tells of its epoch, too."""

        async def scenario(store, topic):
            await topic.read()
            store.go_back(0)
            store.status = 503
            with self.assertRaises(DirectoryError):
                await topic.read()
            return topic.client.epochs.current

        self.assertEqual(run_with_topic(scenario), 2)


class ClaimTest(unittest.TestCase):
    """Compare and set at an offset that was given out twice."""

    def test_other_copy_at_the_same_offset(self):
        """The records behind which a claim stands are gone: it fails."""

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


#: What may happen to a store: a write of a key, a restore, a read.
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('write'), st.sampled_from('abc'), st.booleans()),
        st.tuples(st.just('restore'), st.integers(0, 6), st.none()),
        st.tuples(st.just('read'), st.none(), st.none()),
    ),
    max_size=30,
)


class BeliefTest(unittest.TestCase):
    """Whatever happens, the last read knows what the store has."""

    @given(STEPS)
    def test_beliefs_end_equal_to_the_store(self, steps):
        async def scenario(store, topic):
            known = {}
            epochs = []

            async def read():
                batch = await topic.read()
                epochs.append(batch.epoch)
                if batch.whole:
                    known.clear()
                known.update({one.key: one.text for one in batch.records})

            for number, (what, which, writes) in enumerate(steps):
                await anyio.sleep(1)
                if what == 'write':
                    store.put(TOPIC, which, b'%d' % number if writes else b'')
                elif what == 'restore':
                    store.go_back(which)
                else:
                    await read()
            await read()
            listed = {key: text for key, text in known.items() if text}
            newest = store.get_topic(TOPIC).newest
            there = {key: text for key, (_, text) in newest.items()}
            self.assertEqual(listed, there)
            self.assertEqual(epochs, sorted(epochs))

        run_with_topic(scenario)


class StandInTest(unittest.TestCase):
    """The store of the soak itself."""

    def test_writers_write_their_last_word_again(self):
        """Also where the store goes back once more before they have."""

        async def scenario(store, _):
            for version in (1, 2, 3):
                await anyio.sleep(3)
                store.put_json(*stand_in.CONFIG, {'version': version})
            store.go_back(1)
            store.go_back(5)
            store.write_again()
            topic = store.get_topic(stand_in.CONFIG[0])
            return topic.newest[stand_in.CONFIG[1]][1]

        self.assertEqual(run_with_topic(scenario), b'{"version": 3}')
