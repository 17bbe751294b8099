"""
Actions
=======

Performs the actions of the cores in a world, subject to its delays, partitions
and other faults, and records what callers and targets would see.
"""

from functools import partial, singledispatch
from http import HTTPStatus
from typing import Any

from trestledock.process import (
    AppendRecord,
    AttemptFailed,
    CallDone,
    CallService,
    CancelConfirmed,
    CancelReservations,
    ChunkArrived,
    Count,
    EmitChunks,
    Finish,
    GiveOrder,
    LogEvent,
    OrderAnswered,
    PeerMessage,
    Policy,
    Published,
    ResumeStream,
    StartJob,
    StreamDone,
    Timing,
    SendToPeer,
)
from trestledock.proof._periodic_reads import (
    read_instance_list,
    read_loads,
    read_log,
)
from trestledock.proof._history import EventType
from trestledock.proof._hosts import CRASHING_FINGERPRINT, Host, Route
from trestledock.proof._world import (
    CONNECT_TIMEOUT_S,
    PLATFORM,
    Feed,
    World,
)
from trestledock.standin import Overloaded, Rejected

#: The time that a service takes for a call, in seconds.
SERVICE_TIME_S = 0.01
#: The intervals in which an instance reads its sources, in seconds.
LOG_POLL_S = 0.25
LIST_POLL_S = 1.0
LOAD_POLL_S = 0.5


def make_world(
    seed: int = 0,
    timing: Timing = Timing(),
    policy: Policy = Policy(),
    load_poll_s: float = LOAD_POLL_S,
) -> World:
    """Return an empty world."""
    feeds = (
        Feed(LOG_POLL_S, read_log),
        Feed(LIST_POLL_S, read_instance_list),
        Feed(load_poll_s, read_loads),
    )
    return World(perform, feeds, seed, timing, policy)


@singledispatch
def perform(action: Any, world: World, host: Host) -> None:
    """Perform an action of an instance."""
    raise TypeError(f'no function performs {type(action).__name__}')


@perform.register
def _(action: StartJob, world: World, host: Host) -> None:
    name = action.target
    engine = world.engines[name]
    route = Route(host, action.req_id, action.attempt)
    if world.delay_if_stalled(host, action):
        return
    is_late = world.now >= action.not_after
    if is_late or not engine.alive or not world.can_reach(host.name, name):
        world.schedule_failure(route, name, not_started=True)
        return

    def submit() -> None:  # noqa: WPS430
        if not engine.alive or world.engines[name] is not engine:
            world.schedule_failure(route, name, not_started=False)
            return
        prefix = (
            host.requests[action.req_id].prefix
            if (action.req_id in host.requests)
            else ()
        )
        seed = host.seeds.get(action.req_id, '')
        engine.routes[action.job.hold] = route
        if not action.job.start:
            world.record(
                EventType.sent,
                who=host.name,
                req_id=action.req_id,
                key=name,
            )
        if _crashes_engine(action, host):
            world.crash_engine(name)
            return
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
        world.advance_engine(name)

    world.schedule(world.now + world.get_delay(host.name, name), submit)


def _crashes_engine(action: StartJob, host: Host) -> bool:
    """Return whether an engine crashes as it begins to decode a request."""
    req = host.requests.get(action.req_id)
    if req is None or req.fingerprint != CRASHING_FINGERPRINT:
        return False
    return action.job.generate


@perform.register
def _(action: ResumeStream, world: World, host: Host) -> None:
    name = action.target
    engine = world.engines[name]
    route = Route(host, action.req_id, action.attempt)
    model = engine.model
    reservation = model.reservations.get(action.hold) or model.finished.get(
        action.hold
    )
    reachable = engine.alive and world.can_reach(host.name, name)
    if reservation is None or not reachable:
        world.schedule_failure(route, name, not_started=False)
        return
    engine.routes[action.hold] = route
    for chunk in reservation.produced:
        if chunk.index >= action.index:
            message = ChunkArrived(action.req_id, action.attempt, chunk)
            world.deliver(host, name, message)
    if reservation.final_count is not None:
        done = StreamDone(
            action.req_id, action.attempt, reservation.final_count
        )
        world.deliver(host, name, done)


@perform.register
def _(action: CallService, world: World, host: Host) -> None:
    if world.delay_if_stalled(host, action):
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
        world.schedule(
            world.now + CONNECT_TIMEOUT_S,
            lambda: world.deliver_now(host, failed),
        )
        return

    delay = world.get_delay(host.name, name) + SERVICE_TIME_S
    world.schedule(world.now + delay, partial(_run_call, action, world, host))


def _run_call(action: CallService, world: World, host: Host) -> None:
    """Run a call on its service; the answer may get lost."""
    name = action.target
    service = world.services[name]
    key = host.keys.get(action.req_id, '')
    world.record(
        EventType.sent,
        who=host.name,
        req_id=action.req_id,
        key=name,
    )
    world.record(
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
    done = CallDone(action.req_id, action.attempt, HTTPStatus.OK, f'ran {key}')
    world.deliver(host, name, done)


@perform.register
def _(action: CancelReservations, world: World, host: Host) -> None:
    name = action.address
    engine = world.engines.get(name)
    if engine is None or not engine.alive:
        return
    if not world.can_reach(host.name, name):
        return

    def cancel() -> None:  # noqa: WPS430
        for reservation in action.holds:
            engine.model.cancel(reservation, world.now)
            engine.routes.pop(reservation, None)
        world.advance_engine(name)
        if world.faults.lose_cancels > 0:
            world.faults.lose_cancels -= 1
            return
        confirmed = CancelConfirmed(action.target, action.holds)
        world.deliver(host, name, confirmed)

    world.schedule(world.now + world.get_delay(host.name, name), cancel)


@perform.register
def _(action: SendToPeer, world: World, host: Host) -> None:
    peer = world.hosts.get(action.address)
    if peer is None or not world.can_reach(host.name, peer.name):
        return
    if world.rng.random() < world.faults.loss_share:
        return
    message = PeerMessage(host.member, action.payload)
    world.deliver(peer, host.name, message)


@perform.register
def _(action: AppendRecord, world: World, host: Host) -> None:
    if world.delay_if_stalled(host, action):
        return
    reachable = world.can_reach(host.name, PLATFORM)
    if world.faults.outage or not reachable:
        return
    if world.faults.lose_appends > 0:
        world.faults.lose_appends -= 1
        return
    try:
        world.log.append(action.record, world.now)
    except Overloaded:
        return


@perform.register
def _(action: GiveOrder, world: World, host: Host) -> None:
    if world.delay_if_stalled(host, action):
        return
    name = action.target
    engine = world.engines[name]
    if world.now >= action.not_after or not engine.alive:
        return
    if not world.can_reach(host.name, name):
        return

    def take_order() -> None:  # noqa: WPS430
        models = frozenset(action.models)
        taken = engine.model.load_models(models, action.fencing)
        if taken:
            world.record(
                EventType.order,
                who=host.name,
                key=name,
                number=action.fencing,
            )
        answered = OrderAnswered(name, refused=not taken)
        world.deliver(host, name, answered)

    world.schedule(world.now + world.get_delay(host.name, name), take_order)


@perform.register
def _(action: EmitChunks, world: World, host: Host) -> None:
    if action.req_id not in host.requests:
        return
    if world.on_first_token and not action.chunks[0].index:
        world.on_first_token(action.req_id)
    if not world.records_chunks:
        return
    for chunk in action.chunks:
        world.record(
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
    world.record(
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
    world.record(
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
def _(action: LogEvent, world: World, host: Host) -> None:
    """Ignore log lines, which are no evidence for the checkers."""
