"""
Store reader
============

Reads configuration, targets and peers from the platform's store and applies
them. While the store is unavailable a single call checks whether it is back, as
each call is charged, including refused ones.
"""

from dataclasses import replace
from typing import Awaitable, Callable

import anyio

from trestledock.entry import _events as events
from trestledock.entry._dialect import Directory, StoreUpdate
from trestledock.entry._evacuations import apply_evacuations
from trestledock.entry._isolation import STORE
from trestledock.entry._target_list import TargetListUpdater
from trestledock.entry._logger import emit
from trestledock.entry._metrics import METRICS
from trestledock.entry._update_exchange import UpdateExchange
from trestledock.entry._state import EntryState
from trestledock.entry._wire import WireError
from trestledock.relay import EvacuationList

#: Timeout of one read, in seconds.
TIMEOUT_S = 0.8


class DirectoryError(Exception):
    """Raised for an invalid answer of the store."""


class DocumentError(DirectoryError):
    """Raised for an invalid configuration; `rest` is what else was read."""

    def __init__(self, detail: str, rest: StoreUpdate) -> None:
        """Set the detail and the rest of the update."""
        super().__init__(detail)
        self.rest = rest


#: Exceptions that a read raises while the store is unavailable.
STORE_ERRORS = (WireError, DirectoryError, TimeoutError)


class StoreReader:
    """Reads the store for one entry; `failed_at` is the last failed read."""

    def __init__(
        self,
        state: EntryState,
        directory: Directory,
        target_list: TargetListUpdater,
        exchange: UpdateExchange,
    ) -> None:
        """Take the store and the state that reads are applied to."""
        self.state = state
        self.directory = directory
        self.target_list = target_list
        self.exchange = exchange
        self.failed_at = float('-inf')
        self._failed_steps: set[str] = set()
        self._last_read_at = float('-inf')
        self._steps = [self._read_targets, self._read_catalog]

    async def read(self) -> None:
        """Read all or, while the store is unavailable, try a single call.

        The kind of that call alternates, since a part of the store may be back
        first.
        """
        began_at = anyio.current_time()
        if self.is_unavailable():
            self._steps.reverse()
            if await self._try(self._steps[0]):
                await self._try(self._steps[1])
        else:
            async with anyio.create_task_group() as group:
                for step in self._steps:
                    group.start_soon(self._try, step)
        if self.is_unavailable():
            self.failed_at = began_at
        else:
            self.exchange.gossip.announce_read()

    def is_unavailable(self) -> bool:
        """Whether the last read of configuration or targets failed."""
        return any(step.__name__ in self._failed_steps for step in self._steps)

    async def announce(self) -> bool:
        """Publish the own address; return whether the store answered."""
        return await self._try(self._announce)

    async def update_peers(self) -> bool:
        """Read the other entries' addresses; return whether that succeeded."""
        return await self._try(self._meet_peers)

    def apply(self, update: StoreUpdate) -> None:
        """Apply a version of the configuration if it is newer."""
        catalog = update.catalog
        if catalog is None and update.document:
            catalog = self.directory.decode_document(update.document)
        current = self.state.catalog
        if catalog and (current is None or catalog.version > current.version):
            self.state.catalog = catalog
            self.state.document = update.document
            source = 'store' if update.catalog else 'peer'
            emit(events.VersionApplied(catalog.version, source))

    async def _try(self, read: Callable[[], Awaitable[None]]) -> bool:
        """Read; return whether the store answered."""
        step = read.__name__
        began_at = anyio.current_time()
        try:
            with anyio.fail_after(TIMEOUT_S):
                await read()
        except STORE_ERRORS as exc:
            self.state.fleet.watch.record_failure(began_at)
            self._log_failure(step, exc)
            return False
        except Exception:
            emit(events.Failed(step), failed=True)
            return False
        METRICS.observe('store_read', anyio.current_time() - began_at)
        self._log_recovery(step)
        return True

    async def _read_catalog(self) -> None:
        asked_at = anyio.current_time()
        try:
            update = await self.directory.read_catalog()
        except DocumentError as exc:
            self._record_epoch()
            self._apply_evacuations(exc.rest, asked_at)
            raise
        self._record_epoch()
        self._apply_evacuations(update, asked_at)
        self.apply(update)
        self.state.proof.record_read(asked_at)
        if update.epoch == self.state.restores.epoch:
            self._last_read_at = asked_at
            self._renew_proof()

    def _apply_evacuations(self, update: StoreUpdate, asked_at: float) -> None:
        """Apply the evacuated data centres of a read.

        A copy of the store older than one that was read already, or one that
        was restored a moment ago, may lack some.
        """
        restores = self.state.restores
        is_current = update.epoch == restores.epoch
        found = EvacuationList(
            update.evacuated,
            as_of=asked_at,
            latest_at=anyio.current_time(),
            is_complete=is_current and restores.is_complete(asked_at),
        )
        before = self.state.fleet.evacuations.revision
        apply_evacuations(self.state, found, STORE)
        if self.state.fleet.evacuations.revision != before:
            self.exchange.clear_evacuation_source()

    def _renew_proof(self) -> None:
        """Renew the proof by the last read, unless its copy may lack something.

        The store may have lost a version that revoked a key.
        """
        if self.state.restores.is_complete(anyio.current_time()):
            self.state.proof.renew(self._last_read_at)

    def _record_epoch(self) -> None:
        self.state.record_epoch(self.directory.epoch, anyio.current_time())

    async def _read_targets(self) -> None:
        asked_at = anyio.current_time()
        update = await self.directory.read_targets()
        self._record_epoch()
        previous_revision = self.state.fleet.revision
        self.target_list.apply(replace(update, as_of=asked_at))
        if self.state.fleet.revision != previous_revision:
            self.exchange.clear_list_source()

    async def _announce(self) -> None:
        settings = self.state.settings
        await self.directory.announce({settings.instance: settings.peers})

    async def _meet_peers(self) -> None:
        asked_at = anyio.current_time()
        announced = await self.directory.read_peers()
        self.exchange.gossip.add_addresses(announced.addresses)
        self._record_epoch()
        if announced.epoch == self.state.restores.epoch:
            self.state.restores.set_recorded_epoch(announced.settled_epoch)
            self._renew_proof()
            if self.state.restores.is_complete(asked_at):
                self.exchange.gossip.known_entries.record_list(
                    asked_at, anyio.current_time()
                )

    def _log_failure(self, step: str, exc: Exception) -> None:
        if step not in self._failed_steps:
            self._failed_steps.add(step)
            emit(events.StoreLost(step, repr(exc)))

    def _log_recovery(self, step: str) -> None:
        if step in self._failed_steps:
            self._failed_steps.discard(step)
            emit(events.StoreRegained(step))
