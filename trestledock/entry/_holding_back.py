"""
Holding requests back
=====================

What is done where targets take only so many requests a second, or want rest:
which of them a request may go to now, and whether it waits for its turn or is
refused at once.
"""

from math import inf
from typing import Sequence

from trestledock.entry._job import Job, Refusal
from trestledock.entry._state import EntryState
from trestledock.relay import ListedTarget, get_retry_after_s

#: The part of its time left that a request may wait for its turn.
TURN_SHARE = 0.5
#: Targets that rest from other entries are spared while so large a part of the
#: free ones is left.
SPARE_SHARE = 0.5
#: By which part of it the time is made longer at most, by chance, after which
#: callers come back that no target takes while all rest.
RETURN_SPREAD = 0.5


def get_free(
    state: EntryState, job: Job, targets: Sequence[ListedTarget], now: float
) -> list[ListedTarget]:
    """Return the targets that may get a request now, as they asked.

    Where each of them is restrained, those go first that wait already.
    """
    if not state.throttle.has_restraints:
        return list(targets)
    free = _spare(
        state,
        [one for one in targets if state.throttle.can_send(one, now)],
        now,
    )
    if all(map(state.throttle.is_restrained, free)):
        return [] if state.turns.count_ahead(job.turn) else free
    return free


def _spare(
    state: EntryState, free: list[ListedTarget], now: float
) -> list[ListedTarget]:
    """Return the targets that rest from nobody, if enough of them do.

    Else each entry would learn of a rest by a request that is turned away; but
    too few of them must not get the work of all.
    """
    rested = [
        one for one in free if not state.throttle.has_peer_backoff(one, now)
    ]
    return rested if len(rested) >= len(free) * SPARE_SHARE else free


def get_restrained(state: EntryState, job: Job) -> list[ListedTarget]:
    """Return the targets of a request's service that are restrained."""
    usable = state.fleet.get_usable(job.service)
    return [one for one in usable if state.throttle.is_restrained(one)]


def decide_held_back(state: EntryState, job: Job, now: float) -> Refusal | None:
    """Return why a request is refused that no target takes now; None: it waits.

    It comes back when its turn would have been, or, where this entry has no
    right to send at all, when its targets will have taken one more.  Those that
    come back after a rest come at different moments.
    """
    restrained = get_restrained(state, job)
    ahead = state.turns.count_ahead(job.turn)
    wait_s = state.throttle.get_wait_s(restrained, ahead, now)
    timing = job.timing
    if wait_s <= (min(timing.due_at, timing.abandoned_at) - now) * TURN_SHARE:
        return None
    if wait_s == inf:
        wait_s = 1 / state.throttle.get_total_limit(restrained)
    if all(state.throttle.is_backing_off(one, now) for one in restrained):
        job.come_back_s = wait_s * state.rng.uniform(1, 1 + RETURN_SPREAD)
        return Refusal.resting
    job.come_back_s = get_retry_after_s(timing, wait_s, now)
    return Refusal.limited
