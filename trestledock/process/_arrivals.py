"""
Arrivals
========

Admission: a request is refused at once, with the reason and with when to come
back, where it can't be placed, can't be finished in time, or where its team
has spent its limit.
"""

from trestledock.process._choosing import (
    Candidate,
    choose_service,
    find_candidates,
)
from trestledock.process._choosing import Field as CandidateField
from trestledock.process._claiming import ask_claim
from trestledock.process._dispatching import (
    get_team,
    make_waiting,
    place,
    pump_soon,
    start_call,
)
from trestledock.process._ending import refuse
from trestledock.process._groups import get_share
from trestledock.process._isolating import is_quarantined, try_again
from trestledock.process._live import Live, Phase
from trestledock.process._messages import Arrive, CallerDisconnected
from trestledock.process._queue import MAX_QUEUED
from trestledock.process._state import State
from trestledock.process._timers import DeadlinePassed
from trestledock.request import Kind, Reason, Request

#: How many streams share an engine's decoding, for the cost of a request.
DECODE_SHARE = 16
#: When to come back where nothing better is known, in seconds.
DEFAULT_WAIT_S = 2.0

#: Reasons for which asking again soon makes sense.
PASSING = frozenset((Reason.no_live_target, Reason.no_configuration))


def on_arrive(message: Arrive, state: State, now: float) -> None:
    """Admit a request or refuse it at once."""
    req = message.req
    live = Live(req, now, pool='')
    state.requests[req.req_id] = live
    state.set_timer(req.deadline, DeadlinePassed(req.req_id))
    state.count('requests', req.kind.value)
    reason = _check_basics(state, req, now)
    if reason is not Reason.none:
        refuse(state, live, reason, DEFAULT_WAIT_S)
        return
    try_again(state, live, now)
    if is_quarantined(state, live):
        wait_s = state.quarantine.get_retry_after_s(req.fingerprint, now)
        refuse(state, live, Reason.quarantined, wait_s)
        return
    _ADMITTERS[req.kind](state, live, now)


def on_caller_gone(
    message: CallerDisconnected, state: State, now: float
) -> None:
    """End the request of a caller that has left."""
    live = state.requests.get(message.req_id)
    if live:
        refuse(state, live, Reason.caller_gone)


def on_deadline(message: DeadlinePassed, state: State, now: float) -> None:
    """End a request at its deadline, whatever else has been lost."""
    live = state.requests.get(message.req_id)
    if live:
        reason = Reason.deadline_passed
        if live.claim and live.claim.refused:
            reason = Reason(live.claim.refused)
        refuse(state, live, reason, DEFAULT_WAIT_S)


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


def _admit_call(state: State, live: Live, now: float) -> None:
    field = choose_service(state, live.req, now)
    if _refuse_empty(state, live, field):
        return
    live.pool = field.pool.name if field.pool else ''
    state.get_budget(live.pool).record_request(now)
    if live.req.idempotent or not live.req.idempotency_key:
        start_call(state, live, field.candidates, live.req.deadline, now)
        return
    live.phase = Phase.claiming
    ask_claim(state, live, now)


def _admit_generation(state: State, live: Live, now: float) -> None:
    field = find_candidates(state, live.req, now)
    if _refuse_empty(state, live, field):
        return
    live.pool = field.pool.name if field.pool else ''
    best = min(field.candidates, key=lambda one: one.ttft_s)
    live.cost = get_cost(live.req, best)
    if _refuse_giant(state, live, field) or _refuse_limit(state, live, now):
        return
    team = get_team(state, live.req)
    queue = state.get_queue(live.pool)
    if len(queue.waiting) >= MAX_QUEUED:
        refuse(state, live, Reason.queue_full, DEFAULT_WAIT_S)
        return
    ahead = queue.predict_ahead(live.req, team.weight)
    wait_s = ahead / len(field.candidates)
    if _refuse_late(state, live, best, wait_s, now):
        return
    state.get_budget(live.pool).record_request(now)
    live.least_s = best.prefill_s + best.decode_s
    waiting = make_waiting(state, live)
    queue.push(waiting)
    if queue.has_before(waiting):
        pump_soon(state, live.pool, now)
    elif place(state, live, now, field):
        queue.charge(waiting)


def get_cost(req: Request, best: Candidate) -> float:
    """Return what a request takes of an engine, in engine seconds.

    It is the larger of two parts: of the prefill, and of the memory while
    the request is there.
    """
    report = best.target.load.report
    capacity = report.capacity_tokens if report else req.total_tokens
    memory = min(1, req.total_tokens / max(1, capacity))
    stay = best.prefill_s + best.decode_s
    return max(best.prefill_s, memory * stay) + best.decode_s / DECODE_SHARE


def _refuse_empty(state: State, live: Live, field: CandidateField) -> bool:
    if field.candidates:
        return False
    wait_s = DEFAULT_WAIT_S if field.reason in PASSING else 0
    refuse(state, live, field.reason, wait_s, field.detail)
    return True


def _refuse_giant(state: State, live: Live, field: CandidateField) -> bool:
    if live.req.total_tokens <= field.capacity or field.pool is None:
        return False
    share = get_share(len(field.candidates), field.pool)
    if live.req.total_tokens <= field.capacity * share:
        return False
    refuse(state, live, Reason.too_long)
    return True


def _refuse_limit(state: State, live: Live, now: float) -> bool:
    team = get_team(state, live.req)
    state.limits.note(team.name, live.cost, now)
    if not team.limit:
        return False
    news = [
        peer.demands.get(team.name)
        for name, peer in state.fleet.peers.items()
        if name != state.member and not peer.leaving
    ]
    part = state.limits.get_part(team.name, team.limit, news, now)
    wait_s = state.limits.spend(team.name, live.cost, part, now)
    if wait_s > 0:
        refuse(state, live, Reason.team_limit, wait_s)
    return wait_s > 0


def _refuse_late(
    state: State,
    live: Live,
    best: Candidate,
    wait_s: float,
    now: float,
) -> bool:
    if not state.policy.admission:
        return False
    need = wait_s + best.ttft_s + best.decode_s
    over = need * state.policy.deadline_margin - (live.req.deadline - now)
    if over > 0:
        refuse(state, live, Reason.deadline_unreachable, max(over, wait_s))
    return over > 0


_ADMITTERS = {  # noqa: WPS407 - read only by name
    Kind.call: _admit_call,
    Kind.generate: _admit_generation,
}
