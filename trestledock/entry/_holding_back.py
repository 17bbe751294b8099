"""
Holding requests back
=====================

What is done where targets take only so many requests a second: which of them a
request may go to now, and whether it waits for its turn or is refused at once.
"""

from math import inf
from typing import Sequence

from trestledock.entry._job import Job, Refusal
from trestledock.entry._state import EntryState
from trestledock.relay import Listed, RateLimit, get_come_back_s

#: The part of its time left that a request may wait for its turn.
TURN_SHARE = 0.5


def get_free(
    state: EntryState, job: Job, targets: Sequence[Listed], now: float
) -> list[Listed]:
    """Return the targets that may get a request now, as their limits go.

    Where each of them is under a limit, those go first that wait already.
    """
    if not state.notices.get_all(RateLimit):
        return list(targets)
    free = [one for one in targets if state.throttle.is_free(one, now)]
    if all(map(state.throttle.is_limited, free)):
        return [] if state.turns.count_ahead(job.turn) else free
    return free


def get_limited(state: EntryState, job: Job) -> list[Listed]:
    """Return the targets of a request's service that are under a limit."""
    usable = state.fleet.get_usable(job.service)
    return [one for one in usable if state.throttle.is_limited(one)]


def decide_held_back(state: EntryState, job: Job, now: float) -> Refusal | None:
    """Return why a request is refused that no target takes now; None: it waits.

    It comes back when its turn would have been, or, where this entry has no
    right to send at all, when its targets will have taken one more.
    """
    limited = get_limited(state, job)
    ahead = state.turns.count_ahead(job.turn)
    wait_s = state.throttle.get_wait_s(limited, ahead, now)
    timing = job.timing
    if wait_s <= (min(timing.due, timing.gone) - now) * TURN_SHARE:
        return None
    if wait_s == inf:
        wait_s = 1 / state.throttle.get_limit(limited)
    job.come_back_s = get_come_back_s(timing, wait_s, now)
    return Refusal.limited
