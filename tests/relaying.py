"""A relayer with stub targets on loopback, for tests of relayed requests."""

from dataclasses import dataclass
from random import Random

import anyio
from anyio.abc import SocketAttribute

from tests.soak.serving import reset
from trestledock.entry import EntrySettings
from trestledock.entry._pool import Pool
from trestledock.entry._relaying import Relayer
from trestledock.entry._reply import CutReply, Reply
from trestledock.entry._sending import Sender
from trestledock.entry._state import EntryState
from trestledock.entry._tickets import Tickets
from trestledock.platform._headers import PlatformDialect
from trestledock.relay import (
    Body,
    Catalog,
    ListedTarget,
    Route,
    RouteKind,
    Service,
    Share,
    Standing,
    TeamKey,
)

#: The last chunk of a body, and bytes that are no valid chunk.
END_CHUNK = b'0\r\n\r\n'
BROKEN = b'zz'
KEY = 'key-1'
HOST = 'a.example'
SETTINGS = EntrySettings(
    instance='entry-1',
    data_centre='dc',
    callers='127.0.0.1:1',
    ready='127.0.0.1:2',
    peers='127.0.0.1:3',
    store='127.0.0.1:4',
    revoke_s=5,
)


def make_route(kind=RouteKind.idempotent, **fields):
    """Return a route to the stub service."""
    fields.setdefault('max_attempts', 2)
    fields.setdefault('timeout_s', 5)
    return Route('r', HOST, '/p/', kind, (Share('svc'),), **fields)


def make_answer(body=b'ok', status=200, req_id='r1', *, seal=True, more=()):
    """Return the bytes of a target's answer."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines.append(f'Trestledock-Request-Id: {req_id}')
    if seal:
        lines.append('Trestledock-Response-Seal: s')
    lines.extend(more)
    return '\r\n'.join([*lines, '', '']).encode() + body


def make_stream(first, last, *, end=END_CHUNK, req_id='r1'):
    """Return a chunked stream of the events from `first` to `last`."""
    head = (
        'HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n'
        f'Trestledock-Request-Id: {req_id}\r\n'
        'Trestledock-Response-Seal: s\r\n\r\n'
    )
    raw = head.encode()
    for number in range(first, last + 1):
        event = b'id: %d\ndata: x\n\n' % number
        raw += b'%x\r\n%s\r\n' % (len(event), event)
    return b''.join((raw, end))


class Hang:
    """An answer that is never sent."""


class Reset:
    """A connection reset instead of an answer."""


@dataclass(frozen=True)
class DelayedAnswer:
    """An answer with a pause between its two parts."""

    first: bytes
    rest: bytes
    pause_s: float = 1.5


@dataclass(frozen=True)
class AbortedAnswer:
    """A partial answer, and a closed connection after a pause."""

    first: bytes
    pause_s: float = 0.3


class FinalAnswer(AbortedAnswer):
    """An answer whose target ends with it: its port is closed."""


class ResetAnswer(AbortedAnswer):
    """A partial answer, and a reset."""


class StubTarget:
    """Sends one prepared answer for each request and records the requests."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        self.closed = anyio.Event()
        self.connections = 0
        self.port = 0
        self.listener = None

    async def serve(self, listener):
        self.listener = listener
        try:
            await listener.serve(self._handle)
        except* anyio.ClosedResourceError:
            self.closed.set()

    async def wait_for_request(self):
        """Wait until a request has arrived."""
        while not self.requests:
            await anyio.sleep(0.01)

    async def _handle(self, stream):
        self.connections += 1
        async with stream:
            try:
                await self._talk(stream)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                self.closed.set()

    async def _talk(self, stream):
        while True:
            self.requests.append(await read_request(stream))
            answer = self.answers.pop(0) if self.answers else Hang
            if answer is Hang:
                await stream.receive()
            elif answer is Reset:
                reset(stream)
                return
            elif isinstance(answer, AbortedAnswer):
                await stream.send(answer.first)
                await anyio.sleep(answer.pause_s)
                if isinstance(answer, ResetAnswer):
                    reset(stream)
                if isinstance(answer, FinalAnswer):
                    await self.listener.aclose()
                return
            elif isinstance(answer, DelayedAnswer):
                await stream.send(answer.first)
                await anyio.sleep(answer.pause_s)
                await stream.send(answer.rest)
            else:
                await stream.send(answer)


async def read_request(stream):
    """Read one request, with a body of `Content-Length`; return its head."""
    raw = b''
    while b'\r\n\r\n' not in raw:
        raw += await stream.receive()
    head, _, body = raw.partition(b'\r\n\r\n')
    length = 0
    for line in head.decode().split('\r\n'):
        name, _, text = line.partition(':')
        if name.lower() == 'content-length':
            length = int(text)
    while len(body) < length:
        body += await stream.receive()
    return head.decode()


class Outcome:
    """The answer that a caller received."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.whole = False
        self.cut = False

    async def receive(self, message):
        if message['type'] == 'http.response.start':
            self.status = message['status']
            self.headers = {
                name.lower().decode(): text.decode()
                for name, text in message['headers']
            }
        else:
            self.body += message['body']
            self.whole = not message['more_body']


class World:
    """A relayer with its state."""

    def __init__(self, state, relayer):
        self.state = state
        self.relayer = relayer
        self.dialect = PlatformDialect()

    async def ask(
        self, req_id='r1', method='POST', key=KEY, headers=(), body=b''
    ):
        """Relay a request; return its outcome."""
        fields = {
            'host': HOST,
            'trestledock-request-id': req_id,
            'trestledock-request-deadline': '4000',
            'authorization': f'Bearer {key}',
        }
        fields.update(headers)
        scope = {
            'method': method,
            'raw_path': b'/p/x',
            'query_string': b'',
            'headers': [
                (name.encode(), text.encode()) for name, text in fields.items()
            ],
        }
        outcome = Outcome()
        now = anyio.current_time()
        call = self.dialect.read_call(scope, Body.from_bytes(body), now)
        try:
            await self.relayer.relay(
                call, Reply(outcome.receive, lambda: self.state.draining)
            )
        except CutReply:
            outcome.cut = True
        return outcome


def run_world(route, targets, scenario, engine=None):
    """Run `scenario(world)` with stub targets behind one route."""

    async def main():
        async with anyio.create_task_group() as group:
            state = EntryState(SETTINGS, 'entry-1#a', Random(1), group)
            state.catalog = Catalog(
                1,
                {HOST: (route,)},
                {'svc': Service('svc', engine=engine)},
                {KEY: TeamKey('kiosks')},
            )
            state.proof.renew(anyio.current_time())
            for number, target in enumerate(targets):
                listener = await anyio.create_tcp_listener(
                    local_host='127.0.0.1'
                )
                target.port = listener.extra(SocketAttribute.local_port)
                group.start_soon(target.serve, listener)
                state.fleet.put(make_listed(number, target.port))
            pool = Pool(state.spawn)
            dialect = PlatformDialect()
            tickets = Tickets(state, pool, dialect)
            sender = Sender(state, pool, dialect, tickets)
            await scenario(World(state, Relayer(state, dialect, sender)))
            group.cancel_scope.cancel()

    anyio.run(main)


def make_listed(number, port):
    """Return the listed target of a stub target."""
    return ListedTarget(
        f't{number}', 'svc', f'127.0.0.1:{port}', 'dc', Standing.ready, 8
    )


#: A stream that fails over after a silence of 0.8 s.
RESUMABLE = make_route(
    RouteKind.streaming, resumable=True, objective_s=0.3, pause_s=0.2
)
#: Four events, and the offset of the third.
WHOLE = make_stream(1, 4)
HALF = WHOLE.index(b'id: 3') - 4
#: Two events, a silence above that timeout, and two more events.
SILENT = DelayedAnswer(WHOLE[:HALF], WHOLE[HALF:])
#: Far above the time of any scenario with stub targets, in seconds.
SCENARIO_TIMEOUT_S = 30


def get_event_ids(outcome):
    """Return the ids of the events that a caller received."""
    return [
        int(line.partition(b' ')[2])
        for line in outcome.body.splitlines()
        if line.startswith(b'id:')
    ]
