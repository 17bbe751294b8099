"""
Keeping the quarantine
======================

The platform's store remembers which requests are quarantined, for entries that
start later, or when all have ended at the same moment.  Nothing else is
written: some records for each such request, and one for each trial.  Whoever
reads the store for others waits in one long call for what is new, which costs a
call each few seconds; the others are told with the list of targets.
"""

from dataclasses import replace
from typing import Callable

import anyio

from trestledock.entry import _events as events
from trestledock.entry._dialect import QuarantineStore
from trestledock.entry._isolation import STORE
from trestledock.entry._logger import emit
from trestledock.entry._store_reader import EXPECTED
from trestledock.entry._state import EntryState
from trestledock.relay import QuarantineRecord

#: How long one read waits for something new, in seconds: an open connection may
#: fall silent for good, and its time-out ends another two seconds later.
WAIT_S = 5.0
#: How long a call may take beside that, in seconds.
TIMEOUT_S = 1.0
#: After a call in vain the next one comes so much later, in seconds: at first,
#: and at most as that doubles.  Each call has a price, a refused one too.
RETRY_S = 1.0
RETRY_MOST_S = 8.0
#: How often an entry asks for the right to a trial at most, in seconds: what is
#: quarantined may come many times a second, and each call has a price.
CLAIM_S = 2.0
#: How often is looked whether this entry reads the store by now, in seconds.
LOOK_S = 0.5


class Keeping:
    """Reads and writes the quarantine for one entry."""

    def __init__(
        self,
        state: EntryState,
        store: QuarantineStore,
        is_reader: Callable[[], bool],
    ) -> None:
        """Keep the store; `is_reader` says whether others are told by it."""
        self.state = state
        self.isolation = state.isolation
        self.store = store
        self.is_reader = is_reader
        self._vain = 0
        self._claim_at = float('-inf')
        self.isolation.hooks.claim = self.claim

    async def run(self) -> None:
        """Read and write until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._write)

    async def claim(self, record: QuarantineRecord) -> bool:
        """Take the right to try a request; nobody has it without the store."""
        now = anyio.current_time()
        if now < self._claim_at:
            return False
        self._claim_at = now + CLAIM_S
        try:
            with anyio.fail_after(TIMEOUT_S):
                return await self._claim(record)
        except EXPECTED as exc:
            emit(events.StoreLost('claim_trial', repr(exc)))
            return False

    async def _claim(self, record: QuarantineRecord) -> bool:
        """Write that a request is tried now, unless somebody else wrote.

        Of several claims one succeeds: each holds only where the records still
        end where they were read to.  After a restore of the store there is none
        until others have had the time to write again what they tried.
        """
        stored = await self.store.read_whole()
        now = anyio.current_time()
        self.state.record_epoch(stored.end.epoch, now)
        if not self.state.restores.is_complete(now):
            return False
        for known in stored.records:
            if (
                known.fingerprint == record.fingerprint
                and not known.is_probe_due
            ):
                return False
        tried = replace(record, age_s=0, probes=record.probes + 1)
        return await self.store.write_records([tried], stored.end)

    async def _follow(self) -> None:
        while True:
            if self.is_reader():
                await self._read()
            else:
                await anyio.sleep(LOOK_S)

    async def _read(self) -> None:
        try:
            with anyio.fail_after(WAIT_S + TIMEOUT_S):
                records = await self.store.read_records(WAIT_S)
        except EXPECTED as exc:
            await self._pause('read_records', exc)
            return
        self._vain = 0
        self.isolation.merge_records(records, STORE)

    async def _write(self) -> None:
        while True:
            await self.isolation.unsaved_added.wait()
            records = self.isolation.pop_unsaved()
            try:
                with anyio.fail_after(TIMEOUT_S):
                    await self.store.write_records(records)
            except EXPECTED as exc:
                self.isolation.requeue_unsaved(records)
                await self._pause('write_records', exc)

    async def _pause(self, step: str, exc: Exception) -> None:
        if not self._vain:
            emit(events.StoreLost(step, repr(exc)))
        wait_s = min(RETRY_MOST_S, RETRY_S * 2**self._vain)
        self._vain = min(self._vain + 1, 10)
        await anyio.sleep(wait_s)
