"""The client of the store after a long time without a read of its own.

An entry that others read for keeps its place in the log and its connection from
its last own read.
"""

import unittest

import anyio

from tests.test_platform_store import (
    StubStore,
    make_answer,
    make_record,
    run_with_stub,
)
from trestledock.platform._store import BOUNDS, KeyedTopic, StoreClient

FIRST = make_answer(200, b'{"items":[],"endOffset":3}')


class BacklogTest(unittest.TestCase):
    """One answer of the log has a part of what is new: a megabyte at most."""

    def test_read_ends_at_the_end_of_the_log(self):
        """A read that counts as fresh has brought all that there was."""
        part = BOUNDS.pack(5, 0) + make_record(b'a', b'1')
        rest = BOUNDS.pack(5, 0) + make_record(b'a', b'')
        found = []

        async def scenario(client):
            topic = KeyedTopic(client, 'keyed.servers')
            await topic.read()
            batch = await topic.read()
            found.extend(one.text for one in batch.records)

        answers = [FIRST, make_answer(200, part), make_answer(200, rest)]
        run_with_stub(answers, scenario)
        self.assertEqual(found, [b'1', b''])


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
        stub = ClosingStore([FIRST, make_answer(200, BOUNDS.pack(3, 0))])

        async def main():
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, stub.serve)
                topic = KeyedTopic(StoreClient(f'127.0.0.1:{port}'), 'keyed.op')
                await topic.read()
                await anyio.sleep(0.1)
                batch = await topic.read()
                group.cancel_scope.cancel()
            await listener.aclose()
            return batch.end

        self.assertEqual(anyio.run(main), 3)
