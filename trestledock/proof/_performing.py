"""
Performing actions
==================

Carries out what the cores of a world ask for, through its delays, cuts and
other faults, and writes down what callers and targets would have seen.
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
from trestledock.proof._feeds import feed_list, feed_loads, feed_log
from trestledock.proof._history import EventType
from trestledock.proof._hosts import DEADLY, Host, Route
from trestledock.proof._world import (
    CONNECT_TIMEOUT_S,
    PLATFORM,
    Feed,
    World,
)
from trestledock.standin import Overloaded, Rejected

#: How long a service works on a call, in seconds.
SERVICE_S = 0.01
#: How often an instance reads what, in seconds.
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
        Feed(LOG_POLL_S, feed_log),
        Feed(LIST_POLL_S, feed_list),
        Feed(load_poll_s, feed_loads),
    )
    return World(perform, feeds, seed, timing, policy)


@singledispatch
def perform(action: Any, world: World, host: Host) -> None:
    """Carry out an action of an instance."""
    raise TypeError(f'nothing carries out {type(action).__name__}')


@perform.register
def _(action: StartJob, world: World, host: Host) -> None:
    name = action.target
    engine = world.engines[name]
    route = Route(host, action.req_id, action.attempt)
    if world.stall(host, action):
        return
    late = world.now >= action.not_after
    if late or not engine.alive or not world.can_reach(host.name, name):
        world.fail(route, name, not_started=True)
        return

    def submit() -> None:  # noqa: WPS430
        if not engine.alive or world.engines[name] is not engine:
            world.fail(route, name, not_started=False)
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
        if _is_deadly(action, host):
            world.end_engine(name)
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
        world.pump_engine(name)

    world.at(world.now + world.get_delay(host.name, name), submit)


def _is_deadly(action: StartJob, host: Host) -> bool:
    """Whether an engine ends as it begins to write for a request."""
    req = host.requests.get(action.req_id)
    if req is None or req.fingerprint != DEADLY:
        return False
    return action.job.generate


@perform.register
def _(action: ResumeStream, world: World, host: Host) -> None:
    name = action.target
    engine = world.engines[name]
    route = Route(host, action.req_id, action.attempt)
    model = engine.model
    hold = model.holds.get(action.hold) or model.finished.get(action.hold)
    reachable = engine.alive and world.can_reach(host.name, name)
    if hold is None or not reachable:
        world.fail(route, name, not_started=False)
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

    delay = world.get_delay(host.name, name) + SERVICE_S
    world.at(world.now + delay, partial(_run_call, action, world, host))


def _run_call(action: CallService, world: World, host: Host) -> None:
    """Run a call on its service, whose answer may get lost."""
    name = action.target
    service = world.services[name]
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
def _(action: SendToPeer, world: World, host: Host) -> None:
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
def _(action: LogEvent, world: World, host: Host) -> None:
    """Lines of the log prove nothing, so the history leaves them out."""
