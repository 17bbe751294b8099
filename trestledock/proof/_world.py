"""
Simulated world
===============

Runs the process cores of several instances on one virtual clock, with fakes at
their interfaces: engines, plain services, the log, the instance list, and a
network with delays, losses and partitions.  All random values come from one
seed, so that a run can be repeated exactly.

The world does not simulate machines or their resources, but only the messages
and actions of the core, and the faults that the product has to tolerate.
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
    FaultSettings,
    Host,
    Route,
    ServiceHost,
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
#: One-way delays in a data centre and between two, in seconds.
LOCAL_DELAY_S = 0.0005
REMOTE_DELAY_S = 0.001
#: The time until a connection attempt fails in a partition, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: The time until an engine that a request has crashed runs again, in seconds.
RESTART_DELAY_S = 3.0
#: The counter for crashes of engines by requests with the crashing fingerprint.
DEADLY_CRASH_COUNTER = ('ends', 'deadly')
#: The range of the random factor of delays.
JITTER_FACTORS = (0.5, 1.5)
#: The interval of checks for the end of a graceful shutdown, in seconds.
DRAIN_POLL_S = 0.1


@dataclass(frozen=True)
class Feed:
    """A source that an instance reads periodically."""

    interval_s: float
    read: Callable[['World', Host], None]


@dataclass
class World:
    """The hosts, targets and faults on one clock; see `make_world`."""

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
    faults: FaultSettings = field(default_factory=FaultSettings)
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
    instance_lists: list[
        tuple[float, tuple[TargetInfo, ...], tuple[PeerInfo, ...]]
    ] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Seed the random generator."""
        self.rng = Random(self.seed)

    def schedule(self, instant: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at an instant."""
        self._count += 1
        heapq.heappush(self._heap, (instant, self._count, callback))

    def run_until(self, instant: float) -> None:
        """Advance the clock to an instant, running what is scheduled."""
        while self._heap and self._heap[0][0] <= instant:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = instant

    def record(self, kind: EventType, **fields: Any) -> None:
        """Add an event to the history."""
        self.history.append(Event(self.now, kind, **fields))

    def add_host(self, name: str, data_centre: str) -> Host:
        """Start an instance, or a new incarnation of it."""
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
            self.schedule(first, partial(self._run_feed, host, feed))
        self.update_instance_list()
        self.deliver_now(host, Tick())
        return host

    def add_engine(
        self,
        name: str,
        labels: dict[str, str],
        spec: EngineSpec,
        models: frozenset[str],
    ) -> None:
        """Start an engine, or a new incarnation of it."""
        self._incarnations += 1
        info = TargetInfo(name, name, f'{self._incarnations:04d}', labels)
        self.engines[name] = EngineHost(EngineModel(spec, models), info)
        self.update_instance_list()

    def add_service(self, name: str, labels: dict[str, str]) -> None:
        """Start a plain service."""
        self._incarnations += 1
        info = TargetInfo(name, name, f'{self._incarnations:04d}', labels)
        self.services[name] = ServiceHost(info)
        self.update_instance_list()

    def update_instance_list(self) -> None:
        """Add the current instances and targets to the versions of the list."""
        target_hosts: list[EngineHost | ServiceHost] = [
            *self.engines.values(),
            *self.services.values(),
        ]
        targets = tuple(target.info for target in target_hosts if target.alive)
        peers = tuple(
            PeerInfo(
                host.name,
                '',
                host.name,
                host.data_centre,
                host.draining,
            )
            for host in self.hosts.values()
            if host.alive
        )
        self.instance_lists.append((self.now, targets, peers))

    def invoke(self, host: Host, req: Request, seed: str = '') -> None:
        """Send a request of a caller to an instance."""
        self.record(
            EventType.invoked,
            who=host.name,
            req_id=req.req_id,
            key=req.idempotency_key,
            number=req.max_tokens,
            text=seed,
            limit=req.deadline,
        )
        if not host.alive:
            self._break_connection(host, req.req_id)
            return
        host.requests[req.req_id] = req
        host.seeds[req.req_id] = seed
        host.keys[req.req_id] = '' if req.idempotent else req.idempotency_key
        self.deliver_now(host, Arrive(req))
        self.schedule(
            req.deadline + LOCAL_DELAY_S,
            lambda: self._disconnect_if_frozen(host, req),
        )

    def publish(
        self, host: Host, publish_id: str, base: int, body: str
    ) -> None:
        """Publish a configuration through an instance, as an operator does."""
        self.deliver_now(host, Publish(publish_id, base, body))

    def kill(self, host: Host) -> None:
        """Kill an instance."""
        host.alive = False
        self.record(EventType.ended, who=host.name, text='killed')
        self._break_connections(host)
        self.update_instance_list()

    def shut_down(self, host: Host) -> None:
        """Begin a graceful shutdown of an instance."""
        self.record(EventType.shutdown, who=host.name)
        host.draining = True
        self.update_instance_list()
        self.deliver_now(host, Shutdown())
        self._end_when_drained(host)

    def freeze(self, host: Host) -> None:
        """Freeze an instance."""
        host.frozen = True
        self.record(EventType.frozen, who=host.name)

    def unfreeze(self, host: Host) -> None:
        """Unfreeze an instance; messages held meanwhile arrive at once."""
        host.frozen = False
        self.record(EventType.healed, who=host.name)
        waiting = host.inbox
        host.inbox = []
        for message in waiting:
            self.deliver_now(host, message)
        self.deliver_now(host, Tick())

    def kill_engine(self, name: str) -> None:
        """Kill an engine; its connections break."""
        engine = self.engines[name]
        engine.alive = False
        self.update_instance_list()
        for route in engine.routes.values():
            self.schedule_failure(route, name, not_started=False, ended=True)
        engine.routes.clear()

    def revive_engine(self, name: str) -> None:
        """Start a new incarnation of an engine."""
        old = self.engines[name]
        labels = dict(old.info.labels)
        self.add_engine(name, labels, old.model.spec, old.model.models)

    def mark_draining(self, name: str, *, listed: bool) -> None:
        """Begin to drain a target, by the list or only by its own reports."""
        target = self.engines.get(name) or self.services[name]
        self.record(EventType.leaving, key=name)
        if listed:
            target.info = replace(target.info, leaving=True)
            self.update_instance_list()
        else:
            target.reports_draining = True

    def can_reach(self, first: str, second: str) -> bool:
        """Return whether no partition separates two hosts."""
        return not any(
            (first in left and second in right)
            or (first in right and second in left)
            for left, right in self.faults.cuts
        )

    def get_data_centre(self, name: str) -> str:
        """Return the data centre of a host or target."""
        if name in self.hosts:
            return self.hosts[name].data_centre
        target = self.engines.get(name) or self.services.get(name)
        return target.info.labels['data_centre'] if target else ''

    def get_delay(self, source: str, destination: str) -> float:
        """Return a random one-way delay between two hosts."""
        base = (
            LOCAL_DELAY_S
            if self.get_data_centre(source) == self.get_data_centre(destination)
            else REMOTE_DELAY_S
        )
        factor = self.rng.uniform(*JITTER_FACTORS)
        extra: float = 0
        if self.faults.reorder_s:
            extra = self.rng.uniform(0, self.faults.reorder_s)
        return base * factor + extra

    def record_memory(self) -> None:
        """Record the memory that running engines reserve."""
        for name, engine in self.engines.items():
            if engine.alive:
                engine.model.advance(self.now)
                reservations = ' '.join(sorted(engine.model.reservations))
                self.record(
                    EventType.memory,
                    who=name,
                    number=engine.model.reserved_tokens,
                    text=reservations,
                )

    def deliver_now(self, host: Host, message: Any) -> None:
        """Deliver a message to an instance now, or once it is unfrozen."""
        if not host.alive:
            return
        if host.frozen:
            host.inbox.append(message)
            return
        for action in host.node.step(message, self.now):
            self.perform(action, self, host)
        self._record_version(host)
        self._schedule_tick(host)

    def deliver(self, host: Host, peer: str, message: Any) -> None:
        """Deliver a message from `peer` to an instance after a delay."""
        copies = 1
        if self.rng.random() < self.faults.duplicate_share:
            copies = 2
        for _ in range(copies):
            instant = self.now + self.get_delay(peer, host.name)
            self.schedule(instant, partial(self._receive, host, peer, message))

    def disconnect_callers(self, host: Host) -> None:
        """Disconnect all callers of an instance."""
        for req_id in tuple(host.requests):
            host.requests.pop(req_id)
            self._break_connection(host, req_id)
            self.deliver_now(host, CallerDisconnected(req_id))

    def delay_if_stalled(self, host: Host, action: Any) -> bool:
        """Delay an action if a stall is set, as a pause before its write would.

        Return whether the action is delayed.
        """
        stall_s = host.stalls.pop(type(action).__name__, 0)
        if stall_s:
            instant = self.now + stall_s
            self.schedule(instant, partial(self.perform, action, self, host))
        return stall_s > 0

    def advance_engine(self, name: str) -> None:
        """Forward the events of an engine, and schedule the next advance."""
        engine = self.engines[name]
        for event in engine.model.advance(self.now):
            self._forward_event(engine, name, event)
        instant = engine.model.get_next_event_at()
        if instant < engine.wake_at or engine.wake_at <= self.now:
            engine.wake_at = instant
            if instant < float('inf'):
                self.schedule(
                    max(instant, self.now),
                    lambda: self._wake_engine(engine, name),
                )

    def crash_engine(self, name: str) -> None:
        """Crash an engine, and restart it after a delay."""
        crashes = self.counts.get(DEADLY_CRASH_COUNTER, 0)
        self.counts[DEADLY_CRASH_COUNTER] = crashes + 1
        self.kill_engine(name)
        self.schedule(
            self.now + RESTART_DELAY_S, lambda: self.revive_engine(name)
        )

    def schedule_failure(
        self,
        route: Route,
        name: str,
        *,
        not_started: bool,
        ended: bool = False,
    ) -> None:
        """Schedule the failure of an attempt at an instance.

        The end of an engine is noticed at once, other failures after the
        connection timeout.
        """
        message = AttemptFailed(
            route.req_id,
            route.attempt,
            not_started,
            step='stream',
            peer=name,
            ended=ended,
        )
        delay_s = LOCAL_DELAY_S if ended else CONNECT_TIMEOUT_S
        self.schedule(
            self.now + delay_s, lambda: self.deliver_now(route.host, message)
        )

    def _wake_engine(self, engine: EngineHost, name: str) -> None:
        if self.engines.get(name) is engine and engine.alive:
            engine.wake_at = min(engine.wake_at, self.now)
            self.advance_engine(name)

    def _forward_event(
        self,
        engine: EngineHost,
        name: str,
        event: EngineEvent,
    ) -> None:
        route = engine.routes.get(event.reservation_id)
        if route is None or engine.muted:
            return
        if not self.can_reach(name, route.host.name):
            engine.routes.pop(event.reservation_id)
            self.schedule_failure(route, name, not_started=False)
            return
        self.deliver(route.host, name, _to_message(route, event))

    def _receive(self, host: Host, peer: str, message: Any) -> None:
        if self.can_reach(peer, host.name):
            self.deliver_now(host, message)

    def _schedule_tick(self, host: Host) -> None:
        instant = host.node.get_next_timer()
        if instant < host.tick_at or host.tick_at <= self.now:
            host.tick_at = instant
            if instant < float('inf'):
                self.schedule(max(instant, self.now), lambda: self._tick(host))

    def _tick(self, host: Host) -> None:
        if host.alive and not host.frozen and self.now >= host.tick_at:
            host.tick_at = float('inf')
            self.deliver_now(host, Tick())

    def _record_version(self, host: Host) -> None:
        number = host.node.state.version.number
        if number != host.version:
            host.version = number
            self.record(EventType.version, who=host.name, number=number)

    def _disconnect_if_frozen(self, host: Host, req: Request) -> None:
        """Disconnect a caller of a frozen instance at its deadline."""
        if host.frozen and req.req_id in host.requests:
            host.requests.pop(req.req_id)
            self._break_connection(host, req.req_id)
            host.inbox.append(CallerDisconnected(req.req_id))

    def _break_connections(self, host: Host) -> None:
        for req_id in tuple(host.requests):
            host.requests.pop(req_id)
            self._break_connection(host, req_id)

    def _break_connection(self, host: Host, req_id: str) -> None:
        self.record(EventType.broken, who=host.name, req_id=req_id)
        if self.on_broken:
            self.on_broken(req_id)

    def _end_when_drained(self, host: Host) -> None:
        if not host.alive:
            return
        if host.node.is_drained():
            host.alive = False
            self._break_connections(host)
            self.record(EventType.ended, who=host.name, text='drained')
            self.update_instance_list()
        else:
            instant = self.now + DRAIN_POLL_S
            self.schedule(instant, partial(self._end_when_drained, host))

    def _run_feed(self, host: Host, feed: 'Feed') -> None:
        if host.alive:
            if not host.frozen:
                feed.read(self, host)
            instant = self.now + feed.interval_s
            self.schedule(instant, partial(self._run_feed, host, feed))


def _to_message(route: Route, event: EngineEvent) -> Any:
    if event.kind is EventKind.prefill_done:
        return PrefillDone(
            route.req_id, route.attempt, event.reservation_id, event.stop
        )
    if event.chunk is not None:
        return ChunkArrived(route.req_id, route.attempt, event.chunk)
    return StreamDone(route.req_id, route.attempt, event.count)
