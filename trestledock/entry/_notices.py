"""
Notices that targets give
=========================

Notes what answers, and other entries, say of a target (that it leaves, that it
wants rest, how many requests a second it takes) and writes down what that
changes.
"""

from functools import singledispatch
from http import HTTPStatus

import anyio

from trestledock.entry import _events as events
from trestledock.entry._dialect import AnswerMetadata
from trestledock.entry._job import Job
from trestledock.entry._logger import emit
from trestledock.entry._answer_source import find_helper, find_speaker
from trestledock.entry._state import EntryState
from trestledock.relay import (
    NoticeChange,
    Drain,
    ListedTarget,
    Notice,
    Placement,
    RateLimit,
    Backoff,
    PeerBackoff,
    get_jitter_s,
)

MS = 1000
#: A limit that falls below this part of the one before is told at once.
URGENT_SHARE = 0.8
#: Who has heard what this entry heard itself.
OWN = 'self'


def record_answer_notices(
    state: EntryState,
    job: Job,
    placement: Placement,
    status: int,
    answer: AnswerMetadata,
    asked_at: float,
) -> None:
    """Note what an answer to a request of the instant `asked_at` says."""
    peer = placement.target.incarnation
    _note_limit(state, peer, status, answer, asked_at)
    speaker = find_speaker(state, job, placement, status, answer)
    if answer.leaves:
        _note_leave(state, peer, speaker, asked_at)
    _note_ignored(state, peer, 'rest', answer.rest.invalid_text)
    if not answer.rest.backoff_s:
        _note_rested(state, speaker, answer, asked_at)
    elif speaker:
        _note_rest(state, speaker, answer.rest.backoff_s, status, asked_at)
        helper = find_helper(placement, answer.at_fault)
        if helper:
            _note_rest(state, helper, answer.rest.backoff_s, status, asked_at)
    else:
        _note_ignored(state, peer, 'rest', 'not its own answer')


def record_order_notices(
    state: EntryState,
    holder: ListedTarget,
    status: int,
    answer: AnswerMetadata,
    asked_at: float,
) -> None:
    """Note what an answer to an order says of the target that it is from."""
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return
    peer = holder.incarnation
    if answer.leaves:
        _note_leave(state, peer, peer, asked_at)
    if answer.rest.backoff_s:
        _note_rest(state, peer, answer.rest.backoff_s, status, asked_at)


def _note_leave(
    state: EntryState, peer: str, speaker: str, asked_at: float
) -> None:
    """Note that a target leaves, and have all others know at once."""
    if not speaker:
        _note_ignored(state, peer, 'leave', 'not its own answer')
        return
    notice = Drain(asked_at, anyio.current_time())
    if apply_notice(state, speaker, notice, OWN) is NoticeChange.learnt:
        state.send_notices(speaker)


def _note_limit(
    state: EntryState,
    peer: str,
    status: int,
    answer: AnswerMetadata,
    asked_at: float,
) -> None:
    """Note how many requests a second a target takes.

    An answer without a word takes a limit back only if it is the target's own
    and a success: a refusal or a failure may come from a part of it, or from
    what stands before it, that knows of no limit.
    """
    limit = answer.limit
    _note_ignored(state, peer, 'limit', limit.invalid_text)
    speaks = answer.sealed and status < HTTPStatus.BAD_REQUEST
    if limit.per_s is None and (limit.is_present or not speaks):
        return
    before = state.notices.get(RateLimit, peer)
    notice = RateLimit(limit.per_s, asked_at, anyio.current_time())
    change = apply_notice(state, peer, notice, OWN)
    if change is not NoticeChange.nothing and _is_urgent(before, notice):
        state.send_notices(peer)


def _note_rest(
    state: EntryState, peer: str, rest_s: float, status: int, asked_at: float
) -> None:
    """Note for how long a target wants nothing more from this entry."""
    now = anyio.current_time()
    left_ms = _get_left_ms(state.notices.get(Backoff, peer))
    until = now + rest_s + get_jitter_s(rest_s, state.rng.random())
    change = state.notices.record(peer, Backoff(until, asked_at, now))
    if change is not NoticeChange.nothing:
        rest_ms = round(rest_s * MS)
        emit(events.RestHeard(peer, rest_ms, left_ms, status, OWN))
        state.send_notices(peer)


def _note_rested(
    state: EntryState, peer: str, answer: AnswerMetadata, asked_at: float
) -> None:
    """Note that a target works again: it was asked after its rest."""
    rest = state.notices.get(Backoff, peer)
    if rest and answer.sealed and rest.is_over(asked_at):
        state.throttle.backoffs.forget(peer)
        emit(events.RestEnded(peer, round((asked_at - rest.until) * MS)))
        state.notify()


def apply_notice(
    state: EntryState, peer: str, notice: Notice, source: str
) -> NoticeChange:
    """Believe a notice of a target, if it is news; return what it changed.

    That a target leaves may come before its first record.
    """
    if peer not in state.fleet.targets and not isinstance(notice, Drain):
        return NoticeChange.nothing
    before = state.notices.get(type(notice), peer)
    change = state.notices.record(peer, notice)
    if change is NoticeChange.nothing:
        return change
    emit(_make_heard(notice, before, peer, change, source))
    state.notify()
    return change


@singledispatch
def _make_heard(
    notice: Notice,
    before: Notice | None,
    peer: str,
    change: NoticeChange,
    source: str,
) -> events.Event:
    """Return the line on a notice that changed what is believed."""
    raise TypeError(f'no notice: {notice!r}')


@_make_heard.register
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


@_make_heard.register
def _(
    notice: Drain,
    before: Drain | None,
    peer: str,
    change: NoticeChange,
    source: str,
) -> events.Event:
    return events.LeaveHeard(peer, source, _get_age_ms(notice))


@_make_heard.register
def _(
    notice: PeerBackoff,
    before: PeerBackoff | None,
    peer: str,
    change: NoticeChange,
    source: str,
) -> events.Event:
    left_ms = _get_left_ms(before)
    return events.RestHeard(peer, _get_left_ms(notice), left_ms, 0, source)


def log_send_against_notices(
    state: EntryState, req: str, placement: Placement
) -> None:
    """Write down that a request goes to targets that asked for something."""
    for one in placement.engaged_targets:
        peer = one.incarnation
        limit = state.notices.get(RateLimit, peer)
        if limit and limit.per_s is not None:
            age_s = anyio.current_time() - limit.heard_at
            emit(
                events.SentUnderLimit(
                    req=req,
                    peer=peer,
                    per_s=limit.per_s,
                    quota_per_s=round(state.throttle.get_quota(one), 3),
                    age_ms=round(age_s * MS),
                )
            )
        _note_against(state, req, peer)


def _note_against(state: EntryState, req: str, peer: str) -> None:
    """Write down that a request goes where nothing should."""
    leave = state.notices.get(Drain, peer)
    rest = state.notices.get(Backoff, peer)
    if leave:
        age_ms = _get_age_ms(leave)
        emit(events.SentAgainstNotice(req, peer, 'leave', age_ms))
    if rest and not rest.is_over(anyio.current_time()):
        age_ms = _get_age_ms(rest)
        emit(events.SentAgainstNotice(req, peer, 'rest', age_ms))


def _get_left_ms(rest: Backoff | None) -> int:
    """Return what is left of a rest, if there is one."""
    left_s = rest.until - anyio.current_time() if rest else 0
    return round(max(0, left_s) * MS)


def _get_age_ms(notice: Notice) -> int:
    """Return how long ago a target may have said something."""
    return round((anyio.current_time() - notice.asked_at) * MS)


def _is_urgent(before: RateLimit | None, notice: RateLimit) -> bool:
    """Whether others must know at once, not with the next whole word.

    A number that changes a little with each answer would be told as often.
    """
    if before is None or before.per_s is None or notice.per_s is None:
        return True
    return notice.per_s < before.per_s * URGENT_SHARE


def _note_ignored(
    state: EntryState, peer: str, notice: str, detail: str
) -> None:
    """Write down what is not believed, once for each kind and text."""
    known = state.ignored_notices.setdefault(peer, {})
    if detail and known.get(notice) != detail:
        known[notice] = detail
        emit(events.NoticeIgnored(peer, notice, detail))
