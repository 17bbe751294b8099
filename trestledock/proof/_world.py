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
from functools import singledispatch
from random import Random
from typing import Any, Callable

from trestledock.process import (
    AppendRecord,
    Arrive,
    AttemptFailed,
    CacheEvent,
    CacheReported,
    CallDone,
    CallerGone,
    CallService,
    CancelConfirmed,
    CancelHolds,
    ChunkArrived,
    Count,
    EmitChunks,
    Finish,
    GiveOrder,
    Identity,
    InstancesListed,
    LoadReport,
    LoadReported,
    LogRead,
    Node,
    Note,
    OrderAnswered,
    PeerInfo,
    PeerMessage,
    PieceDone,
    Policy,
    Publish,
    Published,
    ResumeStream,
    Shutdown,
    StartJob,
    StreamDone,
    TargetInfo,
    Tick,
    Timing,
    ToPeer,
)
from trestledock.proof._history import Event, EventType
from trestledock.request import Request
from trestledock.standin import (
    EngineEvent,
    EngineModel,
    EngineSpec,
    EventKind,
    LogModel,
    Overloaded,
    Rejected,
)

PLATFORM = 'platform'
#: Delays one way, in seconds: inside a data centre and between two.
NEAR_S = 0.0005
FAR_S = 0.001
#: How long a connection attempt into a cut takes to fail, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: Intervals of the polls, in seconds.
LOG_POLL_S = 0.25
LIST_POLL_S = 1.0
LOAD_POLL_S = 0.5
#: How long a service works on a call, in seconds.
SERVICE_S = 0.01


@dataclass
class Host:
    """An instance in the world: its core and whether it lives or sleeps."""

    node: Node
    name: str
    data_centre: str
    alive: bool = True
    frozen: bool = False
    leaving: bool = False
    inbox: list[Any] = field(default_factory=list)
    tick_at: float = float('inf')
    version: int = -1
    stalls: dict[str, float] = field(default_factory=dict)
    requests: dict[str, Request] = field(default_factory=dict)
    seeds: dict[str, str] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)

    @property
    def member(self) -> str:
        """The name of this incarnation."""
        return self.node.state.member


@dataclass
class Route:
    """Where an engine's events of a hold go."""

    host: Host
    req_id: str
    attempt: int


@dataclass
class EngineHost:
    """An engine in the world."""

    model: EngineModel
    info: TargetInfo
    alive: bool = True
    silent_leaving: bool = False
    muted: bool = False
    routes: dict[str, Route] = field(default_factory=dict)
    wake_at: float = float('inf')
    reports: list[tuple[float, LoadReport]] = field(default_factory=list)
    sequence: int = -1
    cache_events: list[CacheEvent] = field(default_factory=list)


@dataclass
class ServiceHost:
    """A plain service in the world."""

    info: TargetInfo
    alive: bool = True
    lose_answers: int = 0
    silent_leaving: bool = False


@dataclass
class Switches:
    """The faults of the platform and the network."""

    outage: bool = False
    list_outage: bool = False
    lose_appends: int = 0
    lose_cancels: int = 0
    list_lag_s: float = 0.5
    report_lag_s: float = 0.2
    cache_gap_share: float = 0.1
    loss_share: float = 0
    duplicate_share: float = 0
    reorder_s: float = 0
    cuts: list[tuple[frozenset[str], frozenset[str]]] = field(
        default_factory=list,
    )


@dataclass
class World:
    """All hosts on one clock."""

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
    load_poll_s: float = LOAD_POLL_S
    rng: Random = field(init=False)
    _heap: list[tuple[float, int, Callable[[], None]]] = field(
        default_factory=list,
    )
    _count: int = 0
    _incarnations: int = 0
    _lists: list[tuple[float, tuple[TargetInfo, ...], tuple[PeerInfo, ...]]] = (
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
        self._poll(host, LOG_POLL_S, self._read_log)
        self._poll(host, LIST_POLL_S, self._read_list)
        self._poll(host, self.load_poll_s, self._read_loads)
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
        info = TargetInfo(name, f'{self._incarnations:04d}', name, labels)
        self.engines[name] = EngineHost(EngineModel(spec, models), info)
        self.refresh_list()

    def add_service(self, name: str, labels: dict[str, str]) -> None:
        """Start a plain service."""
        self._incarnations += 1
        info = TargetInfo(name, f'{self._incarnations:04d}', name, labels)
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
        self._lists.append((self.now, targets, peers))

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
            self._fail(route, name, not_started=False)
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
        return target.info.labels.get('data_centre', '') if target else ''

    def get_delay(self, one: str, other: str) -> float:
        """Return a delay one way between two places."""
        base = (
            NEAR_S
            if self.get_data_centre(one) == self.get_data_centre(other)
            else FAR_S
        )
        jitter = self.rng.uniform(0.5, 1.5)
        extra = 0.0
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
            perform(action, self, host)
        self._note_version(host)
        self._schedule_tick(host)

    def deliver(self, host: Host, peer: str, message: Any) -> None:
        """Hand a message from `peer` to an instance, after a delay."""
        repeats = 1
        if self.rng.random() < self.switches.duplicate_share:
            repeats = 2
        for _ in range(repeats):
            moment = self.now + self.get_delay(peer, host.name)
            self.at(moment, lambda: self._arrive(host, peer, message))

    def hang_up(self, host: Host) -> None:
        """Let every caller of an instance leave."""
        for req_id in tuple(host.requests):
            host.requests.pop(req_id)
            self._break(host, req_id)
            self.tell(host, CallerGone(req_id))

    def stall(self, host: Host, action: Any) -> bool:
        """Hold one action back, as a pause just before its write would."""
        stall_s = host.stalls.pop(type(action).__name__, 0)
        if stall_s:
            moment = self.now + stall_s
            self.at(moment, lambda: perform(action, self, host))
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
            self._fail(route, name, not_started=False)
            return
        self.deliver(route.host, name, _to_message(route, event))

    def _fail(self, route: Route, name: str, *, not_started: bool) -> None:
        message = AttemptFailed(
            route.req_id,
            route.attempt,
            not_started,
            step='stream',
            peer=name,
        )
        moment = self.now + CONNECT_TIMEOUT_S
        self.at(moment, lambda: self.tell(route.host, message))

    def _arrive(self, host: Host, peer: str, message: Any) -> None:
        if self.can_reach(peer, host.name):
            self.tell(host, message)

    def _poll(
        self,
        host: Host,
        interval_s: float,
        poll: Callable[[Host], None],
    ) -> None:
        def again() -> None:  # noqa: WPS430 - one closure a poll
            if host.alive:
                if not host.frozen:
                    poll(host)
                self.at(self.now + interval_s, again)

        first = self.now + self.rng.uniform(0, interval_s)
        self.at(first, again)

    def _read_log(self, host: Host) -> None:
        away = self.switches.outage or not self.can_reach(host.name, PLATFORM)
        if not away:
            offset = host.node.state.reader.next_read
            batch = self.log.read(offset, self.now)
            self.deliver(host, PLATFORM, LogRead(batch))

    def _read_list(self, host: Host) -> None:
        away = self.switches.list_outage
        if away or not self.can_reach(host.name, PLATFORM):
            return
        wanted = self.now - self.switches.list_lag_s
        older = [one for one in self._lists if one[0] <= wanted]
        if older:
            _, targets, peers = older[-1]
            self.deliver(host, PLATFORM, InstancesListed(targets, peers))

    def _read_loads(self, host: Host) -> None:
        for name, engine in self.engines.items():
            if engine.alive and self.can_reach(host.name, name):
                self.deliver(host, name, self._get_report(name, engine))
                self._send_cache_events(host, name, engine)
        for name, service in self.services.items():
            if service.alive and self.can_reach(host.name, name):
                report = LoadReport(
                    0,
                    (),
                    0,
                    0,
                    1,
                    0,
                    leaving=service.silent_leaving,
                )
                self.deliver(host, name, LoadReported(name, report))

    def _get_report(self, name: str, engine: EngineHost) -> LoadReported:
        last = engine.reports[-1][0] if engine.reports else float('-inf')
        if self.now - last > self.load_poll_s / 10:
            engine.reports.append((self.now, engine.model.report(self.now)))
            self.pump_engine(name)
        wanted = self.now - self.switches.report_lag_s
        older = [one for one in engine.reports if one[0] <= wanted]
        at, report = older[-1] if older else engine.reports[0]
        engine.reports = [one for one in engine.reports if one[0] >= at]
        report = replace(
            report,
            age_s=self.now - at,
            leaving=engine.silent_leaving,
        )
        return LoadReported(name, report)

    def _send_cache_events(
        self,
        host: Host,
        name: str,
        engine: EngineHost,
    ) -> None:
        lines = engine.model.cache_log
        if lines:
            engine.model.cache_log = []
            gap = self.rng.random() < self.switches.cache_gap_share
            engine.sequence += 2 if gap else 1
            added = tuple(block for block, is_new in lines if is_new)
            removed = tuple(block for block, is_new in lines if not is_new)
            engine.cache_events.append(
                CacheEvent(engine.sequence, added, removed),
            )
            engine.cache_events = engine.cache_events[-20:]
        target = host.node.state.fleet.targets.get(name)
        known = target.cache_sequence if target else -1
        for event in engine.cache_events:
            if event.sequence > known:
                self.deliver(host, name, CacheReported(name, event))

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
            host.inbox.append(CallerGone(req.req_id))

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
            self.at(self.now + 0.1, lambda: self._end_when_drained(host))


def _to_message(route: Route, event: EngineEvent) -> Any:
    if event.kind is EventKind.piece_done:
        return PieceDone(route.req_id, route.attempt, event.hold, event.stop)
    if event.chunk is not None:
        return ChunkArrived(route.req_id, route.attempt, event.chunk)
    return StreamDone(route.req_id, route.attempt, event.count)


@singledispatch
def perform(action: Any, world: World, host: Host) -> None:
    """Carry out an action of an instance."""
    raise TypeError(f'nothing carries out {type(action).__name__}')


@perform.register
def _(action: StartJob, world: World, host: Host) -> None:
    name = action.target
    engine = world.engines[name]
    route = Route(host, action.req_id, action.attempt)
    if not engine.alive or not world.can_reach(host.name, name):
        world._fail(route, name, not_started=True)
        return

    def submit() -> None:  # noqa: WPS430
        if not engine.alive or world.engines[name] is not engine:
            world._fail(route, name, not_started=False)
            return
        prefix = (
            host.requests[action.req_id].prefix
            if (action.req_id in host.requests)
            else ()
        )
        seed = host.seeds.get(action.req_id, '')
        engine.routes[action.job.hold] = route
        if not action.job.start:
            world.note(
                EventType.sent,
                who=host.name,
                req_id=action.req_id,
                key=name,
            )
        try:
            engine.model.submit(action.job, seed, prefix, world.now)
        except Rejected as exc:
            message = AttemptFailed(
                action.req_id,
                action.attempt,
                not_started=True,
                step='job',
                peer=name,
                detail=str(exc),
            )
            world.deliver(host, name, message)
        world.pump_engine(name)

    world.at(world.now + world.get_delay(host.name, name), submit)


@perform.register
def _(action: ResumeStream, world: World, host: Host) -> None:
    name = action.target
    engine = world.engines[name]
    route = Route(host, action.req_id, action.attempt)
    model = engine.model
    hold = model.holds.get(action.hold) or model.finished.get(action.hold)
    reachable = engine.alive and world.can_reach(host.name, name)
    if hold is None or not reachable:
        world._fail(route, name, not_started=False)
        return
    engine.routes[action.hold] = route
    for chunk in hold.produced:
        if chunk.index >= action.index:
            message = ChunkArrived(action.req_id, action.attempt, chunk)
            world.deliver(host, name, message)
    if hold.final_count is not None:
        done = StreamDone(action.req_id, action.attempt, hold.final_count)
        world.deliver(host, name, done)


@perform.register
def _(action: CallService, world: World, host: Host) -> None:
    if world.stall(host, action):
        return
    name = action.target
    service = world.services[name]
    refused = (
        world.now >= action.not_after
        or not service.alive
        or not world.can_reach(host.name, name)
    )
    if not host.alive:
        return
    if refused:
        failed = AttemptFailed(
            action.req_id,
            action.attempt,
            not_started=True,
            step='call',
            peer=name,
        )
        world.at(
            world.now + CONNECT_TIMEOUT_S,
            lambda: world.tell(host, failed),
        )
        return

    def run() -> None:  # noqa: WPS430
        key = host.keys.get(action.req_id, '')
        world.note(
            EventType.sent,
            who=host.name,
            req_id=action.req_id,
            key=name,
        )
        world.note(
            EventType.ran,
            who=name,
            req_id=action.req_id,
            key=key,
        )
        if service.lose_answers > 0 or not service.alive:
            service.lose_answers -= 1
            lost = AttemptFailed(
                action.req_id,
                action.attempt,
                not_started=False,
                step='call',
                peer=name,
            )
            world.deliver(host, name, lost)
            return
        done = CallDone(action.req_id, action.attempt, 200, f'ran {key}')
        world.deliver(host, name, done)

    delay = world.get_delay(host.name, name) + SERVICE_S
    world.at(world.now + delay, run)


@perform.register
def _(action: CancelHolds, world: World, host: Host) -> None:
    name = action.address
    engine = world.engines.get(name)
    if engine is None or not engine.alive:
        return
    if not world.can_reach(host.name, name):
        return

    def cancel() -> None:  # noqa: WPS430
        for hold in action.holds:
            engine.model.cancel(hold, world.now)
            engine.routes.pop(hold, None)
        world.pump_engine(name)
        if world.switches.lose_cancels > 0:
            world.switches.lose_cancels -= 1
            return
        confirmed = CancelConfirmed(action.target, action.holds)
        world.deliver(host, name, confirmed)

    world.at(world.now + world.get_delay(host.name, name), cancel)


@perform.register
def _(action: ToPeer, world: World, host: Host) -> None:
    peer = world.hosts.get(action.address)
    if peer is None or not world.can_reach(host.name, peer.name):
        return
    if world.rng.random() < world.switches.loss_share:
        return
    message = PeerMessage(host.member, action.payload)
    world.deliver(peer, host.name, message)


@perform.register
def _(action: AppendRecord, world: World, host: Host) -> None:
    if world.stall(host, action):
        return
    reachable = world.can_reach(host.name, PLATFORM)
    if world.switches.outage or not reachable:
        return
    if world.switches.lose_appends > 0:
        world.switches.lose_appends -= 1
        return
    try:
        world.log.append(action.record, world.now)
    except Overloaded:
        return


@perform.register
def _(action: GiveOrder, world: World, host: Host) -> None:
    if world.stall(host, action):
        return
    name = action.target
    engine = world.engines[name]
    if world.now >= action.not_after or not engine.alive:
        return
    if not world.can_reach(host.name, name):
        return

    def take() -> None:  # noqa: WPS430
        models = frozenset(action.models)
        taken = engine.model.order(models, action.fencing)
        if taken:
            world.note(
                EventType.order,
                who=host.name,
                key=name,
                number=action.fencing,
            )
        answered = OrderAnswered(name, refused=not taken)
        world.deliver(host, name, answered)

    world.at(world.now + world.get_delay(host.name, name), take)


@perform.register
def _(action: EmitChunks, world: World, host: Host) -> None:
    if action.req_id not in host.requests:
        return
    if world.on_first_token and not action.chunks[0].index:
        world.on_first_token(action.req_id)
    if not world.records_chunks:
        return
    for chunk in action.chunks:
        world.note(
            EventType.chunk,
            who=host.name,
            req_id=action.req_id,
            number=chunk.index,
            text=chunk.text,
        )


@perform.register
def _(action: Finish, world: World, host: Host) -> None:
    req_id = action.req.req_id
    if host.requests.pop(req_id, None) is None:
        return
    world.finishes[req_id] = action
    world.note(
        EventType.outcome,
        who=host.name,
        req_id=req_id,
        key=action.verdict.reason.value,
        text=action.verdict.outcome.value,
    )
    if world.on_finish:
        world.on_finish(action)


@perform.register
def _(action: Published, world: World, host: Host) -> None:
    world.note(
        EventType.published,
        who=host.name,
        key=action.publish_id,
        number=action.version,
        limit=action.base,
        text='accepted' if action.accepted else 'conflict',
    )


@perform.register
def _(action: Count, world: World, host: Host) -> None:
    key = (action.name, action.label)
    world.counts[key] = world.counts.get(key, 0) + 1


@perform.register
def _(action: Note, world: World, host: Host) -> None:
    """Lines of the log prove nothing, so the history leaves them out."""
