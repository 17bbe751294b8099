"""
Throttled requests
==================

Handles targets that are at their rate limit, have asked for a back-off, or are
cold: which targets a request may go to now, and whether it waits for its turn
or is refused at once.
"""

from math import inf
from typing import Sequence

from trestledock.entry._job import Job, Refusal
from trestledock.entry._state import EntryState
from trestledock.relay import ListedTarget, get_retry_after_s

#: The fraction of its remaining time that a request may wait for its turn.
MAX_WAIT_SHARE = 0.5
#: Targets that back off from other entries are avoided while at least this
#: fraction of the available targets remains.
MIN_REMAINING_SHARE = 0.5
#: The largest random increase of Retry-After, as a fraction of it, for callers
#: that are refused while all targets back off or are cold.
RETRY_AFTER_SPREAD = 0.5


def get_available(
    state: EntryState, job: Job, targets: Sequence[ListedTarget], now: float
) -> list[ListedTarget]:
    """Return the targets whose restraints allow a request now.

    If all of these are restrained, requests that wait already go first.
    """
    if not state.throttle.has_restraints:
        return list(targets)
    free = _without_peer_backoffs(
        state,
        [target for target in targets if state.throttle.can_send(target, now)],
        now,
    )
    if all(map(state.throttle.is_restrained, free)):
        return [] if state.wait_queue.count_ahead(job.waiting_request) else free
    return free


def _without_peer_backoffs(
    state: EntryState, free: list[ListedTarget], now: float
) -> list[ListedTarget]:
    """Return the targets that back off from no entry, if there are enough.

    Otherwise each entry would learn of a back-off from a rejected request of
    its own.  But too few targets must not get the requests of all.
    """
    others = [
        target
        for target in free
        if not state.throttle.has_peer_backoff(target, now)
    ]
    return others if len(others) >= len(free) * MIN_REMAINING_SHARE else free


def get_restrained(state: EntryState, job: Job) -> list[ListedTarget]:
    """Return the targets of a request's service that are restrained."""
    usable = state.fleet.get_usable(job.service)
    return [target for target in usable if state.throttle.is_restrained(target)]


def decide_throttled(state: EntryState, job: Job, now: float) -> Refusal | None:
    """Return the refusal of a request that no target takes, None to wait.

    Retry-After is the time until its turn.  Where this entry has no quota at
    all, it is the time in which its targets take one more request.  After a
    back-off or a cold time it is spread at random, so that callers return at
    different times.
    """
    restrained = get_restrained(state, job)
    ahead = state.wait_queue.count_ahead(job.waiting_request)
    wait_s = state.throttle.get_wait_s(restrained, ahead, now)
    timing = job.timing
    if (
        wait_s
        <= (min(timing.due_at, timing.abandoned_at) - now) * MAX_WAIT_SHARE
    ):
        return None
    if wait_s == inf:
        wait_s = 1 / state.throttle.get_total_limit(restrained)
    if all(state.throttle.is_backing_off(target, now) for target in restrained):
        job.retry_after_s = wait_s * state.rng.uniform(
            1, 1 + RETRY_AFTER_SPREAD
        )
        return Refusal.backing_off
    if all(is_cold_or_backing_off(state, target, now) for target in restrained):
        cold_s = min(
            state.throttle.cold.get_left_s(target, now)
            for target in restrained
            if state.throttle.cold.is_cold(target)
        )
        job.retry_after_s = max(wait_s, cold_s) * state.rng.uniform(
            1, 1 + RETRY_AFTER_SPREAD
        )
        return Refusal.cold
    job.retry_after_s = get_retry_after_s(timing, wait_s, now)
    return Refusal.limited


def is_cold_or_backing_off(
    state: EntryState, target: ListedTarget, now: float
) -> bool:
    """Return whether a target is cold or backs off."""
    throttle = state.throttle
    return throttle.cold.is_cold(target) or throttle.is_backing_off(target, now)
