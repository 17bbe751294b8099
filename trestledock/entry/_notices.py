"""
Notices from targets
====================

Records what answers, and other entries, say about a target (that it is
draining, its back-off, its rate limit, that it is cold) and logs the changes.
"""

from functools import singledispatch
from http import HTTPStatus

import anyio

from trestledock.entry import _events as events
from trestledock.entry._dialect import AnswerMetadata
from trestledock.entry._job import Job
from trestledock.entry._logger import emit
from trestledock.entry._answer_source import find_helper, find_attributed_target
from trestledock.entry._state import EntryState
from trestledock.relay import (
    NoticeChange,
    Drain,
    ListedTarget,
    Notice,
    Notices,
    Placement,
    RateLimit,
    Backoff,
    ColdStart,
    PeerBackoff,
    get_jitter_s,
)

MS = 1000
#: A limit below this share of the previous one is sent to other entries at
#: once.
URGENT_SHARE = 0.8
#: Sources in log events: a notice that this entry received itself, and one that
#: goes on for the next incarnation of its target.
OWN = 'self'
RESTART = 'restart'


def record_answer_notices(
    state: EntryState,
    job: Job,
    placement: Placement,
    status: int,
    answer: AnswerMetadata,
    asked_at: float,
) -> None:
    """Record the notices in an answer to a request sent at `asked_at`."""
    peer = placement.target.incarnation
    _record_limit(state, peer, status, answer, asked_at)
    target = find_attributed_target(state, job, placement, status, answer)
    if answer.is_draining:
        _record_drain(state, peer, target, asked_at)
    log_ignored(state, peer, 'rest', answer.backoff.invalid_text)
    if not answer.backoff.backoff_s:
        _record_backoff_end(state, target, answer, asked_at)
    elif target:
        _record_backoff(
            state, target, answer.backoff.backoff_s, status, asked_at
        )
        helper = find_helper(placement, answer.at_fault)
        if helper:
            _record_backoff(
                state, helper, answer.backoff.backoff_s, status, asked_at
            )
    else:
        log_ignored(state, peer, 'rest', 'not its own answer')


def record_order_notices(
    state: EntryState,
    holder: ListedTarget,
    status: int,
    answer: AnswerMetadata,
    asked_at: float,
) -> None:
    """Record the notices in an answer to an order to a target."""
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return
    peer = holder.incarnation
    if answer.is_draining:
        _record_drain(state, peer, peer, asked_at)
    if answer.backoff.backoff_s:
        _record_backoff(state, peer, answer.backoff.backoff_s, status, asked_at)


def _record_drain(
    state: EntryState, peer: str, target: str, asked_at: float
) -> None:
    """Record that a target is draining, and tell all other entries at once."""
    if not target:
        log_ignored(state, peer, 'leave', 'not its own answer')
        return
    notice = Drain(asked_at, anyio.current_time())
    if apply_notice(state, target, notice, OWN) is NoticeChange.learnt:
        state.send_notices(target)


def _record_limit(
    state: EntryState,
    peer: str,
    status: int,
    answer: AnswerMetadata,
    asked_at: float,
) -> None:
    """Record the rate limit of a target, in requests a second.

    An answer without a limit withdraws the previous one only if it is the
    target's own and a success: a refusal or failure may come from a component
    of the target, or from a proxy before it, that does not know the limit.
    """
    limit = answer.rate_limit
    log_ignored(state, peer, 'limit', limit.invalid_text)
    may_withdraw = answer.sealed and status < HTTPStatus.BAD_REQUEST
    if limit.per_s is None and (limit.is_present or not may_withdraw):
        return
    previous = state.notices.get(RateLimit, peer)
    notice = RateLimit(limit.per_s, asked_at, anyio.current_time())
    change = apply_notice(state, peer, notice, OWN)
    if change is not NoticeChange.nothing and _is_urgent(previous, notice):
        state.send_notices(peer)


def _record_backoff(
    state: EntryState, peer: str, backoff_s: float, status: int, asked_at: float
) -> None:
    """Record for how long a target refuses requests of this entry."""
    now = anyio.current_time()
    left_ms = _get_remaining_ms(state.notices.get(Backoff, peer))
    until = now + backoff_s + get_jitter_s(backoff_s, state.rng.random())
    change = state.notices.record(peer, Backoff(until, asked_at, now))
    if change is not NoticeChange.nothing:
        backoff_ms = round(backoff_s * MS)
        emit(events.RestHeard(peer, backoff_ms, left_ms, status, OWN))
        state.send_notices(peer)


def log_kept_backoff(notices: Notices, peer: str) -> None:
    """Log the back-off of a target that goes on after its restart."""
    left_ms = _get_remaining_ms(notices.get(Backoff, peer))
    if left_ms:
        emit(events.RestHeard(peer, left_ms, left_ms, 0, RESTART))


def _record_backoff_end(
    state: EntryState, peer: str, answer: AnswerMetadata, asked_at: float
) -> None:
    """Record that a target works again: it was sent to after its back-off."""
    backoff = state.notices.get(Backoff, peer)
    if backoff and answer.sealed and backoff.is_over(asked_at):
        state.throttle.backoffs.forget(peer)
        emit(events.RestEnded(peer, round((asked_at - backoff.until) * MS)))
        state.notify()


def apply_notice(
    state: EntryState, peer: str, notice: Notice, source: str
) -> NoticeChange:
    """Apply a notice about a target if it is news; return the change.

    A draining notice may arrive before the first record of its target.
    """
    if peer not in state.fleet.targets and not isinstance(notice, Drain):
        return NoticeChange.nothing
    before = state.notices.get(type(notice), peer)
    change = state.notices.record(peer, notice)
    if change is NoticeChange.nothing:
        return change
    emit(_make_event(notice, before, peer, change, source))
    state.notify()
    return change


@singledispatch
def _make_event(
    notice: Notice,
    before: Notice | None,
    peer: str,
    change: NoticeChange,
    source: str,
) -> events.Event:
    """Return the log event for a notice that changed something."""
    raise TypeError(f'unknown notice type: {notice!r}')


@_make_event.register
def _(
    notice: RateLimit,
    before: RateLimit | None,
    peer: str,
    change: NoticeChange,
    source: str,
) -> events.Event:
    return events.LimitHeard(
        peer=peer,
        change=change.value,
        before_per_s=before.per_s if before else None,
        per_s=notice.per_s,
        source=source,
        age_ms=_get_age_ms(notice),
    )


@_make_event.register
def _(
    notice: Drain,
    before: Drain | None,
    peer: str,
    change: NoticeChange,
    source: str,
) -> events.Event:
    return events.LeaveHeard(peer, source, _get_age_ms(notice))


@_make_event.register
def _(
    notice: PeerBackoff,
    before: PeerBackoff | None,
    peer: str,
    change: NoticeChange,
    source: str,
) -> events.Event:
    left_ms = _get_remaining_ms(before)
    return events.RestHeard(peer, _get_remaining_ms(notice), left_ms, 0, source)


@_make_event.register
def _(
    notice: ColdStart,
    before: ColdStart | None,
    peer: str,
    change: NoticeChange,
    source: str,
) -> events.Event:
    left_s = notice.until - anyio.current_time()
    return events.ColdHeard(peer, round(left_s * MS), change.value, source)


def log_send_against_notices(
    state: EntryState, req: str, placement: Placement
) -> None:
    """Log that a request goes to targets with a notice in force."""
    for target in placement.engaged_targets:
        peer = target.incarnation
        limit = state.notices.get(RateLimit, peer)
        if limit and limit.per_s is not None:
            age_s = anyio.current_time() - limit.heard_at
            emit(
                events.SentUnderLimit(
                    req=req,
                    peer=peer,
                    per_s=limit.per_s,
                    quota_per_s=round(state.throttle.get_quota(target), 3),
                    age_ms=round(age_s * MS),
                )
            )
        _log_cold(state, req, target)
        _log_against(state, req, peer)


def _log_cold(state: EntryState, req: str, target: ListedTarget) -> None:
    """Log that a request goes to a cold target."""
    cold = state.throttle.cold
    if cold.is_cold(target):
        now = anyio.current_time()
        left_ms = round(cold.get_left_s(target, now) * MS)
        quota = round(cold.get_quota(target, now), 3)
        emit(events.SentToCold(req, target.incarnation, left_ms, quota))


def _log_against(state: EntryState, req: str, peer: str) -> None:
    """Log that a request goes to a draining or backed-off target."""
    drain = state.notices.get(Drain, peer)
    backoff = state.notices.get(Backoff, peer)
    if drain:
        age_ms = _get_age_ms(drain)
        emit(events.SentAgainstNotice(req, peer, 'leave', age_ms))
    if backoff and not backoff.is_over(anyio.current_time()):
        age_ms = _get_age_ms(backoff)
        emit(events.SentAgainstNotice(req, peer, 'rest', age_ms))


def _get_remaining_ms(backoff: Backoff | None) -> int:
    """Return the remaining time of a back-off, or 0."""
    left_s = backoff.until - anyio.current_time() if backoff else 0
    return round(max(0, left_s) * MS)


def _get_age_ms(notice: Notice) -> int:
    """Return the maximum age of a notice."""
    return round((anyio.current_time() - notice.asked_at) * MS)


def _is_urgent(before: RateLimit | None, notice: RateLimit) -> bool:
    """Whether other entries must know at once, not with the next full state.

    A number that changes slightly with each answer would be sent with each.
    """
    if before is None or before.per_s is None or notice.per_s is None:
        return True
    return notice.per_s < before.per_s * URGENT_SHARE


def log_ignored(state: EntryState, peer: str, notice: str, detail: str) -> None:
    """Log an invalid notice, once for each kind and text."""
    logged = state.ignored_notices.setdefault(peer, {})
    if detail and logged.get(notice) != detail:
        logged[notice] = detail
        emit(events.NoticeIgnored(peer, notice, detail))
