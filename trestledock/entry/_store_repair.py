"""
Writing again what the store has lost
=====================================

After the store came back from an older copy, the entry that reads it for others
looks once for what entries had written there, and writes what is missing:
addresses of entries, quarantined requests with their trials.  Later it records
that this epoch of the store has been waited in, for entries that start then.
"""

from typing import Callable

import anyio

from trestledock.entry import _events as events
from trestledock.entry._datagrams import join_address
from trestledock.entry._dialect import Directory
from trestledock.entry._gossip import Gossip
from trestledock.entry._isolation import STORE
from trestledock.entry._logger import emit
from trestledock.entry._store_reader import EXPECTED
from trestledock.entry._state import EntryState
from trestledock.relay import QuarantineRecord

#: The readers of several data centres don't look at the same moment: each waits
#: up to so long, in seconds, of the second in which all is to be there again.
SPREAD_S = 0.4
#: How often is looked whether this entry has become the reader, in seconds.
LOOK_S = 0.5
#: How long all calls for one thing may take, in seconds.
TIMEOUT_S = 1.0
#: Up to what age of its last read the store counts as there, in seconds: some
#: three pauses between reads.  Calls are priced, those in vain too.
THERE_S = 1.8


class Restoring:
    """Writes for one entry what a restored store lacks."""

    def __init__(
        self,
        state: EntryState,
        directory: Directory,
        gossip: Gossip,
        is_reader: Callable[[], bool],
    ) -> None:
        """Keep the store; `is_reader` says whether others rely on this one."""
        self.state = state
        self.directory = directory
        self.gossip = gossip
        self.is_reader = is_reader
        self._written: int | None = None

    async def run(self) -> None:
        """Look after each restore, and now and then, until cancelled."""
        while True:
            with anyio.move_on_after(LOOK_S):
                await self.state.restored.wait()
            if self.is_reader() and self._is_store_there():
                await self.repair()

    async def repair(self) -> None:
        """Do what is due; what fails is done at the next look."""
        try:
            with anyio.fail_after(SPREAD_S + TIMEOUT_S):
                await self._write_again()
                await self._record()
        except EXPECTED as exc:
            emit(events.StoreLost('write_again', repr(exc)))

    def _is_store_there(self) -> bool:
        now = anyio.current_time()
        return self.state.proof.get_read_age_s(now) <= THERE_S

    async def _write_again(self) -> None:
        """Write once in each epoch what its copy lacks."""
        restores = self.state.restores
        epoch = restores.epoch
        if not restores.has_lived_through or epoch == self._written:
            return
        await anyio.sleep(self.state.rng.uniform(0, SPREAD_S))
        await self._write_addresses()
        if await self._write_quarantine():
            self._written = epoch

    async def _write_addresses(self) -> None:
        announced = await self.directory.read_peers()
        self.gossip.add_addresses(announced.addresses)
        there = set(announced.addresses.values())
        missing = {
            name: address
            for name, address in self._get_addresses().items()
            if address not in there
        }
        if missing:
            await self.directory.announce(missing)
            emit(events.WrittenAgain('addresses', sorted(missing)))

    def _get_addresses(self) -> dict[str, str]:
        """Return the entries that are heard, and this one, by their names."""
        known = {
            member.partition('#')[0]: join_address(peer.address)
            for member, peer in self.gossip.peers.known.items()
        }
        settings = self.state.settings
        return {**known, settings.instance: settings.peers}

    async def _write_quarantine(self) -> bool:
        """Write what the store does not know of requests, in one call.

        Return whether it knows all now: others may write at the same moment,
        and what they know more must not be written over.
        """
        isolation = self.state.isolation
        if not any(isolation.quarantine.get_records(anyio.current_time())):
            return True
        stored = await self.directory.quarantine.read_whole()
        isolation.merge_records(stored.records, STORE)
        there = {one.fingerprint: one for one in stored.records}
        missing = [
            one
            for one in isolation.quarantine.get_records(anyio.current_time())
            if _is_missing(one, there.get(one.fingerprint))
        ]
        if not missing:
            return True
        quarantine = self.directory.quarantine
        is_written = await quarantine.write_records(missing, stored.end)
        if is_written:
            names = [one.fingerprint for one in missing]
            emit(events.WrittenAgain('quarantine', names))
        return is_written

    async def _record(self) -> None:
        """Record that an epoch was waited in, where nobody has yet."""
        restores = self.state.restores
        epoch = restores.epoch
        is_due = restores.needs_record(anyio.current_time())
        if is_due and epoch is not None:
            await self.directory.announce_settled(epoch)
            restores.set_recorded_epoch(epoch)


def _is_missing(one: QuarantineRecord, there: QuarantineRecord | None) -> bool:
    """Whether a record says more than the one that the store has."""
    if there is None:
        return True
    known = {*there.incarnations, *there.cleared}
    is_known = known.issuperset(one.incarnations)
    are_cleared = set(there.cleared).issuperset(one.cleared)
    return not is_known or not are_cleared or one.probes > there.probes
