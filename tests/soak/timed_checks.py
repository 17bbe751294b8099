"""
Timed checks
============

Promises with a bound in time.  Whether they hold depends on how busy the
machine is, too, so they are left out where a run must give the same verdict
every time.
"""

from typing import Iterator

from tests.soak.entries import GRACE_S
from tests.soak.ledger import CONTACT_S, Attempt, Ledger, Naming, Run

OK = 200
#: The bound of the settings on targets that leave, in seconds.
DRAIN_S = 2.0
#: What is allowed after a route's time is over, in seconds.
LATE_S = 0.5
#: What the driver itself may add, in seconds.
SLACK_S = 0.3
#: How long a request may cross the end of its connection, in seconds
#: (`lossSlackMs` of the settings).
CROSSING_S = 0.2
#: Until when a target must have done its work for an entry that ends, in
#: seconds, and for requests sent until when (the bounds on graceful ends).
WORK_S = GRACE_S * 5 / 6
NOTICE_S = 3.0
#: A target that still works so long after its caller left was not told.
GONE_S = 0.5
#: How many late cancellations in a run are still no pattern.
GONE_MOST = 3
#: So many targets may end under a request, and so many more may get it later
#: than an entry needs to be in touch.
MOST_ENDS = 3
MOST_LATE = 3
#: In such a stretch a target that asks for fewer requests may get so many times
#: as many, and so many more.
STRETCH_S = 4.0
OVER_SHARE = 1.5
OVER_COUNT = 5
#: From so long after a target has asked for rest, in seconds, so many requests
#: may come from the entry until the rest is over.
REST_BINDS_S = 0.5
REST_COUNT = 2
#: Faults that excuse nothing where a target has told an entry something itself.
OF_THE_STORE = ('store_down', 'cut_store', 'reset_store', 'restore_store')


def check_leaks(ledger: Ledger) -> Iterator[str]:
    """Memory that nobody uses is given back."""
    yield from ledger.ticket_leaks


def check_leaving(ledger: Ledger) -> Iterator[str]:
    """A target that leaves gets nothing new after a moment."""
    leaving = ledger.get_changes('leaving')
    for run in ledger.runs:
        late_s = run.began_at - leaving.get(run.target, float('inf'))
        if late_s > DRAIN_S + SLACK_S and _is_sent_calmly(ledger, run):
            yield f'{run.req_id} reached {run.target} after {late_s:.1f} s'


def check_ends(ledger: Ledger) -> Iterator[str]:
    """Every request has its final answer within its time."""
    for req_id, attempt in ledger.attempts.items():
        limit = attempt.sent_at + attempt.ask.timeout_s + LATE_S + SLACK_S
        is_calm = ledger.is_calm(attempt.entry, attempt.sent_at, limit)
        if is_calm and attempt.left_at is None and attempt.served_at > limit:
            yield f'{req_id} at {attempt.entry} had no answer in time'


def check_lost(ledger: Ledger) -> Iterator[str]:
    """What was read whole gets an answer, also around planned work."""
    ran = ledger.get_runs_by_request()
    for req_id, attempt in ledger.attempts.items():
        cut = attempt.ended_at and attempt.whole_at and not attempt.whole
        if not cut or ledger.is_timed_out(attempt):
            continue
        is_calm = ledger.is_calm(attempt.entry, attempt.sent_at, attempt.end)
        runs = ran.get(req_id, [])
        if is_calm and _is_lost(ledger, attempt, runs):
            yield f'{req_id} at {attempt.entry} was cut after {len(runs)} runs'


def check_graces(ledger: Ledger) -> Iterator[str]:
    """What is asked to end does so within the grace period."""
    for one in ledger.changes:
        asked_at = one.at - GRACE_S
        if one.what == 'overrun' and ledger.is_calm(one.name, asked_at, one.at):
            yield f'{one.name} was killed'


def check_gone(ledger: Ledger) -> Iterator[str]:
    """Targets stop working for callers that have left."""
    late = [
        f'{run.req_id} ran on for {over_s:.1f} s'
        for run in ledger.runs
        for over_s in _get_overtime_s(ledger, run)
    ]
    if len(late) > GONE_MOST:
        yield from late


def check_budget(ledger: Ledger) -> Iterator[str]:
    """A request that ends its targets reaches few more after the third end."""
    ends: dict[str, list[float]] = {}
    for end in ledger.ends:
        ends.setdefault(end.path, []).append(end.at)
    for path, times in ends.items():
        if len(times) < MOST_ENDS:
            continue
        known_at = sorted(times)[MOST_ENDS - 1] + CONTACT_S
        late = [
            run
            for run in ledger.runs
            if run.began_at > known_at and _is_run_of(ledger, run, path)
        ]
        if len(late) > MOST_LATE:
            yield f'{path} reached {len(late)} targets more, ended {len(times)}'


def check_limit(ledger: Ledger) -> Iterator[str]:
    """A target gets no more than it asks for, from a moment later on."""
    ends = _get_naming_ends(ledger)
    for naming, until in zip(ledger.namings, ends, strict=True):
        if naming.per_s is None:
            continue
        times = _get_calm_arrivals(ledger, naming, until)
        most = max(
            (sum(at <= one <= at + STRETCH_S for one in times) for at in times),
            default=0,
        )
        if most > OVER_SHARE * STRETCH_S * naming.per_s + OVER_COUNT:
            yield f'{naming.target} takes {naming.per_s} a second, got {most}'


def check_words(ledger: Ledger) -> Iterator[str]:
    """A target gets nothing from entries that it told that it leaves."""
    told = _get_told_leaving(ledger)
    for one in ledger.arrivals:
        entry = ledger.get_entry(one.req_id)
        told_at = told.get((entry, one.target), float('inf'))
        late_s = ledger.get_sent_at(one.req_id) - told_at
        if late_s > DRAIN_S + SLACK_S and _is_undisturbed(
            ledger, entry, one.target, told_at, one.at
        ):
            yield f'{one.req_id} reached {one.target} after {late_s:.1f} s'


def check_rests(ledger: Ledger) -> Iterator[str]:
    """A target gets no more than two requests in a rest that it asked for."""
    for rest in ledger.rests:
        entry = ledger.get_entry(rest.req_id)
        since = rest.at + REST_BINDS_S + SLACK_S
        count = sum(
            one.target == rest.target
            and since < one.at <= rest.until
            and ledger.get_entry(one.req_id) == entry
            for one in ledger.arrivals
        )
        if count > REST_COUNT and _is_undisturbed(
            ledger, entry, rest.target, rest.at, rest.until
        ):
            yield f'{rest.target} got {count} in a rest from {entry}'


def _get_told_leaving(ledger: Ledger) -> dict[tuple[str, str], float]:
    """Return when entries had first passed on that a target leaves."""
    told: dict[tuple[str, str], float] = {}
    for run in filter(lambda one: one.leaves, ledger.runs):
        attempt = ledger.attempts.get(run.req_id)
        if attempt and attempt.first_at and attempt.seal == run.seal:
            key = (attempt.entry, run.target)
            told[key] = min(told.get(key, float('inf')), attempt.first_at)
    return told


def _is_undisturbed(
    ledger: Ledger, entry: str, target: str, start: float, end: float
) -> bool:
    """Whether nothing happened to an entry and a target; the store may."""
    stopped = any(start <= at <= end for at in ledger.get_stops(entry))
    return not stopped and all(
        ledger.is_calm(name, start, end, besides=OF_THE_STORE)
        for name in (entry, target)
    )


def _get_naming_ends(ledger: Ledger) -> list[float]:
    """Return until when each number is named."""
    ends: list[float] = []
    next_at: dict[str, float] = {}
    for naming in reversed(ledger.namings):
        ends.append(next_at.get(naming.target, float('inf')))
        next_at[naming.target] = naming.at
    return list(reversed(ends))


def _get_calm_arrivals(
    ledger: Ledger, naming: Naming, until: float
) -> list[float]:
    """Return when requests came that entries in touch had sent."""
    since = naming.at + CONTACT_S
    return sorted(
        run.began_at
        for run in ledger.runs
        if run.target == naming.target
        and since <= run.began_at < until
        and _is_sender_calm(ledger, run)
    )


def _is_sender_calm(ledger: Ledger, run: Run) -> bool:
    attempt = ledger.attempts.get(run.req_id)
    if attempt is None:
        return False
    return ledger.is_calm(attempt.entry, run.began_at - CONTACT_S, run.began_at)


def _is_run_of(ledger: Ledger, run: Run, path: str) -> bool:
    """Whether a run is of a request, sent by an entry in touch."""
    attempt = ledger.attempts.get(run.req_id)
    if attempt is None or attempt.ask.path != path:
        return False
    return ledger.is_calm(attempt.entry, run.began_at, run.began_at)


def _is_sent_calmly(ledger: Ledger, run: Run) -> bool:
    """Whether the entry and the way to the target were in order."""
    attempt = ledger.attempts.get(run.req_id)
    return attempt is not None and all(
        ledger.is_calm(name, attempt.sent_at, run.began_at)
        for name in (attempt.entry, run.target)
    )


def _is_lost(ledger: Ledger, attempt: Attempt, runs: list[Run]) -> bool:
    """Whether only the entry can have cut a request."""
    if not runs:
        waited_s = attempt.end - (attempt.whole_at or attempt.end)
        return waited_s > CROSSING_S + SLACK_S and not attempt.unread
    last = max(runs, key=lambda run: run.began_at)
    ended_at = ledger.get_changes('ended').get(last.target, float('inf'))
    return (
        ledger.is_calm(last.target, last.began_at, attempt.end)
        and ended_at > attempt.end
        and not _is_past_grace(ledger, attempt, last)
    )


def _is_past_grace(ledger: Ledger, attempt: Attempt, run: Run) -> bool:
    """Whether a target took too long for an entry that was asked to end."""
    run_end = run.ended_at or float('inf')
    return any(
        attempt.sent_at <= asked_at + NOTICE_S
        and asked_at + WORK_S <= min(run_end, attempt.end)
        and attempt.end <= asked_at + GRACE_S + 1
        for asked_at in ledger.get_stops(attempt.entry)
    )


def _get_overtime_s(ledger: Ledger, run: Run) -> Iterator[float]:
    """Yield for how long a run outlived its caller's leaving, if too long."""
    attempt = ledger.attempts.get(run.req_id)
    if attempt is None or attempt.left_at is None:
        return
    over_s = (run.ended_at or float('inf')) - attempt.left_at
    seen = all(
        ledger.is_calm(name, attempt.left_at, attempt.left_at + GONE_S)
        for name in (attempt.entry, run.target)
    )
    if seen and over_s > GONE_S + SLACK_S:
        yield over_s


TIMED = (
    check_leaks,
    check_leaving,
    check_ends,
    check_lost,
    check_graces,
    check_gone,
    check_budget,
    check_limit,
    check_words,
    check_rests,
)
