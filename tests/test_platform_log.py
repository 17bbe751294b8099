"""The client of the platform's log, against a stub on loopback."""

import unittest

from tests.stub_store import make_answer, make_record, run_with_stub
from trestledock.entry import DirectoryError, WireError
from trestledock.platform._log import (
    BOUNDS,
    KeyedTopic,
    split_records,
)


class LogTest(unittest.TestCase):
    """Calls, pages, forgotten history and broken connections."""

    def test_reset_is_an_error_of_the_wire(self):
        """A reset during a call is no group of errors (seen on a hunt)."""
        good = make_answer(200, b'{"items":[],"endOffset":3}')

        async def scenario(client):
            topic = KeyedTopic(client, 'keyed.op')
            with self.assertRaises(WireError):
                await topic.read()
            batch = await topic.read()
            self.assertTrue(batch.whole)
            self.assertEqual(batch.end, 3)

        run_with_stub([None, good], scenario)

    def test_forgotten_history_is_read_anew(self):
        """After a 410 everything is read again."""
        newest = b'{"items":[{"key":"k","value":"dg==","offset":7}],' + (
            b'"endOffset":8}'
        )

        async def scenario(client):
            topic = KeyedTopic(client, 'keyed.op')
            await topic.read()
            batch = await topic.read()
            self.assertTrue(batch.whole)
            self.assertEqual(batch.records[0].text, b'v')

        first = make_answer(200, b'{"items":[],"endOffset":3}')
        gone = make_answer(410, b'{"firstOffset":6}')
        stub = run_with_stub([first, gone, make_answer(200, newest)], scenario)
        self.assertIn('from=3', stub.requests[1])

    def test_reads_go_on_after_the_last_record(self):
        """What was read is not asked for again."""
        records = make_record(b'a', b'1') + make_record(b'b', b'')

        async def scenario(client):
            topic = KeyedTopic(client, 'keyed.op')
            await topic.read()
            batch = await topic.read()
            self.assertEqual([one.key for one in batch.records], ['a', 'b'])
            await topic.read()

        first = make_answer(200, b'{"items":[],"endOffset":3}')
        stub = run_with_stub(
            [
                first,
                make_answer(200, BOUNDS.pack(5, 0) + records),
                make_answer(200, BOUNDS.pack(5, 0)),
            ],
            scenario,
        )
        self.assertIn('from=5', stub.requests[2])

    def test_refusal_is_an_error(self):
        """A 429 or 503 of the store is told as such."""

        async def scenario(client):
            with self.assertRaises(DirectoryError):
                await KeyedTopic(client, 'keyed.op').read()

        run_with_stub([make_answer(503, b'')], scenario)

    def test_split_records(self):
        """Records are cut out of a read; an empty value drops the key."""
        raw = make_record(b'a', b'1') + make_record(b'b', b'')
        found = [(one.key, one.text) for one in split_records(raw)]
        self.assertEqual(found, [('a', b'1'), ('b', b'')])
