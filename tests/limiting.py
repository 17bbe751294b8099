"""Whole entries before targets that give notices, on a virtual clock.

The network between entries and the connections to targets are calls within the
process.  What a target gets is counted as its own operators would: of its rate
limit, from the entries that had heard of it half a second before, and from all;
of its leave, from each entry since that was told; of a rest, from the entry
that it was asked of.
"""

from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from random import Random
from unittest.mock import patch

import anyio

from tests.relaying import HOST, KEY, SETTINGS, World
from tests.virtual_loop import run_virtually
from trestledock.entry import Head, WireError
from trestledock.entry._gossip import Gossip
from trestledock.entry._logger import logger
from trestledock.entry._notices_exchange import NoticesExchange
from trestledock.entry._relaying import Relayer
from trestledock.entry._sending import Sender
from trestledock.entry._state import EntryState
from trestledock.entry._tickets import Tickets
from trestledock.entry._message_codec import encode_message
from trestledock.platform._headers import HELPERS, REQUEST_ID, PlatformDialect
from trestledock.relay import Catalog, ListedTarget, Service, Standing, TeamKey

#: One way to a target, and to another entry, in seconds.
WAY_S = 0.001
#: What a target takes for one request, in seconds.
WORK_S = 0.02
#: A word binds whom it was told so long ago, and from so long after the first
#: naming on, in seconds.
NOTICE_LATENCY_S = 0.5
LIMIT_EFFECT_S = 3.0
#: In such a stretch a target may get one and a half times what it asked for,
#: and a few requests more.
WINDOW_S = 4.0
OVER_SHARE = 1.5
OVER_COUNT = 5
#: For how long after an entry was told of it requests may reach a target that
#: leaves, in seconds.
DRAIN_S = 2.0
#: From so long after a target has asked an entry for rest, in seconds, until
#: the rest is over, so many requests may come from there.
REST_BINDS_S = 0.5
MAX_REQUESTS_IN_BACKOFF = 2


@dataclass(frozen=True)
class Arrival:
    """A request, or a part of a prompt, that reached a target."""

    at: float
    entry: str
    team: str = ''


@dataclass(frozen=True)
class AskedRest:
    """A target has turned an entry away until an instant."""

    entry: str
    at: float
    until: float


@dataclass
class LimitedTarget:
    """A target with what it asks for, and what it got.

    While it rests, it turns away all that comes, with `rest` as the text that
    says for how long; with `leaves` it says that it leaves, and `sealed` says
    whether its answers bear its seal.
    """

    number: int
    data_centre: str
    born: int = 1
    per_s: float | str | None = None
    status: int = 200
    rest: str = ''
    leaves: str = ''
    sealed: bool = True
    left_told: dict = field(default_factory=dict)
    rests: list = field(default_factory=list)
    arrivals: list = field(default_factory=list)
    told: dict = field(default_factory=dict)
    named_at: float = float('inf')

    @property
    def address(self):
        return f'10.0.0.{self.number}:80'

    def get_listed(self, service='svc'):
        return ListedTarget(
            f't{self.number}',
            service,
            self.address,
            self.data_centre,
            Standing.ready,
            slots=8,
            sequence=1,
            born=self.born,
        )

    def name(self, per_s):
        """Ask for another number from now on; None for any."""
        self.per_s = per_s
        if per_s is not None:
            self.named_at = min(self.named_at, anyio.current_time())

    def count(self, since, until):
        """Return how many requests came within a stretch."""
        return sum(since <= one.at < until for one in self.arrivals)

    def count_told(self, since, until):
        """Return how many came from entries that had long been told."""
        return sum(
            since <= one.at < until
            and self.told.get(one.entry, float('inf'))
            <= one.at - NOTICE_LATENCY_S
            for one in self.arrivals
        )

    def leave(self):
        """Say in all answers from now on that it leaves."""
        self.leaves = '1'

    def shed(self, rest):
        """Turn all away from now on, and ask for rest; none to serve again."""
        self.status = 503 if rest else 200
        self.rest = rest

    def get_late_s(self):
        """Return how long after an entry was told the last request came."""
        return max(
            (
                one.at - self.left_told[one.entry]
                for one in self.arrivals
                if one.entry in self.left_told
            ),
            default=0,
        )

    def get_most_in_rest(self):
        """Return the most that came from an entry within one rest."""
        return max(map(self._count_in_rest, self.rests), default=0)

    def _count_in_rest(self, rest):
        return sum(
            rest.at + REST_BINDS_S < one.at <= rest.until
            for one in self.arrivals
            if one.entry == rest.entry
        )

    def get_most(self, count, since, until):
        """Return the most that came within any stretch."""
        starts = [one.at for one in self.arrivals if since <= one.at < until]
        ends = [min(until, start + WINDOW_S) for start in starts]
        return max(map(count, starts, ends), default=0)


def get_allowed(per_s):
    """Return how many requests a limit allows within any stretch."""
    return OVER_SHARE * WINDOW_S * per_s + OVER_COUNT


class TargetWire:
    """A connection to a target that is a call within the process."""

    def __init__(self, fleet, entry, target):
        self.fleet = fleet
        self.entry = entry
        self.target = target
        self.req_id = b''

    async def send(self, method, path, headers, body, spawn):
        await anyio.sleep(WAY_S)
        found = dict(headers)
        self.req_id = found.get(REQUEST_ID, b'')
        arrival = Arrival(anyio.current_time(), self.entry)
        helpers = found.get(HELPERS, b'').decode().split(',')
        addresses = [one.partition('/')[0] for one in helpers if one]
        for target in self.fleet.targets:
            if target is self.target or target.address in addresses:
                target.arrivals.append(arrival)

    async def read_head(self):
        await anyio.sleep(WORK_S)
        target = self.target
        headers = [
            (b'content-length', b'2'),
            (REQUEST_ID, self.req_id),
        ]
        if target.sealed:
            headers.append((b'trestledock-response-seal', b's'))
        if target.status != 200:
            headers.append((b'trestledock-not-executed', b'1'))
        if target.per_s is not None:
            headers.append((b'server-limit', str(target.per_s).encode()))
        if target.leaves:
            headers.append((b'server-leaving', target.leaves.encode()))
        if target.rest:
            headers.append((b'retry-after', target.rest.encode()))
            at = anyio.current_time()
            rest = AskedRest(self.entry, at, at + float(target.rest))
            target.rests.append(rest)
        head = Head(target.status, tuple(headers))
        await anyio.sleep(WAY_S)
        if target.leaves:
            target.left_told.setdefault(self.entry, anyio.current_time())
        if target.per_s is not None:
            target.told.setdefault(self.entry, anyio.current_time())
        return head

    async def iter_body(self):
        yield b'ok'

    async def read_body(self):
        return b'ok'

    async def close(self):
        """Nothing is open."""


class TargetPool:
    """Connections of one entry to targets."""

    def __init__(self, fleet, entry):
        self.fleet = fleet
        self.entry = entry

    async def acquire(self, listed):
        for target in self.fleet.targets:
            if target.get_listed().incarnation == listed.incarnation:
                return TargetWire(self.fleet, self.entry, target)
        raise WireError('connect', 'refused')

    async def release(self, listed, wire, idle_s):
        """Nothing is kept."""

    def close_idle(self, incarnation):
        """Nothing is kept."""


class Entry(World):
    """One entry with its words to the others."""

    def __init__(self, fleet, number, data_centre, life=1):
        self.fleet = fleet
        self.number = number
        self.address = ('127.0.0.1', number + 1)
        self.data_centre = data_centre
        self.running = anyio.Event()
        self.running.set()
        self.scope = anyio.CancelScope()
        settings = replace(
            SETTINGS,
            instance=f'entry-{number}',
            data_centre=data_centre,
            peers=f'127.0.0.1:{number + 1}',
        )
        self.name = f'entry-{number}#{life}'
        state = EntryState(settings, self.name, Random(number), fleet.group)
        state.catalog = fleet.make_catalog()
        pool = TargetPool(fleet, self.name)
        dialect = PlatformDialect()
        tickets = Tickets(state, pool, dialect)
        sender = Sender(state, pool, dialect, tickets)
        super().__init__(state, Relayer(state, dialect, sender))
        self.gossip = Gossip(state)
        self.gossip.send = self._send
        NoticesExchange(self.gossip)
        for target in fleet.targets:
            state.fleet.put(target.get_listed())

    async def live(self):
        """Tell the others until killed."""
        self.fleet.network[self.address] = self
        self.gossip.add_addresses(self.fleet.get_addresses())
        self.state.send_own_changes = self.gossip.send_own_changes
        with self.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.gossip._send_periodically)
                group.start_soon(self.gossip._send_changes)
                group.start_soon(self._renew)

    def connect_slowly(self, wait_s):
        """Have each connection to a target take so long from now on."""
        pool = self.relayer.sender.pool
        take = pool.acquire

        async def take_slowly(listed):
            await anyio.sleep(wait_s)
            return await take(listed)

        pool.acquire = take_slowly

    def kill(self):
        """End without a word."""
        if self.fleet.network.get(self.address) is self:
            self.fleet.network.pop(self.address)
        self.scope.cancel()

    async def stand_still_for(self, pause_s):
        """Hear and send nothing for a while, then take all that came."""
        self.running = anyio.Event()
        await anyio.sleep(pause_s)
        self.running.set()

    async def _renew(self):
        """Have keys count as proven: the store is not what is tested."""
        while True:
            self.state.proof.renew(anyio.current_time())
            await anyio.sleep(0.5)

    def _send(self, word, where):
        raw = encode_message(word, anyio.current_time())
        self.fleet.note_words(len(where), len(raw))
        for address in where:
            self.state.group.start_soon(self._deliver, raw, address)

    async def _deliver(self, raw, address):
        await self.running.wait()
        await anyio.sleep(WAY_S)
        other = self.fleet.network.get(address)
        if other is None or self.fleet.is_cut(self, other):
            return
        await other.running.wait()
        if self.fleet.network.get(address) is other:
            other.gossip.handle_datagram(raw, self.address)


@dataclass
class Demand:
    """What callers got."""

    statuses: list = field(default_factory=list)
    come_back_s: list = field(default_factory=list)
    took_s: list = field(default_factory=list)

    def count(self, status):
        return self.statuses.count(status)

    def note(self, found, took_s):
        self.statuses.append(found.status)
        self.took_s.append(took_s)
        if 'retry-after' in found.headers:
            self.come_back_s.append(float(found.headers['retry-after']))


@dataclass
class Fleet:
    """Entries, targets and what lies between them."""

    group: anyio.abc.TaskGroup
    routes: tuple
    engine: object = None
    keys: dict = field(default_factory=dict)
    places: tuple = ('dc-0', 'dc-1', 'dc-2')
    seed: int = 1
    entries: list = field(default_factory=list)
    targets: list = field(default_factory=list)
    network: dict = field(default_factory=dict)
    cut: set = field(default_factory=set)
    words: int = 0
    word_bytes: int = 0
    lives: int = 0

    def __post_init__(self):
        self.rng = Random(self.seed)
        self.asked = 0

    def make_catalog(self):
        keys = self.keys or {KEY: TeamKey('kiosks')}
        service = Service('svc', engine=self.engine)
        return Catalog(1, {HOST: self.routes}, {'svc': service}, keys)

    def get_addresses(self):
        """Return the addresses of all entries, as the store lists them."""
        return {
            f'entry-{one.number}': f'127.0.0.1:{one.number + 1}'
            for one in self.entries
        }

    def start(self, number=None):
        """Start an entry, in the place of another one if there is a number."""
        self.lives += 1
        place = len(self.entries) if number is None else number
        entry = Entry(
            self, place, self.places[place % len(self.places)], self.lives
        )
        if number is None:
            self.entries.append(entry)
        else:
            self.entries[number] = entry
        return entry

    async def restart(self, number, pause_s):
        """Kill an entry; another one starts in its place after a pause."""
        self.entries[number].kill()
        await anyio.sleep(pause_s)
        self.group.start_soon(self.start(number).live)

    def add_target(self):
        number = len(self.targets)
        target = LimitedTarget(number, self.places[number % len(self.places)])
        self.targets.append(target)
        return target

    def is_cut(self, one, other):
        """Whether words between two entries are lost."""
        return (one.number in self.cut) != (other.number in self.cut)

    def note_words(self, count, size):
        self.words += count
        self.word_bytes += count * size

    async def ask_for(self, for_s, rate, headers=(), entries=None, key=KEY):
        """Have callers ask `rate` times a second at each entry."""
        demand = Demand()
        async with anyio.create_task_group() as group:
            for number in entries or range(len(self.entries)):
                group.start_soon(
                    self._ask_at, number, for_s, rate, headers, demand, key
                )
        return demand

    async def _ask_at(self, number, for_s, rate, headers, demand, key):
        rng = Random(f'{self.seed} {number}')
        until = anyio.current_time() + for_s
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(rng.expovariate(rate))
                if anyio.current_time() >= until:
                    return
                group.start_soon(self._ask, number, headers, demand, key)

    async def _ask(self, number, headers, demand, key):
        entry = self.entries[number]
        if not entry.running.is_set() or entry.scope.cancel_called:
            return
        self.asked += 1
        asked_at = anyio.current_time()
        found = await entry.ask(f'r{self.asked}', headers=headers, key=key)
        demand.note(found, anyio.current_time() - asked_at)


@contextmanager
def without_lines():
    """Leave out the lines that the entries write."""
    with patch.object(logger, 'disabled', new=True):
        yield


def run_fleet(scenario, routes, *, entries=6, targets=5, **fields):
    """Run `scenario(fleet)` a while after all started; return its result."""

    async def main():
        async with anyio.create_task_group() as group:
            fleet = Fleet(group, tuple(routes), **fields)
            for _ in range(targets):
                fleet.add_target()
            for _ in range(entries):
                fleet.start()
            for entry in fleet.entries:
                group.start_soon(entry.live)
            await anyio.sleep(1)
            found = await scenario(fleet)
            group.cancel_scope.cancel()
        return found

    with without_lines():
        return run_virtually(main)
