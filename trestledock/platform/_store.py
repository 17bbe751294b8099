"""
The platform's store
====================

What stands in the platform's log: configuration, targets, the addresses of the
entries, and up to which copy of the store these have waited for what was lost.
"""

import json
from dataclasses import replace
from typing import Iterable, Iterator, Mapping

from trestledock.entry import (
    EntryAnnouncements,
    DirectoryError,
    StoreUpdate,
    OldRecord,
    RecordIgnored,
    TargetUpdate,
    emit,
    read_count,
)
from trestledock.platform._documents import decode_catalog
from trestledock.platform._entries import (
    UNREADABLE,
    decode_address,
    decode_entry,
)
from trestledock.platform._epochs import Epoch, StoreEpochs
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
#: What the record of an entry begins with, under `status/`.
PEER_PREFIX = 'entry-'
#: The record, also under `status/`, of the newest epoch of the store that some
#: entry has waited in until the others had written again what was lost.
EPOCH_KEY = 'epoch'
#: What decoding raises where a configuration makes no sense.
BAD_DOCUMENT = (*UNREADABLE, KeyError, TypeError, AttributeError)


class StoreDirectory:
    """The store as the entry reads it."""

    def __init__(self, address: str) -> None:
        """Keep the topics; each has a connection of its own."""
        self._epochs = StoreEpochs()
        self._config = self._make_topic(address, CONFIG_TOPIC)
        self._targets = self._make_topic(address, TARGETS_TOPIC)
        self._peers = self._make_topic(address, PEERS_TOPIC)
        self._known_peers: dict[str, str] = {}
        self._settled_epoch: Epoch = None
        self.quarantine = QuarantineTopic(address, self._epochs)

    @property
    def epoch(self) -> Epoch:
        """The newest epoch that any call has heard."""
        return self._epochs.current

    async def read_catalog(self) -> StoreUpdate:
        """Return the newest configuration among what is new."""
        batch = await self._config.read()
        newest = StoreUpdate()
        for record in batch.records:
            if record.key == CONFIG_KEY and record.text:
                newest = _pick_newer(newest, self._decode_record(record))
        return replace(newest, epoch=batch.epoch)

    def decode_document(self, document: str) -> Catalog:
        """Read the text of a configuration that another entry passed on."""
        try:
            return decode_catalog(json.loads(document))
        except BAD_DOCUMENT as exc:
            raise DirectoryError(f'configuration: {exc!r}') from exc

    async def read_targets(self) -> StoreUpdate:
        """Return what is new of the targets, in the order of the log.

        Each record counts: one that is written late is not the newest.
        """
        batch = await self._targets.read()
        news = tuple(_read_targets(batch))
        _note_old_records(news)
        return StoreUpdate(targets=news, whole=batch.whole, epoch=batch.epoch)

    async def read_peers(self) -> EntryAnnouncements:
        """Return what entries have announced.

        Of what another copy of the store held nothing counts.
        """
        batch = await self._peers.read()
        if batch.whole:
            self._known_peers.clear()
            self._settled_epoch = None
        for record in batch.records:
            if record.key.startswith(PEER_PREFIX):
                self._take_peer(record)
            elif record.key == EPOCH_KEY:
                self._settled_epoch = _read_settled(record)
        return EntryAnnouncements(
            dict(self._known_peers), batch.epoch, self._settled_epoch
        )

    async def announce(self, addresses: Mapping[str, str]) -> None:
        """Write addresses of entries under their names."""
        await self._write_peers(
            frame_record(f'{PEER_PREFIX}{name}', address.encode())
            for name, address in addresses.items()
        )

    async def announce_settled(self, epoch: int) -> None:
        """Write that what the store lost before an epoch is there again."""
        text = str(epoch).encode()
        await self._write_peers([frame_record(EPOCH_KEY, text)])

    def _make_topic(self, address: str, topic: str) -> KeyedTopic:
        return KeyedTopic(StoreClient(address, self._epochs), topic)

    async def _write_peers(self, framed: Iterable[bytes]) -> None:
        answer = await self._peers.client.append(PEERS_TOPIC, framed)
        if answer.status != OK:
            raise DirectoryError(f'log-append {PEERS_TOPIC}: {answer.status}')

    def _take_peer(self, record: Record) -> None:
        name = record.key[len(PEER_PREFIX) :]
        if not record.text:
            self._known_peers.pop(name, None)
            return
        try:
            self._known_peers[name] = decode_address(record.text)
        except UNREADABLE as exc:
            emit(RecordIgnored(record.key, repr(exc)))

    def _decode_record(self, record: Record) -> StoreUpdate:
        """Return a version, or have it read again: nobody may vouch for it."""
        document = record.text.decode()
        try:
            return StoreUpdate(self.decode_document(document), document)
        except DirectoryError:
            self._config.forget()
            raise


def _read_settled(record: Record) -> Epoch:
    """Return the epoch of a record; one without sense is the safe side.

    No epoch of a store is before that, so whoever reads it waits.
    """
    try:
        return read_count(json.loads(record.text))
    except UNREADABLE as exc:
        emit(RecordIgnored(record.key, repr(exc)))
        return -1


def _pick_newer(one: StoreUpdate, other: StoreUpdate) -> StoreUpdate:
    """Return the newer of two versions of the configuration."""
    if one.catalog is None or other.catalog is None:
        return one if other.catalog is None else other
    return one if one.catalog.version > other.catalog.version else other


def _note_old_records(news: Iterable[TargetUpdate]) -> None:
    """Note records that were written after newer ones of the same target."""
    newest: dict[str, ListedTarget] = {}
    for one in news:
        if one.listed is None:
            continue
        known = newest.setdefault(one.target_id, one.listed)
        if one.listed.order < known.order:
            emit(OldRecord(one.listed.incarnation, *one.listed.order))
        else:
            newest[one.target_id] = one.listed


def _read_targets(batch: Batch) -> Iterator[TargetUpdate]:
    """Yield what the records say; one that makes no sense hides no other.

    It names no target, as little as one that was removed, until the target
    writes its entry again.
    """
    for record in batch.records:
        yield TargetUpdate(record.key, _read_target(record))


def _read_target(record: Record) -> ListedTarget | None:
    if not record.text:
        return None
    try:
        return decode_entry(record.key, record.text)
    except UNREADABLE as exc:
        emit(RecordIgnored(record.key, repr(exc)))
        return None
