"""
Problem details
===============

Responses that do not come from a target, as problem details (RFC 9457).  `type`
is the outcome; the reason determines the status.
"""

import math
from types import MappingProxyType
from typing import Mapping

from starlette.responses import JSONResponse

from trestledock.request import Outcome, Reason, Verdict

MEDIA_TYPE = 'application/problem+json'
BAD_REQUEST = 400
BAD_GATEWAY = 502

#: HTTP statuses by reason; `BAD_GATEWAY` applies to the others.
STATUS_BY_REASON: Mapping[Reason, int] = MappingProxyType(
    {
        Reason.unknown_team: 403,
        Reason.unknown_model: 404,
        Reason.unknown_service: 404,
        Reason.no_permitted_target: 403,
        Reason.too_long: 413,
        Reason.team_limit: 429,
        Reason.deadline_passed: 504,
        Reason.deadline_unreachable: 503,
        Reason.no_configuration: 503,
        Reason.no_live_target: 503,
        Reason.queue_full: 503,
        Reason.shutting_down: 503,
        Reason.claim_unverified: 503,
        Reason.claim_state_lost: 503,
        Reason.claim_pending: 409,
        Reason.claim_taken: 409,
    }
)


def make_problem(verdict: Verdict) -> JSONResponse:
    """Return the response to a request that no target answered."""
    headers = {}
    if verdict.retry_after:
        headers['Retry-After'] = str(math.ceil(verdict.retry_after))
    return JSONResponse(
        get_problem_body(verdict),
        status_code=STATUS_BY_REASON.get(verdict.reason, BAD_GATEWAY),
        headers=headers,
        media_type=MEDIA_TYPE,
    )


def get_problem_body(verdict: Verdict) -> dict[str, str | float]:
    """Return the members of the problem details; empty ones are omitted."""
    members: dict[str, str | float] = {
        'type': verdict.outcome.value,
        'title': verdict.reason.value.replace('_', ' '),
        'reason': verdict.reason.value,
        'step': verdict.step,
        'peer': verdict.peer,
        'detail': verdict.detail,
        'retry_after': verdict.retry_after,
    }
    return {name: text for name, text in members.items() if text}


def make_bad_request(detail: str, status: int = BAD_REQUEST) -> JSONResponse:
    """Return the response to an invalid request."""
    return JSONResponse(
        {
            'type': Outcome.not_run.value,
            'title': 'bad request',
            'reason': 'bad_request',
            'step': 'parse',
            'detail': detail,
        },
        status_code=status,
        media_type=MEDIA_TYPE,
    )
