"""
Selecting a target
==================

Waits, where that pays, until a request can be placed without harm to it or to
others, and says where it goes.
"""

from dataclasses import replace
from types import MappingProxyType
from typing import Mapping, Sequence

import anyio

from trestledock.entry._admission import is_quarantined
from trestledock.entry._holding_back import (
    decide_held_back,
    get_free,
    get_restrained,
)
from trestledock.entry._job import Job, Refusal
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

#: How many targets of the own data centre suffice where entries are many.
LEAST_NEAR = 8
#: One in how many sound targets must be left for the others to be avoided.
LEAST_FRESH = 4
#: When a caller comes back where all targets of a service leave, in seconds:
#: starting the next one takes longer than a moment.
SUCCESSOR_S = 1.0
#: The refusal that each decision against a request means.
REFUSALS: Mapping[Decision, Refusal] = MappingProxyType(
    {
        Decision.no_target: Refusal.no_target,
        Decision.no_memory: Refusal.no_memory,
        Decision.no_time: Refusal.no_time,
        Decision.no_room: Refusal.no_room,
    }
)


def make_flight(job: Job, placement: Placement, now: float) -> Flight:
    """Return what the board is told of a sending."""
    return job.ask.make_flight(placement, Phase.prefill, now)


async def select(state: EntryState, job: Job) -> Placement | Refusal:
    """Return where a request goes, or why it can't go anywhere.

    An answer that has begun can't be refused, only cut: it waits for a place
    for as long as its caller does.
    """
    try:
        return await _select_in_turn(state, job)
    finally:
        state.turns.remove(job.call.req_id)


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
        waits = job.begun and now < job.timing.abandoned_at
        if isinstance(chosen, Placement) or (chosen and not waits):
            return chosen
        if _is_held_back(state, job, now):
            state.turns.add(job.turn)
        await state.wait_for_change(PLACEMENT_RETRY_S)


def _needs_loads(
    state: EntryState,
    job: Job,
    chosen: Placement | Refusal | None,
    now: float,
) -> bool:
    """Whether to ask other data centres before a request is placed."""
    if not state.many_entries or job.call.size is None:
        return False
    if state.get_known_remote_loads(now):
        return False
    cost = chosen.cost if isinstance(chosen, Placement) else None
    return state.placer.policy.remote_targets and should_query_remote(
        job.ask.worth, cost
    )


def could_go_on(state: EntryState, job: Job, peer: str) -> bool:
    """Whether another target than `peer` would take a request now.

    One that is suspect, or was silent and has not answered since, is no such
    target: others find out whether it is back.
    """
    now = anyio.current_time()
    elsewhere = replace(job, tried={*job.tried, peer})
    chosen = _select_now(state, elsewhere, now)
    if not isinstance(chosen, Placement):
        return False
    one = chosen.target
    if one.incarnation == peer or state.health.is_silent(one.incarnation):
        return False
    return not state.health.is_suspect(
        one.incarnation, now, one.data_centre, small=job.ask.is_small
    )


def _select_now(
    state: EntryState,
    job: Job,
    now: float,
) -> Placement | Refusal | None:
    """Return a choice, or None where it is better to wait."""
    targets = get_candidates(state, job, now)
    if not targets and get_restrained(state, job):
        return decide_held_back(state, job, now)
    engine = get_engine(state, job)
    if targets and (engine is None or job.call.size is None):
        return _choose_plain(state, targets, now)
    if state.fleet.are_all_draining(job.service) and not job.begun:
        job.come_back_s = get_retry_after_s(job.timing, SUCCESSOR_S, now)
        return Refusal.no_target
    if engine is None or job.call.size is None:
        decision = decide_unplaced(job.timing, now, any_target=False)
        return REFUSALS.get(decision)
    options = [
        job.ask.choose(state.placer, engine, group, now)
        for group in _split_by_place(state, targets, job)
    ]
    chosen = pick_cheapest(options)
    if isinstance(chosen, Placement):
        return chosen
    # Nothing elsewhere is better: what binds is the own data centre.
    job.come_back_s = chosen.retry_after_s
    return REFUSALS.get(chosen.decision)


def _split_by_place(
    state: EntryState, targets: Sequence[ListedTarget], job: Job
) -> list[Sequence[ListedTarget]]:
    """Return the targets among which a request is placed, the own ones first.

    Where other data centres were asked, a plan stays within one of them: a cut
    of any that it touches would end it.
    """
    if not state.many_entries or job.ask.is_small:
        return [targets]
    own = state.settings.data_centre
    groups: dict[str, list[ListedTarget]] = {own: []}
    for one in targets:
        groups.setdefault(one.data_centre, []).append(one)
    if any(len(group) < LEAST_NEAR for group in groups.values()):
        return [targets]
    return list(groups.values())


def get_candidates(
    state: EntryState, job: Job, now: float
) -> list[ListedTarget]:
    """Return the targets that may get the request, better ones if any."""
    usable = _get_free(state, job, now)
    small = job.ask.is_small
    sound = [
        one
        for one in usable
        if not state.health.is_suspect(
            one.incarnation, now, one.data_centre, small=small
        )
    ]
    fresh = [one for one in sound if one.incarnation not in job.tried]
    if len(fresh) * LEAST_FRESH < len(sound):
        return sound or usable
    return fresh or usable


def _is_held_back(state: EntryState, job: Job, now: float) -> bool:
    """Whether a request waits for nothing but restrained targets."""
    if not state.throttle.has_restraints or get_candidates(state, job, now):
        return False
    return bool(get_restrained(state, job))


def _get_free(state: EntryState, job: Job, now: float) -> list[ListedTarget]:
    """Return the targets that may get a request now, near ones if any."""
    near = _get_near_enough(state, job, now)
    free = get_free(state, job, near, now)
    if free:
        return free
    usable = list(state.fleet.get_usable(job.service))
    return get_free(state, job, usable, now)


def _get_near_enough(
    state: EntryState, job: Job, now: float
) -> list[ListedTarget]:
    """Return the usable targets, of the own data centre where those suffice.

    Where there are many entries, those elsewhere are told too late of this
    one's requests to share targets well; for a prompt that asked them what
    their targets have to do these count as well.
    """
    usable = list(state.fleet.get_usable(job.service))
    if not state.many_entries:
        return usable
    known = set() if job.ask.is_small else state.get_known_remote_loads(now)
    places = {state.settings.data_centre, *known}
    near = [one for one in usable if one.data_centre in places]
    return near if len(near) >= LEAST_NEAR else usable


def get_engine(state: EntryState, job: Job) -> EngineModel | None:
    """Return what runs a request, None for what is no engine."""
    if state.catalog is None:
        return None
    service = state.catalog.services.get(job.service)
    return service.engine if service else None


def _choose_plain(
    state: EntryState,
    targets: list[ListedTarget],
    now: float,
) -> Placement | Refusal:
    chosen = choose_least_busy(
        state.board,
        state.health,
        targets,
        now,
        state.rng.random,
        state.settings.data_centre,
    )
    return Placement(chosen) if chosen else Refusal.no_target
