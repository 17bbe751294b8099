"""
Admission
=========

Admits requests, or refuses them at once with a reason and a Retry-After time:
if no target can take them, if they can't finish before their deadline, or if
their team has used up its limit.
"""

from trestledock.process._claim_requests import request_claim
from trestledock.process._completion import refuse
from trestledock.process._dispatch import (
    get_team,
    make_queued_request,
    schedule_dispatch,
    start_call,
    try_dispatch,
)
from trestledock.process._groups import get_giant_engine_limit
from trestledock.process._live_request import LiveRequest, Phase
from trestledock.process._messages import Arrive, CallerDisconnected
from trestledock.process._quarantining import (
    get_retry_after_s,
    is_quarantined,
    start_due_probe,
)
from trestledock.process._queue import MAX_QUEUED
from trestledock.process._selection import (
    Candidate,
    CandidateSet,
    choose_service,
    find_candidates,
)
from trestledock.process._state import State
from trestledock.process._timers import DeadlinePassed
from trestledock.request import Kind, Reason, Request

#: The number of streams that are assumed to share an engine's decoding, for the
#: cost of a request.
DECODE_CONCURRENCY = 16
#: The default Retry-After time, in seconds.
DEFAULT_RETRY_AFTER_S = 2.0

#: Reasons that may pass soon, so that a retry makes sense.
TRANSIENT_REASONS = frozenset((Reason.no_live_target, Reason.no_configuration))


def on_arrive(message: Arrive, state: State, now: float) -> None:
    """Admit a request or refuse it at once."""
    req = message.req
    live = LiveRequest(req, now, pool='')
    state.requests[req.req_id] = live
    state.set_timer(req.deadline, DeadlinePassed(req.req_id))
    state.count('requests', req.kind.value)
    reason = _check_basics(state, req, now)
    if reason is not Reason.none:
        refuse(state, live, reason, DEFAULT_RETRY_AFTER_S)
        return
    start_due_probe(state, live, now)
    if is_quarantined(state, live):
        wait_s = get_retry_after_s(state, req, now)
        refuse(state, live, Reason.quarantined, wait_s)
        return
    _ADMITTERS[req.kind](state, live, now)


def on_caller_disconnected(
    message: CallerDisconnected, state: State, now: float
) -> None:
    """End the request of a caller that has disconnected."""
    live = state.requests.get(message.req_id)
    if live:
        refuse(state, live, Reason.caller_gone)


def on_deadline_passed(
    message: DeadlinePassed, state: State, now: float
) -> None:
    """End a request at its deadline, whatever messages were lost."""
    live = state.requests.get(message.req_id)
    if live:
        reason = Reason.deadline_passed
        if live.claim and live.claim.refused:
            reason = Reason(live.claim.refused)
        refuse(state, live, reason, DEFAULT_RETRY_AFTER_S)


def _check_basics(state: State, req: Request, now: float) -> Reason:
    cfg = state.version.cfg
    if state.shutting_down:
        return Reason.shutting_down
    if cfg is None:
        return Reason.no_configuration
    if cfg.get_team_by_name(req.team) is None:
        return Reason.unknown_team
    if req.deadline <= now:
        return Reason.deadline_passed
    return Reason.none


def _admit_call(state: State, live: LiveRequest, now: float) -> None:
    candidate_set = choose_service(state, live.req, now)
    if _refuse_without_candidate(state, live, candidate_set):
        return
    live.pool = candidate_set.pool.name if candidate_set.pool else ''
    state.get_budget(live.pool).record_request(now)
    if live.req.idempotent or not live.req.idempotency_key:
        start_call(
            state, live, candidate_set.candidates, live.req.deadline, now
        )
        return
    live.phase = Phase.claiming
    request_claim(state, live, now)


def _admit_generation(state: State, live: LiveRequest, now: float) -> None:
    candidate_set = find_candidates(state, live.req, now)
    if _refuse_without_candidate(state, live, candidate_set):
        return
    live.pool = candidate_set.pool.name if candidate_set.pool else ''
    best = min(candidate_set.candidates, key=lambda candidate: candidate.ttft_s)
    live.cost = get_cost(live.req, best)
    if _refuse_too_long(state, live, candidate_set) or _refuse_over_limit(
        state, live, now
    ):
        return
    team = get_team(state, live.req)
    queue = state.get_queue(live.pool)
    if len(queue.waiting) >= MAX_QUEUED:
        refuse(state, live, Reason.queue_full, DEFAULT_RETRY_AFTER_S)
        return
    cost_ahead = queue.predict_cost_ahead(live.req, team.weight)
    wait_s = cost_ahead / len(candidate_set.candidates)
    if _refuse_late(state, live, best, wait_s, now):
        return
    state.get_budget(live.pool).record_request(now)
    live.least_s = best.prefill_s + best.decode_s
    waiting = make_queued_request(state, live)
    queue.push(waiting)
    if queue.has_waiting_before(waiting):
        schedule_dispatch(state, live.pool, now)
    elif try_dispatch(state, live, now, candidate_set):
        queue.charge(waiting)


def get_cost(req: Request, best: Candidate) -> float:
    """Return the cost of a request, in engine seconds.

    It is the larger of the prefill time and the request's share of the memory
    for the time that it stays, plus its share of the decoding.
    """
    report = best.target.load.report
    capacity = report.capacity_tokens if report else req.total_tokens
    memory_share = min(1, req.total_tokens / max(1, capacity))
    stay_s = best.prefill_s + best.decode_s
    return (
        max(best.prefill_s, memory_share * stay_s)
        + best.decode_s / DECODE_CONCURRENCY
    )


def _refuse_without_candidate(
    state: State, live: LiveRequest, candidate_set: CandidateSet
) -> bool:
    if candidate_set.candidates:
        return False
    wait_s = (
        DEFAULT_RETRY_AFTER_S
        if candidate_set.reason in TRANSIENT_REASONS
        else 0
    )
    refuse(state, live, candidate_set.reason, wait_s, candidate_set.detail)
    return True


def _refuse_too_long(
    state: State, live: LiveRequest, candidate_set: CandidateSet
) -> bool:
    if (
        live.req.total_tokens <= candidate_set.capacity
        or candidate_set.pool is None
    ):
        return False
    engines = get_giant_engine_limit(
        len(candidate_set.candidates), candidate_set.pool
    )
    if live.req.total_tokens <= candidate_set.capacity * engines:
        return False
    refuse(state, live, Reason.too_long)
    return True


def _refuse_over_limit(state: State, live: LiveRequest, now: float) -> bool:
    team = get_team(state, live.req)
    state.limits.record_demand(team.name, live.cost, now)
    if not team.limit:
        return False
    peer_demands = [
        peer.demands.get(team.name)
        for name, peer in state.fleet.peers.items()
        if name != state.member and not peer.draining
    ]
    share = state.limits.get_share(team.name, team.limit, peer_demands, now)
    wait_s = state.limits.spend(team.name, live.cost, share, now)
    if wait_s > 0:
        refuse(state, live, Reason.team_limit, wait_s)
    return wait_s > 0


def _refuse_late(
    state: State,
    live: LiveRequest,
    best: Candidate,
    wait_s: float,
    now: float,
) -> bool:
    if not state.policy.admission:
        return False
    needed_s = wait_s + best.ttft_s + best.decode_s
    excess_s = needed_s * state.policy.deadline_margin - (
        live.req.deadline - now
    )
    if excess_s > 0:
        refuse(state, live, Reason.deadline_unreachable, max(excess_s, wait_s))
    return excess_s > 0


_ADMITTERS = {  # noqa: WPS407 - read only by name
    Kind.call: _admit_call,
    Kind.generate: _admit_generation,
}
