"""
World
=====

Drives the cores of several instances on one virtual clock, with small fakes
at their interfaces: engines, plain services, the log, the instance list and a
network that delays, loses and cuts.  Everything is drawn from one seed, so a
run can be repeated exactly.

It is no simulator of a cluster: it has no resources or machines, only the
messages and actions of the core and the faults of the brief.
"""

import heapq
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random
from typing import Any, Callable

from trestledock.process import (
    Arrive,
    AttemptFailed,
    CallerDisconnected,
    ChunkArrived,
    Finish,
    Identity,
    Node,
    PeerInfo,
    PrefillDone,
    Policy,
    Publish,
    Shutdown,
    StreamDone,
    TargetInfo,
    Tick,
    Timing,
)
from trestledock.proof._history import Event, EventType
from trestledock.proof._hosts import (
    EngineHost,
    Host,
    Route,
    ServiceHost,
    Switches,
)
from trestledock.request import Request
from trestledock.standin import (
    EngineEvent,
    EngineModel,
    EngineSpec,
    EventKind,
    LogModel,
)

PLATFORM = 'platform'
#: Delays one way, in seconds: inside a data centre and between two.
NEAR_S = 0.0005
FAR_S = 0.001
#: How long a connection attempt into a cut takes to fail, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: How long an engine that a request has ended takes to start again, in seconds.
REVIVAL_S = 3.0
#: Under what the ends of engines under deadly requests are counted.
DEADLY_ENDS = ('ends', 'deadly')
#: The band that delays are drawn from, as factors.
JITTER = (0.5, 1.5)
#: How often the end of a graceful shutdown is looked for, in seconds.
DRAIN_LOOK_S = 0.1


@dataclass(frozen=True)
class Feed:
    """Something that an instance reads by itself, every so often."""

    interval_s: float
    read: Callable[['World', Host], None]


@dataclass
class World:
    """All hosts on one clock; `make_world` builds an empty one."""

    perform: Callable[[Any, 'World', Host], None]
    feeds: tuple['Feed', ...]
    seed: int = 0
    timing: Timing = Timing()
    policy: Policy = Policy()
    now: float = 0
    hosts: dict[str, Host] = field(default_factory=dict)
    engines: dict[str, EngineHost] = field(default_factory=dict)
    services: dict[str, ServiceHost] = field(default_factory=dict)
    log: LogModel = field(default_factory=LogModel)
    switches: Switches = field(default_factory=Switches)
    history: list[Event] = field(default_factory=list)
    counts: dict[tuple[str, str], int] = field(default_factory=dict)
    finishes: dict[str, Finish] = field(default_factory=dict)
    on_finish: Callable[[Finish], None] | None = None
    on_broken: Callable[[str], None] | None = None
    on_first_token: Callable[[str], None] | None = None
    records_chunks: bool = True
    rng: Random = field(init=False)
    _heap: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list,
    )
    _count: int = 0
    _incarnations: int = 0
    lists: list[tuple[float, tuple[TargetInfo, ...], tuple[PeerInfo, ...]]] = (
        field(default_factory=list)
    )

    def __post_init__(self) -> None:
        """Seed the world."""
        self.rng = Random(self.seed)

    def at(self, moment: float, call: Callable[[], None]) -> None:
        """Do something at an instant."""
        self._count += 1
        heapq.heappush(self._heap, (moment, self._count, call))

    def run_until(self, moment: float) -> None:
        """Run the clock up to an instant."""
        while self._heap and self._heap[0][0] <= moment:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = moment

    def note(self, kind: EventType, **fields: Any) -> None:
        """Add an event to the history."""
        self.history.append(Event(self.now, kind, **fields))

    def add_host(self, name: str, data_centre: str) -> Host:
        """Start an instance, or a new incarnation of one."""
        self._incarnations += 1
        identity = Identity(name, f'{self._incarnations:04d}', data_centre)
        node = Node(
            identity,
            Random(f'{self.seed}/{identity.member}'),
            self.timing,
            self.policy,
            address=name,
        )
        host = Host(node, name, data_centre)
        self.hosts[name] = host
        for feed in self.feeds:
            first = self.now + self.rng.uniform(0, feed.interval_s)
            self.at(first, partial(self._feed, host, feed))
        self.refresh_list()
        self.tell(host, Tick())
        return host

    def add_engine(
        self,
        name: str,
        labels: dict[str, str],
        spec: EngineSpec,
        models: frozenset[str],
    ) -> None:
        """Start an engine, or a new incarnation of one."""
        self._incarnations += 1
        info = TargetInfo(name, name, f'{self._incarnations:04d}', labels)
        self.engines[name] = EngineHost(EngineModel(spec, models), info)
        self.refresh_list()

    def add_service(self, name: str, labels: dict[str, str]) -> None:
        """Start a plain service."""
        self._incarnations += 1
        info = TargetInfo(name, name, f'{self._incarnations:04d}', labels)
        self.services[name] = ServiceHost(info)
        self.refresh_list()

    def refresh_list(self) -> None:
        """Let the instance list see what is there now."""
        hosts: list[EngineHost | ServiceHost] = [
            *self.engines.values(),
            *self.services.values(),
        ]
        targets = tuple(one.info for one in hosts if one.alive)
        peers = tuple(
            PeerInfo(
                host.name,
                '',
                host.name,
                host.data_centre,
                host.leaving,
            )
            for host in self.hosts.values()
            if host.alive
        )
        self.lists.append((self.now, targets, peers))

    def invoke(self, host: Host, req: Request, seed: str = '') -> None:
        """Let a caller send a request to an instance."""
        self.note(
            EventType.invoked,
            who=host.name,
            req_id=req.req_id,
            key=req.idempotency_key,
            number=req.max_tokens,
            text=seed,
            limit=req.deadline,
        )
        if not host.alive:
            self._break(host, req.req_id)
            return
        host.requests[req.req_id] = req
        host.seeds[req.req_id] = seed
        host.keys[req.req_id] = '' if req.idempotent else req.idempotency_key
        self.tell(host, Arrive(req))
        self.at(
            req.deadline + NEAR_S,
            lambda: self._break_if_frozen(host, req),
        )

    def publish(
        self, host: Host, publish_id: str, base: int, body: str
    ) -> None:
        """Let an operator publish through an instance."""
        self.tell(host, Publish(publish_id, base, body))

    def kill(self, host: Host) -> None:
        """End an instance at once."""
        host.alive = False
        self.note(EventType.ended, who=host.name, text='killed')
        self._break_all(host)
        self.refresh_list()

    def shut_down(self, host: Host) -> None:
        """Ask an instance to end and let it."""
        self.note(EventType.shutdown, who=host.name)
        host.leaving = True
        self.refresh_list()
        self.tell(host, Shutdown())
        self._end_when_drained(host)

    def freeze(self, host: Host) -> None:
        """Pause an instance."""
        host.frozen = True
        self.note(EventType.frozen, who=host.name)

    def thaw(self, host: Host) -> None:
        """Let an instance go on; what came meanwhile arrives at once."""
        host.frozen = False
        self.note(EventType.healed, who=host.name)
        waiting = host.inbox
        host.inbox = []
        for message in waiting:
            self.tell(host, message)
        self.tell(host, Tick())

    def kill_engine(self, name: str) -> None:
        """End an engine; its connections break."""
        engine = self.engines[name]
        engine.alive = False
        self.refresh_list()
        for route in engine.routes.values():
            self.fail(route, name, not_started=False, ended=True)
        engine.routes.clear()

    def revive_engine(self, name: str) -> None:
        """Start a new incarnation of an engine."""
        old = self.engines[name]
        labels = dict(old.info.labels)
        self.add_engine(name, labels, old.model.spec, old.model.models)

    def mark_leaving(self, name: str, *, listed: bool) -> None:
        """Let a target begin to leave, known to the list or only itself."""
        target = self.engines.get(name) or self.services[name]
        self.note(EventType.leaving, key=name)
        if listed:
            target.info = replace(target.info, leaving=True)
            self.refresh_list()
        else:
            target.silent_leaving = True

    def can_reach(self, one: str, other: str) -> bool:
        """Whether no cut lies between two places."""
        return not any(
            (one in left and other in right) or (one in right and other in left)
            for left, right in self.switches.cuts
        )

    def get_data_centre(self, name: str) -> str:
        """Return the data centre of a host or target."""
        if name in self.hosts:
            return self.hosts[name].data_centre
        target = self.engines.get(name) or self.services.get(name)
        return target.info.labels['data_centre'] if target else ''

    def get_delay(self, one: str, other: str) -> float:
        """Return a delay one way between two places."""
        base = (
            NEAR_S
            if self.get_data_centre(one) == self.get_data_centre(other)
            else FAR_S
        )
        jitter = self.rng.uniform(*JITTER)
        extra: float = 0
        if self.switches.reorder_s:
            extra = self.rng.uniform(0, self.switches.reorder_s)
        return base * jitter + extra

    def note_memory(self) -> None:
        """Record what the living engines hold."""
        for name, engine in self.engines.items():
            if engine.alive:
                engine.model.advance(self.now)
                held = ' '.join(sorted(engine.model.holds))
                self.note(
                    EventType.memory,
                    who=name,
                    number=engine.model.used,
                    text=held,
                )

    def tell(self, host: Host, message: Any) -> None:
        """Hand a message to an instance now."""
        if not host.alive:
            return
        if host.frozen:
            host.inbox.append(message)
            return
        for action in host.node.step(message, self.now):
            self.perform(action, self, host)
        self._note_version(host)
        self._schedule_tick(host)

    def deliver(self, host: Host, peer: str, message: Any) -> None:
        """Hand a message from `peer` to an instance, after a delay."""
        repeats = 1
        if self.rng.random() < self.switches.duplicate_share:
            repeats = 2
        for _ in range(repeats):
            moment = self.now + self.get_delay(peer, host.name)
            self.at(moment, partial(self._arrive, host, peer, message))

    def hang_up(self, host: Host) -> None:
        """Let every caller of an instance leave."""
        for req_id in tuple(host.requests):
            host.requests.pop(req_id)
            self._break(host, req_id)
            self.tell(host, CallerDisconnected(req_id))

    def stall(self, host: Host, action: Any) -> bool:
        """Hold one action back, as a pause just before its write would."""
        stall_s = host.stalls.pop(type(action).__name__, 0)
        if stall_s:
            moment = self.now + stall_s
            self.at(moment, partial(self.perform, action, self, host))
        return stall_s > 0

    def pump_engine(self, name: str) -> None:
        """Pass on what an engine has done, and wake up for the next."""
        engine = self.engines[name]
        for event in engine.model.advance(self.now):
            self._pass_on(engine, name, event)
        moment = engine.model.get_next()
        if moment < engine.wake_at or engine.wake_at <= self.now:
            engine.wake_at = moment
            if moment < float('inf'):
                self.at(
                    max(moment, self.now),
                    lambda: self._wake_engine(engine, name),
                )

    def end_engine(self, name: str) -> None:
        """Let an engine end under a request; it is back after a while."""
        known = self.counts.get(DEADLY_ENDS, 0)
        self.counts[DEADLY_ENDS] = known + 1
        self.kill_engine(name)
        self.at(self.now + REVIVAL_S, lambda: self.revive_engine(name))

    def fail(
        self,
        route: Route,
        name: str,
        *,
        not_started: bool,
        ended: bool = False,
    ) -> None:
        """Tell an instance that an attempt has failed.

        That an engine has ended is seen at once, all else after a while.
        """
        message = AttemptFailed(
            route.req_id,
            route.attempt,
            not_started,
            step='stream',
            peer=name,
            ended=ended,
        )
        wait_s = NEAR_S if ended else CONNECT_TIMEOUT_S
        self.at(self.now + wait_s, lambda: self.tell(route.host, message))

    def _wake_engine(self, engine: EngineHost, name: str) -> None:
        if self.engines.get(name) is engine and engine.alive:
            engine.wake_at = min(engine.wake_at, self.now)
            self.pump_engine(name)

    def _pass_on(
        self,
        engine: EngineHost,
        name: str,
        event: EngineEvent,
    ) -> None:
        route = engine.routes.get(event.hold)
        if route is None or engine.muted:
            return
        if not self.can_reach(name, route.host.name):
            engine.routes.pop(event.hold)
            self.fail(route, name, not_started=False)
            return
        self.deliver(route.host, name, _to_message(route, event))

    def _arrive(self, host: Host, peer: str, message: Any) -> None:
        if self.can_reach(peer, host.name):
            self.tell(host, message)

    def _schedule_tick(self, host: Host) -> None:
        moment = host.node.get_next_timer()
        if moment < host.tick_at or host.tick_at <= self.now:
            host.tick_at = moment
            if moment < float('inf'):
                self.at(max(moment, self.now), lambda: self._tick(host))

    def _tick(self, host: Host) -> None:
        if host.alive and not host.frozen and self.now >= host.tick_at:
            host.tick_at = float('inf')
            self.tell(host, Tick())

    def _note_version(self, host: Host) -> None:
        number = host.node.state.version.number
        if number != host.version:
            host.version = number
            self.note(EventType.version, who=host.name, number=number)

    def _break_if_frozen(self, host: Host, req: Request) -> None:
        """The caller hangs up on an instance that sleeps."""
        if host.frozen and req.req_id in host.requests:
            host.requests.pop(req.req_id)
            self._break(host, req.req_id)
            host.inbox.append(CallerDisconnected(req.req_id))

    def _break_all(self, host: Host) -> None:
        for req_id in tuple(host.requests):
            host.requests.pop(req_id)
            self._break(host, req_id)

    def _break(self, host: Host, req_id: str) -> None:
        self.note(EventType.broken, who=host.name, req_id=req_id)
        if self.on_broken:
            self.on_broken(req_id)

    def _end_when_drained(self, host: Host) -> None:
        if not host.alive:
            return
        if host.node.is_drained():
            host.alive = False
            self._break_all(host)
            self.note(EventType.ended, who=host.name, text='drained')
            self.refresh_list()
        else:
            moment = self.now + DRAIN_LOOK_S
            self.at(moment, partial(self._end_when_drained, host))

    def _feed(self, host: Host, feed: 'Feed') -> None:
        if host.alive:
            if not host.frozen:
                feed.read(self, host)
            moment = self.now + feed.interval_s
            self.at(moment, partial(self._feed, host, feed))


def _to_message(route: Route, event: EngineEvent) -> Any:
    if event.kind is EventKind.piece_done:
        return PrefillDone(route.req_id, route.attempt, event.hold, event.stop)
    if event.chunk is not None:
        return ChunkArrived(route.req_id, route.attempt, event.chunk)
    return StreamDone(route.req_id, route.attempt, event.count)
