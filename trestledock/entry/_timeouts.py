"""
Response timeouts
=================

How long a target may be silent, and what a longer silence is recorded as: a
doubt after an early failover, a silence of the target, or a network cut of its
data centre.  A cut ends all waits for targets there.
"""

from contextlib import contextmanager
from dataclasses import dataclass
from typing import Iterator

import anyio

from trestledock.entry._admission import may_resume_elsewhere
from trestledock.entry._job import Job
from trestledock.entry._reply_timers import Patience, wait_with
from trestledock.entry._selecting import has_alternative, get_engine_model
from trestledock.entry._state import EntryState, Wait
from trestledock.entry._wire import WireError
from trestledock.relay import (
    Placement,
    FailureKind,
    get_first_event_timeout_s,
    get_pause_timeout_s,
    is_waiting_for_memory,
)

#: The interval of checks whether to fail over from a silent target, in seconds.
RECHECK_INTERVAL_S = 0.1


@dataclass(frozen=True)
class ResponseTimeout:
    """How long a target may be silent, and whether it only casts doubt."""

    wait_s: float
    early: bool = False


class ResponseTimeouts:
    """Sets the response timeouts of one entry process."""

    def __init__(self, state: EntryState) -> None:
        """Store the state."""
        self.state = state

    def get_first_timeout(
        self, job: Job, placement: Placement
    ) -> ResponseTimeout:
        """Return the timeout for the first byte or event of an answer."""
        is_last = self._is_last_option(job)
        may_fail_over = self.state.budgets.may_fail_over_early(
            anyio.current_time()
        )
        early = may_fail_over and not is_last and not placement.helpers
        timeout_s = get_first_event_timeout_s(
            job.route,
            placement.first_token_s,
            early=early,
            helped=bool(placement.helpers),
        )
        return ResponseTimeout(min(timeout_s, _get_remaining_s(job)), early)

    def get_pause_timeout(self, job: Job) -> ResponseTimeout:
        """Return the timeout between the events of a stream.

        The last target that may run the request is waited for until the
        deadline, as no other target may resume it.
        """
        remaining_s = _get_remaining_s(job)
        if job.history.is_last_attempt(job.route):
            return ResponseTimeout(remaining_s)
        return ResponseTimeout(min(get_pause_timeout_s(job.route), remaining_s))

    def get_recheck_timeout(self, job: Job) -> ResponseTimeout:
        """Return how long to wait before the next check for a failover."""
        remaining_s = _get_remaining_s(job)
        if job.history.is_last_attempt(job.route):
            return ResponseTimeout(remaining_s)
        return ResponseTimeout(min(RECHECK_INTERVAL_S, remaining_s))

    def is_wait_over(self, job: Job, placement: Placement) -> bool:
        """Return whether the deadline or a network cut ends the wait."""
        now = anyio.current_time()
        peer = placement.target.incarnation
        return not _get_remaining_s(job) or self.state.is_unreachable(peer, now)

    def is_waiting_for_memory(self, job: Job, placement: Placement) -> bool:
        """Return whether a silent target is known to wait for memory."""
        engine = get_engine_model(self.state, job)
        own = self.state.load_table.own.get(job.call.req_id)
        if engine is None or own is None:
            return False
        flights = self.state.load_table.get_flights(
            placement.target.incarnation
        )
        return is_waiting_for_memory(own, flights, engine.capacity_tokens)

    def may_fail_over(self, job: Job, placement: Placement) -> bool:
        """Return whether to give up a target that timed out.

        A begun answer would be cut if no other target resumed it.  So another
        target must be available at once, and the retry is taken from the budget
        here: two requests must not fail over for one remaining retry.
        """
        if not job.response_begun or not _get_remaining_s(job):
            return True
        if job.history.is_last_attempt(job.route):
            return False
        if not may_resume_elsewhere(self.state, job):
            return False
        peer = placement.target.incarnation
        return has_alternative(self.state, job, peer) and self._reserve_retry(
            job
        )

    @contextmanager
    def wait(
        self,
        job: Job,
        placement: Placement,
        patience: Patience,
    ) -> Iterator[anyio.CancelScope]:
        """Wait for a target, or until one involved is cut off."""
        patience.limit(_get_remaining_s(job))
        with wait_with(patience) as scope:
            if job.history.is_last_attempt(job.route):
                yield scope
                return
            helpers = () if job.last_event_id else placement.helpers
            names = [
                target.incarnation for target in (placement.target, *helpers)
            ]
            wait = Wait(tuple(names), scope)
            self.state.waits.add(wait)
            try:
                yield scope
            finally:
                self.state.waits.discard(wait)

    def record_timeout(
        self, step: str, peer: str, timeout: ResponseTimeout
    ) -> WireError:
        """Record that a target timed out; return the error to raise."""
        now = anyio.current_time()
        if timeout.early:
            self.state.record_early_failover(peer, now)
        else:
            self.state.record_silence(peer, now)
        if self.state.is_unreachable(peer, now):
            return WireError(
                step, 'its data centre is silent', FailureKind.silent
            )
        error = WireError(
            step, f'silent for {timeout.wait_s:.2f} s', FailureKind.silent
        )
        error.is_early = timeout.early
        return error

    def _reserve_retry(self, job: Job) -> bool:
        now = anyio.current_time()
        job.has_reserved_retry = self.state.budgets.spend_retry(
            job.service, now
        )
        return job.has_reserved_retry

    def _is_last_option(self, job: Job) -> bool:
        """Return whether no other target may, or could, run a request now."""
        if job.history.is_last_attempt(job.route):
            return True
        if not self.state.budgets.has_retry_left(
            job.service, anyio.current_time()
        ):
            return True
        # A draining target, or one at its rate limit, takes no new requests.
        usable = self.state.fleet.get_usable(job.service)
        now = anyio.current_time()
        any_free = any(
            self.state.throttle.can_send(target, now) for target in usable
        )
        return not any_free or not may_resume_elsewhere(self.state, job)


def _get_remaining_s(job: Job) -> float:
    return max(0, job.deadline - anyio.current_time())
