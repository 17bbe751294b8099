"""
Target list
===========

Applies lists of targets, from the store or from another entry, to the fleet and
logs the changes. A list and the instant as of which it is valid are applied
together or not at all: a recent time with outdated records would send requests
to removed targets.
"""

from collections import defaultdict
from typing import Iterable

import anyio

from trestledock.clock import SuspensionDetector
from trestledock.entry import _events as events
from trestledock.entry._cold_targets import (
    end_cold_starts,
    record_listed_cold,
)
from trestledock.entry._dialect import StoreUpdate, TargetUpdate
from trestledock.entry._logger import emit
from trestledock.entry._notices import log_kept_backoff
from trestledock.entry._pool import Pool
from trestledock.entry._state import EntryState
from trestledock.relay import LOWEST_ORDER, ListedTarget, RecordOrder

#: Interval of the check for expired retained targets, in seconds.
EXPIRY_INTERVAL_S = 0.2
#: A check that is later than this, in seconds, means that the process was
#: stopped: the store may have failed and recovered unnoticed in that time.
MAX_LATENESS_S = 1.0
#: Source in the log event for a retained target whose retention expired.
LAPSED = 'lapsed'
MS = 1000


class TargetListUpdater:
    """Keeps the fleet of one entry equal to the newest list of targets."""

    def __init__(self, state: EntryState, pool: Pool) -> None:
        """Take the state, and the pool of connections to targets."""
        self.state = state
        self.fleet = state.fleet
        self.pool = pool

    def apply(self, update: StoreUpdate) -> None:
        """Apply a list that is valid as of `update.as_of`."""
        now = anyio.current_time()
        is_first_list = self.fleet.watch.read_at == float('-inf')
        self.state.record_list(
            update.as_of, now, update.source, update.latest_at
        )
        if update.is_complete:
            self._drop_missing(update, now)
        records: dict[str, list[TargetUpdate]] = defaultdict(list)
        for record in update.targets:
            records[record.target_id].append(record)
        for target_id, of_target in records.items():
            previous = self.fleet.get_by_id(target_id)
            last_order = self.fleet.get_last_order(target_id)
            target_records = [record.listed for record in of_target]
            self._apply_records(target_id, target_records, update, now)
            record_listed_cold(
                self.state,
                of_target,
                last_order,
                update.source,
                now,
                is_first_list=is_first_list,
            )
            if previous and self.fleet.is_superseded(previous):
                self.state.isolation.record_replaced(previous.incarnation)
                self._discard([previous.incarnation], update.source)
        if not self.fleet.watch.is_synchronized(now):
            self._retain(update, now)

    def apply_removals(self, update: StoreUpdate) -> None:
        """Apply another entry's knowledge of removed and draining targets."""
        now = anyio.current_time()
        for incarnation in update.draining:
            self.fleet.record_draining(incarnation, now)
        removed = self.fleet.merge_removed(update.removed)
        self._discard(removed, update.source)

    async def run(self) -> None:
        """Remove retained targets as their time runs out, until cancelled."""
        checked_at = anyio.current_time()
        suspensions = SuspensionDetector()
        while True:
            await anyio.sleep(EXPIRY_INTERVAL_S)
            now = anyio.current_time()
            pause_s = suspensions.measure()
            if pause_s:
                emit(events.Suspended(round(pause_s * MS)))
            if now - checked_at > EXPIRY_INTERVAL_S + MAX_LATENESS_S:
                self.fleet.watch.record_failure(now)
            checked_at = now
            self._discard(self.fleet.expire_retained(now), LAPSED)
            end_cold_starts(self.state, now)

    def _apply_records(
        self,
        target_id: str,
        records: list[ListedTarget | None],
        update: StoreUpdate,
        now: float,
    ) -> None:
        """Apply the records of one target, in the order of the log.

        A removal may be long past if this entry has not read for a while, and a
        record after it may be an old one that was written late.
        """
        before_removal, after_removal = _split_at_removal(records)
        if len(after_removal) == len(records) or self._is_listed_again(
            target_id, before_removal, after_removal
        ):
            for listed in after_removal:
                self._put(listed, update)
            return
        for old in (*before_removal, *after_removal):
            self.fleet.record_outdated(old)
        self._drop(target_id, update, now)

    def _is_listed_again(
        self,
        target_id: str,
        before_removal: list[ListedTarget],
        after_removal: list[ListedTarget],
    ) -> bool:
        """Whether a target was listed again after its removal.

        If so, its records are newer than those before the removal or, if there
        are none, than the last known one. The last known one, which may come
        from other entries, must not be newer than all of them.
        """
        known = self.fleet.get_last_order(target_id)
        newest = _get_newest(after_removal, LOWEST_ORDER)
        return newest >= known and newest > _get_newest(before_removal, known)

    def _retain(self, update: StoreUpdate, now: float) -> None:
        """Retain the targets that the source retains and that are unknown here.

        An entry that has followed the store for long enough relies on its own
        knowledge instead.
        """
        for retained in update.retained:
            if self.fleet.retain(retained.listed, now + retained.left_s):
                self._log_retained(retained.listed, update, now)

    def _drop_missing(self, update: StoreUpdate, now: float) -> None:
        present = {
            record.target_id for record in update.targets if record.listed
        }
        for target_id in set(self.fleet.newest) - present:
            self._drop(target_id, update, now)

    def _put(self, listed: ListedTarget, update: StoreUpdate) -> None:
        again = listed.target_id in self.fleet.removed
        is_new = listed.incarnation not in self.fleet.targets
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
                update.source,
                again,
            ),
        )
        if is_new:
            log_kept_backoff(self.fleet.notices, listed.incarnation)
        self.state.notify()

    def _drop(self, target_id: str, update: StoreUpdate, now: float) -> None:
        known = self.fleet.get_by_id(target_id)
        if known is None:
            return
        was_retained = known.incarnation in self.fleet.retained
        retained_until = self._get_retention_end(target_id, update, now)
        if self.fleet.record_removal(target_id, retained_until, now):
            self._discard([known.incarnation], update.source)
        elif not was_retained:
            self._log_retained(known, update, now)

    def _get_retention_end(
        self, target_id: str, update: StoreUpdate, now: float
    ) -> float:
        """Return until when a missing target's record may only have lapsed.

        The time comes from local evidence alone, unless the source knows when
        the store was back, or that it never failed.
        """
        watch = self.fleet.watch
        if update.is_synchronized or not watch.is_disturbed(now):
            return now
        end_times = (
            now + retained.left_s
            for retained in update.retained
            if retained.listed.target_id == target_id
        )
        return next(end_times, watch.grace_end)

    def _log_retained(
        self, listed: ListedTarget, update: StoreUpdate, now: float
    ) -> None:
        name = listed.incarnation
        left_s = self.fleet.retained[name] - now
        emit(events.TargetHeld(name, update.source, round(left_s * MS)))

    def _discard(self, incarnations: list[str], source: str) -> None:
        for incarnation in incarnations:
            emit(events.TargetGone(incarnation, source))
            self.pool.close_idle(incarnation)
            self.state.health.targets.pop(incarnation, None)
            self.state.throttle.forget(incarnation)
            self.state.ignored_notices.pop(incarnation, None)
        if incarnations:
            self.state.notify()


def _split_at_removal(
    records: list[ListedTarget | None],
) -> tuple[list[ListedTarget], list[ListedTarget]]:
    """Return the records before and after the last removal, if any.

    >>> first = ListedTarget('t', 's', 'a')
    >>> second = ListedTarget('t', 's', 'b')
    >>> _split_at_removal([first, None, second]) == ([first], [second])
    True
    """
    removal_indices = [
        index for index, listed in enumerate(records) if listed is None
    ]
    split_at = removal_indices[-1] + 1 if removal_indices else 0
    return _drop_none(records[:split_at]), _drop_none(records[split_at:])


def _get_newest(
    records: list[ListedTarget], default: RecordOrder
) -> RecordOrder:
    return max((listed.order for listed in records), default=default)


def _drop_none(records: Iterable[ListedTarget | None]) -> list[ListedTarget]:
    return [listed for listed in records if listed is not None]
