"""
Requests that cross the close of an idle connection.

Seen: a target got a request whose caller found its connection closed.  How:
once the time of notice is over, all idle connections are closed; a request
whose bytes come in the steps of the event loop between the beginning of that
and the close itself was read and passed on, and its answer went nowhere.
Cause: the web server lets a request begin on a connection that it is closing,
and nothing but the server knew that it was.
"""

import socket
import unittest
from dataclasses import replace
from random import Random
from unittest.mock import patch

import anyio

from tests.relaying import HOST, SETTINGS
from trestledock.demo import get_free_port
from trestledock.entry import _daemon, _server
from trestledock.entry._app import EntryApp
from trestledock.entry._state import EntryState
from trestledock.platform._headers import PlatformDialect

#: Far above the steps that the close takes.
STEPS = 30
REQUEST = (
    f'GET /p/x HTTP/1.1\r\nHost: {HOST}\r\nTrestledock-Request-Id: r\r\n\r\n'
).encode()


class StubRelayer:
    """Passes each request on to a target, and answers after a moment."""

    def __init__(self):
        self.calls = []

    async def relay(self, call, reply):
        self.calls.append(call)
        await anyio.sleep(0.05)
        await reply.start(200, ((b'content-length', b'2'),))
        await reply.finish(b'ok')

    async def turn_away(self, call, reply):
        await reply.start(503, ((b'content-length', b'0'),))
        await reply.finish()


class Connection:
    """A caller's kept connection, used without waiting for anything."""

    def __init__(self, port):
        self.sock = socket.create_connection(('127.0.0.1', port))
        self.sock.setblocking(False)

    def send(self):
        try:
            self.sock.sendall(REQUEST)
        except ConnectionError:
            return

    async def read(self, wanted):
        """Read until some bytes have come, or the other side has ended."""
        raw = b''
        while wanted not in raw:
            try:
                more = self.sock.recv(4096)
            except BlockingIOError:
                await anyio.sleep(0.005)
                continue
            except ConnectionError:
                break
            if not more:
                break
            raw += more
        return raw


async def connect(port):
    """Return a connection on which one request was answered."""
    while True:
        try:
            connection = Connection(port)
        except OSError:
            await anyio.sleep(0.01)
            continue
        connection.send()
        await connection.read(b'ok')
        return connection


async def cross(steps):
    """Send a request some steps after the end of the notice.

    Return how often it was passed on, and what its caller got.
    """
    port = get_free_port()
    settings = replace(
        SETTINGS,
        callers=f'127.0.0.1:{port}',
        ready=f'127.0.0.1:{get_free_port()}',
        peers=f'127.0.0.1:{get_free_port()}',
    )
    relayer = StubRelayer()
    async with anyio.create_task_group() as group:
        state = EntryState(settings, 'entry-1#a', Random(1), group)
        app = EntryApp(state, relayer, PlatformDialect(), None, None)
        server = _server.Server()
        group.start_soon(_server.listen, state, app, server)
        connection = await connect(port)
        group.start_soon(_daemon._drain, state, server, settings.grace_s)
        while not server.stop.is_set():
            await anyio.sleep(0)
        for _ in range(steps):
            await anyio.sleep(0)
        connection.send()
        raw = await connection.read(b'ok')
        connection.sock.close()
        group.cancel_scope.cancel()
    return len(relayer.calls) - 1, raw


class CrossingTest(unittest.TestCase):
    """A request on an idle connection, at each step of its close."""

    def test_passed_on_is_answered(self):
        """What was passed on is answered, whenever it came."""
        lost = []
        with patch.object(_daemon, 'DRAIN_DELAY_S', 0):
            for steps in range(STEPS):
                passed, raw = anyio.run(cross, steps)
                if passed and not raw.endswith(b'ok'):
                    lost.append(steps)
        self.assertEqual(lost, [])

    def test_no_request_is_left_without_a_word(self):
        """Whatever comes as the notice ends is answered, or refused.

        Seen on a machine that was busy: a request whose connection was closed
        0.2 s after it had been sent, without an answer.  The connection was
        new, and closed as an idle one before its request had been read.
        """
        silent = []
        with patch.object(_daemon, 'DRAIN_DELAY_S', 0):
            for steps in range(STEPS):
                _, raw = anyio.run(cross, steps)
                if not raw.startswith((b'HTTP/1.1 200', b'HTTP/1.1 503')):
                    silent.append(steps)
        self.assertEqual(silent, [])
