"""
Repair of a restored store
==========================

After the store was restored from an older copy, the entry that reads it for
others checks once which data of the entries it lacks, and writes that again:
addresses of entries, and quarantined requests with their probes. Later it
records that entries have waited in this epoch of the store, for entries that
start then.
"""

from typing import Callable

import anyio

from trestledock.entry import _events as events
from trestledock.entry._datagrams import join_address
from trestledock.entry._dialect import Directory
from trestledock.entry._gossip import Gossip
from trestledock.entry._isolation import STORE
from trestledock.entry._logger import emit
from trestledock.entry._store_reader import STORE_ERRORS
from trestledock.entry._state import EntryState
from trestledock.relay import QuarantineRecord

#: Maximum random delay before a repair, in seconds, so that the readers of
#: several data centres don't repair at the same moment. It is a part of the
#: second in which all data must be back.
MAX_DELAY_S = 0.4
#: Interval of checking whether this entry has become the reader, in seconds.
CHECK_INTERVAL_S = 0.5
#: Timeout of all calls for one repair, in seconds.
TIMEOUT_S = 1.0
#: Maximum age of the last read at which the store counts as available, in
#: seconds: some three pauses between reads. Calls are charged, including failed
#: ones.
MAX_READ_AGE_S = 1.8


class Restoring:
    """Writes the data that a restored store lacks, for one entry."""

    def __init__(
        self,
        state: EntryState,
        directory: Directory,
        gossip: Gossip,
        is_reader: Callable[[], bool],
    ) -> None:
        """Take the store; `is_reader` tells if other entries rely on this."""
        self.state = state
        self.directory = directory
        self.gossip = gossip
        self.is_reader = is_reader
        self._repaired_epoch: int | None = None

    async def run(self) -> None:
        """Repair after each restore, and periodically, until cancelled."""
        while True:
            with anyio.move_on_after(CHECK_INTERVAL_S):
                await self.state.restored.wait()
            if self.is_reader() and self._is_store_available():
                await self.repair()

    async def repair(self) -> None:
        """Do what is due; a failed step is repeated at the next check."""
        try:
            with anyio.fail_after(MAX_DELAY_S + TIMEOUT_S):
                await self._repair_store()
                await self._record_settled()
        except STORE_ERRORS as exc:
            emit(events.StoreLost('write_again', repr(exc)))

    def _is_store_available(self) -> bool:
        now = anyio.current_time()
        return self.state.proof.get_read_age_s(now) <= MAX_READ_AGE_S

    async def _repair_store(self) -> None:
        """Write the data that the copy lacks, once in each epoch."""
        restores = self.state.restores
        epoch = restores.epoch
        if not restores.has_seen_restore or epoch == self._repaired_epoch:
            return
        await anyio.sleep(self.state.rng.uniform(0, MAX_DELAY_S))
        await self._write_addresses()
        if await self._write_quarantine():
            self._repaired_epoch = epoch

    async def _write_addresses(self) -> None:
        announced = await self.directory.read_peers()
        self.gossip.add_addresses(announced.addresses)
        stored = set(announced.addresses.values())
        missing = {
            name: address
            for name, address in self._get_addresses().items()
            if address not in stored
        }
        if missing:
            await self.directory.announce(missing)
            emit(events.WrittenAgain('addresses', sorted(missing)))

    def _get_addresses(self) -> dict[str, str]:
        """Return the addresses of the known entries and this one, by name."""
        known = {
            member.partition('#')[0]: join_address(peer.address)
            for member, peer in self.gossip.peers.known.items()
        }
        settings = self.state.settings
        return {**known, settings.instance: settings.peers}

    async def _write_quarantine(self) -> bool:
        """Write the quarantine records that the store lacks, in one call.

        Return whether it has them all now: other entries may write at the same
        moment, and their additional knowledge must not be overwritten.
        """
        isolation = self.state.isolation
        if not any(isolation.quarantine.get_records(anyio.current_time())):
            return True
        stored = await self.directory.quarantine.read_whole()
        isolation.merge_records(stored.records, STORE)
        by_fingerprint = {record.name: record for record in stored.records}
        missing = [
            record
            for record in isolation.quarantine.get_records(anyio.current_time())
            if _is_missing(record, by_fingerprint.get(record.name))
        ]
        if not missing:
            return True
        quarantine = self.directory.quarantine
        is_written = await quarantine.write_records(missing, stored.end)
        if is_written:
            names = [record.name for record in missing]
            emit(events.WrittenAgain('quarantine', names))
        return is_written

    async def _record_settled(self) -> None:
        """Record that entries have waited in an epoch, if not recorded yet."""
        restores = self.state.restores
        epoch = restores.epoch
        is_due = restores.needs_record(anyio.current_time())
        if is_due and epoch is not None:
            await self.directory.announce_settled(epoch)
            restores.set_recorded_epoch(epoch)


def _is_missing(
    record: QuarantineRecord, stored: QuarantineRecord | None
) -> bool:
    """Whether a record says more than the one in the store."""
    if stored is None:
        return True
    known = {*stored.incarnations, *stored.cleared}
    is_known = known.issuperset(record.incarnations)
    are_cleared = set(stored.cleared).issuperset(record.cleared)
    return not is_known or not are_cleared or record.probes > stored.probes
