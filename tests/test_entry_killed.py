"""A real entry process that ends in the middle of an answer without framing."""

import signal
import unittest

import anyio

from tests.soak.callers import HOST
from tests.soak.entries import PORTS
from tests.soak.world import Size
from tests.test_entry_processes import play
from tests.test_entry_shutdown import (
    LONG_ID,
    NARROW,
    RECEIVE_BYTES,
    make_request,
    open_narrow,
    wait_for_log,
)

SIZE = Size(entries=1, engines=1, plain=1, grace_s=5)
#: A stream of some two seconds.
REQUEST = (
    'POST /notes/x HTTP/1.1\r\n'
    f'Host: {HOST}\r\n'
    'Trestledock-Request-Id: r\r\n'
    'Trestledock-Request-Deadline: 8000\r\n'
    'Trestledock-Token-Counts: 1000,1700\r\n'
    'Authorization: Bearer key-desk-0\r\n'
    'Content-Length: 0\r\n\r\n'
)


class KilledEntryTest(unittest.TestCase):
    """What its callers see."""

    def receive(self, sign):
        """Return how a caller's answer ends, and its bytes."""
        found = []

        async def scenario(world):
            for target in world.targets:
                target.ends_by_close = True
            entry = world.entries[0]
            async with await anyio.connect_tcp(
                entry.host, PORTS['front']
            ) as stream:
                await stream.send(REQUEST.encode())
                raw = await stream.receive()
                entry.ending = True
                entry.send(sign)
                try:
                    while True:
                        raw += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError) as exc:
                    found.extend((type(exc), raw))

        play(scenario, SIZE)
        return found

    # Guards against an answer that looks complete to its caller as the entry is
    # killed: the system closes the connections of a process that ends.
    def test_killed_entry_resets(self):
        ending, raw = self.receive(signal.SIGKILL)
        self.assertIs(ending, anyio.BrokenResourceError)
        self.assertNotIn(b'chunked', raw.lower())

    # Guards against an answer that the entry has finished, and of which the
    # caller reads the rest only after the entry was killed.
    def test_killed_entry_resets_what_is_unread(self):
        found = []

        async def scenario(world):
            for target in world.targets:
                target.ends_by_close = True
            entry = world.entries[0]
            sock = open_narrow(entry)
            sock.sendall(make_request('GET', '/look/x', LONG_ID))
            await wait_for_log(entry, 'answered')
            entry.ending = True
            entry.send(signal.SIGKILL)
            entry.child.wait()
            try:
                while sock.recv(RECEIVE_BYTES):
                    await anyio.sleep(0)
            except ConnectionResetError as exc:
                found.append(exc)
            sock.close()

        play(scenario, SIZE, NARROW)
        self.assertEqual(len(found), 1)

    def test_stopping_entry_passes_on_the_rest(self):
        """A graceful shutdown lets the answer end properly."""
        ending, raw = self.receive(signal.SIGTERM)
        self.assertIs(ending, anyio.EndOfStream)
        self.assertIn(b'id: 39\n', raw)
