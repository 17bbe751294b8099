"""The web server of an entry between stub targets and callers on sockets."""

import os
from dataclasses import dataclass, replace
from unittest import mock

import anyio
import h11

from tests.relaying import HOST, KEY, SETTINGS, run_world
from tests.soak.world import get_network
from tests.tunnelling import wait_for_port
from trestledock.entry import _server
from trestledock.entry._app import EntryApp
from trestledock.entry._datagrams import split_address
from trestledock.platform._headers import PlatformDialect

CALLERS_PORT = 7351
#: Far above the time of any exchange here, in seconds.
TIMEOUT_S = 20


@dataclass(frozen=True)
class RawAnswer:
    """What a caller received, and whether its connection was then reset."""

    raw: bytes
    was_reset: bool = False

    def parse(self, method='POST'):
        """Return the head, the body, and whether the answer looks complete."""
        http = h11.Connection(h11.CLIENT)
        http.send(
            h11.Request(method=method, target='/', headers=[('host', 'a')])
        )
        http.send(h11.EndOfMessage())
        http.receive_data(self.raw)
        if not self.was_reset:
            http.receive_data(b'')
        return _read_events(http)

    @property
    def looks_complete(self):
        """Whether nothing tells the caller that something is missing."""
        return self.parse()[2]

    @property
    def body(self):
        """The body, as far as it came."""
        return self.parse()[1]

    @property
    def is_framed(self):
        """Whether a length or chunks tell where the answer ends."""
        head = self.parse()[0]
        names = {name for name, _ in head.headers} if head else set()
        return bool(names & {b'content-length', b'transfer-encoding'})


def _read_events(http):
    head, body = None, b''
    while True:
        try:
            event = http.next_event()
        except h11.RemoteProtocolError:
            return head, body, False
        if isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return head, body, True
        else:
            return head, body, False


class RawCaller:
    """Sends requests on new connections to the web server of an entry."""

    def __init__(self, address):
        self.address = address

    async def ask(self, method='POST', version='1.1', body=b''):
        """Send a request; return the answer, read until its connection ends."""
        lines = (
            f'{method} /p/x HTTP/{version}',
            f'Host: {HOST}',
            'Trestledock-Request-Id: r1',
            'Trestledock-Request-Deadline: 4000',
            f'Authorization: Bearer {KEY}',
            f'Content-Length: {len(body)}',
            'Connection: close',
        )
        head = '\r\n'.join((*lines, '', ''))
        with anyio.fail_after(TIMEOUT_S):
            host, port = split_address(self.address)
            async with await anyio.connect_tcp(host, port) as stream:
                await stream.send(head.encode() + body)
                return await _read_to_end(stream)


async def _read_to_end(stream):
    raw = b''
    while True:
        try:
            raw += await stream.receive()
        except anyio.EndOfStream:
            return RawAnswer(raw)
        except anyio.BrokenResourceError:
            return RawAnswer(raw, was_reset=True)


def run_server(route, targets, scenario):
    """Run `scenario(caller, world)` beside an entry's web server."""
    host = f'{get_network(os.getpid())}.250'
    settings = replace(
        SETTINGS,
        callers=f'{host}:{CALLERS_PORT}',
        ready=f'{host}:{CALLERS_PORT + 1}',
        peers=f'{host}:{CALLERS_PORT + 2}',
    )

    async def serve(world):
        world.state.settings = settings
        pool = world.relayer.sender.pool
        world.state.isolation.hooks.reconnect = pool.check_connection
        app = EntryApp(
            world.state,
            world.relayer,
            PlatformDialect(),
            mock.Mock(),
            mock.Mock(),
        )
        server = _server.Server()
        world.state.group.start_soon(_server.listen, world.state, app, server)
        await wait_for_port(settings.callers)
        await scenario(RawCaller(settings.callers), world)
        server.stop.set()
        with anyio.move_on_after(1):
            await server.ended.wait()

    with mock.patch.object(_server, 'LINGER_S', 0):
        run_world(route, targets, serve)
