"""
Timed checks
============

Promises with a bound in time.  Whether they hold depends on how busy the
machine is, too, so they are left out where a run must give the same verdict
every time.
"""

from typing import Iterator

from tests.soak.entries import GRACE_S
from tests.soak.ledger import (
    CONTACT_TIMEOUT_S,
    RequestRecord,
    Ledger,
    LimitChange,
    Run,
)

OK_STATUS = 200
#: The bound of the settings on targets that leave, in seconds.
DRAIN_TIMEOUT_S = 2.0
#: What is allowed after a route's time is over, in seconds.
ANSWER_MARGIN_S = 0.5
#: What the driver itself may add, in seconds.
DRIVER_MARGIN_S = 0.3
#: How long a request may cross the end of its connection, in seconds
#: (`lossSlackMs` of the settings).
CLOSE_RACE_S = 0.2
#: Until when a target must have done its work for an entry that ends, in
#: seconds, and for requests sent until when (the bounds on graceful ends).
TARGET_WORK_S = GRACE_S * 5 / 6
DRAIN_NOTICE_S = 3.0
#: A target that still works so long after its caller left was not told.
CANCEL_TIMEOUT_S = 0.5
#: How many late cancellations in a run are still no pattern.
MAX_LATE_CANCELLATIONS = 3
#: So many targets may end under a request, and so many more may get it later
#: than an entry needs to be in touch.
MIN_CRASHES = 3
MAX_LATE_RUNS = 3
#: In such a stretch a target that asks for fewer requests may get so many times
#: as many, and so many more.
WINDOW_S = 4.0
LIMIT_TOLERANCE = 1.5
LIMIT_BURST = 5
#: From so long after a target has asked for rest, in seconds, so many requests
#: may come from the entry until the rest is over.
BACKOFF_DELAY_S = 0.5
MAX_IN_BACKOFF = 2
#: Faults that excuse nothing where a target has told an entry something itself.
STORE_FAULTS = ('store_down', 'cut_store', 'reset_store', 'restore_store')


def check_leaks(ledger: Ledger) -> Iterator[str]:
    """Memory that nobody uses is given back."""
    yield from ledger.reservation_leaks


def check_leaving(ledger: Ledger) -> Iterator[str]:
    """A target that leaves gets nothing new after a moment."""
    leaving = ledger.get_changes('leaving')
    for run in ledger.runs:
        late_s = run.began_at - leaving.get(run.target, float('inf'))
        if late_s > DRAIN_TIMEOUT_S + DRIVER_MARGIN_S and _was_path_undisturbed(
            ledger, run
        ):
            yield f'{run.req_id} reached {run.target} after {late_s:.1f} s'


def check_ends(ledger: Ledger) -> Iterator[str]:
    """Every request has its final answer within its time."""
    for req_id, request in ledger.requests.items():
        limit = (
            request.sent_at
            + request.ask.timeout_s
            + ANSWER_MARGIN_S
            + DRIVER_MARGIN_S
        )
        is_undisturbed = ledger.is_undisturbed(
            request.entry, request.sent_at, limit
        )
        if (
            is_undisturbed
            and request.left_at is None
            and request.served_at > limit
        ):
            yield f'{req_id} at {request.entry} had no answer in time'


def check_lost(ledger: Ledger) -> Iterator[str]:
    """What was read whole gets an answer, also around planned work."""
    ran = ledger.get_runs_by_request()
    for req_id, request in ledger.requests.items():
        cut = request.ended_at and request.whole_at and not request.whole
        if not cut or ledger.may_have_timed_out(request):
            continue
        is_undisturbed = ledger.is_undisturbed(
            request.entry, request.sent_at, request.end
        )
        runs = ran.get(req_id, [])
        if is_undisturbed and _is_lost(ledger, request, runs):
            yield f'{req_id} at {request.entry} was cut after {len(runs)} runs'


def check_graces(ledger: Ledger) -> Iterator[str]:
    """What is asked to end does so within the grace period."""
    for one in ledger.changes:
        asked_at = one.at - GRACE_S
        if one.what == 'overrun' and ledger.is_undisturbed(
            one.name, asked_at, one.at
        ):
            yield f'{one.name} was killed'


def check_gone(ledger: Ledger) -> Iterator[str]:
    """Targets stop working for callers that have left."""
    late = [
        f'{run.req_id} ran on for {delay_s:.1f} s'
        for run in ledger.runs
        for delay_s in _get_cancel_delay_s(ledger, run)
    ]
    if len(late) > MAX_LATE_CANCELLATIONS:
        yield from late


def check_budget(ledger: Ledger) -> Iterator[str]:
    """A request that ends its targets reaches few more after the third end."""
    end_times: dict[str, list[float]] = {}
    for end in ledger.crashes:
        end_times.setdefault(end.path, []).append(end.at)
    for path, times in end_times.items():
        if len(times) < MIN_CRASHES:
            continue
        known_at = sorted(times)[MIN_CRASHES - 1] + CONTACT_TIMEOUT_S
        late = [
            run
            for run in ledger.runs
            if run.began_at > known_at
            and _is_undisturbed_run_of(ledger, run, path)
        ]
        if len(late) > MAX_LATE_RUNS:
            yield f'{path} reached {len(late)} targets more, ended {len(times)}'


def check_limit(ledger: Ledger) -> Iterator[str]:
    """A target gets no more than it asks for, from a moment later on."""
    end_times = _get_limit_end_times(ledger)
    for change, until in zip(
        ledger.limit_changes, end_times, strict=True
    ):
        if change.per_s is None:
            continue
        times = _get_undisturbed_arrivals(ledger, change, until)
        most = max(
            (sum(at <= one <= at + WINDOW_S for one in times) for at in times),
            default=0,
        )
        if most > LIMIT_TOLERANCE * WINDOW_S * change.per_s + LIMIT_BURST:
            yield f'{change.target} takes {change.per_s} a second, got {most}'


def check_words(ledger: Ledger) -> Iterator[str]:
    """A target gets nothing from entries that it told that it leaves."""
    told_at_by_entry = _get_drain_times(ledger)
    for one in ledger.arrivals:
        entry = ledger.get_entry(one.req_id)
        told_at = told_at_by_entry.get((entry, one.target), float('inf'))
        late_s = ledger.get_sent_at(one.req_id) - told_at
        if (
            late_s > DRAIN_TIMEOUT_S + DRIVER_MARGIN_S
            and _is_undisturbed_except_store(
                ledger, entry, one.target, told_at, one.at
            )
        ):
            yield f'{one.req_id} reached {one.target} after {late_s:.1f} s'


def check_rests(ledger: Ledger) -> Iterator[str]:
    """A target gets no more than two requests in a rest that it asked for."""
    for backoff in ledger.backoffs:
        entry = ledger.get_entry(backoff.req_id)
        since = backoff.at + BACKOFF_DELAY_S + DRIVER_MARGIN_S
        count = sum(
            one.target == backoff.target
            and since < one.at <= backoff.until
            and ledger.get_entry(one.req_id) == entry
            for one in ledger.arrivals
        )
        if count > MAX_IN_BACKOFF and _is_undisturbed_except_store(
            ledger, entry, backoff.target, backoff.at, backoff.until
        ):
            yield f'{backoff.target} got {count} in a rest from {entry}'


def _get_drain_times(ledger: Ledger) -> dict[tuple[str, str], float]:
    """Return when entries had first passed on that a target leaves."""
    told_at_by_entry: dict[tuple[str, str], float] = {}
    for run in filter(lambda one: one.leaves, ledger.runs):
        request = ledger.requests.get(run.req_id)
        if request and request.first_at and request.seal == run.seal:
            key = (request.entry, run.target)
            told_at_by_entry[key] = min(
                told_at_by_entry.get(key, float('inf')), request.first_at
            )
    return told_at_by_entry


def _is_undisturbed_except_store(
    ledger: Ledger, entry: str, target: str, start: float, end: float
) -> bool:
    """Whether nothing happened to an entry and a target; the store may."""
    stopped = any(start <= at <= end for at in ledger.get_stop_times(entry))
    return not stopped and all(
        ledger.is_undisturbed(name, start, end, ignored_kinds=STORE_FAULTS)
        for name in (entry, target)
    )


def _get_limit_end_times(ledger: Ledger) -> list[float]:
    """Return until when each number is named."""
    end_times: list[float] = []
    next_at: dict[str, float] = {}
    for limit_change in reversed(ledger.limit_changes):
        end_times.append(next_at.get(limit_change.target, float('inf')))
        next_at[limit_change.target] = limit_change.at
    return list(reversed(end_times))


def _get_undisturbed_arrivals(
    ledger: Ledger, limit_change: LimitChange, until: float
) -> list[float]:
    """Return when requests came that entries in touch had sent."""
    since = limit_change.at + CONTACT_TIMEOUT_S
    return sorted(
        run.began_at
        for run in ledger.runs
        if run.target == limit_change.target
        and since <= run.began_at < until
        and _was_sender_undisturbed(ledger, run)
    )


def _was_sender_undisturbed(ledger: Ledger, run: Run) -> bool:
    request = ledger.requests.get(run.req_id)
    if request is None:
        return False
    return ledger.is_undisturbed(
        request.entry, run.began_at - CONTACT_TIMEOUT_S, run.began_at
    )


def _is_undisturbed_run_of(ledger: Ledger, run: Run, path: str) -> bool:
    """Whether a run is of a request, sent by an entry in touch."""
    request = ledger.requests.get(run.req_id)
    if request is None or request.ask.path != path:
        return False
    return ledger.is_undisturbed(request.entry, run.began_at, run.began_at)


def _was_path_undisturbed(ledger: Ledger, run: Run) -> bool:
    """Whether the entry and the way to the target were in order."""
    request = ledger.requests.get(run.req_id)
    return request is not None and all(
        ledger.is_undisturbed(name, request.sent_at, run.began_at)
        for name in (request.entry, run.target)
    )


def _is_lost(ledger: Ledger, request: RequestRecord, runs: list[Run]) -> bool:
    """Whether only the entry can have cut a request."""
    if not runs:
        waited_s = request.end - (request.whole_at or request.end)
        return waited_s > CLOSE_RACE_S + DRIVER_MARGIN_S and not request.unread
    last = max(runs, key=lambda run: run.began_at)
    ended_at = ledger.get_changes('ended').get(last.target, float('inf'))
    return (
        ledger.is_undisturbed(last.target, last.began_at, request.end)
        and ended_at > request.end
        and not _exceeds_grace_period(ledger, request, last)
    )


def _exceeds_grace_period(
    ledger: Ledger, request: RequestRecord, run: Run
) -> bool:
    """Whether a target took too long for an entry that was asked to end."""
    run_end = run.ended_at or float('inf')
    return any(
        request.sent_at <= asked_at + DRAIN_NOTICE_S
        and asked_at + TARGET_WORK_S <= min(run_end, request.end)
        and request.end <= asked_at + GRACE_S + 1
        for asked_at in ledger.get_stop_times(request.entry)
    )


def _get_cancel_delay_s(ledger: Ledger, run: Run) -> Iterator[float]:
    """Yield for how long a run outlived its caller's leaving, if too long."""
    request = ledger.requests.get(run.req_id)
    if request is None or request.left_at is None:
        return
    delay_s = (run.ended_at or float('inf')) - request.left_at
    seen = all(
        ledger.is_undisturbed(
            name, request.left_at, request.left_at + CANCEL_TIMEOUT_S
        )
        for name in (request.entry, run.target)
    )
    if seen and delay_s > CANCEL_TIMEOUT_S + DRIVER_MARGIN_S:
        yield delay_s


TIMED_CHECKS = (
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
