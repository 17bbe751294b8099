"""
Rate limits that targets name
=============================

Notes what answers, and other entries, say of how many requests a second a
target takes, and writes down what that changes.
"""

from http import HTTPStatus

import anyio

from trestledock.entry import _events as events
from trestledock.entry._dialect import AnswerNote
from trestledock.entry._logger import emit
from trestledock.entry._state import EntryState
from trestledock.relay import Change, Placement, RateLimit

MS = 1000
#: A limit that falls below this part of the one before is told at once.
URGENT_SHARE = 0.8
#: Who has heard what this entry heard itself.
OWN = 'self'


def note_answer(
    state: EntryState,
    peer: str,
    status: int,
    answer: AnswerNote,
    asked_at: float,
) -> Change:
    """Note what an answer to a request of the instant `asked_at` says.

    One without a word takes a limit back only if it is the target's own and a
    success: a refusal or a failure may come from a part of it, or from what
    stands before it, that knows of no limit.
    """
    limit = answer.limit
    if limit.unreadable:
        _note_unreadable(state, peer, limit.unreadable)
    speaks = answer.sealed and status < HTTPStatus.BAD_REQUEST
    if limit.per_s is None and (limit.is_named or not speaks):
        return Change.nothing
    before = state.rate_limits.get(peer)
    word = RateLimit(limit.per_s, asked_at, anyio.current_time())
    change = take_word(state, peer, word, OWN)
    if change is not Change.nothing and _is_urgent(before, word):
        state.tell_limit(peer)
    return change


def take_word(
    state: EntryState, peer: str, word: RateLimit, source: str
) -> Change:
    """Believe a word of a target, if it is news; return what it changed."""
    if peer not in state.fleet.targets:
        return Change.nothing
    before = state.rate_limits.get(peer)
    change = state.rate_limits.note(peer, word)
    if change is Change.nothing:
        return change
    emit(
        events.LimitHeard(
            peer=peer,
            change=change.value,
            before_per_s=before.per_s if before else None,
            per_s=word.per_s,
            source=source,
            age_ms=round((anyio.current_time() - word.asked_at) * MS),
        )
    )
    state.notify()
    return change


def note_sent(state: EntryState, req: str, placement: Placement) -> None:
    """Write down that a request goes to targets under a limit."""
    for one in (placement.target, *placement.helpers):
        limit = state.rate_limits.get(one.incarnation)
        if limit and limit.per_s is not None:
            age_s = anyio.current_time() - limit.heard_at
            emit(
                events.SentUnderLimit(
                    req=req,
                    peer=one.incarnation,
                    per_s=limit.per_s,
                    quota_per_s=round(state.throttle.get_quota(one), 3),
                    age_ms=round(age_s * MS),
                )
            )


def _is_urgent(before: RateLimit | None, word: RateLimit) -> bool:
    """Whether others must know at once, not with the next whole word.

    A number that changes a little with each answer would be told as often.
    """
    if before is None or before.per_s is None or word.per_s is None:
        return True
    return word.per_s < before.per_s * URGENT_SHARE


def _note_unreadable(state: EntryState, peer: str, detail: str) -> None:
    """Write down what makes no sense, once for each target and text."""
    if state.unreadable_limits.get(peer) != detail:
        state.unreadable_limits[peer] = detail
        emit(events.LimitIgnored(peer, detail))
