"""
What answers say of their requests
==================================

Decides what the answer to a request tells, once it is known to be the own
answer of its exchange and has been read whole.  Only this module decides that
an answer says that its request has not run.

What that rests on:

- the id: the answer bears that of the request (`ExchangeNames`);
- the status and the mark, by the tables below; other answers say nothing of it;
- the end: a body that breaks off, or never ends, may belong to something else.

Neither the connection nor what else it has carried counts: the bytes of an
answer are the only statement of a target.  A request that was not written has
not run either (`AttemptOutcome.not_sent`).

>>> judge_answer(AnswerClaim(503, is_marked=True)).value
'not_run'
>>> judge_answer(AnswerClaim(503, is_sealed=True)).value
'untrusted'
"""

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

#: Statuses of targets that have not run a request and mark their answer so.
MARKED_STATUSES = frozenset((400, 408, 421, 429, 503))
#: The status of a process that is not the target, which needs no mark.
MISDIRECTED_STATUSES = frozenset((421,))
#: Statuses that promise callers that the request has not run.
PROMISING_STATUSES = frozenset((408, 421, 429, 503))


class Verdict(str, Enum):
    """What an answer tells of its request.

    An `untrusted` answer is not that of the target, or contradicts itself: the
    request may have run.  `failed` is the target's own error.
    """

    answered = 'answered'
    not_run = 'not_run'
    failed = 'failed'
    untrusted = 'untrusted'


@dataclass(frozen=True)
class AnswerClaim:
    """The statements of an answer.

    `is_marked` is true if it says that the request has not run, `is_sealed` if
    the target itself has made it, and `is_encoded` if its body was changed on
    the way.
    """

    status: int
    is_marked: bool = False
    is_sealed: bool = False
    is_encoded: bool = False


def judge_answer(claim: AnswerClaim) -> Verdict:
    """Return what an answer tells of its request."""
    if claim.is_marked and claim.status in MARKED_STATUSES:
        return Verdict.not_run
    if claim.status in MISDIRECTED_STATUSES:
        return Verdict.not_run
    if claim.is_marked or claim.status in PROMISING_STATUSES:
        return Verdict.untrusted
    if claim.is_encoded or not claim.is_sealed:
        return Verdict.untrusted
    if claim.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Verdict.failed
    return Verdict.answered
