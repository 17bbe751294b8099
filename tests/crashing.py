"""Entries and targets that crash under a marked request or part of a prompt.

A target that starts to run one closes all its connections and stops.
It is listed again at all entries after a restart, either under its id with a
new birth or under a new id.  Messages between entries arrive at once.
"""

from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import Callable

import anyio
from anyio.abc import SocketAttribute

from tests.relaying import HOST, KEY, SETTINGS, World, make_answer, make_stream
from tests.soak.serving import reset
from trestledock.entry._crash_exchange import EndsExchange
from trestledock.entry._gossip import Gossip
from trestledock.entry._message_codec import encode_message
from trestledock.entry._pool import Pool
from trestledock.entry._relaying import Relayer
from trestledock.entry._sending import Sender
from trestledock.entry._state import EntryState
from trestledock.entry._tickets import Tickets
from trestledock.platform._headers import PlatformDialect
from trestledock.relay import (
    Catalog,
    ListedTarget,
    RouteKind,
    Service,
    Standing,
    TeamKey,
)

#: The body that crashes any target, and the body of a harmless request.
DEADLY = b'deadly'
#: The part of a prompt that crashes any target, unless it is the last one.
DEADLY_PART = 'dead'
PARTS_HEADER = 'trestledock-prompt-prefix'
HARMLESS = b'sound'
#: The duration of a harmless request, in seconds.
SERVICE_TIME_S = 0.05
#: The time from a crash until the restarted target is listed, in seconds.
RESTART_DELAY_S = 0.01


def _get_nothing(_):
    return b''


@dataclass(frozen=True)
class CrashMode:
    """How much of the answer is written before a crash, and how it ends."""

    get_written: Callable = _get_nothing
    is_reset: bool = True


HEAD_END = b'\r\n\r\n'


def _get_part_of_head(answer):
    return answer[:20]


def _get_head(answer):
    return answer[: answer.index(HEAD_END) + len(HEAD_END)]


def _get_all(answer):
    return answer


#: The ways in which a crash is observed by the receiver of the answer.
CRASHES = {
    'reset before the head': CrashMode(),
    'closed before the head': CrashMode(is_reset=False),
    'closed within the head': CrashMode(_get_part_of_head, is_reset=False),
    'reset between head and body': CrashMode(_get_head),
    'closed in the middle of a stream': CrashMode(_get_all, is_reset=False),
    'reset in the middle of a stream': CrashMode(_get_all),
}


@dataclass(eq=False)
class Target:
    """One incarnation of a target."""

    fleet: 'Fleet'
    target_id: str
    born: int
    port: int = 0
    streams: set = field(default_factory=set)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    async def run(self, *, task_status):
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        self.port = listener.extra(SocketAttribute.local_port)
        task_status.started()
        with self.scope:
            await listener.serve(self._handle)
        with anyio.CancelScope(shield=True):
            await listener.aclose()

    def get_listed(self):
        return ListedTarget(
            self.target_id,
            'svc',
            f'127.0.0.1:{self.port}',
            'dc',
            Standing.ready,
            8,
            sequence=1,
            born=self.born,
        )

    async def crash(self):
        """Close all connections, as the end of a process does."""
        for stream in tuple(self.streams):
            if self.fleet.crash.is_reset:
                reset(stream)
            with suppress(OSError, anyio.ClosedResourceError):
                await stream.aclose()
        self.scope.cancel()

    async def _handle(self, stream):
        self.streams.add(stream)
        async with stream:
            with suppress(
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                while True:
                    await self._handle_request(stream)

    async def _handle_request(self, stream):
        head, body = await _read(stream)
        req_id = _get_header(head, 'trestledock-request-id')
        if _is_deadly(head, body):
            self.fleet.deadly_at.append(anyio.current_time())
            self.fleet.record_crash(self)
            with anyio.CancelScope(shield=True):
                answer = make_stream(1, 2, end=b'', req_id=req_id)
                written = self.fleet.crash.get_written(answer)
                if written:
                    await stream.send(written)
                await self.crash()
            return
        self.fleet.harmless_runs += 1
        await anyio.sleep(SERVICE_TIME_S)
        if self.fleet.route.kind is RouteKind.streaming:
            await stream.send(make_stream(1, 4, req_id=req_id))
        else:
            await stream.send(make_answer(req_id=req_id))


@dataclass
class Fleet:
    """Some entries and the targets that they share."""

    route: object
    crash: CrashMode
    group: anyio.abc.TaskGroup
    new_ids: bool = False
    entries: list = field(default_factory=list)
    targets: list = field(default_factory=list)
    crashed: list = field(default_factory=list)
    deadly_at: list = field(default_factory=list)
    crashed_at: list = field(default_factory=list)
    harmless_runs: int = 0
    target_count: int = 0

    def add_entry(self):
        """Start an entry that knows all others."""
        number = len(self.entries)
        state = EntryState(
            SETTINGS, f'entry-{number}', Random(number), self.group
        )
        state.catalog = Catalog(
            1, {HOST: (self.route,)}, {'svc': Service('svc')}, _make_keys()
        )
        state.proof.renew(anyio.current_time())
        gossip = Gossip(state)
        EndsExchange(gossip)
        gossip.addresses.own = ('127.0.0.1', number)
        gossip.send = self._send_from(number)
        pool = Pool(state.spawn)
        dialect = PlatformDialect()
        state.isolation.hooks.reconnect = pool.check_connection
        tickets = Tickets(state, pool, dialect)
        sender = Sender(state, pool, dialect, tickets)
        world = World(state, Relayer(state, dialect, sender))
        world.gossip = gossip
        self.entries.append(world)
        for entry in self.entries:
            entry.gossip.add_addresses(
                {
                    other.state.member: f'127.0.0.1:{port}'
                    for port, other in enumerate(self.entries)
                }
            )
        for target in self.targets:
            state.fleet.put(target.get_listed())
        return world

    async def add_target(self, target_id='', born=1):
        """Start a target and list it at all entries."""
        self.target_count += 1
        name = target_id or f't{self.target_count}'
        target = Target(self, name, born)
        await self.group.start(target.run)
        self.targets.append(target)
        for entry in self.entries:
            entry.state.fleet.put(target.get_listed())
            entry.state.notify()

    def record_crash(self, target):
        """Record the crash of a target and restart it.

        It may have read several requests that crash it.
        """
        if target not in self.targets:
            return
        self.crashed.append(target)
        self.crashed_at.append(anyio.current_time())
        self.targets.remove(target)
        self.group.start_soon(self._restart, target)

    async def ask_in_turn(self, attempts, body=DEADLY):
        """Send a request repeatedly, each time to the next entry."""
        return [
            await self.entries[number % len(self.entries)].ask(
                f'r{number}', body=body
            )
            for number in range(attempts)
        ]

    async def _restart(self, target):
        await anyio.sleep(RESTART_DELAY_S)
        if self.new_ids:
            await self.add_target()
        else:
            await self.add_target(target.target_id, target.born + 1)

    def _send_from(self, number):
        def send(message, addresses):
            raw = encode_message(message, anyio.current_time())
            for _, port in addresses:
                self.entries[port].gossip.handle_datagram(
                    raw, ('127.0.0.1', number)
                )

        return send


def run_fleet(scenario, route, crash, *, entries=3, targets=6, new_ids=False):
    """Run `scenario(fleet)`; return the fleet."""
    fleets = []

    async def main():
        async with anyio.create_task_group() as group:
            fleet = Fleet(route, crash, group, new_ids)
            fleets.append(fleet)
            for _ in range(entries):
                fleet.add_entry()
            for _ in range(targets):
                await fleet.add_target()
            await scenario(fleet)
            group.cancel_scope.cancel()

    anyio.run(main)
    return fleets[0]


def _make_keys():
    return {KEY: TeamKey('kiosks')}


async def _read(stream):
    raw = b''
    while HEAD_END not in raw:
        raw += await stream.receive()
    head, _, body = raw.partition(HEAD_END)
    length = int(_get_header(head, 'content-length') or 0)
    while len(body) < length:
        body += await stream.receive()
    return head, body


def _is_deadly(head, body):
    """Return whether a target crashes as it begins to run a request."""
    parts = _get_header(head, PARTS_HEADER).split(',')[:-1]
    ids = [part.partition(':')[0] for part in parts]
    return body == DEADLY or DEADLY_PART in ids


def _get_header(head, name):
    for line in head.decode().split('\r\n'):
        key, _, text = line.partition(':')
        if key.lower() == name:
            return text.strip()
    return ''
