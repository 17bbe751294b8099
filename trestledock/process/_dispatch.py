"""
Dispatch
========

Sends queued requests to engines.  Short prompts are sent as one job, longer
ones in chunks, so that a short prompt waits for one chunk at most.  Prompts
that exceed the memory of one engine go to a group of engines, whose memory is
reserved all or nothing, in the order of their names.
"""

from trestledock.process._actions import CallService, Job, StartJob
from trestledock.process._completion import refuse
from trestledock.process._fleet import Target
from trestledock.process._groups import plan_group
from trestledock.process._live_request import LiveRequest, Phase, Share
from trestledock.process._load import SentWork
from trestledock.process._quarantining import is_quarantined
from trestledock.process._queue import QueuedRequest, get_length_rank
from trestledock.process._reservation_watch import allocate_reservation
from trestledock.process._selection import (
    PREFIX_BLOCK_TOKENS,
    Candidate,
    CandidateSet,
    choose_engine,
    choose_of_two,
    find_candidates,
    get_priority,
)
from trestledock.process._state import State
from trestledock.process._timers import DispatchDue, SilenceDue
from trestledock.request import AttemptEvent, Reason, Request
from trestledock.version import Team

#: The maximum age of a decision when it is sent to its target, in seconds.  A
#: process that was paused in between decides again, because the target may be
#: draining by then.
MAX_DECISION_AGE_S = 2.0
#: The timeout for the first response to a job: the larger of a minimum, in
#: seconds, and a multiple of the predicted time.
MIN_SILENCE_S = 5.0
SILENCE_FACTOR = 4.0
#: The delay for which events that may free capacity are batched, in seconds.
DISPATCH_DELAY_S = 0.01


def dispatch_queue(state: State, pool: str, now: float) -> None:
    """Send the queued requests of `pool` that can run now.

    If a request can't be placed, others of its placement class are skipped in
    this round.
    """
    queue = state.get_queue(pool)
    unplaceable: set[tuple[str, ...]] = set()
    for waiting in tuple(queue.iter_in_order()):
        live = state.requests.get(waiting.req.req_id)
        placement_class = get_placement_class(waiting.req)
        if live is None:
            queue.remove(waiting.req.req_id)
            continue
        is_refused = _refuse_if_hopeless(state, live, waiting, now)
        if not is_refused and placement_class not in unplaceable:
            if try_dispatch(state, live, now):
                queue.charge(waiting)
            else:
                unplaceable.add(placement_class)


def get_team(state: State, req: Request) -> Team:
    """Return the team of a request that has passed the basic checks."""
    cfg = state.version.cfg
    team = cfg.get_team_by_name(req.team) if cfg else None
    return team or Team(req.team)


def make_queued_request(state: State, live: LiveRequest) -> QueuedRequest:
    """Return the entry of a live request in the fair queue."""
    return QueuedRequest(
        live.req,
        live.cost,
        get_team(state, live.req).weight,
        live.least_s,
        get_length_rank(live.req),
    )


def get_placement_class(req: Request) -> tuple[str, ...]:
    """Return the properties other than size that decide on placement."""
    return (req.team, str(req.model), req.length_class.value)


def schedule_dispatch(state: State, pool: str, now: float) -> None:
    """Schedule a dispatch of the pool's queue, unless one is pending."""
    if (
        state.get_queue(pool).waiting
        and pool not in state.bookkeeping.scheduled_pools
    ):
        state.bookkeeping.scheduled_pools.add(pool)
        state.set_timer(now + DISPATCH_DELAY_S, DispatchDue(pool))


def on_dispatch_due(message: DispatchDue, state: State, now: float) -> None:
    """Dispatch the queue of a pool."""
    state.bookkeeping.scheduled_pools.discard(message.pool)
    dispatch_queue(state, message.pool, now)


def schedule_dispatch_of_all(state: State, now: float) -> None:
    """Schedule a dispatch of every queue."""
    for pool in tuple(state.queues):
        schedule_dispatch(state, pool, now)


def try_dispatch(
    state: State,
    live: LiveRequest,
    now: float,
    known: CandidateSet | None = None,
) -> bool:
    """Send a queued request to an engine; return whether one has capacity.

    `known` passes candidates that the caller has just computed.
    """
    candidate_set = known or find_candidates(state, live.req, now)
    if not candidate_set.candidates:
        return False
    if live.req.total_tokens > candidate_set.capacity:
        shares = plan_group(state, live, candidate_set, now)
        if shares:
            _start_attempt(state, live, shares, now)
        return bool(shares)
    ready = tuple(
        candidate
        for candidate in candidate_set.candidates
        if candidate.wait_s <= state.policy.window_s
        and candidate.free_tokens >= live.req.total_tokens
    )
    if not ready:
        return False
    others = tuple(
        candidate for candidate in ready if _is_other_target(live, candidate)
    )
    chosen = choose_engine(state, others or ready)
    hold = allocate_reservation(state, chosen.target, now)
    if not hold:
        return False
    name = chosen.target.info.name
    _start_attempt(state, live, (Share(name, 0, live.prefill_stop, hold),), now)
    return True


def send_prefill_chunk(state: State, live: LiveRequest, now: float) -> None:
    """Send the next prefill chunk of a running request."""
    share = live.get_current_share()
    target = state.get_targets()[share.target]
    start = max(live.prefilled_tokens, share.start)
    stop = min(share.stop, start + _get_chunk_tokens(state, live, target))
    generate = stop >= live.prefill_stop
    req = live.req
    remaining_s = _estimate_remaining_s(live, target)
    job = Job(
        hold=share.hold,
        model=req.model,
        start=start,
        stop=stop,
        reserve=_get_reserved_tokens(live, share),
        generate=generate,
        max_tokens=req.max_tokens - live.emitted if generate else 0,
        priority=get_priority(state, req, now, remaining_s),
        first_index=live.emitted,
    )
    _send_job(state, live, target, job, now)


def send_reservation(state: State, live: LiveRequest, now: float) -> None:
    """Reserve memory on the next engine of a group."""
    ordered = sorted(live.shares, key=lambda share: share.target)
    share = ordered[live.reserved_engines]
    target = state.get_targets()[share.target]
    job = Job(
        hold=share.hold,
        model=live.req.model,
        start=share.start,
        stop=share.start,
        reserve=_get_reserved_tokens(live, share),
        generate=False,
        max_tokens=0,
        priority=get_priority(state, live.req, now, 0),
    )
    _send_job(state, live, target, job, now)


def start_call(
    state: State,
    live: LiveRequest,
    candidates: tuple[Candidate, ...],
    not_after: float,
    now: float,
) -> None:
    """Send a call to one of the permitted plain services."""
    others = tuple(
        candidate
        for candidate in candidates
        if _is_other_target(live, candidate)
    )
    target = choose_of_two(state, others or candidates).target
    name = target.info.name
    live.enter_phase(Phase.running)
    attempt = live.begin_attempt(name, now)
    live.advance_attempt(attempt.number, AttemptEvent.write)
    target.breaker.start(now)
    target.in_flight += 1
    target.load.add(
        (live.req.req_id, attempt.number),
        SentWork(0, 0, 0, now, now),
    )
    state.count('attempts', 'call')
    state.emit(
        CallService(
            live.req.req_id,
            attempt.number,
            name,
            target.info.address,
            min(not_after, now + MAX_DECISION_AGE_S),
        ),
    )


def _start_attempt(
    state: State,
    live: LiveRequest,
    shares: tuple[Share, ...],
    now: float,
) -> None:
    live.enter_phase(Phase.running)
    attempt = live.begin_attempt(shares[0].target, now)
    live.shares = shares
    live.advance_attempt(attempt.number, AttemptEvent.write)
    state.count('attempts', live.req.length_class.value)
    if len(shares) > 1:
        send_reservation(state, live, now)
    else:
        send_prefill_chunk(state, live, now)


def _send_job(
    state: State,
    live: LiveRequest,
    target: Target,
    job: Job,
    now: float,
) -> None:
    key = (live.req.req_id, live.attempt.number)
    earlier = target.load.sent_work.get(key)
    if earlier is None:
        target.in_flight += 1
        target.breaker.start(now)
    remaining_tokens = max(0, live.get_current_share().stop - job.stop)
    target.load.add(
        key,
        SentWork(
            job.stop - job.start,
            job.priority,
            job.reserve,
            now,
            earlier.reserved_at if earlier else now,
            remaining_tokens,
        ),
    )
    live.awaited_job = (job.hold, job.stop)
    _set_silence_timer(state, live, target, job, now)
    source = _find_kv_source(live, job)
    state.emit(
        StartJob(
            live.req.req_id,
            live.attempt.number,
            target.info.name,
            target.info.address,
            _attach_kv_source(state, job, source),
            now + MAX_DECISION_AGE_S,
        ),
    )


def _set_silence_timer(
    state: State,
    live: LiveRequest,
    target: Target,
    job: Job,
    now: float,
) -> None:
    """Set the timer after which an attempt without a response fails."""
    report = target.load.report
    if report is None:
        return
    wait_s = target.load.predict_wait(job.priority, now)
    work_s = (job.stop - job.start) / report.rate
    timeout_s = max(MIN_SILENCE_S, SILENCE_FACTOR * (wait_s + work_s))
    due = SilenceDue(
        live.req.req_id,
        live.attempt.number,
        job.hold,
        job.stop,
        live.emitted,
    )
    state.set_timer(now + timeout_s, due)


def _find_kv_source(live: LiveRequest, job: Job) -> Share | None:
    for previous, share in zip(live.shares, live.shares[1:]):
        if job.hold == share.hold and job.start == share.start:
            return previous if job.stop > job.start else None
    return None


def _attach_kv_source(state: State, job: Job, source: Share | None) -> Job:
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


def _get_chunk_tokens(state: State, live: LiveRequest, target: Target) -> int:
    report = target.load.report
    if not state.policy.prefill_chunk_s or report is None:
        return live.prefill_stop
    blocks = round(
        state.policy.prefill_chunk_s * report.rate / PREFIX_BLOCK_TOKENS
    )
    chunk_tokens = max(1, blocks) * PREFIX_BLOCK_TOKENS
    remaining_tokens = live.get_current_share().stop - live.prefilled_tokens
    is_unsplit = live.prefill_stop <= state.policy.max_unchunked_tokens
    return (
        remaining_tokens
        if is_unsplit or remaining_tokens < chunk_tokens * 3 // 2
        else chunk_tokens
    )


def _get_reserved_tokens(live: LiveRequest, share: Share) -> int:
    tokens = share.stop - share.start
    if share is live.shares[-1]:
        tokens += live.req.max_tokens - live.emitted
    return tokens


def _estimate_remaining_s(live: LiveRequest, target: Target) -> float:
    report = target.load.report
    if report is None:
        return 0
    prefill_s = (live.prefill_stop - live.prefilled_tokens) / report.rate
    return prefill_s + (live.req.max_tokens - live.emitted) * report.itl_s


def _is_other_target(live: LiveRequest, candidate: Candidate) -> bool:
    if not live.attempts:
        return True
    return live.attempt.target != candidate.target.info.name


def _refuse_if_hopeless(
    state: State, live: LiveRequest, waiting: QueuedRequest, now: float
) -> bool:
    """Refuse a request that must not wait longer; return whether it was."""
    if is_quarantined(state, live):
        refuse(state, live, Reason.quarantined)
        return True
    if _misses_deadline(state, waiting, now):
        refuse(state, live, Reason.deadline_unreachable, live.cost)
        return True
    return False


def _misses_deadline(state: State, waiting: QueuedRequest, now: float) -> bool:
    is_late = now + waiting.least_s > waiting.req.deadline
    return state.policy.admission and is_late
