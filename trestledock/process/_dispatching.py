"""
Dispatching
===========

Sends queued work to engines: whole short prompts as one job, longer ones in
pieces so that a short one waits for one piece at most, and prompts larger
than one engine over a group of engines, reserved all or nothing in the order
of their names.
"""

from trestledock.process._actions import CallService, Job, StartJob
from trestledock.process._choosing import (
    PREFIX_BLOCK,
    Candidate,
    choose_engine,
    draw_two,
    find_candidates,
    get_priority,
)
from trestledock.process._choosing import Field as CandidateField
from trestledock.process._ending import refuse
from trestledock.process._fleet import Target
from trestledock.process._groups import plan_group
from trestledock.process._guarding import take_hold
from trestledock.process._isolating import is_quarantined
from trestledock.process._live import Live, Phase, Share
from trestledock.process._load import Sent
from trestledock.process._queue import Waiting, get_rank
from trestledock.process._state import State
from trestledock.process._timers import PumpDue, SilenceDue
from trestledock.request import AttemptEvent, Reason, Request
from trestledock.version import Team

#: How old a decision may be when it is written to its target, in seconds.  A
#: process that was paused in between decides again: the target may be leaving.
WRITE_WITHIN_S = 2.0
#: How long an engine may say nothing of a job: at least so many seconds, and
#: so many times what was predicted.
SILENCE_S = 5.0
SILENCE_FACTOR = 4.0
#: For how long events that may make room are gathered, in seconds.
PUMP_S = 0.01


def pump(state: State, pool: str, now: float) -> None:
    """Send whatever waits for `pool` and has a place now.

    Where one request finds no place, another of the same kind and class finds
    none either in this round.
    """
    queue = state.get_queue(pool)
    without_place: set[tuple[str, ...]] = set()
    for waiting in tuple(queue.iter_next()):
        live = state.requests.get(waiting.req.req_id)
        shape = get_shape(waiting.req)
        if live is None:
            queue.remove(waiting.req.req_id)
            continue
        is_refused = _refuse_waiting(state, live, waiting, now)
        if not is_refused and shape not in without_place:
            if place(state, live, now):
                queue.charge(waiting)
            else:
                without_place.add(shape)


def get_team(state: State, req: Request) -> Team:
    """Return the team of a request that has passed the basic checks."""
    cfg = state.version.cfg
    team = cfg.get_team_by_name(req.team) if cfg else None
    return team or Team(req.team)


def make_waiting(state: State, live: Live) -> Waiting:
    """Return a live request as it waits in the fair queue."""
    return Waiting(
        live.req,
        live.cost,
        get_team(state, live.req).weight,
        live.least_s,
        get_rank(live.req),
    )


def get_shape(req: Request) -> tuple[str, ...]:
    """Return what decides, besides memory, on whether a request fits."""
    return (req.team, str(req.model), req.length_class.value)


def pump_soon(state: State, pool: str, now: float) -> None:
    """Try what waits for `pool` within a moment, once for many events."""
    if state.get_queue(pool).waiting and pool not in state.duties.pumps:
        state.duties.pumps.add(pool)
        state.set_timer(now + PUMP_S, PumpDue(pool))


def on_pump_due(message: PumpDue, state: State, now: float) -> None:
    """Try what waits for a pool."""
    state.duties.pumps.discard(message.pool)
    pump(state, message.pool, now)


def pump_all(state: State, now: float) -> None:
    """Try whatever waits within a moment."""
    for pool in tuple(state.queues):
        pump_soon(state, pool, now)


def place(
    state: State,
    live: Live,
    now: float,
    known: CandidateField | None = None,
) -> bool:
    """Send one queued request where it may run now; False where nowhere.

    `known` holds the candidates where they have just been found.
    """
    field = known or find_candidates(state, live.req, now)
    if not field.candidates:
        return False
    if live.req.total_tokens > field.capacity:
        shares = plan_group(state, live, field, now)
        if shares:
            _start(state, live, shares, now)
        return bool(shares)
    ready = tuple(
        one
        for one in field.candidates
        if one.wait_s <= state.policy.window_s
        and one.free_tokens >= live.req.total_tokens
    )
    if not ready:
        return False
    fresh = tuple(one for one in ready if _is_new(live, one))
    chosen = choose_engine(state, fresh or ready)
    hold = take_hold(state, chosen.target, now)
    if not hold:
        return False
    name = chosen.target.info.name
    _start(state, live, (Share(name, 0, live.goal, hold),), now)
    return True


def send_piece(state: State, live: Live, now: float) -> None:
    """Send the next piece of a running request's prompt."""
    share = live.get_share()
    target = state.get_targets()[share.target]
    start = max(live.position, share.start)
    stop = min(share.stop, start + _get_piece(state, live, target))
    generate = stop >= live.goal
    req = live.req
    need = _estimate_need(live, target)
    job = Job(
        hold=share.hold,
        model=req.model,
        start=start,
        stop=stop,
        reserve=_get_reserve(live, share),
        generate=generate,
        max_tokens=req.max_tokens - live.emitted if generate else 0,
        priority=get_priority(state, req, now, need),
        first_index=live.emitted,
    )
    _send(state, live, target, job, now)


def send_reservation(state: State, live: Live, now: float) -> None:
    """Reserve the memory of the next engine of a group."""
    ordered = sorted(live.shares, key=lambda share: share.target)
    share = ordered[live.reserved]
    target = state.get_targets()[share.target]
    job = Job(
        hold=share.hold,
        model=live.req.model,
        start=share.start,
        stop=share.start,
        reserve=_get_reserve(live, share),
        generate=False,
        max_tokens=0,
        priority=get_priority(state, live.req, now, 0),
    )
    _send(state, live, target, job, now)


def start_call(
    state: State,
    live: Live,
    candidates: tuple[Candidate, ...],
    not_after: float,
    now: float,
) -> None:
    """Send a call to one of the permitted plain services."""
    fresh = tuple(one for one in candidates if _is_new(live, one))
    target = draw_two(state, fresh or candidates).target
    name = target.info.name
    live.enter(Phase.running)
    attempt = live.begin_attempt(name)
    live.note(attempt.number, AttemptEvent.write)
    target.breaker.start(now)
    target.in_flight += 1
    target.load.add(
        (live.req.req_id, attempt.number),
        Sent(0, 0, 0, now, now),
    )
    state.count('attempts', 'call')
    state.act(
        CallService(
            live.req.req_id,
            attempt.number,
            name,
            target.info.address,
            min(not_after, now + WRITE_WITHIN_S),
        ),
    )


def _start(
    state: State,
    live: Live,
    shares: tuple[Share, ...],
    now: float,
) -> None:
    live.enter(Phase.running)
    attempt = live.begin_attempt(shares[0].target)
    live.shares = shares
    live.note(attempt.number, AttemptEvent.write)
    state.count('attempts', live.req.length_class.value)
    if len(shares) > 1:
        send_reservation(state, live, now)
    else:
        send_piece(state, live, now)


def _send(
    state: State,
    live: Live,
    target: Target,
    job: Job,
    now: float,
) -> None:
    key = (live.req.req_id, live.attempt.number)
    earlier = target.load.sends.get(key)
    if earlier is None:
        target.in_flight += 1
        target.breaker.start(now)
    rest = max(0, live.get_share().stop - job.stop)
    target.load.add(
        key,
        Sent(
            job.stop - job.start,
            job.priority,
            job.reserve,
            now,
            earlier.reserved_at if earlier else now,
            rest,
        ),
    )
    live.awaited = (job.hold, job.stop)
    _watch_silence(state, live, target, job, now)
    source = _get_source(live, job)
    state.act(
        StartJob(
            live.req.req_id,
            live.attempt.number,
            target.info.name,
            target.info.address,
            _with_source(state, job, source),
            now + WRITE_WITHIN_S,
        ),
    )


def _watch_silence(
    state: State,
    live: Live,
    target: Target,
    job: Job,
    now: float,
) -> None:
    """Set the timer after which an engine that says nothing counts as lost."""
    report = target.load.report
    if report is None:
        return
    wait_s = target.load.predict_wait(job.priority, now)
    work_s = (job.stop - job.start) / report.rate
    patience_s = max(SILENCE_S, SILENCE_FACTOR * (wait_s + work_s))
    due = SilenceDue(
        live.req.req_id,
        live.attempt.number,
        job.hold,
        job.stop,
        live.emitted,
    )
    state.set_timer(now + patience_s, due)


def _get_source(live: Live, job: Job) -> Share | None:
    for before, share in zip(live.shares, live.shares[1:]):
        if job.hold == share.hold and job.start == share.start:
            return before if job.stop > job.start else None
    return None


def _with_source(state: State, job: Job, source: Share | None) -> Job:
    if source is None:
        return job
    address = state.get_targets()[source.target].info.address
    return Job(
        **{
            **job.__dict__,
            'source': address,
            'source_hold': source.hold,
        },
    )


def _get_piece(state: State, live: Live, target: Target) -> int:
    report = target.load.report
    if not state.policy.prefill_chunk_s or report is None:
        return live.goal
    blocks = round(state.policy.prefill_chunk_s * report.rate / PREFIX_BLOCK)
    piece = max(1, blocks) * PREFIX_BLOCK
    rest = live.get_share().stop - live.position
    whole = live.goal <= state.policy.max_unchunked_tokens
    return rest if whole or rest < piece * 3 // 2 else piece


def _get_reserve(live: Live, share: Share) -> int:
    tokens = share.stop - share.start
    if share is live.shares[-1]:
        tokens += live.req.max_tokens - live.emitted
    return tokens


def _estimate_need(live: Live, target: Target) -> float:
    report = target.load.report
    if report is None:
        return 0
    prefill_s = (live.goal - live.position) / report.rate
    return prefill_s + (live.req.max_tokens - live.emitted) * report.itl_s


def _is_new(live: Live, one: Candidate) -> bool:
    if not live.attempts:
        return True
    return live.attempt.target != one.target.info.name


def _refuse_waiting(
    state: State, live: Live, waiting: Waiting, now: float
) -> bool:
    """Refuse a request that need not wait any more; return whether it was."""
    if is_quarantined(state, live):
        refuse(state, live, Reason.quarantined)
        return True
    if _is_hopeless(state, waiting, now):
        refuse(state, live, Reason.deadline_unreachable, live.cost)
        return True
    return False


def _is_hopeless(state: State, waiting: Waiting, now: float) -> bool:
    late = now + waiting.least_s > waiting.req.deadline
    return state.policy.admission and late
