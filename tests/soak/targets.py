"""
Stand-ins of targets
====================

One incarnation of an engine or a plain service: it registers in the store,
works on requests, keeps tickets, and misbehaves on demand.  Every run is
written to the ledger.
"""

import json
import time
from dataclasses import dataclass, field
from random import Random
from typing import Any, Callable
from zlib import crc32

import anyio
from anyio.abc import SocketAttribute, TaskGroup

from tests.soak.ledger import Ledger, Run
from tests.soak.links import Link
from tests.soak.serving import Exchange, Headers, Reset, serve_stream
from tests.soak.store import TARGETS, Store

#: Requests that a target works on at once, and that may wait besides.
SLOTS = 8
QUEUE = 16
#: Tokens that are read in a second, and the time of one event, in seconds.
READ_RATE = 200_000
EVENT_S = 0.05
PLAIN_S = 0.02
HEARTBEAT_S = 1.2
TOKENS_AN_EVENT = 43
#: A target that has left the store, with or without saying so, serves on for so
#: long, in seconds.
LINGER_S = (5.0, 9.0)
#: What only the store is asked: entries of another run on this machine may
#: still ask for it at a port that has been its store's.
STORE_PATHS = '/log-'
#: States of targets; one that has vanished writes nothing to the store.
READY, LEAVING, VANISHED = 'ready', 'draining', 'vanished'
#: What the path of a request holds that ends whatever begins to run it.
DEADLY = 'deadly'
#: How much of its answer is written before: nothing, the head, an event.
LAST_WORDS = ('', 'head', 'events')
#: Times that the text of a plain answer is repeated: in one answer of so many
#: it is long, four megabytes, more than the system's buffers hold on the way to
#: a slow caller.
REPEATS, LONG_REPEATS, LONG_EVERY = 20, 250_000, 25
#: How long a ticket may lie idle after its last use, and without any, in
#: seconds (`freeMs` and `idleMaxMs` of the settings).
FREE_S = 4.0
UNUSED_S = 9.0
NS_IN_MS = 1_000_000


def get_unix_ms() -> int:
    """Return the time of day in whole milliseconds."""
    return time.time_ns() // NS_IN_MS


@dataclass
class Ticket:
    """Reserved memory: when its lease ends, and how many requests use it."""

    until: float
    free_since: float
    used: bool = False
    users: int = 0


@dataclass
class Quirks:
    """The share of requests with which a target does something wrong."""

    fails: float = 0
    sheds: float = 0
    loses: float = 0
    breaks: float = 0
    mixes: float = 0
    mute: float = 0


def get_seal(incarnation: str, req_id: str) -> str:
    """Return what proves that a target made an answer."""
    return f'{incarnation}.{crc32(req_id.encode()):08x}'


def get_body(incarnation: str, req_id: str) -> bytes:
    """Return the whole body of a plain answer."""
    is_long = crc32(req_id.encode()) % LONG_EVERY == 0
    repeats = LONG_REPEATS if is_long else REPEATS
    return f'{req_id} by {incarnation}; '.encode() * repeats


def _do_nothing(_: 'Target') -> None:
    """Stand for what follows the end of a target."""


def make_event(req_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f'id: {number}\ndata: {req_id} {number}\n\n'.encode()


def count_events(sizes: str) -> int:
    """Return how many events a stream has by its token counts."""
    return max(1, int(sizes.partition(',')[2]) // TOKENS_AN_EVENT)


@dataclass(eq=False)
class Target:
    """One incarnation of a target behind a link of its own.

    While there is a `rest`, it turns all away and asks for as many seconds.
    """

    target_id: str
    service: str
    data_centre: str
    ledger: Ledger
    store: Store
    rng: Random
    quirks: Quirks = field(default_factory=Quirks)
    tickets: dict[str, Ticket] = field(default_factory=dict)
    state: str = READY
    running: int = 0
    limit: str = ''
    rest: str = ''
    says_leaving: bool = False
    sequence: int = 0
    link: Link = field(default_factory=lambda: Link(''))
    gone: anyio.Event = field(default_factory=anyio.Event)
    born: int = field(default_factory=get_unix_ms)
    on_crash: Callable[['Target'], None] = _do_nothing

    @property
    def incarnation(self) -> str:
        """The name of this start of the target, for the ledger."""
        return f'{self.target_id}@{self.born}'

    async def live(self, group: TaskGroup) -> None:
        """Start, register, and end when `gone` is set."""
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=0
        )
        port = listener.extra(SocketAttribute.local_port)
        self.link.address = f'127.0.0.1:{port}'
        await self.link.open(group)
        group.start_soon(self._work, listener)

    async def _work(self, listener: anyio.abc.SocketListener) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, self._serve)
            group.start_soon(self._register)
            await self.gone.wait()
            self.link.close()
            group.cancel_scope.cancel()
        await listener.aclose()

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        await serve_stream(stream, self._handle)

    async def _register(self) -> None:
        while self.state != VANISHED:
            self.write_entry()
            await anyio.sleep(HEARTBEAT_S)

    async def leave(self, state: str) -> None:
        """Say in the store that it leaves, or vanish from it; serve on."""
        self.state = state
        self.says_leaving = self.says_leaving or state == LEAVING
        while self.store.status != 200:
            await anyio.sleep(0.1)
        if state == VANISHED:
            self.store.put_json(TARGETS, self.target_id, None)
        else:
            self.write_entry()
        self.ledger.note_change('leaving', self.incarnation)
        await anyio.sleep(self.rng.uniform(*LINGER_S))

    def make_entry(self) -> dict[str, Any]:
        """Return the own entry."""
        return {
            'service': self.service,
            'address': self.link.listed,
            'zone': self.data_centre,
            'version': 'v1',
            'slots': SLOTS,
            'state': self.state,
            'sequence': self.sequence,
            'born': self.born,
        }

    def write_entry(self) -> None:
        """Write the own entry, unless the store is down."""
        if self.store.status != 200:
            return
        self.sequence += 1
        plain = self.make_entry()
        self.store.put_json(TARGETS, self.target_id, plain)

    async def _handle(self, exchange: Exchange) -> None:
        if exchange.path.startswith(STORE_PATHS):
            await exchange.answer(404)
            return
        headers = exchange.headers
        expected = headers.get('trestledock-expect-instance', self.target_id)
        if expected != self.target_id:
            await exchange.answer(421)
            return
        if exchange.path == '/order':
            await self._take_order(exchange)
            return
        req_id = headers.get('trestledock-request-id', '')
        self.ledger.note_arrival(req_id, self.incarnation)
        full = self.running >= SLOTS + QUEUE
        if full or self.rest or self.rng.random() < self.quirks.sheds:
            await self._turn_away(exchange, req_id)
            return
        self.running += 1
        try:
            await self._run(exchange)
        finally:
            self.running -= 1

    async def _turn_away(self, exchange: Exchange, req_id: str) -> None:
        refused = [('Trestledock-Not-Executed', '1'), *self._get_notices()]
        if self.rest:
            refused.append(('Retry-After', self.rest))
            self.ledger.note_rest(req_id, self.incarnation, float(self.rest))
        await exchange.answer(503, b'', refused)

    def name_limit(self, text: str, per_s: float | None) -> None:
        """Name a limit in all answers from now on; no text for none."""
        self.limit = text
        self.ledger.note_naming(self.incarnation, per_s)

    def _get_notices(self) -> Headers:
        """Return what the target says of itself in all its answers."""
        limit = [('Server-Limit', self.limit)] if self.limit else []
        leaving = [('Server-Leaving', '1')] if self.says_leaving else []
        return [*limit, *leaving]

    async def _run(self, exchange: Exchange) -> None:
        headers = exchange.headers
        req_id = headers.get('trestledock-request-id', '')
        run = Run(
            req_id=req_id,
            target=self.incarnation,
            service=self.service,
            began_at=time.monotonic(),
            team=headers.get('trestledock-tenant', ''),
            sizes=headers.get('trestledock-token-counts', ''),
            seal=get_seal(self.incarnation, req_id),
            key_seen='authorization' in headers,
            digest=crc32(exchange.body),
        )
        self.ledger.runs.append(run)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._cancel_when_left, exchange, group)
                await self._respond(exchange, run)
                group.cancel_scope.cancel()
        except BaseExceptionGroup as exc:
            raise exc.exceptions[0] from None
        finally:
            run.ended_at = time.monotonic()

    async def _cancel_when_left(
        self, exchange: Exchange, group: TaskGroup
    ) -> None:
        await exchange.wait_for_end()
        group.cancel_scope.cancel()

    async def _respond(self, exchange: Exchange, run: Run) -> None:
        drawn = self.rng.random
        if drawn() < self.quirks.mute:
            await anyio.sleep_forever()
        own_id = run.req_id
        if drawn() < self.quirks.mixes:
            own_id = 'another'
        headers = [
            ('Trestledock-Request-Id', own_id),
            ('Trestledock-Response-Seal', run.seal),
            *self._get_notices(),
        ]
        run.leaves = self.says_leaving
        if DEADLY in exchange.path:
            await self._crash(exchange, run, headers)
        elif drawn() < self.quirks.fails:
            run.status = 500
            await exchange.answer(500, b'failed', headers)
        elif run.sizes:
            await self._stream(exchange, run, headers)
        else:
            await self._answer_plain(exchange, run, headers)

    async def _crash(
        self, exchange: Exchange, run: Run, headers: Headers
    ) -> None:
        """End with the request that is begun, and with all others."""
        if run.sizes:
            await self._read_prompt(exchange, run)
        words = self.rng.choice(LAST_WORDS)
        if words:
            await exchange.start(200, headers)
        if words == 'events' and run.sizes:
            await exchange.write(make_event(run.req_id, 1))
        self.ledger.note_end(exchange.path, self.incarnation)
        self.on_crash(self)
        await anyio.sleep_forever()

    async def _answer_plain(
        self, exchange: Exchange, run: Run, headers: Headers
    ) -> None:
        await anyio.sleep(PLAIN_S * self.rng.uniform(0.5, 2))
        run.status = 200
        if self.rng.random() < self.quirks.loses:
            raise Reset
        body = get_body(run.target, run.req_id)
        if self.rng.random() < self.quirks.breaks:
            listed = [*headers, ('Content-Length', str(len(body)))]
            await exchange.start(200, listed)
            await exchange.write(body[: len(body) // 2])
            raise Reset
        await exchange.answer(200, body, headers)

    async def _stream(
        self, exchange: Exchange, run: Run, headers: Headers
    ) -> None:
        tickets = self._use_tickets(exchange)
        try:
            await self._answer_stream(exchange, run, headers)
        finally:
            for ticket in tickets:
                ticket.users -= 1
                ticket.free_since = time.monotonic()

    async def _answer_stream(
        self, exchange: Exchange, run: Run, headers: Headers
    ) -> None:
        await self._read_prompt(exchange, run)
        run.status = 200
        if self.rng.random() < self.quirks.loses:
            raise Reset
        await exchange.start(200, headers)
        await self._write_events(exchange, run)

    async def _read_prompt(self, exchange: Exchange, run: Run) -> None:
        tokens = int(run.sizes.partition(',')[0])
        helpers = exchange.headers.get('trestledock-helpers', '')
        parts = 1 + len([one for one in helpers.split(',') if one])
        await anyio.sleep(tokens / READ_RATE / parts)

    async def _write_events(self, exchange: Exchange, run: Run) -> None:
        first = int(exchange.headers.get('last-event-id') or 0) + 1
        last = count_events(run.sizes)
        breaking = self.rng.random() < self.quirks.breaks
        for number in range(first, last + 1):
            event = make_event(run.req_id, number)
            if breaking and number > (first + last) // 2:
                await exchange.write(event[: len(event) // 2])
                raise Reset
            await exchange.write(event)
            await anyio.sleep(EVENT_S)
        await exchange.finish()

    def _use_tickets(self, exchange: Exchange) -> list[Ticket]:
        """Note the use of tickets; all are looked up at this target's peers."""
        helpers = exchange.headers.get('trestledock-helpers', '')
        names = [
            one.partition('/')[2] for one in helpers.split(',') if '/' in one
        ]
        used = [
            ticket
            for name in names
            if (ticket := TICKETS_BY_NAME.get(name)) is not None
        ]
        for ticket in used:
            ticket.users += 1
            ticket.used = True
            if ticket.users > 1:
                self.ledger.ticket_clashes.add(','.join(names))
        return used

    async def _take_order(self, exchange: Exchange) -> None:
        order = json.loads(exchange.body)
        now = time.monotonic()
        name = order['id']
        if order['operation'] == 'release':
            self.tickets.pop(name, None)
            TICKETS_BY_NAME.pop(name, None)
            await exchange.answer(200, b'{}', self._get_notices())
            return
        until = now + order['holdMs'] / 1000
        if name in self.tickets:
            self.tickets[name].until = until
        else:
            self.tickets[name] = Ticket(until, now)
            TICKETS_BY_NAME[name] = self.tickets[name]
        await exchange.answer(200, b'{"available":1}', self._get_notices())

    def note_leaks(self, now: float) -> None:
        """Note the tickets that lie idle for longer than they may."""
        for name, ticket in self.tickets.items():
            idle_s = min(now, ticket.until) - ticket.free_since
            limit_s = FREE_S if ticket.used else UNUSED_S
            if not ticket.users and idle_s > limit_s:
                self.ledger.ticket_leaks.add(f'{name} at {self.incarnation}')


#: All tickets of a run by name, so that the first target can note their use.
TICKETS_BY_NAME: dict[str, Ticket] = {}
