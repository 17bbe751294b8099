"""The client of the platform's store, against a stub on loopback."""

import json
import socket
import struct
import unittest

import anyio

from trestledock.entry import DirectoryError, WireError
from trestledock.platform._store import (
    BOUNDS,
    LENGTH,
    Batch,
    KeyedTopic,
    Record,
    StoreClient,
    StoreDirectory,
    split_records,
)
from trestledock.relay import Fleet


def make_record(key, text):
    """Return a framed record of a keyed topic."""
    body = bytes((len(key),)) + key + text
    return LENGTH.pack(len(body)) + body


def make_answer(status, body):
    """Return the bytes of an answer."""
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


class StubStore:
    """Gives prepared answers, one a request; None resets the connection."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.requests = []

    async def serve(self, stream):
        async with stream:
            while True:
                raw = await stream.receive()
                self.requests.append(raw.partition(b'\r\n')[0].decode())
                answer = self.answers.pop(0)
                if answer is None:
                    reset(stream)
                    return
                await stream.send(answer)


def reset(stream):
    """Make the close of a stream a reset."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))


def run_with_stub(answers, scenario):
    """Run `scenario(client)` against a stub; return the stub."""
    stub = StubStore(answers)

    async def main():
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(serve_quietly, listener, stub)
            await scenario(StoreClient(f'127.0.0.1:{port}'))
            group.cancel_scope.cancel()
        await listener.aclose()

    anyio.run(main)
    return stub


async def serve_quietly(listener, stub):
    async def handle(stream):
        try:
            await stub.serve(stream)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return

    await listener.serve(handle)


class StoreTest(unittest.TestCase):
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


def make_heartbeat(state, sequence):
    """Return a target's record as it stands in the log."""
    fields = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'dc',
        'state': state,
        'slots': 8,
        'sequence': sequence,
    }
    return Record('t1', json.dumps(fields).encode())


class TargetsTest(unittest.TestCase):
    """What is read of targets."""

    def read(self, *records):
        """Return the targets that may get new work after one read."""
        directory = StoreDirectory('127.0.0.1:1')

        async def read():
            return Batch(records, len(records))

        directory._targets.read = read
        fleet = Fleet()
        for one in anyio.run(directory.read_targets).targets:
            fleet.put(one.listed)
        return [one.target_id for one in fleet.get_usable('s')]

    def test_late_heartbeat_hides_nothing(self):
        """A target leaves, though an older heartbeat is written after that.

        A heartbeat whose answer was lost may be carried out seconds later.
        Where it came into the same read as the word that the target leaves,
        only the last of both was kept, and the target got work for as long as
        its next heartbeat took: 1.2 s and more.
        """
        found = self.read(
            make_heartbeat('ready', 4),
            make_heartbeat('draining', 6),
            make_heartbeat('ready', 5),
        )
        self.assertEqual(found, [])
