"""
Synchronization of the quarantine
=================================

The platform's store remembers which requests are quarantined, for entries that
start later, or if all entries stop at once. Only a few records for each such
request and one for each probe are written. The entry that reads the store for
others waits for new records in a long poll, which costs a call every few
seconds; the others get them with the list of targets.
"""

from dataclasses import replace
from typing import Callable, Sequence

import anyio

from trestledock.entry import _events as events
from trestledock.entry._dialect import QuarantineStore
from trestledock.entry._isolation import STORE
from trestledock.entry._logger import emit
from trestledock.entry._store_reader import STORE_ERRORS
from trestledock.entry._state import EntryState
from trestledock.relay import QuarantineRecord

#: Duration of one long poll, in seconds: an open connection may go silent for
#: good, and its timeout ends two seconds later.
POLL_TIMEOUT_S = 5.0
#: Time allowed for a call in addition to its wait, in seconds.
TIMEOUT_S = 1.0
#: Delay after a failed call, in seconds: the initial one, which doubles with
#: each failure, and the maximum. Each call is charged, including refused ones.
MIN_RETRY_S = 1.0
MAX_RETRY_S = 8.0
#: Minimum interval between claims of the right to probe, in seconds: a
#: quarantined request may arrive many times a second, and each call is charged.
MIN_CLAIM_INTERVAL_S = 2.0
#: Interval of checking whether this entry has become the reader, in seconds.
CHECK_INTERVAL_S = 0.5


class Keeping:
    """Reads and writes the quarantine for one entry."""

    def __init__(
        self,
        state: EntryState,
        store: QuarantineStore,
        is_reader: Callable[[], bool],
    ) -> None:
        """Take the store; `is_reader` tells if this entry reads for others."""
        self.state = state
        self.isolation = state.isolation
        self.store = store
        self.is_reader = is_reader
        self._failures = 0
        self._next_claim_at = float('-inf')
        self.isolation.hooks.claim = self.claim

    async def run(self) -> None:
        """Read and write until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._write)

    async def claim(self, records: Sequence[QuarantineRecord]) -> bool:
        """Claim the right to probe some names; refused without the store."""
        now = anyio.current_time()
        if now < self._next_claim_at:
            return False
        self._next_claim_at = now + MIN_CLAIM_INTERVAL_S
        try:
            with anyio.fail_after(TIMEOUT_S):
                return await self._claim(records)
        except STORE_ERRORS as exc:
            emit(events.StoreLost('claim_trial', repr(exc)))
            return False

    async def _claim(self, records: Sequence[QuarantineRecord]) -> bool:
        """Write that names are probed now, unless another entry wrote first.

        Of several claims one succeeds, because each is valid only if the
        records still end where they were read to. After a restore of the store
        no claim succeeds until the other entries have had time to save their
        probes again.
        """
        stored = await self.store.read_whole()
        now = anyio.current_time()
        self.state.record_epoch(stored.end.epoch, now)
        if not self.state.restores.is_complete(now):
            return False
        names = {record.name for record in records}
        for stored_record in stored.records:
            if stored_record.name in names and not stored_record.is_probe_due:
                return False
        probed = [
            replace(record, age_s=0, probes=record.probes + 1)
            for record in records
        ]
        return await self.store.write_records(probed, stored.end)

    async def _follow(self) -> None:
        while True:
            if self.is_reader():
                await self._read()
            else:
                await anyio.sleep(CHECK_INTERVAL_S)

    async def _read(self) -> None:
        try:
            with anyio.fail_after(POLL_TIMEOUT_S + TIMEOUT_S):
                records = await self.store.read_records(POLL_TIMEOUT_S)
        except STORE_ERRORS as exc:
            await self._pause('read_records', exc)
            return
        self._failures = 0
        self.isolation.merge_records(records, STORE)

    async def _write(self) -> None:
        while True:
            await self.isolation.unsaved_added.wait()
            records = self.isolation.pop_unsaved()
            try:
                with anyio.fail_after(TIMEOUT_S):
                    await self.store.write_records(records)
            except STORE_ERRORS as exc:
                self.isolation.requeue_unsaved(records)
                await self._pause('write_records', exc)

    async def _pause(self, step: str, exc: Exception) -> None:
        if not self._failures:
            emit(events.StoreLost(step, repr(exc)))
        wait_s = min(MAX_RETRY_S, MIN_RETRY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        await anyio.sleep(wait_s)
