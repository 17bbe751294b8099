"""
Checks
======

The promises, each as a function of the ledger that returns what broke it.
These hold however busy the machine is; `timed_checks` has the others.
"""

from typing import Callable, Iterator

from tests.soak.ledger import RequestRecord, Ledger, Run
from tests.soak.timed_checks import OK_STATUS, TIMED_CHECKS

#: Answers that promise that nothing has run and nothing will.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
#: Failures that the product answers itself: lost, refused, out of time.
OWN_FAILURE_STATUSES = frozenset((502, 503, 504))
INTERNAL_ERROR_STATUS = 500
#: The bound of the settings on keys taken away, in seconds.
REVOKE_TIMEOUT_S = 5.0

Check = Callable[[Ledger], Iterator[str]]


def check_once(ledger: Ledger) -> Iterator[str]:
    """What must not be repeated runs at most once."""
    for req_id, runs in ledger.get_runs_by_request().items():
        request = ledger.requests.get(req_id)
        if request and not request.ask.repeatable and len(runs) > 1:
            yield f'{req_id} ran {len(runs)} times'


def check_refusals(ledger: Ledger) -> Iterator[str]:
    """What is said not to have run has not."""
    ran = ledger.get_runs_by_request()
    for req_id, request in ledger.requests.items():
        if (
            request.ask.repeatable
            or request.status not in NOT_EXECUTED_STATUSES
        ):
            continue
        if req_id in ran:
            yield f'{req_id} got {request.status} and ran'


def check_answers(ledger: Ledger) -> Iterator[str]:
    """Every success is whole and the target's own."""
    ran = ledger.get_runs_by_request()
    for req_id, request in ledger.requests.items():
        if request.status != OK_STATUS:
            continue
        if request.problem:
            yield f'{req_id} got {request.problem}'
        seals = {run.seal for run in ran.get(req_id, ())}
        if request.seal not in seals:
            yield f'{req_id} got the seal {request.seal!r}, not of {seals}'
        if request.whole and request.last_event != request.ask.events:
            yield (
                f'{req_id} ended after {request.last_event} of '
                f'{request.ask.events} events'
            )


def check_failures(ledger: Ledger) -> Iterator[str]:
    """A failure is the target's own, or one with a reason of ours."""
    for req_id, request in ledger.requests.items():
        is_own = request.status >= INTERNAL_ERROR_STATUS and not request.seal
        if is_own and request.status not in OWN_FAILURE_STATUSES:
            yield f'{req_id} at {request.entry} got {request.status}'


def check_runs(ledger: Ledger) -> Iterator[str]:
    """Targets run only what callers asked for, as they asked it."""
    for run in ledger.runs:
        request = ledger.requests.get(run.req_id)
        if request is None:
            yield f'{run.req_id} was asked by nobody'
        elif not _matches_request(request, run):
            yield f'{run.req_id} ran as {run}'


def _matches_request(request: RequestRecord, run: Run) -> bool:
    spec = request.ask
    expected = (spec.service, spec.team, spec.sizes, spec.digest, False)
    actual = (run.service, run.team, run.sizes, run.digest, run.key_seen)
    return expected == actual


def check_tickets(ledger: Ledger) -> Iterator[str]:
    """No ticket serves two requests at once."""
    for names in ledger.reservation_clashes:
        yield f'{names} used twice at once'


def check_exits(ledger: Ledger) -> Iterator[str]:
    """Processes end only when they are told to."""
    yield from ledger.exits


def check_revoked(ledger: Ledger) -> Iterator[str]:
    """A key that was taken away is not served for long, whatever happens."""
    revoked = ledger.get_changes('revoked')
    ran = ledger.get_runs_by_request()
    for req_id, request in ledger.requests.items():
        at = revoked.get(request.ask.key, float('inf'))
        if request.sent_at > at + REVOKE_TIMEOUT_S and req_id in ran:
            age_s = request.sent_at - at
            yield f'{req_id} ran with a key revoked {age_s:.1f} s before'


UNTIMED_CHECKS: tuple[Check, ...] = (
    check_once,
    check_refusals,
    check_answers,
    check_failures,
    check_runs,
    check_tickets,
    check_exits,
    check_revoked,
)


def run_checks(ledger: Ledger, *, timed: bool = True) -> list[str]:
    """Return what broke which promise."""
    checks = UNTIMED_CHECKS + TIMED_CHECKS if timed else UNTIMED_CHECKS
    return [
        f'{check.__name__.removeprefix("check_")}: {found}'
        for check in checks
        for found in check(ledger)
    ]
