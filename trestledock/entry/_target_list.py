"""
List of targets in force
========================

Takes lists of targets, from the store or from another entry, into the fleet,
and notes what changes by them.  A list and the instant that it is true for are
taken together or not at all: a young list with old entries would send work to
targets that have left.
"""

from collections import defaultdict
from typing import Iterable

import anyio

from trestledock.clock import SuspensionDetector
from trestledock.entry import _events as events
from trestledock.entry._dialect import StoreUpdate
from trestledock.entry._logger import emit
from trestledock.entry._pool import Pool
from trestledock.entry._state import EntryState
from trestledock.relay import LOWEST_ORDER, ListedTarget, RecordOrder

#: How often held targets are looked at, in seconds.
LOOK_S = 0.2
#: A look that comes so much later means that the process stood still, in
#: seconds: nobody here can tell what the store went through meanwhile.
STOOD_STILL_S = 1.0
#: Who says that a target is gone where it was held and did not come back.
LAPSED = 'lapsed'
MS = 1000


class TargetListUpdater:
    """Keeps one entry's fleet as the newest list says."""

    def __init__(self, state: EntryState, pool: Pool) -> None:
        """Keep the fleet, and the connections that end with a target."""
        self.state = state
        self.fleet = state.fleet
        self.pool = pool

    def apply(self, news: StoreUpdate) -> None:
        """Take what a list says that is true as of `news.as_of`."""
        now = anyio.current_time()
        self.state.record_list(news.as_of, now, news.source, news.latest_at)
        if news.whole:
            self._drop_missing(news, now)
        records: dict[str, list[ListedTarget | None]] = defaultdict(list)
        for one in news.targets:
            records[one.target_id].append(one.listed)
        for target_id, of_one in records.items():
            before = self.fleet.get_by_id(target_id)
            self._take_records(target_id, of_one, news, now)
            if before and self.fleet.is_superseded(before):
                self.state.isolation.record_replaced(before.incarnation)
                self._forget([before.incarnation], news.source)
        if not self.fleet.watch.is_synchronized(now):
            self._hold(news, now)

    def apply_removals(self, news: StoreUpdate) -> None:
        """Take what another entry knows of targets that have left."""
        now = anyio.current_time()
        for incarnation in news.leaving:
            self.fleet.record_draining(incarnation, now)
        dropped = self.fleet.merge_removed(news.gone)
        self._forget(dropped, news.source)

    async def run(self) -> None:
        """Drop held targets whose time is over, until cancelled."""
        looked_at = anyio.current_time()
        pauses = SuspensionDetector()
        while True:
            await anyio.sleep(LOOK_S)
            now = anyio.current_time()
            pause_s = pauses.measure()
            if pause_s:
                emit(events.Suspended(round(pause_s * MS)))
            if now - looked_at > LOOK_S + STOOD_STILL_S:
                self.fleet.watch.record_failure(now)
            looked_at = now
            self._forget(self.fleet.expire_retained(now), LAPSED)

    def _take_records(
        self,
        target_id: str,
        records: list[ListedTarget | None],
        news: StoreUpdate,
        now: float,
    ) -> None:
        """Take the records of one target, in the order of the log.

        A removal may be long past, where this entry has not read for a while,
        and a record behind it may be an old one that was written late.
        """
        past, present = _split_at_removal(records)
        if len(present) == len(records) or self._is_back(
            target_id, past, present
        ):
            for listed in present:
                self._put(listed, news)
            return
        for old in (*past, *present):
            self.fleet.record_outdated(old)
        self._drop(target_id, news, now)

    def _is_back(
        self,
        target_id: str,
        past: list[ListedTarget],
        present: list[ListedTarget],
    ) -> bool:
        """Whether a target was listed anew after its removal.

        Its records are newer then than those before the removal; where there
        are none, newer than the last one known.  And the last one known, which
        may be from others, is not newer than all of them.
        """
        known = self.fleet.get_last_order(target_id)
        newest = _get_newest(present, LOWEST_ORDER)
        return newest >= known and newest > _get_newest(past, known)

    def _hold(self, news: StoreUpdate, now: float) -> None:
        """Hold what the source holds and what was never known here.

        Whoever has followed the store for long enough knows better.
        """
        for held in news.held:
            if self.fleet.retain(held.listed, now + held.left_s):
                self._note_held(held.listed, news, now)

    def _drop_missing(self, news: StoreUpdate, now: float) -> None:
        present = {one.target_id for one in news.targets if one.listed}
        for target_id in set(self.fleet.newest) - present:
            self._drop(target_id, news, now)

    def _put(self, listed: ListedTarget, news: StoreUpdate) -> None:
        again = listed.target_id in self.fleet.removed
        if not self.fleet.put(listed):
            return
        self.state.isolation.record_listed(listed)
        emit(
            events.TargetListed(
                listed.incarnation,
                listed.service,
                listed.standing.value,
                self.fleet.is_draining(listed.incarnation),
                listed.sequence,
                news.source,
                again,
            ),
        )
        self.state.notify()

    def _drop(self, target_id: str, news: StoreUpdate, now: float) -> None:
        known = self.fleet.get_by_id(target_id)
        if known is None:
            return
        was_held = known.incarnation in self.fleet.retained
        until = self._get_grace_end(target_id, news, now)
        if self.fleet.record_removal(target_id, until, now):
            self._forget([known.incarnation], news.source)
        elif not was_held:
            self._note_held(known, news, now)

    def _get_grace_end(
        self, target_id: str, news: StoreUpdate, now: float
    ) -> float:
        """Return until when a missing target may only have lapsed.

        By own evidence alone; the source may know better when the store was
        back, or that it was never away.
        """
        watch = self.fleet.watch
        if news.settled or not watch.is_disturbed(now):
            return now
        ends = (
            now + held.left_s
            for held in news.held
            if held.listed.target_id == target_id
        )
        return next(ends, watch.grace_end)

    def _note_held(
        self, listed: ListedTarget, news: StoreUpdate, now: float
    ) -> None:
        name = listed.incarnation
        left_s = self.fleet.retained[name] - now
        emit(events.TargetHeld(name, news.source, round(left_s * MS)))

    def _forget(self, gone: list[str], source: str) -> None:
        for incarnation in gone:
            emit(events.TargetGone(incarnation, source))
            self.pool.close_idle(incarnation)
            self.state.health.targets.pop(incarnation, None)
            self.state.throttle.forget(incarnation)
            self.state.ignored_notices.pop(incarnation, None)
        if gone:
            self.state.notify()


def _split_at_removal(
    records: list[ListedTarget | None],
) -> tuple[list[ListedTarget], list[ListedTarget]]:
    """Return the records before and after the last removal, if any.

    >>> one, two = ListedTarget('t', 's', 'a'), ListedTarget('t', 's', 'b')
    >>> _split_at_removal([one, None, two]) == ([one], [two])
    True
    """
    removals = [at for at, listed in enumerate(records) if listed is None]
    split_at = removals[-1] + 1 if removals else 0
    return _drop_none(records[:split_at]), _drop_none(records[split_at:])


def _get_newest(records: list[ListedTarget], least: RecordOrder) -> RecordOrder:
    return max((listed.order for listed in records), default=least)


def _drop_none(records: Iterable[ListedTarget | None]) -> list[ListedTarget]:
    return [listed for listed in records if listed is not None]
