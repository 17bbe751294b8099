"""
The platform's store
====================

What stands in the platform's log: configuration, targets and the addresses of
the entries.
"""

import json
from typing import Iterable, Iterator

from trestledock.entry import (
    DirectoryError,
    News,
    OldRecord,
    RecordIgnored,
    TargetNews,
    emit,
)
from trestledock.platform._documents import decode_catalog, decode_target
from trestledock.platform._log import (
    LENGTH,
    OK,
    Batch,
    KeyedTopic,
    Record,
    StoreClient,
)
from trestledock.relay import Catalog, Listed

CONFIG_TOPIC = 'keyed.op'
CONFIG_KEY = 'config'
TARGETS_TOPIC = 'keyed.servers'
PEERS_TOPIC = 'keyed.status'
#: What the record of an entry begins with, under `status/`.
PEER_PREFIX = 'entry-'
#: What decoding raises where a record makes no sense.
UNREADABLE = (ValueError, KeyError, TypeError, AttributeError)


class StoreDirectory:
    """The store as the entry reads it."""

    def __init__(self, address: str) -> None:
        """Keep the topics; each has a connection of its own."""
        self._config = KeyedTopic(StoreClient(address), CONFIG_TOPIC)
        self._targets = KeyedTopic(StoreClient(address), TARGETS_TOPIC)
        self._peers = KeyedTopic(StoreClient(address), PEERS_TOPIC)
        self._known_peers: dict[str, str] = {}

    async def read_catalog(self) -> News:
        """Return the newest configuration among what is new."""
        batch = await self._config.read()
        newest = News()
        for record in batch.records:
            if record.key == CONFIG_KEY and record.text:
                newest = _pick_newer(newest, self._decode_record(record))
        return newest

    def decode_document(self, document: str) -> Catalog:
        """Read the text of a configuration that another entry passed on."""
        try:
            return decode_catalog(json.loads(document))
        except UNREADABLE as exc:
            raise DirectoryError(f'configuration: {exc!r}') from exc

    async def read_targets(self) -> News:
        """Return what is new of the targets, in the order of the log.

        Each record counts: one that is written late is not the newest.
        """
        batch = await self._targets.read()
        news = tuple(_read_targets(batch))
        _note_old_records(news)
        return News(targets=news, whole=batch.whole)

    async def read_peers(self) -> dict[str, str]:
        """Return the addresses that entries have announced."""
        batch = await self._peers.read()
        for record in batch.records:
            if record.key.startswith(PEER_PREFIX):
                name = record.key[len(PEER_PREFIX) :]
                self._known_peers[name] = record.text.decode()
        return dict(self._known_peers)

    async def announce(self, name: str, address: str) -> None:
        """Write the own address under the own name."""
        key = f'{PEER_PREFIX}{name}'.encode()
        record = bytes((len(key),)) + key + address.encode()
        status, _ = await self._peers.client.call(
            'POST',
            '/log-append',
            {'topic': PEERS_TOPIC, 'part': 0},
            LENGTH.pack(len(record)) + record,
        )
        if status != OK:
            raise DirectoryError(f'log-append {PEERS_TOPIC}: {status}')

    def _decode_record(self, record: Record) -> News:
        """Return a version, or have it read again: nobody may vouch for it."""
        document = record.text.decode()
        try:
            return News(self.decode_document(document), document)
        except DirectoryError:
            self._config.forget()
            raise


def _pick_newer(one: News, other: News) -> News:
    """Return the newer of two versions of the configuration."""
    if one.catalog is None or other.catalog is None:
        return one if other.catalog is None else other
    return one if one.catalog.version > other.catalog.version else other


def _note_old_records(news: Iterable[TargetNews]) -> None:
    """Note records that were written after newer ones of the same target."""
    newest: dict[str, int] = {}
    for one in news:
        if one.listed is None:
            continue
        sequence = one.listed.sequence
        known = newest.setdefault(one.target_id, sequence)
        if sequence < known:
            emit(OldRecord(one.target_id, sequence, known))
        newest[one.target_id] = max(known, sequence)


def _read_targets(batch: Batch) -> Iterator[TargetNews]:
    """Yield what the records say; one that makes no sense hides no other."""
    for record in batch.records:
        try:
            yield TargetNews(record.key, _read_target(record))
        except UNREADABLE as exc:
            emit(RecordIgnored(record.key, repr(exc)))


def _read_target(record: Record) -> Listed | None:
    if not record.text:
        return None
    return decode_target(record.key, json.loads(record.text))
