"""
Cold targets
============

Records that a target is cold, as known from its record, its answers, a new
incarnation, another entry or the end of an evacuation, and ends cold times that
are over.  Nothing is recorded without bounds on cold targets in the
settings.
"""

from typing import Sequence

import anyio

from trestledock.entry import _events as events
from trestledock.entry._dialect import ColdTime, TargetUpdate
from trestledock.entry._isolation import STORE
from trestledock.entry._logger import emit
from trestledock.entry._notices import OWN, apply_notice, log_ignored
from trestledock.entry._state import EntryState
from trestledock.relay import (
    LOWEST_ORDER,
    MAX_COLD_S,
    ColdStart,
    ListedTarget,
    NoticeChange,
    RecordOrder,
)

#: A later end by less than this, in seconds, isn't news: each record of a cold
#: target is read with another delay.  The end that is known first is late
#: enough, since it counts from the read of the record.
MIN_CHANGE_S = 0.25
#: Sources in log events: a new incarnation, and the end of an evacuation.
START = 'start'
EVACUATION = 'evacuation'


def record_cold_time(
    state: EntryState,
    peer: str,
    cold: ColdTime,
    asked_at: float,
    source: str = OWN,
) -> bool:
    """Record what a target's answer or record says about its cold time.

    Return whether it has a valid one.  The others are informed by the entry
    that got the record or answer itself, not by those that it passed it on to.
    """
    now = anyio.current_time()
    if state.settings.cold_bounds is None:
        return False
    left_s = cold.left_s or 0
    is_valid = 0 <= left_s <= MAX_COLD_S
    log_ignored(
        state, peer, 'cold', cold.invalid_text if is_valid else f'{left_s} s'
    )
    if is_valid and left_s:
        is_shared = source != OWN
        notice = ColdStart(now + left_s, now, asked_at, now, is_shared)
        if apply_cold_start(state, peer, notice, source) and not is_shared:
            state.send_notices(peer)
    return is_valid and cold.left_s is not None


def record_listed_cold(
    state: EntryState,
    records: Sequence[TargetUpdate],
    last_order: RecordOrder,
    source: str,
    now: float,
    *,
    is_first_list: bool,
) -> None:
    """Record what the records of one target say about its cold time.

    Its last record before had `last_order`.  An incarnation that is new in the
    list, and that doesn't say how long it is cold, has just started.
    """
    if state.settings.cold_bounds is None:
        return
    listed = state.fleet.get_by_id(records[0].target_id)
    if listed is None:
        return
    of_incarnation = [
        record.cold
        for record in records
        if record.listed and record.listed.incarnation == listed.incarnation
    ]
    if not of_incarnation:
        return
    reporter = OWN if source == STORE else source
    if record_cold_time(
        state, listed.incarnation, of_incarnation[-1], now, reporter
    ):
        return
    is_new = last_order == LOWEST_ORDER or listed.born > last_order[0]
    if is_new and not is_first_list:
        _record_start(state, listed, START, now)


def record_cold_return(state: EntryState, data_centre: str, now: float) -> None:
    """Record that all targets of a data centre are cold from now on.

    All entries learn by themselves that an evacuation has ended.
    """
    for listed in tuple(state.fleet.targets.values()):
        if listed.data_centre == data_centre:
            _record_start(state, listed, EVACUATION, now)


def apply_cold_start(
    state: EntryState, peer: str, notice: ColdStart, source: str
) -> bool:
    """Apply a cold start if it ends later than known; return whether it did."""
    listed = state.fleet.targets.get(peer)
    if listed is None or not state.may_be_cold(listed):
        return False
    before = state.notices.get(ColdStart, peer)
    if before and notice.until < before.until + MIN_CHANGE_S:
        return False
    change = apply_notice(state, peer, notice, source)
    return change is not NoticeChange.nothing


def end_cold_starts(state: EntryState, now: float) -> None:
    """Forget the cold starts that are over, and wake what waits for them."""
    ended = [
        peer
        for peer, notice in state.notices.get_all(ColdStart).items()
        if notice.is_over(now)
    ]
    for peer in ended:
        state.throttle.cold.forget(peer)
        emit(events.ColdEnded(peer))
    if ended:
        state.notify()


def _record_start(
    state: EntryState, listed: ListedTarget, source: str, now: float
) -> None:
    """Record that a target is cold from now on, as all entries find."""
    limit = state.get_cold_limit(listed.service)
    if limit:
        until = now + limit.service.start_s
        notice = ColdStart(until, now, now, now, is_shared=True)
        apply_cold_start(state, listed.incarnation, notice, source)
