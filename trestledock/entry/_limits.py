"""
Limits on silence
=================

How long a target may be silent, and what it means when it is: a doubt where it
was left early, silence, or a cut of the way to its data centre, which ends all
waits for targets there.
"""

from contextlib import contextmanager
from dataclasses import dataclass
from typing import Iterator

import anyio

from trestledock.entry._admission import may_go_on
from trestledock.entry._job import Job
from trestledock.entry._selecting import could_go_on, get_engine
from trestledock.entry._state import EntryState, Wait
from trestledock.entry._wire import WireError
from trestledock.relay import (
    Placement,
    FailureKind,
    get_first_event_timeout_s,
    get_pause_timeout_s,
    is_waiting_for_memory,
)

#: How often it is looked again whether a silent target may be left, in seconds.
LOOK_AGAIN_S = 0.1


@dataclass(frozen=True)
class Limit:
    """How long a target may be silent, and whether that is but a doubt."""

    wait_s: float
    early: bool = False


class Limits:
    """Limits the waits of one entry process."""

    def __init__(self, state: EntryState) -> None:
        """Keep the state."""
        self.state = state

    def get_first(self, job: Job, placement: Placement) -> Limit:
        """Return how long a target may be silent before another is asked."""
        is_last = self._is_last(job)
        may_leave = self.state.budgets.may_fail_over_early(anyio.current_time())
        early = may_leave and not is_last and not placement.helpers
        patience_s = get_first_event_timeout_s(
            job.route,
            placement.first_token_s,
            early=early,
            helped=bool(placement.helpers),
        )
        return Limit(min(patience_s, _get_left_s(job)), early)

    def get_pause(self, job: Job) -> Limit:
        """Return how long a stream may be silent between events.

        The last target that may run it is waited for: nobody else would go on.
        """
        left_s = _get_left_s(job)
        if job.history.is_last_attempt(job.route):
            return Limit(left_s)
        return Limit(min(get_pause_timeout_s(job.route), left_s))

    def get_again(self, job: Job) -> Limit:
        """Return when to look again whether a silent target may be left."""
        left_s = _get_left_s(job)
        if job.history.is_last_attempt(job.route):
            return Limit(left_s)
        return Limit(min(LOOK_AGAIN_S, left_s))

    def is_over(self, job: Job, placement: Placement) -> bool:
        """Whether there is nothing more to wait for."""
        now = anyio.current_time()
        peer = placement.target.incarnation
        return not _get_left_s(job) or self.state.is_unreachable(peer, now)

    def is_held_up(self, job: Job, placement: Placement) -> bool:
        """Whether a target's silence is known to be a wait for memory."""
        engine = get_engine(self.state, job)
        own = self.state.board.own.get(job.call.req_id)
        if engine is None or own is None:
            return False
        flights = self.state.board.get_flights(placement.target.incarnation)
        return is_waiting_for_memory(own, flights, engine.capacity_tokens)

    def may_leave(self, job: Job, placement: Placement) -> bool:
        """Whether a target that was silent for too long is left now.

        An answer that has begun would be cut where nobody else goes on with it:
        another target must take it at once, and the repeat is taken from the
        budget here, so that two don't leave for one.
        """
        if not job.begun or not _get_left_s(job):
            return True
        if job.history.is_last_attempt(job.route):
            return False
        if not may_go_on(self.state, job):
            return False
        peer = placement.target.incarnation
        return could_go_on(self.state, job, peer) and self._claim(job)

    @contextmanager
    def wait(
        self,
        job: Job,
        placement: Placement,
        limit: Limit,
    ) -> Iterator[anyio.CancelScope]:
        """Wait within a limit, or until the way to a target is cut."""
        with anyio.move_on_after(limit.wait_s) as scope:
            if job.history.is_last_attempt(job.route):
                yield scope
                return
            helpers = () if job.last_event else placement.helpers
            names = [one.incarnation for one in (placement.target, *helpers)]
            wait = Wait(tuple(names), scope)
            self.state.waits.add(wait)
            try:
                yield scope
            finally:
                self.state.waits.discard(wait)

    def give_up(self, step: str, peer: str, limit: Limit) -> WireError:
        """Note that a target was silent for too long; return the error."""
        now = anyio.current_time()
        if limit.early:
            self.state.record_early_failover(peer, now)
        else:
            self.state.record_silence(peer, now)
        if self.state.is_unreachable(peer, now):
            return WireError(
                step, 'its data centre is silent', FailureKind.silent
            )
        return WireError(
            step, f'silent for {limit.wait_s:.2f} s', FailureKind.silent
        )

    def _claim(self, job: Job) -> bool:
        now = anyio.current_time()
        job.has_repeat = self.state.budgets.spend_retry(job.service, now)
        return job.has_repeat

    def _is_last(self, job: Job) -> bool:
        """Whether nobody else may, or could, go on with a request now."""
        if job.history.is_last_attempt(job.route):
            return True
        if not self.state.budgets.has_retry_left(
            job.service, anyio.current_time()
        ):
            return True
        # A target that is leaving, or has had its share, takes nothing new.
        usable = self.state.fleet.get_usable(job.service)
        now = anyio.current_time()
        free = any(self.state.throttle.can_send(one, now) for one in usable)
        return not free or not may_go_on(self.state, job)


def _get_left_s(job: Job) -> float:
    return max(0, job.deadline - anyio.current_time())
