"""Quarantined requests in the store."""

import json
import unittest
from dataclasses import replace
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
    """Run `scenario(store, first, second)` with the topics of two entries."""

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


async def claim_probe(topic, record):
    """Claim a probe, as an entry does that never claimed one before."""
    state = EntryState(SETTINGS, 'entry-1#a', Random(1), None)
    return await Keeping(state, topic, bool)._claim([record])


class QuarantineTopicTest(unittest.TestCase):
    """Records, probes and invalid records."""

    def test_records_are_read_by_another_entry(self):
        async def scenario(store, first, second):
            await first.write_records([RECORD])
            found = await second.read_records(0)
            self.assertEqual([record.name for record in found], ['f'])
            self.assertEqual(found[0].incarnations, RECORD.incarnations)
            self.assertLess(abs(found[0].age_s - RECORD.age_s), 30)
            self.assertEqual(found[0].probes, 0)
            answered = QuarantineRecord('f', (), cleared=RECORD.incarnations)
            await first.write_records([answered])
            found = await second.read_records(0)
            self.assertEqual(found[0].incarnations, ())
            self.assertEqual(found[0].cleared, RECORD.incarnations)

        run_with_store(scenario)

    # Guards against an entry that blames no part after a start, since all
    # crashes of a record seem to be of one moment.
    def test_ages_of_crashes(self):
        async def scenario(store, first, second):
            ages_s = (90.0, 80.0, 70.0)
            await first.write_records([replace(RECORD, ages_s=ages_s)])
            found = await second.read_records(0)
            for age_s, expected_s in zip(found[0].ages_s, ages_s, strict=True):
                self.assertLess(abs(age_s - expected_s), 30)
            self.assertAlmostEqual(
                found[0].ages_s[0] - found[0].ages_s[2], 20, places=2
            )

        run_with_store(scenario)

    def test_record_of_an_older_version(self):
        """It has no ages of single crashes."""

        async def scenario(store, first, second):
            plain = {'ends': ['a', 'b', 'c'], 'since_ms': 1, 'trials': 0}
            store.get_topic(TOPIC).put('f', json.dumps(plain).encode())
            found = await second.read_records(0)
            self.assertEqual(found[0].ages_s, ())
            self.assertEqual(len(list(found[0].get_crashes())), 3)

        run_with_store(scenario)

    def test_long_polling_read_ends_with_a_write(self):
        async def scenario(store, first, second):
            await second.read_records(0)
            async with anyio.create_task_group() as group:
                group.start_soon(first.write_records, [RECORD])
                found = await second.read_records(600)
            self.assertEqual([record.name for record in found], ['f'])

        run_with_store(scenario)

    def test_one_probe_for_all_entries(self):
        async def scenario(store, first, second):
            await first.write_records([RECORD])
            granted = [
                await claim_probe(topic, RECORD)
                for topic in (first, second, first)
            ]
            self.assertEqual(granted, [True, False, False])
            found = await second.read_records(0)
            self.assertEqual(found[0].probes, 1)
            self.assertLess(found[0].age_s, 30)

        run_with_store(scenario)

    def test_concurrent_claims_of_a_probe(self):
        granted = []

        async def scenario(store, first, second):
            await first.write_records([RECORD])
            write = first.write_records

            async def write_later(*args):
                granted.append(await claim_probe(second, RECORD))
                return await write(*args)

            first.write_records = write_later
            granted.append(await claim_probe(first, RECORD))

        run_with_store(scenario)
        self.assertEqual(granted, [True, False])

    def test_crash_seen_by_another_entry_meanwhile(self):
        """A request that has just crashed another target is not probed."""

        async def scenario(store, first, second):
            await first.write_records(
                [QuarantineRecord('f', ('t1', 't2', 't3', 't4'), 1)]
            )
            self.assertFalse(await claim_probe(second, RECORD))

        run_with_store(scenario)

    def test_invalid_records(self):
        """Invalid records are skipped and do not affect the others."""

        async def scenario(store, first, second):
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
            await first.write_records([RECORD])
            found = await second.read_records(0)
            self.assertEqual([record.name for record in found], ['f'])

        run_with_store(scenario)

    def test_error_status_of_the_store(self):
        async def scenario(store, first, second):
            store.status = 503
            with self.assertRaises(DirectoryError):
                await first.write_records([RECORD])
            with self.assertRaises(DirectoryError):
                await claim_probe(first, RECORD)

        run_with_store(scenario)
