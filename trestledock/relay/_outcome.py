"""
Outcomes of sendings
====================

How one sending of a relayed request ended, and what may be done next.  The
rule is the only place that may promise that a request has not run: none of its
sendings may have left this process, or every target said that it did not run.
"""

from dataclasses import dataclass
from enum import Enum

from trestledock.relay._catalog import Route
from trestledock.relay._signs import FailureKind


class AttemptOutcome(str, Enum):
    """How a sending ended."""

    answered = 'answered'
    not_sent = 'not_sent'
    rejected = 'rejected'
    lost = 'lost'
    failed = 'failed'


#: Endings after which the target has certainly not run the request.
NOT_RUN = frozenset((AttemptOutcome.not_sent, AttemptOutcome.rejected))


@dataclass(frozen=True)
class RelayAttempt:
    """One sending with the step and the peer at which it ended."""

    outcome: AttemptOutcome
    step: str
    peer: str
    detail: str = ''
    failure_kind: FailureKind = FailureKind.none

    @property
    def may_have_run(self) -> bool:
        """Whether the target may have begun to work on the request."""
        return self.outcome not in NOT_RUN


@dataclass(frozen=True)
class AttemptHistory:
    """All sendings of one request, oldest first."""

    attempts: tuple[RelayAttempt, ...] = ()

    @property
    def may_have_run(self) -> bool:
        """Whether any target may have begun to work on the request."""
        return any(one.may_have_run for one in self.attempts)

    @property
    def run_count(self) -> int:
        """How many targets may have run it."""
        return sum(one.may_have_run for one in self.attempts)

    def add(self, sending: RelayAttempt) -> 'AttemptHistory':
        """Return the history with one more sending."""
        return AttemptHistory((*self.attempts, sending))

    def may_repeat(self, route: Route) -> bool:
        """Whether another target may get the request.

        What may have run is repeated only where the route allows it.
        """
        if len(self.attempts) >= MAX_SENDINGS:
            return False
        return self.may_run_again(route)

    def may_run_again(self, route: Route) -> bool:
        """Whether another target may run the request, as its route allows."""
        if not self.may_have_run:
            return True
        return route.repeatable and self.run_count < route.max_attempts

    def is_last_attempt(self, route: Route) -> bool:
        """Whether no other target may go on with what one works on now."""
        return not self.add(_LOST_NOW).may_repeat(route)


#: What the sending under way would end as if its target were left.
_LOST_NOW = RelayAttempt(AttemptOutcome.lost, 'answer', '')
#: Bound on sendings of one request, those that were not run included.
MAX_SENDINGS = 6
