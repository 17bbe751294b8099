"""
Checks
======

The promises, each as a function of the ledger that returns what broke it.
These hold however busy the machine is; `timed_checks` has the others.
"""

from typing import Callable, Iterator

from tests.soak.ledger import Attempt, Ledger, Run
from tests.soak.timed_checks import OK, TIMED

#: Answers that promise that nothing has run and nothing will.
PROMISES = frozenset((408, 421, 429, 503))
#: Failures that the product answers itself: lost, refused, out of time.
OWN_FAILURES = frozenset((502, 503, 504))
FAILED = 500
#: The bound of the settings on keys taken away, in seconds.
REVOKE_S = 5.0

Check = Callable[[Ledger], Iterator[str]]


def check_once(ledger: Ledger) -> Iterator[str]:
    """What must not be repeated runs at most once."""
    for req_id, runs in ledger.get_runs_by_request().items():
        attempt = ledger.attempts.get(req_id)
        if attempt and not attempt.ask.repeatable and len(runs) > 1:
            yield f'{req_id} ran {len(runs)} times'


def check_refusals(ledger: Ledger) -> Iterator[str]:
    """What is said not to have run has not."""
    ran = ledger.get_runs_by_request()
    for req_id, attempt in ledger.attempts.items():
        if attempt.ask.repeatable or attempt.status not in PROMISES:
            continue
        if req_id in ran:
            yield f'{req_id} got {attempt.status} and ran'


def check_answers(ledger: Ledger) -> Iterator[str]:
    """Every success is whole and the target's own."""
    ran = ledger.get_runs_by_request()
    for req_id, attempt in ledger.attempts.items():
        if attempt.status != OK:
            continue
        if attempt.problem:
            yield f'{req_id} got {attempt.problem}'
        seals = {run.seal for run in ran.get(req_id, ())}
        if attempt.seal not in seals:
            yield f'{req_id} got the seal {attempt.seal!r}, not of {seals}'
        if attempt.whole and attempt.last_event != attempt.ask.events:
            yield (
                f'{req_id} ended after {attempt.last_event} of '
                f'{attempt.ask.events} events'
            )


def check_failures(ledger: Ledger) -> Iterator[str]:
    """A failure is the target's own, or one with a reason of ours."""
    for req_id, attempt in ledger.attempts.items():
        is_own = attempt.status >= FAILED and not attempt.seal
        if is_own and attempt.status not in OWN_FAILURES:
            yield f'{req_id} at {attempt.entry} got {attempt.status}'


def check_runs(ledger: Ledger) -> Iterator[str]:
    """Targets run only what callers asked for, as they asked it."""
    for run in ledger.runs:
        attempt = ledger.attempts.get(run.req_id)
        if attempt is None:
            yield f'{run.req_id} was asked by nobody'
        elif not _is_asked(attempt, run):
            yield f'{run.req_id} ran as {run}'


def _is_asked(attempt: Attempt, run: Run) -> bool:
    ask = attempt.ask
    asked = (ask.service, ask.team, ask.sizes, ask.digest, False)
    got = (run.service, run.team, run.sizes, run.digest, run.key_seen)
    return asked == got


def check_tickets(ledger: Ledger) -> Iterator[str]:
    """No ticket serves two requests at once."""
    for names in ledger.ticket_clashes:
        yield f'{names} used twice at once'


def check_exits(ledger: Ledger) -> Iterator[str]:
    """Processes end only when they are told to."""
    yield from ledger.exits


def check_revoked(ledger: Ledger) -> Iterator[str]:
    """A key that was taken away is not served for long, whatever happens."""
    revoked = ledger.get_changes('revoked')
    ran = ledger.get_runs_by_request()
    for req_id, attempt in ledger.attempts.items():
        at = revoked.get(attempt.ask.key, float('inf'))
        if attempt.sent_at > at + REVOKE_S and req_id in ran:
            age_s = attempt.sent_at - at
            yield f'{req_id} ran with a key revoked {age_s:.1f} s before'


SAFE: tuple[Check, ...] = (
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
    checks = SAFE + TIMED if timed else SAFE
    return [
        f'{check.__name__.removeprefix("check_")}: {found}'
        for check in checks
        for found in check(ledger)
    ]
