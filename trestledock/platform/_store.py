"""
Platform store
==============

Reads and writes the records in the platform's log: the configuration, evacuated
data centres, targets, the addresses of entries, and the newest epoch of the
store in which an entry has waited until lost records were written again.
"""

import json
from dataclasses import replace
from typing import Iterable, Iterator, Mapping

from trestledock.entry import (
    EntryAnnouncements,
    DirectoryError,
    DocumentError,
    StoreUpdate,
    OldRecord,
    RecordIgnored,
    TargetUpdate,
    emit,
    read_count,
)
from trestledock.platform._documents import decode_catalog
from trestledock.platform._entries import (
    DECODE_ERRORS,
    decode_address,
    decode_target,
)
from trestledock.platform._epochs import Epoch, StoreEpochs
from trestledock.platform._evacuations import EvacuationRecords
from trestledock.platform._log import (
    OK,
    Batch,
    KeyedTopic,
    Record,
    StoreClient,
    frame_record,
)
from trestledock.platform._quarantine import QuarantineTopic
from trestledock.relay import Catalog, ListedTarget

CONFIG_TOPIC = 'keyed.op'
CONFIG_KEY = 'config'
TARGETS_TOPIC = 'keyed.servers'
PEERS_TOPIC = 'keyed.status'
#: The prefix of the records of entries under `status/`.
PEER_PREFIX = 'entry-'
#: The record, also under `status/`, of the newest epoch of the store in which
#: an entry has waited until the other entries had written lost records again.
EPOCH_KEY = 'epoch'
#: Raised when a configuration can't be decoded.
CONFIG_DECODE_ERRORS = (
    *DECODE_ERRORS,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
)


class StoreDirectory:
    """The entry's interface to the store."""

    def __init__(self, address: str) -> None:
        """Set up the topics, each with its own connection."""
        self._epochs = StoreEpochs()
        self._config = self._make_topic(address, CONFIG_TOPIC)
        self._targets = self._make_topic(address, TARGETS_TOPIC)
        self._peers = self._make_topic(address, PEERS_TOPIC)
        self._known_peers: dict[str, str] = {}
        self._settled_epoch: Epoch = None
        self._evacuations = EvacuationRecords()
        self.quarantine = QuarantineTopic(address, self._epochs)

    @property
    def epoch(self) -> Epoch:
        """The newest epoch received in any response."""
        return self._epochs.current

    async def read_catalog(self) -> StoreUpdate:
        """Return the newest configuration among the new records.

        It is returned with all evacuated data centres, known from these and
        earlier records.
        """
        batch = await self._config.read()
        rest = StoreUpdate(
            epoch=batch.epoch, evacuated=self._evacuations.apply(batch)
        )
        try:
            newest = self._decode_newest(batch)
        except DirectoryError as exc:
            raise DocumentError(str(exc), rest) from exc
        return replace(rest, catalog=newest.catalog, document=newest.document)

    def decode_document(self, document: str) -> Catalog:
        """Decode a configuration document that another entry forwarded."""
        try:
            return decode_catalog(json.loads(document))
        except CONFIG_DECODE_ERRORS as exc:
            raise DirectoryError(f'configuration: {exc!r}') from exc

    async def read_targets(self) -> StoreUpdate:
        """Return the new records of targets, in the order of the log.

        All of them are returned, because the last record of a target may have
        been delayed and need not be its newest.
        """
        batch = await self._targets.read()
        updates = tuple(_decode_targets(batch))
        _log_stale_records(updates)
        return StoreUpdate(
            targets=updates, is_complete=batch.whole, epoch=batch.epoch
        )

    async def read_peers(self) -> EntryAnnouncements:
        """Return what entries have announced in the current epoch."""
        batch = await self._peers.read()
        if batch.whole:
            self._known_peers.clear()
            self._settled_epoch = None
        for record in batch.records:
            if record.key.startswith(PEER_PREFIX):
                self._update_peer(record)
            elif record.key == EPOCH_KEY:
                self._settled_epoch = _decode_settled_epoch(record)
        return EntryAnnouncements(
            dict(self._known_peers), batch.epoch, self._settled_epoch
        )

    async def announce(self, addresses: Mapping[str, str]) -> None:
        """Write the addresses of entries, keyed by entry name."""
        await self._write_peers(
            frame_record(f'{PEER_PREFIX}{name}', address.encode())
            for name, address in addresses.items()
        )

    async def announce_settled(self, epoch: int) -> None:
        """Write that records lost before `epoch` have been written again."""
        text = str(epoch).encode()
        await self._write_peers([frame_record(EPOCH_KEY, text)])

    def _make_topic(self, address: str, topic: str) -> KeyedTopic:
        return KeyedTopic(StoreClient(address, self._epochs), topic)

    async def _write_peers(self, framed: Iterable[bytes]) -> None:
        response = await self._peers.client.append(PEERS_TOPIC, framed)
        if response.status != OK:
            raise DirectoryError(f'log-append {PEERS_TOPIC}: {response.status}')

    def _update_peer(self, record: Record) -> None:
        name = record.key[len(PEER_PREFIX) :]
        if not record.value:
            self._known_peers.pop(name, None)
            return
        try:
            self._known_peers[name] = decode_address(record.value)
        except DECODE_ERRORS as exc:
            emit(RecordIgnored(record.key, repr(exc)))

    def _decode_newest(self, batch: Batch) -> StoreUpdate:
        newest = StoreUpdate()
        for record in batch.records:
            if record.key == CONFIG_KEY and record.value:
                newest = _pick_newer(newest, self._decode_version(record))
        return newest

    def _decode_version(self, record: Record) -> StoreUpdate:
        """Decode a version of the configuration.

        If that fails, the next read returns it again, so that the older version
        does not pass for the newest one.
        """
        document = record.value.decode()
        try:
            return StoreUpdate(self.decode_document(document), document)
        except DirectoryError:
            self._config.reset()
            raise


def _decode_settled_epoch(record: Record) -> Epoch:
    """Decode a settled epoch.

    An invalid record counts as -1.  This is lower than any epoch, so that
    entries wait, which is safe.
    """
    try:
        return read_count(json.loads(record.value))
    except DECODE_ERRORS as exc:
        emit(RecordIgnored(record.key, repr(exc)))
        return -1


def _pick_newer(left: StoreUpdate, right: StoreUpdate) -> StoreUpdate:
    """Return the newer of two versions of the configuration."""
    if left.catalog is None or right.catalog is None:
        return left if right.catalog is None else right
    return left if left.catalog.version > right.catalog.version else right


def _log_stale_records(updates: Iterable[TargetUpdate]) -> None:
    """Log records that were written after newer ones of the same target."""
    newest: dict[str, ListedTarget] = {}
    for update in updates:
        if update.listed is None:
            continue
        known = newest.setdefault(update.target_id, update.listed)
        if update.listed.order < known.order:
            emit(OldRecord(update.listed.incarnation, *update.listed.order))
        else:
            newest[update.target_id] = update.listed


def _decode_targets(batch: Batch) -> Iterator[TargetUpdate]:
    """Decode the records of targets.

    An invalid record does not affect the others.  It counts as a removal until
    the target writes its record again.
    """
    for record in batch.records:
        yield _decode_target_record(record)


def _decode_target_record(record: Record) -> TargetUpdate:
    if not record.value:
        return TargetUpdate(record.key, None)
    try:
        return decode_target(record.key, record.value)
    except DECODE_ERRORS as exc:
        emit(RecordIgnored(record.key, repr(exc)))
        return TargetUpdate(record.key, None)
