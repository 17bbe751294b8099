"""
Outcomes
========

The four ends of a request and the rule that derives them from the attempts.
The rule is the only place that may say `not_run`: it does so only while no
attempt has left the caller's side, or every attempt was rejected with proof.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Iterable

from trestledock.request._attempt import NOT_STARTED, Attempt, AttemptState


class Outcome(str, Enum):
    """How a request ended."""

    answered = 'answered'
    failed = 'failed'
    not_run = 'not_run'
    unknown = 'unknown'


class Reason(str, Enum):
    """Why a request was refused, retried or given up; one counter each."""

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
    """The final word on a request.

    `step` and `peer` say where it arose; `retry_after` is in seconds, zero
    where asking again makes no sense.
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
    """Derive how a request ended from its attempt records.

    >>> derive_outcome([], idempotent=False).value
    'not_run'
    """
    states = {attempt.state for attempt in attempts}
    if AttemptState.complete in states:
        return Outcome.answered
    if states <= NOT_STARTED:
        return Outcome.not_run
    return Outcome.failed if idempotent else Outcome.unknown
