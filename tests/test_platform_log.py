"""The client of the platform's log, against a stub on loopback."""

import unittest

import anyio

from tests.stub_store import (
    StubStore,
    make_answer,
    make_record,
    run_with_stub,
)
from trestledock.entry import DirectoryError, WireError
from trestledock.platform._epochs import StoreEpochs
from trestledock.platform._log import (
    READ_HEADER,
    KeyedTopic,
    StoreClient,
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
            self.assertEqual(batch.records[0].value, b'v')

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
                make_answer(200, READ_HEADER.pack(5, 0) + records),
                make_answer(200, READ_HEADER.pack(5, 0)),
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
        found = [(one.key, one.value) for one in split_records(raw)]
        self.assertEqual(found, [('a', b'1'), ('b', b'')])


FIRST = make_answer(200, b'{"items":[],"endOffset":3}')


class BacklogTest(unittest.TestCase):
    """One answer of the log has a part of what is new: a megabyte at most."""

    def test_read_ends_at_the_end_of_the_log(self):
        """A read that counts as fresh has brought all that there was.

        Who is further behind than one answer has room for reads the newest
        record of each key, instead of a megabyte of heartbeats.
        """
        part = READ_HEADER.pack(5, 0) + make_record(b'a', b'1')
        newest = b'{"items":[{"key":"b","value":"dg=="}],"endOffset":5}'
        batches = []

        async def scenario(client):
            topic = KeyedTopic(client, 'keyed.servers')
            await topic.read()
            batches.extend([await topic.read(), await topic.read()])

        answers = [
            FIRST,
            make_answer(200, part),
            make_answer(200, newest),
            make_answer(200, READ_HEADER.pack(5, 0)),
        ]
        stub = run_with_stub(answers, scenario)
        self.assertTrue(batches[0].whole)
        self.assertEqual([one.key for one in batches[0].records], ['b'])
        self.assertEqual(batches[1].records, ())
        self.assertIn('from=5', stub.requests[3])


class ClosingStore(StubStore):
    """Closes its connection after each answer, without a word."""

    async def serve(self, stream):
        async with stream:
            raw = await stream.receive()
            self.requests.append(raw.partition(b'\r\n')[0].decode())
            await stream.send(self.answers.pop(0))


class IdleConnectionTest(unittest.TestCase):
    """A kept connection was closed while nothing was asked."""

    def test_read_after_a_close_is_no_loss_of_the_store(self):
        """It is a matter of the connection: the store itself is well."""
        stub = ClosingStore([FIRST, make_answer(200, READ_HEADER.pack(3, 0))])

        async def main():
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, stub.serve)
                client = StoreClient(f'127.0.0.1:{port}', StoreEpochs())
                topic = KeyedTopic(client, 'keyed.op')
                await topic.read()
                await anyio.sleep(0.1)
                batch = await topic.read()
                group.cancel_scope.cancel()
            await listener.aclose()
            return batch.end

        self.assertEqual(anyio.run(main), 3)
