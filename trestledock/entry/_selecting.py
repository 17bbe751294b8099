"""
Target selection
================

Chooses the target of a request.  Waits, where that pays, until the request can
be placed without a cost to itself or to others.
"""

from dataclasses import replace
from functools import partial
from types import MappingProxyType
from typing import Mapping, Sequence

import anyio

from trestledock.entry import _events as events
from trestledock.entry._admission import is_quarantined
from trestledock.entry._evacuations import refuse_evacuated
from trestledock.entry._logger import emit
from trestledock.entry._throttling import (
    decide_throttled,
    get_available,
    get_restrained,
)
from trestledock.entry._job import Job, Refusal
from trestledock.entry._ordering import (
    Contest,
    get_known_rows,
    is_ordered,
    join_queue,
    leave_queue,
    record_usage,
    take_turn,
)
from trestledock.entry._state import EntryState
from trestledock.relay import (
    PLACEMENT_RETRY_S,
    Decision,
    EngineModel,
    Flight,
    ListedTarget,
    Phase,
    Placement,
    choose_least_busy,
    decide_unplaced,
    get_retry_after_s,
    should_query_remote,
    pick_cheapest,
)

#: With many entries, this many targets in the local data centre suffice.
MIN_LOCAL_TARGETS = 8
#: Targets already tried are avoided while at least one healthy target in this
#: many is untried.
MIN_UNTRIED_DIVISOR = 4
#: Retry-After where all targets of a service are draining, in seconds: the
#: replacements need time to start.
SUCCESSOR_START_S = 1.0
#: The refusal for each decision against a request.
REFUSALS: Mapping[Decision, Refusal] = MappingProxyType(
    {
        Decision.no_target: Refusal.no_target,
        Decision.no_memory: Refusal.no_memory,
        Decision.no_time: Refusal.no_time,
        Decision.no_room: Refusal.no_room,
    }
)


def make_flight(job: Job, placement: Placement, now: float) -> Flight:
    """Return the load table entry of an attempt."""
    return job.placement_request.make_flight(placement, Phase.prefill, now)


async def select(state: EntryState, job: Job) -> Placement | Refusal:
    """Return the placement of a request, or the refusal.

    A request whose answer has begun can no longer be refused, only cut, so it
    waits for a placement as long as its caller does.
    """
    try:
        chosen = await _select_in_turn(state, job)
    finally:
        leave_queue(state, job)
    if isinstance(chosen, Refusal):
        record_usage(state, job, anyio.current_time(), served=False)
    return chosen


async def _select_in_turn(state: EntryState, job: Job) -> Placement | Refusal:
    while True:
        state.receive_messages()
        if is_quarantined(state, job):
            return Refusal.quarantined
        now = anyio.current_time()
        chosen = _select_now(state, job, now)
        if _needs_loads(state, job, chosen, now):
            await state.refresh_loads()
            now = anyio.current_time()
            chosen = _select_now(state, job, now)
        chosen = _select_by_rank(state, job, chosen, now)
        waits = job.response_begun and now < job.timing.abandoned_at
        if isinstance(chosen, Placement) or (chosen and not waits):
            return chosen
        _enter_queue(state, job, now)
        await state.wait_for_change(PLACEMENT_RETRY_S)


def _enter_queue(state: EntryState, job: Job, now: float) -> None:
    """Let a request wait in the queue for its turn."""
    if _is_throttled(state, job, now):
        _log_cold_wait(state, job)
        leave_queue(state, job)
        state.wait_queue.add(job.waiting_request)
        return
    contest = _make_contest(state, job, now)
    if contest:
        join_queue(state, contest)


def _select_by_rank(
    state: EntryState, job: Job, chosen: Placement | Refusal | None, now: float
) -> Placement | Refusal | None:
    """Return the choice for a request among others that wait for room.

    Without other waiting requests a placement is taken as it is.
    """
    if isinstance(chosen, Refusal) or not is_ordered(job):
        return chosen
    if not get_known_rows(state, job.service, now):
        return chosen
    contest = _make_contest(state, job, now)
    if contest is None or not contest.targets:
        return chosen
    choose = partial(_choose, state, job, now=now)
    return take_turn(state, contest, chosen, choose)


def _make_contest(state: EntryState, job: Job, now: float) -> Contest | None:
    """Return a request whose placement depends on its rank, None for others."""
    engine = get_engine_model(state, job)
    if engine is None or not is_ordered(job):
        return None
    return Contest(job, engine, get_candidates(state, job, now), now)


def _needs_loads(
    state: EntryState,
    job: Job,
    chosen: Placement | Refusal | None,
    now: float,
) -> bool:
    """Return whether to query other data centres' loads before placement."""
    if not state.many_entries or job.call.size is None:
        return False
    if state.get_known_remote_loads(now):
        return False
    if not state.placer.policy.remote_targets:
        return False
    cost = chosen.cost if isinstance(chosen, Placement) else None
    # From an evacuated data centre all prompts go to targets whose load is
    # known to other entries only.
    return state.is_evacuated() or should_query_remote(
        job.placement_request.worth, cost
    )


def has_alternative(state: EntryState, job: Job, peer: str) -> bool:
    """Return whether a target other than `peer` would take a request now.

    A target that is suspect, or was silent and has not answered since, does not
    count: other requests find out whether it has recovered.
    """
    now = anyio.current_time()
    elsewhere = replace(job, tried={*job.tried, peer})
    chosen = _select_now(state, elsewhere, now)
    if not isinstance(chosen, Placement):
        return False
    target = chosen.target
    if target.incarnation == peer or state.health.is_silent(target.incarnation):
        return False
    return not state.health.is_suspect(
        target.incarnation,
        now,
        target.data_centre,
        small=job.placement_request.is_small,
    )


def _select_now(
    state: EntryState,
    job: Job,
    now: float,
) -> Placement | Refusal | None:
    """Return a placement or a refusal, or None to wait."""
    targets = get_candidates(state, job, now)
    if not targets and get_restrained(state, job):
        return decide_throttled(state, job, now)
    engine = get_engine_model(state, job)
    if targets and (engine is None or job.call.size is None):
        return _place_on_least_busy(state, targets, now)
    refusal = _refuse_unusable(state, job, now)
    if refusal and not job.response_begun:
        return refusal
    if engine is None or job.call.size is None:
        decision = decide_unplaced(job.timing, now, any_target=False)
        return REFUSALS.get(decision)
    return _choose(state, job, targets, now=now)


def _choose(
    state: EntryState,
    job: Job,
    targets: Sequence[ListedTarget],
    *,
    now: float,
) -> Placement | Refusal | None:
    """Return the best placement on some targets, a refusal or None to wait."""
    engine = get_engine_model(state, job)
    if engine is None:
        return None
    options = [
        job.placement_request.choose(state.placer, engine, group, now)
        for group in _group_by_data_centre(state, targets, job)
    ]
    chosen = pick_cheapest(options)
    if isinstance(chosen, Placement):
        return chosen
    # Nothing elsewhere is better: the local data centre's decision applies.
    job.retry_after_s = chosen.retry_after_s
    return REFUSALS.get(chosen.decision)


def _refuse_unusable(state: EntryState, job: Job, now: float) -> Refusal | None:
    """Return the refusal if all targets are draining or evacuated."""
    if state.fleet.are_all_draining(job.service):
        job.retry_after_s = get_retry_after_s(
            job.timing, SUCCESSOR_START_S, now
        )
        return Refusal.no_target
    if state.fleet.are_all_evacuated(job.service):
        return refuse_evacuated(state, job)
    return None


def _group_by_data_centre(
    state: EntryState, targets: Sequence[ListedTarget], job: Job
) -> list[Sequence[ListedTarget]]:
    """Group targets by data centre, the local one first.

    A large prompt stays within one data centre, since a network cut of any data
    centre involved would end it.  A single group is returned where the entries
    are few, the prompt is small, or a data centre has too few targets.  An
    evacuated local data centre has no group.
    """
    if not state.many_entries or job.placement_request.is_small:
        return [targets]
    local = state.settings.data_centre
    groups: dict[str, list[ListedTarget]] = {}
    if not state.is_evacuated():
        groups[local] = []
    for target in targets:
        groups.setdefault(target.data_centre, []).append(target)
    if any(len(group) < MIN_LOCAL_TARGETS for group in groups.values()):
        return [targets]
    return list(groups.values())


def get_candidates(
    state: EntryState, job: Job, now: float
) -> list[ListedTarget]:
    """Return the targets that may get the request.

    Healthy and untried targets are preferred where there are enough.
    """
    usable = _get_available_local_first(state, job, now)
    small = job.placement_request.is_small
    healthy = [
        target
        for target in usable
        if not state.health.is_suspect(
            target.incarnation, now, target.data_centre, small=small
        )
    ]
    untried = [
        target for target in healthy if target.incarnation not in job.tried
    ]
    if len(untried) * MIN_UNTRIED_DIVISOR < len(healthy):
        return healthy or usable
    return untried or usable


def _is_throttled(state: EntryState, job: Job, now: float) -> bool:
    """Return whether a request waits only for restrained targets."""
    if not state.throttle.has_restraints or get_candidates(state, job, now):
        return False
    return bool(get_restrained(state, job))


def _log_cold_wait(state: EntryState, job: Job) -> None:
    """Log once that a request waits for targets of which some are cold."""
    if job.call.req_id in state.wait_queue.waiting:
        return
    if any(map(state.throttle.cold.is_cold, get_restrained(state, job))):
        emit(events.ColdWaited(job.call.req_id, job.service))


def _get_available_local_first(
    state: EntryState, job: Job, now: float
) -> list[ListedTarget]:
    """Return the targets that may get a request now, local ones if any."""
    local = _get_local_targets(state, job, now)
    available = get_available(state, job, local, now)
    if available:
        return available
    usable = list(state.fleet.get_usable(job.service))
    return get_available(state, job, usable, now)


def _get_local_targets(
    state: EntryState, job: Job, now: float
) -> list[ListedTarget]:
    """Return the usable targets, only local ones where these suffice.

    With many entries, entries of other data centres learn of this entry's
    requests too late to share targets well.  A large prompt may also use the
    data centres whose loads were queried for it, and so may any prompt where
    the local data centre is evacuated.
    """
    usable = list(state.fleet.get_usable(job.service))
    if not state.many_entries:
        return usable
    queried = (
        set()
        if job.placement_request.is_small and not state.is_evacuated()
        else state.get_known_remote_loads(now)
    )
    data_centres = {state.settings.data_centre, *queried}
    local = [target for target in usable if target.data_centre in data_centres]
    return local if len(local) >= MIN_LOCAL_TARGETS else usable


def get_engine_model(state: EntryState, job: Job) -> EngineModel | None:
    """Return the engine model of a request's service, None if it has none."""
    if state.catalog is None:
        return None
    service = state.catalog.services.get(job.service)
    return service.engine if service else None


def _place_on_least_busy(
    state: EntryState,
    targets: list[ListedTarget],
    now: float,
) -> Placement | Refusal:
    chosen = choose_least_busy(
        state.load_table,
        state.health,
        targets,
        now,
        state.rng.random,
        state.settings.data_centre,
    )
    return Placement(chosen) if chosen else Refusal.no_target
