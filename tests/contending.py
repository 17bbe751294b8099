"""Entries that contend for a few engines, on a virtual clock.

Entries exchange their real datagrams within the process, and choose by the real
`select`; an engine takes as long as was predicted at the choice.
"""

from collections import Counter
from dataclasses import dataclass, replace
from math import inf
from random import Random

import anyio

from tests.relaying import HOST, SETTINGS, make_route
from tests.virtual_loop import run_virtually
from trestledock.entry import _ordering
from trestledock.entry._gossip import Gossip
from trestledock.entry._job import Job, Refusal
from trestledock.entry._selecting import make_flight, select
from trestledock.entry._state import EntryState
from trestledock.relay import (
    Body,
    Call,
    Catalog,
    EngineModel,
    ListedTarget,
    PromptSize,
    RouteKind,
    Service,
    Standing,
    TeamKey,
    get_decode_s,
)

#: An engine and the kinds of requests of a demanding deployment.
ENGINE = EngineModel(6, 267_750, 0.00085, 177_000, stride=57)
NETWORK_S = 0.002


@dataclass(frozen=True)
class Kind:
    """A kind of requests."""

    name: str
    rank: int
    tokens: int
    output: int
    objective_s: float
    pause_s: float
    deadline_s: float


SHORT = Kind('short', 0, 5_000, 400, 0.271, 0.25, 10.8)
MIDDLE = Kind('middle', 1, 45_000, 500, 1.533, 0.6, 10.2)
GIANT = Kind('giant', 2, 300_000, 500, 8.057, 1.0, 15.1)


@dataclass(frozen=True)
class Arrivals:
    """Requests of a team at a constant rate, at random entries."""

    kind: Kind
    per_s: float
    team: str = 'a'
    start_s: float = 0
    end_s: float = 6


class Wires:
    """Delivers an entry's datagrams within the process."""

    def __init__(self, contention, group, number):
        self.contention = contention
        self.group = group
        self.number = number

    def send(self, raw, addresses):
        world = self.contention
        if not world.lives(self.number):
            return
        world.messages.append(raw)
        sender = (f'10.0.0.{self.number}', 1)
        for host, _ in addresses:
            other = int(host.rsplit('.', 1)[1])
            if not (world.is_cut and world.is_cut(self.number, other)):
                self.group.start_soon(world.deliver, raw, sender, other)


class Contention:
    """Some entries and engines, and the outcomes by kind and team."""

    def __init__(self, entries, engines, seed=1, kinds=(SHORT, MIDDLE, GIANT)):
        self.rng = Random(seed)
        self.entries = entries
        self.engines = engines
        self.routes = {
            kind.name: make_route(
                RouteKind.streaming,
                objective_s=kind.objective_s,
                pause_s=kind.pause_s,
                timeout_s=kind.deadline_s,
                priority=kind.rank,
            )
            for kind in kinds
        }
        self.asked = Counter()
        self.served = Counter()
        self.served_by_entry = Counter()
        self.is_cut = None
        self.dies_at = {}
        self.messages = []
        self.flights = []

    def share(self, *key):
        """Return the served share of a kind, or of a kind's team."""
        return self._sum(self.served, key) / max(1, self._sum(self.asked, key))

    def _sum(self, counts, key):
        return sum(
            count for name, count in counts.items() if name[: len(key)] == key
        )

    def run(self, *arrivals, until_s=14.0):
        """Let requests arrive, and return this with the outcomes."""

        async def main():
            async with anyio.create_task_group() as group:
                self.gossips = [
                    self.make_entry(number, group)
                    for number in range(self.entries)
                ]
                for gossip in self.gossips:
                    group.start_soon(self.exchange, gossip)
                for arrival in arrivals:
                    group.start_soon(self.arrive, arrival, group)
                await anyio.sleep(until_s)
                group.cancel_scope.cancel()

        run_virtually(main)
        return self

    def make_entry(self, number, group):
        settings = replace(SETTINGS, peers=f'10.0.0.{number}:1')
        state = EntryState(settings, f'e{number}#a', Random(number), group)
        routes = tuple(self.routes.values())
        services = {'svc': Service('svc', engine=ENGINE)}
        state.catalog = Catalog(1, {HOST: routes}, services, None)
        for engine in range(self.engines):
            state.fleet.put(
                ListedTarget(
                    f't{engine}', 'svc', 'a:1', 'dc', Standing.ready, 6, 1
                )
            )
        gossip = Gossip(state)
        gossip._datagrams = Wires(self, group, number)
        gossip.add_addresses(
            {f'e{n}': f'10.0.0.{n}:1' for n in range(self.entries)}
        )
        return gossip

    async def deliver(self, raw, sender, receiver):
        await anyio.sleep(NETWORK_S)
        gossip = self.gossips[receiver]
        if self.lives(receiver) and gossip.handle_datagram(raw, sender):
            gossip.state.notify()

    def lives(self, number):
        return anyio.current_time() < self.dies_at.get(number, inf)

    async def exchange(self, gossip):
        gossip.state.send_own_changes = gossip.send_own_changes
        gossip.receive_messages = lambda: None  # Deliveries are calls.
        async with anyio.create_task_group() as group:
            group.start_soon(gossip._send_changes)
            group.start_soon(gossip._send_periodically)

    async def arrive(self, arrivals, group):
        await anyio.sleep(arrivals.start_s)
        end_s = arrivals.end_s
        while anyio.current_time() < end_s:
            await anyio.sleep(self.rng.expovariate(arrivals.per_s))
            group.start_soon(self.request, arrivals)

    async def request(self, arrivals):
        kind = arrivals.kind
        number = self.rng.randrange(self.entries)
        if not self.lives(number):
            return
        state = self.gossips[number].state
        key = (kind.name, arrivals.team)
        self.asked[key] += 1
        now = anyio.current_time()
        req_id = f'r{sum(self.asked.values())}'
        size = PromptSize(kind.tokens, kind.output)
        body = Body.from_bytes(b'')
        call = Call(req_id, 'POST', '/p/', '', HOST, (), body, now, size=size)
        job = Job(
            call,
            self.routes[kind.name],
            'svc',
            TeamKey(arrivals.team),
            now + kind.deadline_s,
            is_ranked='svc' in state.catalog.ranked_services,
        )
        placement = await select(state, job)
        now = anyio.current_time()
        if isinstance(placement, Refusal):
            return
        flight = make_flight(job, placement, now)
        self.flights.append(flight)
        state.load_table.put(flight)
        state.notify_own()
        _ordering.record_usage(state, job, now, served=True)
        await anyio.sleep(placement.first_token_s)
        self.served[key] += 1
        self.served_by_entry[number] += 1
        state.load_table.start_decode(req_id, anyio.current_time())
        state.notify_own()
        await anyio.sleep(get_decode_s(ENGINE, size) * 3)
        state.load_table.remove(req_id)
        state.notify_own()
