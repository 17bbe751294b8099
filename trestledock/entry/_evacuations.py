"""
Evacuations
===========

Puts lists of evacuated data centres in force, and refuses requests that only
targets of evacuated data centres could take.
"""

import anyio

from trestledock.entry import _events as events
from trestledock.entry._cold_targets import record_cold_return
from trestledock.entry._job import Job, Refusal
from trestledock.entry._logger import emit
from trestledock.entry._state import EntryState
from trestledock.relay import EvacuationList, Placement

#: The range of Retry-After while all targets of a service are evacuated, in
#: seconds.  All its callers are refused from one moment on, so they return
#: spread over some seconds; most deadlines are longer than that.
RETRY_AFTER_S = (1.0, 4.0)


def apply_evacuations(
    state: EntryState, found: EvacuationList, source: str
) -> bool:
    """Apply a list of evacuated data centres; return whether it was newer."""
    evacuations = state.fleet.evacuations
    before = evacuations.names
    is_newer = evacuations.apply(found)
    if evacuations.names != before:
        _record_change(state, before, source)
    return is_newer


def refuse_evacuated(state: EntryState, job: Job) -> Refusal:
    """Refuse a request, with a time to return that spreads callers."""
    job.retry_after_s = state.rng.uniform(*RETRY_AFTER_S)
    return Refusal.evacuated


def log_send_to_evacuated(
    state: EntryState, req: str, placement: Placement
) -> None:
    """Log that a request goes to an evacuated data centre, against the rule."""
    for target in placement.engaged_targets:
        if state.fleet.is_evacuated(target):
            emit(
                events.SentToEvacuated(
                    req, target.incarnation, target.data_centre
                )
            )


def _record_change(
    state: EntryState, before: frozenset[str], source: str
) -> None:
    """Log what has begun and ended, and place waiting requests anew."""
    current = state.fleet.evacuations.names
    now = anyio.current_time()
    for begun in sorted(current - before):
        emit(events.EvacuationBegun(begun, source))
    for ended in sorted(before - current):
        emit(events.EvacuationEnded(ended, source))
        record_cold_return(state, ended, now)
    state.notify()
