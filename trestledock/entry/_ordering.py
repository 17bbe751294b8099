"""
Order of requests under shortage
================================

Applies the order of ranks and teams to the placement of a request, where its
service has different ranks and other requests of the service wait for room.
"""

from dataclasses import dataclass, replace
from functools import cached_property
from typing import Callable, Sequence

from trestledock.entry import _events as events
from trestledock.entry._job import Job, Refusal
from trestledock.entry._logger import emit
from trestledock.entry._metrics import METRICS
from trestledock.entry._state import EntryState
from trestledock.relay import (
    Decision,
    EngineModel,
    ListedTarget,
    Placement,
    Standings,
    Turn,
    Usage,
    UsageKey,
    WaitingRequest,
    WaitingRow,
    find_starved_ranks,
    get_idle_fleet_s,
    get_in_time_s,
    get_prefill_s,
    get_room,
    get_rows_ahead,
    get_wait_left_s,
    make_turn,
    pick_needed,
)

MS = 1000

#: Places a request on some targets only.
Chooser = Callable[[Sequence[ListedTarget]], Placement | Refusal | None]


@dataclass(frozen=True)
class Contest:
    """A request that competes for engines at the instant `now`."""

    job: Job
    engine: EngineModel
    targets: Sequence[ListedTarget]
    now: float

    @cached_property
    def prefill_s(self) -> float:
        """The prefill of the request."""
        size = self.job.placement_request.size
        return get_prefill_s(self.engine, size.prompt_tokens)

    @cached_property
    def idle_fleet_s(self) -> float:
        """The time to the first token on idle engines."""
        return get_idle_fleet_s(
            self.engine, self.prefill_s, max(1, len(self.targets))
        )

    @cached_property
    def left_s(self) -> float:
        """How long the request may still wait."""
        return get_wait_left_s(
            self.job.timing,
            self.job.placement_request.worth,
            self.idle_fleet_s,
            self.now,
        )

    @cached_property
    def waiting_request(self) -> WaitingRequest:
        """The place of the request in the queue for room."""
        in_time_s = get_in_time_s(self.job.timing, self.idle_fleet_s, self.now)
        return replace(
            self.job.waiting_request,
            work_s=self.prefill_s,
            until=self.now + in_time_s,
        )


def is_ordered(job: Job) -> bool:
    """Return whether ranks order a request's placement.

    A request that may have run is placed at once: its caller has waited, and
    engines have already worked on it.
    """
    is_sized = job.call.size is not None
    return job.is_ranked and is_sized and not job.may_have_run


def join_queue(state: EntryState, contest: Contest) -> None:
    """Add a request that waits for room, and report it to other entries."""
    request = contest.waiting_request
    if not state.wait_queue.waits_for_room(request.req_id):
        state.wait_queue.add(request)
        METRICS.count_waiting(request.rank, 1)
        state.notify_rows()


def leave_queue(state: EntryState, job: Job) -> None:
    """Remove a request that no longer waits."""
    if state.wait_queue.waits_for_room(job.call.req_id):
        METRICS.count_waiting(job.waiting_request.rank, -1)
        state.notify_rows()
    state.wait_queue.remove(job.call.req_id)


def record_usage(
    state: EntryState, job: Job, now: float, *, served: bool
) -> None:
    """Count the tokens of a request that was sent, or else refused.

    A request counts once, however often it is sent.
    """
    if job.is_ranked and job.call.size and not job.is_usage_recorded:
        job.is_usage_recorded = True
        tokens = job.call.size.total_tokens
        usage = Usage(served=tokens) if served else Usage(refused=tokens)
        state.usage.record(job.usage_key, usage, now)


def take_turn(
    state: EntryState,
    contest: Contest,
    chosen: Placement | None,
    choose: Chooser,
) -> Placement | Refusal | None:
    """Return the placement of a request in its turn, or None to wait."""
    turn = _get_turn(state, contest)
    if not turn.ahead:
        return chosen
    if chosen:
        placement = _leave_needed(state, contest, turn, chosen, choose)
        if placement:
            return placement
    job = contest.job
    decision = turn.decide(
        job.waiting_request.rank, has_placement=chosen is not None
    )
    if decision is Decision.send:
        return chosen
    if chosen or decision is Decision.no_turn:
        _log_yielded(job, turn)
    if decision is Decision.wait:
        return None
    job.retry_after_s = turn.get_retry_after_s(
        job.timing, contest.now, state.rng.random()
    )
    return Refusal.no_turn


def get_known_rows(
    state: EntryState, service: str, now: float
) -> list[WaitingRow]:
    """Return the waiting requests of a service that compete for its engines.

    With many entries small requests stay in their own data centre.
    """
    data_centre = state.settings.data_centre
    reported = [
        row
        for row in state.peer_waiting.get_rows(now)
        if not (state.many_entries and row.is_small)
        or row.data_centre == data_centre
    ]
    return [
        row
        for row in (*state.wait_queue.room.get_rows(now), *reported)
        if row.service == service
    ]


def _get_turn(state: EntryState, contest: Contest) -> Turn:
    """Return the waiting requests that go before a request."""
    request = contest.waiting_request
    rows = get_known_rows(state, request.service, contest.now)
    known = [*rows, request.row]
    state.usage.lift_returning(
        [UsageKey(row.service, row.rank, row.team) for row in known],
        contest.now,
    )

    def get_counter(rank: int, team: str) -> float:  # noqa: WPS430
        return state.usage.get_counter(UsageKey(request.service, rank, team))

    rate = contest.engine.read_rate
    usage = state.usage.get_usage_by_rank(request.service, contest.now)
    starved = find_starved_ranks(known, usage, rate)
    standings = Standings(get_counter, starved, rate)
    ahead = (
        *get_rows_ahead(request, rows, standings),
        *state.wait_queue.get_teammates_ahead(request, contest.now),
    )
    return make_turn(request, ahead, len(contest.targets), contest.left_s)


def _leave_needed(
    state: EntryState,
    contest: Contest,
    turn: Turn,
    chosen: Placement,
    choose: Chooser,
) -> Placement | None:
    """Return a placement without the engines that the requests ahead need."""
    estimator = state.placer.estimator
    loads = [
        estimator.estimate(contest.engine, target, contest.now)
        for target in contest.targets
    ]
    room = get_room(
        contest.engine, loads, turn.ahead, local_only=state.many_entries
    )
    needed = pick_needed(
        contest.engine,
        room,
        turn.ahead,
        may_share=contest.waiting_request.row.is_small,
    )
    if not needed.intersection(_get_names(chosen.engaged_targets)):
        return chosen
    others = [
        target for target in contest.targets if target.incarnation not in needed
    ]
    placement = choose(others) if others else None
    return placement if isinstance(placement, Placement) else None


def _get_names(targets: Sequence[ListedTarget]) -> list[str]:
    return [target.incarnation for target in targets]


def _log_yielded(job: Job, turn: Turn) -> None:
    """Log once that a request leaves engines to the requests ahead."""
    if job.has_yielded:
        return
    job.has_yielded = True
    emit(
        events.Yielded(
            req=job.call.req_id,
            service=job.service,
            team=job.team.team,
            rank=job.waiting_request.rank,
            ahead=turn.count,
            turn_ms=round(turn.turn_s * MS),
            left_ms=round(max(0, turn.left_s) * MS),
        )
    )
