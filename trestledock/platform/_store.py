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
    Announced,
    DirectoryError,
    News,
    OldRecord,
    RecordIgnored,
    TargetNews,
    emit,
    read_count,
)
from trestledock.platform._documents import decode_catalog
from trestledock.platform._target_records import (
    DECODE_ERRORS,
    decode_address,
    decode_target,
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
from trestledock.relay import Catalog, Listed

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
CONFIG_DECODE_ERRORS = (*DECODE_ERRORS, KeyError, TypeError, AttributeError)


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

    async def read_catalog(self) -> News:
        """Return the newest configuration among what is new."""
        batch = await self._config.read()
        newest = News()
        for record in batch.records:
            if record.key == CONFIG_KEY and record.value:
                newest = _pick_newer(newest, self._decode_version(record))
        return replace(newest, epoch=batch.epoch)

    def decode_document(self, document: str) -> Catalog:
        """Read the text of a configuration that another entry passed on."""
        try:
            return decode_catalog(json.loads(document))
        except CONFIG_DECODE_ERRORS as exc:
            raise DirectoryError(f'configuration: {exc!r}') from exc

    async def read_targets(self) -> News:
        """Return what is new of the targets, in the order of the log.

        Each record counts: one that is written late is not the newest.
        """
        batch = await self._targets.read()
        news = tuple(_decode_targets(batch))
        _log_stale_records(news)
        return News(targets=news, whole=batch.whole, epoch=batch.epoch)

    async def read_peers(self) -> Announced:
        """Return what entries have announced.

        Of what another copy of the store held nothing counts.
        """
        batch = await self._peers.read()
        if batch.whole:
            self._known_peers.clear()
            self._settled_epoch = None
        for record in batch.records:
            if record.key.startswith(PEER_PREFIX):
                self._update_peer(record)
            elif record.key == EPOCH_KEY:
                self._settled_epoch = _decode_settled_epoch(record)
        return Announced(
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

    def _update_peer(self, record: Record) -> None:
        name = record.key[len(PEER_PREFIX) :]
        if not record.value:
            self._known_peers.pop(name, None)
            return
        try:
            self._known_peers[name] = decode_address(record.value)
        except DECODE_ERRORS as exc:
            emit(RecordIgnored(record.key, repr(exc)))

    def _decode_version(self, record: Record) -> News:
        """Return a version, or have it read again: nobody may vouch for it."""
        document = record.value.decode()
        try:
            return News(self.decode_document(document), document)
        except DirectoryError:
            self._config.reset()
            raise


def _decode_settled_epoch(record: Record) -> Epoch:
    """Return the epoch of a record; one without sense is the safe side.

    No epoch of a store is before that, so whoever reads it waits.
    """
    try:
        return read_count(json.loads(record.value))
    except DECODE_ERRORS as exc:
        emit(RecordIgnored(record.key, repr(exc)))
        return -1


def _pick_newer(one: News, other: News) -> News:
    """Return the newer of two versions of the configuration."""
    if one.catalog is None or other.catalog is None:
        return one if other.catalog is None else other
    return one if one.catalog.version > other.catalog.version else other


def _log_stale_records(news: Iterable[TargetNews]) -> None:
    """Note records that were written after newer ones of the same target."""
    newest: dict[str, Listed] = {}
    for one in news:
        if one.listed is None:
            continue
        known = newest.setdefault(one.target_id, one.listed)
        if one.listed.order < known.order:
            emit(OldRecord(one.listed.incarnation, *one.listed.order))
        else:
            newest[one.target_id] = one.listed


def _decode_targets(batch: Batch) -> Iterator[TargetNews]:
    """Yield what the records say; one that makes no sense hides no other.

    It names no target, as little as one that was removed, until the target
    writes its entry again.
    """
    for record in batch.records:
        yield TargetNews(record.key, _decode_target_record(record))


def _decode_target_record(record: Record) -> Listed | None:
    if not record.value:
        return None
    try:
        return decode_target(record.key, record.value)
    except DECODE_ERRORS as exc:
        emit(RecordIgnored(record.key, repr(exc)))
        return None
