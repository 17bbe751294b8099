"""
Overflow to other data centres
==============================

Whether a short prompt asks for the loads of other data centres, and its
placement there.
"""

from trestledock.entry._job import Job
from trestledock.entry._state import EntryState
from trestledock.entry._throttling import get_available
from trestledock.relay import (
    EngineModel,
    ListedTarget,
    OverflowRule,
    Placement,
    RemoteEngine,
    Unplaced,
    choose_overflow,
    may_gain_by_overflow,
)

#: With many entries, this many targets in the local data centre suffice.
MIN_LOCAL_TARGETS = 8


def find_overflow(
    state: EntryState,
    job: Job,
    engine: EngineModel,
    chosen: Placement | Unplaced,
    now: float,
) -> Placement | None:
    """Return a placement in another data centre that loses nothing.

    `chosen` is the best local one. Only data centres whose answers count the
    requests at their targets are considered; those of older versions don't.
    """
    if not needs_overflow(state, job, chosen, now):
        return None
    usable = get_available(
        state, job, list(state.fleet.get_usable(job.service)), now
    )
    healthy = [
        target
        for target in usable
        if target.incarnation not in job.tried
        and not state.health.is_suspect(
            target.incarnation, now, target.data_centre
        )
    ]
    return choose_overflow(
        job.placement_request,
        state.placer,
        OverflowRule(engine, _count_near_entries(state)),
        [
            [
                _get_engine(state, target, load.request_counts)
                for target in healthy
                if target.data_centre == data_centre
            ]
            for data_centre, load in state.remote_loads.items()
            if load.is_fresh(now) and load.request_counts is not None
        ],
        now,
    )


def needs_overflow(
    state: EntryState,
    job: Job,
    chosen: Placement | Unplaced | None,
    now: float,
) -> bool:
    """Return whether a short prompt may gain by leaving the data centre.

    `chosen` is its best local placement, if there is any.
    """
    policy = state.placer.policy
    may_leave = policy.remote_targets and policy.overflow
    if not state.many_entries or not may_leave or job.call.size is None:
        return False
    return (
        may_gain_by_overflow(job.placement_request, chosen, now)
        and _count_local_targets(state, job) >= MIN_LOCAL_TARGETS
    )


def _get_engine(
    state: EntryState, target: ListedTarget, counts: dict[str, int]
) -> RemoteEngine:
    name = target.incarnation
    return RemoteEngine(
        target,
        others=counts.get(name, 0),
        near=state.load_table.count_direct(name),
        own=sum(
            flight.target == name for flight in state.load_table.own.values()
        ),
    )


def _count_local_targets(state: EntryState, job: Job) -> int:
    own = state.settings.data_centre
    usable = state.fleet.get_usable(job.service)
    return sum(target.data_centre == own for target in usable)


def _count_near_entries(state: EntryState) -> int:
    """Return the number of entries of this data centre, this one included."""
    own = state.settings.data_centre
    others = state.throttle.get_members().others
    return 1 + sum(member.data_centre == own for member in others)
