"""The client of the platform's log, tested with a stub on loopback."""

import unittest

import anyio

from tests.stub_store import (
    StubStore,
    make_answer,
    make_record,
    run_with_stub,
)
from trestledock.entry import DirectoryError, WireError
from trestledock.entry._store_reader import STORE_ERRORS
from trestledock.platform._epochs import StoreEpochs
from trestledock.platform._log import (
    READ_HEADER,
    KeyedTopic,
    StoreClient,
    split_records,
)


class LogTest(unittest.TestCase):
    """Calls, pages, trimmed records and broken connections."""

    def test_reset_raises_wire_error(self):
        """A reset during a call once raised an exception group instead."""
        good = make_answer(200, b'{"items":[],"endOffset":3}')

        async def scenario(client):
            topic = KeyedTopic(client, 'keyed.op')
            with self.assertRaises(WireError):
                await topic.read()
            batch = await topic.read()
            self.assertTrue(batch.whole)
            self.assertEqual(batch.end, 3)

        run_with_stub([None, good], scenario)

    def test_trimmed_topic_is_read_again(self):
        """All records are read again after a 410."""
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
        trimmed = make_answer(410, b'{"firstOffset":6}')
        stub = run_with_stub(
            [first, trimmed, make_answer(200, newest)], scenario
        )
        self.assertIn('from=3', stub.requests[1])

    def test_reads_continue_after_the_last_record(self):
        """Records are not requested twice."""
        records = make_record(b'a', b'1') + make_record(b'b', b'')

        async def scenario(client):
            topic = KeyedTopic(client, 'keyed.op')
            await topic.read()
            batch = await topic.read()
            self.assertEqual([row.key for row in batch.records], ['a', 'b'])
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

    def test_error_status(self):
        """An error status such as 429 or 503 raises `DirectoryError`."""

        async def scenario(client):
            with self.assertRaises(DirectoryError):
                await KeyedTopic(client, 'keyed.op').read()

        run_with_stub([make_answer(503, b'')], scenario)

    def test_split_records(self):
        """A read is split into records; an empty value deletes the key."""
        raw = make_record(b'a', b'1') + make_record(b'b', b'')
        found = [(row.key, row.value) for row in split_records(raw)]
        self.assertEqual(found, [('a', b'1'), ('b', b'')])


FIRST = make_answer(200, b'{"items":[],"endOffset":3}')


class BacklogTest(unittest.TestCase):
    """A response of the log may contain only a part of the new records.

    It has a megabyte at most.
    """

    def test_read_ends_at_the_end_of_the_log(self):
        """A read must return everything up to the end of the log.

        A reader that is further behind than one response reads the newest
        record of each key instead of a megabyte of heartbeats.
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
        self.assertEqual([row.key for row in batches[0].records], ['b'])
        self.assertEqual(batches[1].records, ())
        self.assertIn('from=5', stub.requests[3])


class ClosingStore(StubStore):
    """Closes its connection after each response without notice."""

    async def serve(self, stream):
        async with stream:
            raw = await stream.receive()
            self.requests.append(raw.partition(b'\r\n')[0].decode())
            await stream.send(self.answers.pop(0))


def make_closed(body):
    """Return a response that only the close of its connection ends."""
    return b'HTTP/1.1 200 X\r\n\r\n%s' % body


class ClosedResponseTest(unittest.TestCase):
    """Responses with neither a length nor chunks, closed after each byte."""

    def read_twice(self, newest, part):
        """Return the batches of two reads; None for one that fails."""
        batches = []

        async def scenario(client):
            topic = KeyedTopic(client, 'keyed.servers')
            for _ in range(2):
                try:
                    batches.append(await topic.read())
                except STORE_ERRORS:
                    batches.append(None)

        # What follows a response that fails is the next one of the store.
        run_with_stub([newest, part, FIRST], scenario, ClosingStore)
        return batches

    # Guards against a record whose value is cut, or which counts as deleted as
    # nothing of its value has come.
    def test_cut_records(self):
        raw = make_record(b'a', b'1') + make_record(b'b', b'value')
        whole = READ_HEADER.pack(5, 0) + raw
        for end in range(len(whole) + 1):
            with self.subTest(end=end):
                batch = self.read_twice(FIRST, make_closed(whole[:end]))[1]
                # A response that ends after a whole record has all read again.
                if batch and not batch.whole:
                    self.assertEqual(end, len(whole))
                    found = [(row.key, row.value) for row in batch.records]
                    self.assertEqual(found, [('a', b'1'), ('b', b'value')])

    # Guards against a part of the list that is taken for a shorter list, and
    # against an error that is not one of the store's.
    def test_cut_list(self):
        whole = b'{"items":[{"key":"b","value":"dg=="}],"endOffset":3}'
        for end in range(len(whole) + 1):
            with self.subTest(end=end):
                newest = make_closed(whole[:end])
                batch = self.read_twice(newest, FIRST)[0]
                self.assertEqual(batch is not None, end == len(whole))


class IdleConnectionTest(unittest.TestCase):
    """The store closes an idle connection."""

    def test_read_after_close_of_idle_connection(self):
        """The call is repeated on a new connection and succeeds."""
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
