"""What the store remembers of quarantined requests."""

import json
import unittest
from random import Random

import anyio

from tests.relaying import SETTINGS
from tests.soak.serving import serve_stream
from tests.soak.store import Store
from trestledock.entry import DirectoryError
from trestledock.entry._quarantine_sync import Keeping
from trestledock.entry._state import EntryState
from trestledock.platform._epochs import StoreEpochs
from trestledock.platform._quarantine import TOPIC, QuarantineTopic
from trestledock.relay import QuarantineRecord

RECORD = QuarantineRecord('f', ('t1@1', 't2@1', 't3@2'), age_s=70)


def run_with_store(scenario):
    """Run `scenario(store, *topics)` with the topics of two entries."""

    async def main():
        store = Store()
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)

        async def serve(stream):
            await serve_stream(stream, store.handle)

        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve)
            topics = [
                QuarantineTopic(f'127.0.0.1:{port}', StoreEpochs())
                for _ in range(2)
            ]
            await scenario(store, *topics)
            group.cancel_scope.cancel()
        await listener.aclose()

    anyio.run(main)


async def claim_trial(topic, record):
    """Take the right to a trial, as an entry does that never asked before."""
    state = EntryState(SETTINGS, 'entry-1#a', Random(1), None)
    return await Keeping(state, topic, bool)._claim(record)


class QuarantineTopicTest(unittest.TestCase):
    """Records, trials and what makes no sense."""

    def test_later_start_reads_what_was_written(self):
        async def scenario(store, one, other):
            await one.write_records([RECORD])
            found = await other.read_records(0)
            self.assertEqual([record.fingerprint for record in found], ['f'])
            self.assertEqual(found[0].incarnations, RECORD.incarnations)
            self.assertLess(abs(found[0].age_s - RECORD.age_s), 30)
            self.assertEqual(found[0].probes, 0)
            answered = QuarantineRecord('f', (), cleared=RECORD.incarnations)
            await one.write_records([answered])
            found = await other.read_records(0)
            self.assertEqual(found[0].incarnations, ())
            self.assertEqual(found[0].cleared, RECORD.incarnations)

        run_with_store(scenario)

    def test_long_read_ends_as_something_is_written(self):
        async def scenario(store, one, other):
            await other.read_records(0)
            async with anyio.create_task_group() as group:
                group.start_soon(one.write_records, [RECORD])
                found = await other.read_records(600)
            self.assertEqual([record.fingerprint for record in found], ['f'])

        run_with_store(scenario)

    def test_one_trial_of_all(self):
        async def scenario(store, one, other):
            await one.write_records([RECORD])
            granted = [
                await claim_trial(topic, RECORD) for topic in (one, other, one)
            ]
            self.assertEqual(granted, [True, False, False])
            found = await other.read_records(0)
            self.assertEqual(found[0].probes, 1)
            self.assertLess(found[0].age_s, 30)

        run_with_store(scenario)

    def test_one_of_two_trials_at_the_same_moment(self):
        granted = []

        async def scenario(store, one, other):
            await one.write_records([RECORD])
            write = one.write_records

            async def write_later(*args):
                granted.append(await claim_trial(other, RECORD))
                return await write(*args)

            one.write_records = write_later
            granted.append(await claim_trial(one, RECORD))

        run_with_store(scenario)
        self.assertEqual(granted, [True, False])

    def test_ends_that_others_have_seen_since(self):
        """Nobody tries what has just ended another target."""

        async def scenario(store, one, other):
            await one.write_records(
                [QuarantineRecord('f', ('t1', 't2', 't3', 't4'), 1)]
            )
            self.assertFalse(await claim_trial(other, RECORD))

        run_with_store(scenario)

    def test_record_without_sense(self):
        """It says nothing, and hides no other."""

        async def scenario(store, one, other):
            topic = store.get_topic(TOPIC)
            for number, plain in enumerate(
                (
                    [],
                    {},
                    {'ends': 5},
                    {'ends': ['t'], 'since_ms': 'x', 'trials': 0},
                )
            ):
                topic.put(f'bad{number}', json.dumps(plain).encode())
            topic.put('worse', b'\xff')
            await one.write_records([RECORD])
            found = await other.read_records(0)
            self.assertEqual([record.fingerprint for record in found], ['f'])

        run_with_store(scenario)

    def test_store_that_refuses(self):
        async def scenario(store, one, other):
            store.status = 503
            with self.assertRaises(DirectoryError):
                await one.write_records([RECORD])
            with self.assertRaises(DirectoryError):
                await claim_trial(one, RECORD)

        run_with_store(scenario)
