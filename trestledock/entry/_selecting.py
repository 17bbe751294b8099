"""
Selecting a target
==================

Waits, where that pays, until a request can be placed without harm to it or to
others, and says where it goes.
"""

import anyio

from trestledock.entry._job import Job, Refusal
from trestledock.entry._state import EntryState
from trestledock.relay import (
    EngineModel,
    Flight,
    Listed,
    Phase,
    Placement,
    PromptSize,
    Work,
    choose_least_busy,
)

#: How often a waiting request is placed anew without any news, in seconds.
LOOK_S = 0.03
#: The part of its objective that a request may wait for a better place.
PATIENCE_SHARE = 0.3
#: How many targets of the own data centre suffice where entries are many.
LEAST_NEAR = 8
#: One in how many sound targets must be left for the others to be avoided.
LEAST_FRESH = 4
#: Waiting ends when the prediction fills this part of what is left of the
#: objective.
OBJECTIVE_SHARE = 0.75
#: The part of its time that a request may wait for memory.
MEMORY_PATIENCE_SHARE = 0.4
#: The cost, as a part of a request's worth, for which it is worth waiting.
WAIT_COST_SHARE = 0.3
#: What a late request is placed as if it still had, in seconds.
LEAST_OBJECTIVE_S = 0.05
#: How long to look for any target at all, in seconds.
TARGET_PATIENCE_S = 0.2
#: Prompt and output tokens that count as one unit of worth; an output token
#: weighs as much as ten of the prompt (the users' sheets).
TOKENS_PER_WORTH = 14_000
OUTPUT_WEIGHT = 10


def get_worth(size: PromptSize | None) -> float:
    """Return what a request is worth, in units of a plain call."""
    if size is None:
        return 1
    weighed = size.prompt_tokens + OUTPUT_WEIGHT * size.output_tokens
    return weighed / TOKENS_PER_WORTH


def make_flight(job: Job, placement: Placement, now: float) -> Flight:
    """Return what the board is told of a sending."""
    size = job.call.size or PromptSize(0, 0)
    return Flight(
        flight_id=job.call.req_id,
        target=placement.target.target_id,
        prompt_tokens=size.prompt_tokens,
        output_tokens=size.output_tokens,
        phase=Phase.reading,
        since=now,
        pause_s=job.route.pause_s,
        worth=get_worth(job.call.size),
        due=job.call.arrived_at + job.route.objective_s,
        helpers=tuple(one.target_id for one in placement.helpers),
        tickets=placement.tickets,
    )


async def select(state: EntryState, job: Job) -> Placement | Refusal:
    """Return where a request goes, or why it can't go anywhere."""
    while True:
        chosen = _select_now(state, job, anyio.current_time())
        if chosen:
            return chosen
        await state.wait_for_change(LOOK_S)


def _select_now(
    state: EntryState,
    job: Job,
    now: float,
) -> Placement | Refusal | None:
    """Return a choice, or None where it is better to wait."""
    targets = get_candidates(state, job, now)
    engine = _get_engine(state, job)
    if targets and (engine is None or job.call.size is None):
        return _choose_plain(state, targets, now)
    placement = _place(state, job, engine, targets, now)
    if placement is None:
        return _run_out(job, targets, now)
    return None if _is_worth_waiting(job, placement, now) else placement


def get_candidates(state: EntryState, job: Job, now: float) -> list[Listed]:
    """Return the targets that may get the request, better ones if any."""
    usable = _get_near_enough(state, job)
    sound = [
        one
        for one in usable
        if not state.health.is_suspect(one.target_id, now, one.data_centre)
    ]
    fresh = [one for one in sound if one.target_id not in job.tried]
    if len(fresh) * LEAST_FRESH < len(sound):
        return sound or usable
    return fresh or usable


def _get_near_enough(state: EntryState, job: Job) -> list[Listed]:
    """Return the usable targets, of the own data centre where those suffice.

    Where there are many entries, those elsewhere are told too late of this
    one's requests to share targets well.
    """
    usable = list(state.fleet.get_usable(job.service))
    if not state.many_entries:
        return usable
    place = state.settings.data_centre
    near = [one for one in usable if one.data_centre == place]
    return near if len(near) >= LEAST_NEAR else usable


def _get_engine(state: EntryState, job: Job) -> EngineModel | None:
    if state.catalog is None:
        return None
    service = state.catalog.services.get(job.service)
    return service.engine if service else None


def _choose_plain(
    state: EntryState,
    targets: list[Listed],
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


def _place(
    state: EntryState,
    job: Job,
    engine: EngineModel | None,
    targets: list[Listed],
    now: float,
) -> Placement | None:
    if engine is None or job.call.size is None:
        return None
    objective_s = job.get_objective_left_s(now)
    work = Work(
        size=job.call.size,
        objective_s=max(objective_s, LEAST_OBJECTIVE_S),
        pause_s=job.route.pause_s,
        worth=get_worth(job.call.size),
    )
    return state.placer.place(work, engine, targets, now)


def _is_worth_waiting(job: Job, placement: Placement, now: float) -> bool:
    """Whether a better place may come free while there is still time.

    A placement that harms others is put off until it would soon be late, one
    that is late already as long as an idle fleet could still be in time.
    """
    waited_s = now - job.call.arrived_at
    if waited_s > job.route.objective_s * PATIENCE_SHARE:
        return False
    if placement.cost <= get_worth(job.call.size) * WAIT_COST_SHARE:
        return False
    left_s = job.get_objective_left_s(now)
    soon_s = left_s * OBJECTIVE_SHARE - LOOK_S
    is_late = placement.first_s > left_s
    hoped_s = placement.ideal_s if is_late else placement.first_s
    return hoped_s < soon_s


def _run_out(job: Job, targets: list[Listed], now: float) -> Refusal | None:
    """Return the refusal of what has waited too long for any place."""
    waited_s = now - job.call.arrived_at
    whole_s = job.deadline - job.call.arrived_at
    patience_s = whole_s * MEMORY_PATIENCE_SHARE
    refusal = Refusal.no_memory
    if not targets:
        patience_s = TARGET_PATIENCE_S
        refusal = Refusal.no_target
    return refusal if waited_s > patience_s else None
