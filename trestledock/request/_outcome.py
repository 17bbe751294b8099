"""
Outcomes
========

The four outcomes of a request, and the rule that derives them from its
attempts.  Only this rule may return `not_run`.  It does so only if no attempt
was sent, or if every attempt was rejected with proof that the target did not
start.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Iterable

from trestledock.request._attempt import NOT_STARTED, Attempt, AttemptState


class Outcome(str, Enum):
    """The final outcome of a request."""

    answered = 'answered'
    failed = 'failed'
    not_run = 'not_run'
    unknown = 'unknown'


class Reason(str, Enum):
    """Why a request was rejected, retried or abandoned; one counter each."""

    none = 'none'
    no_configuration = 'no_configuration'
    unknown_team = 'unknown_team'
    unknown_model = 'unknown_model'
    unknown_service = 'unknown_service'
    no_permitted_target = 'no_permitted_target'
    no_live_target = 'no_live_target'
    too_long = 'too_long'
    deadline_unreachable = 'deadline_unreachable'
    deadline_passed = 'deadline_passed'
    team_limit = 'team_limit'
    queue_full = 'queue_full'
    shutting_down = 'shutting_down'
    target_rejected = 'target_rejected'
    target_lost = 'target_lost'
    retry_budget = 'retry_budget'
    claim_unverified = 'claim_unverified'
    claim_state_lost = 'claim_state_lost'
    claim_pending = 'claim_pending'
    claim_taken = 'claim_taken'
    caller_gone = 'caller_gone'
    quarantined = 'quarantined'


@dataclass(frozen=True)
class Verdict:
    """The final result of a request.

    `step` and `peer` tell where the result was produced.  `retry_after` is in
    seconds, or zero if a retry is not advised.
    """

    outcome: Outcome
    reason: Reason = Reason.none
    step: str = ''
    peer: str = ''
    retry_after: float = 0
    detail: str = ''
    status: int = 0
    body: str = ''
    tokens: int = 0


def derive_outcome(
    attempts: Iterable[Attempt],
    *,
    idempotent: bool,
) -> Outcome:
    """Derive the outcome of a request from its attempts.

    >>> derive_outcome([], idempotent=False).value
    'not_run'
    """
    states = {attempt.state for attempt in attempts}
    if AttemptState.complete in states:
        return Outcome.answered
    if states <= NOT_STARTED:
        return Outcome.not_run
    return Outcome.failed if idempotent else Outcome.unknown
