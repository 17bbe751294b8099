"""
Outcomes of attempts
====================

How an attempt of a relayed request ended, and what may be done next.  Only this
module decides that a request has not run: none of its attempts may have left
this process, or every target must have said that it did not run the request.
"""

from dataclasses import dataclass
from enum import Enum

from trestledock.relay._answer_ends import AnswerEnd, Framing
from trestledock.relay._catalog import Route
from trestledock.relay._failure_kinds import FailureKind


class AttemptOutcome(str, Enum):
    """The outcome of an attempt."""

    answered = 'answered'
    not_sent = 'not_sent'
    rejected = 'rejected'
    lost = 'lost'
    failed = 'failed'


#: Outcomes after which the target has certainly not run the request.
NOT_RUN = frozenset((AttemptOutcome.not_sent, AttemptOutcome.rejected))


@dataclass(frozen=True)
class RelayAttempt:
    """A finished attempt, with the step and the peer at which it ended.

    It is logged as `sending_ended`. `framing` is that of the target's answer,
    None if no head of one was read, and `end` tells whether an answer that was
    passed on is known to be whole. The request was the `exchange`-th on the
    connection `conn`, which are 0 if it was not written. `is_named` is true if
    its answer bore its id.
    """

    outcome: AttemptOutcome
    step: str
    peer: str
    detail: str = ''
    failure_kind: FailureKind = FailureKind.none
    framing: Framing | None = None
    end: AnswerEnd = AnswerEnd.whole
    conn: int = 0
    exchange: int = 0
    is_named: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether the target may have begun to process the request."""
        return self.outcome not in NOT_RUN


@dataclass(frozen=True)
class AttemptHistory:
    """All attempts of a request, oldest first."""

    attempts: tuple[RelayAttempt, ...] = ()

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have begun to process the request."""
        return any(attempt.may_have_run for attempt in self.attempts)

    @property
    def run_count(self) -> int:
        """The number of targets that may have run the request."""
        return sum(attempt.may_have_run for attempt in self.attempts)

    def add(self, attempt: RelayAttempt) -> 'AttemptHistory':
        """Return the history with another attempt."""
        return AttemptHistory((*self.attempts, attempt))

    def may_repeat(self, route: Route) -> bool:
        """Return whether another target may get the request.

        A request that may have run is repeated only if the route allows it.
        """
        if len(self.attempts) >= MAX_ATTEMPTS:
            return False
        return self.may_run_again(route)

    def may_run_again(self, route: Route) -> bool:
        """Return whether the route allows another target to run the request."""
        if not self.may_have_run:
            return True
        return route.repeatable and self.run_count < route.max_attempts

    def is_last_attempt(self, route: Route) -> bool:
        """Return whether no other target may continue the current attempt."""
        return not self.add(_LOST_ATTEMPT).may_repeat(route)


#: The outcome of the current attempt if its target were given up now.
_LOST_ATTEMPT = RelayAttempt(AttemptOutcome.lost, 'answer', '')
#: The maximum number of attempts of a request, including those not run.
MAX_ATTEMPTS = 6
