"""
Platform log client
===================

Client of the log that the platform runs.  Topics hold framed records; the
newest record of every key is kept forever.  A client has one connection and
makes one call at a time.
"""

import base64
import json
import struct
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, Iterable, Iterator
from urllib.parse import urlencode

import anyio

from trestledock.entry import (
    DirectoryError,
    Head,
    HistoryForgotten,
    Wire,
    WireError,
    emit,
)
from trestledock.platform._epochs import Epoch, StoreEpochs

OK = 200
TRIMMED_STATUS = 410
#: A read of a whole topic must start over whenever the epoch of the store
#: changes, and fails after this many starts.
MAX_RESTARTS = 3
#: The size limit of one read, in KB: the heartbeats of several seconds, or a
#: fifth of a second on the slowest links.  A reader that is further behind
#: reads the newest record of every key instead.
MAX_READ_KB = 256
#: The first bytes of a read: the end offset and the first retained offset.
READ_HEADER = struct.Struct('>QQ')
RECORD_LENGTH = struct.Struct('>I')
MS = 1000


@dataclass(frozen=True)
class Record:
    """A record of a keyed topic; an empty value deletes the key."""

    key: str
    value: bytes


@dataclass(frozen=True)
class Batch:
    """Records, and the offset at which the next read begins.

    `whole` is true if they are the newest records of all keys.  `epoch` is the
    epoch of the store in which they were read.
    """

    records: tuple[Record, ...]
    end: int
    whole: bool = False
    epoch: Epoch = None


@dataclass(frozen=True)
class StoreResponse:
    """A response of the store and its epoch."""

    status: int
    body: bytes
    epoch: Epoch


class CutResponse(Exception):
    """A response of the store ends inside a record."""


class EpochChanged(Exception):
    """The store was restored from a copy during a read."""


class StoreClient:
    """Client of the store with one connection, which is opened on demand."""

    def __init__(self, address: str, epochs: StoreEpochs) -> None:
        """Set the address without connecting.

        All clients of a store share the same `epochs`.
        """
        self.address = address
        self.epochs = epochs
        self._wire: Wire | None = None
        self._lock = anyio.Lock()

    async def call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: bytes = b'',
    ) -> StoreResponse:
        """Make one call.

        Raises `DirectoryError` if the epoch of the response is inconsistent,
        and `WireError` if there is no response.
        """
        target = f'{path}?{urlencode(query)}'
        async with self._lock:
            is_reused = self._wire is not None
            try:
                return await self._call_once(method, target, body)
            except WireError:
                # An idle connection may have been closed in the meantime, which
                # does not mean that the store failed.
                if not is_reused or method != 'GET':
                    raise
            return await self._call_once(method, target, body)

    async def append(
        self,
        topic: str,
        framed: Iterable[bytes],
        **query: int,
    ) -> StoreResponse:
        """Append records to a topic atomically."""
        return await self.call(
            'POST',
            '/log-append',
            {'topic': topic, 'part': 0, **query},
            b''.join(framed),
        )

    async def _call_once(
        self,
        method: str,
        target: str,
        body: bytes,
    ) -> StoreResponse:
        if self._wire is None:
            self._wire = await Wire.connect(self.address)
        is_reusable = False
        try:
            head, content = await self._exchange(
                self._wire, method, target, body
            )
            is_reusable = self._wire.recycle()
        finally:
            if not is_reusable:
                await self._close()
        return StoreResponse(head.status, content, self.epochs.record(head))

    async def _exchange(
        self,
        wire: Wire,
        method: str,
        target: str,
        body: bytes,
    ) -> tuple[Head, bytes]:
        headers = (
            (b'host', self.address.encode()),
            (b'content-length', str(len(body)).encode()),
        )
        await wire.send(method, target, headers, body)
        head: Head = await wire.read_head()
        return head, await wire.read_body()

    async def _close(self) -> None:
        wire, self._wire = self._wire, None
        if wire:
            await wire.close()


class KeyedTopic:
    """Reader of a keyed topic: first reads all of it, then new records only.

    The offset of the next read is valid only in the epoch in which it was
    received; in another epoch the same offset may belong to another record.
    """

    def __init__(self, client: StoreClient, topic: str) -> None:
        """Set the topic; the first read returns all records."""
        self.client = client
        self.topic = topic
        self._next: int | None = None
        self._epoch: Epoch = None

    async def read(self, wait_s: float = 0) -> Batch:
        """Return new records, or all records if new ones can't be identified.

        The store waits up to `wait_s` for a new record if there is none.
        """
        if self._next is None or self._epoch != self.client.epochs.current:
            return await self._read_all()
        query = {
            'topic': self.topic,
            'part': 0,
            'from': self._next,
            'maxKb': MAX_READ_KB,
        }
        if wait_s:
            query['waitMs'] = round(wait_s * MS)
        response = await self.client.call('GET', '/log-read', query)
        return self._parse_read(response, self._next) or await self._read_all()

    def reset(self) -> None:
        """Make the next read return all records."""
        self._next = None

    def _parse_read(self, response: StoreResponse, start: int) -> Batch | None:
        """Return the new records, or None if all must be read again."""
        if response.epoch != self._epoch:
            return None
        if response.status == TRIMMED_STATUS:
            emit(HistoryForgotten(self.topic))
            return None
        if response.status != OK:
            raise DirectoryError(f'log-read {self.topic}: {response.status}')
        try:
            end, records = parse_read(response.body)
        except CutResponse:
            return None
        if end != start + len(records):
            # The reader is too far behind, or ahead of a log that started over.
            return None
        self._next = end
        return Batch(records, end, epoch=response.epoch)

    async def _read_all(self) -> Batch:
        """Read all records in one epoch; start over if the epoch changes."""
        self._next = None
        for _ in range(MAX_RESTARTS):
            with suppress(EpochChanged):
                return await self._read_pages()
        raise DirectoryError(f'log-newest {self.topic}: epoch keeps changing')

    async def _read_pages(self) -> Batch:
        """Read all pages; the next read returns records written meanwhile."""
        query: dict[str, Any] = {'topic': self.topic, 'part': 0}
        first = await self._read_page(query)
        pages = [first]
        while pages[-1].last_key:
            query['startAfter'] = pages[-1].last_key
            page = await self._read_page(query)
            if page.epoch != first.epoch:
                raise EpochChanged
            pages.append(page)
        self._next = first.end
        self._epoch = first.epoch
        records = tuple([record for page in pages for record in page.records])
        return Batch(records, first.end, whole=True, epoch=first.epoch)

    async def _read_page(self, query: dict[str, Any]) -> 'Page':
        response = await self.client.call('GET', '/log-newest', query)
        if response.status != OK:
            raise DirectoryError(f'log-newest {self.topic}: {response.status}')
        data = self._decode_page(response.body)
        records = tuple(
            [
                Record(row['key'], base64.b64decode(row['value'] or ''))
                for row in data['items']
            ]
        )
        is_last = not data.get('hasMore') or not records
        last_key = '' if is_last else records[-1].key
        return Page(records, data['endOffset'], last_key, response.epoch)

    def _decode_page(self, body: bytes) -> Any:
        """Decode a page; a part of one is no JSON."""
        try:
            return json.loads(body)
        except ValueError as exc:
            raise DirectoryError(f'log-newest {self.topic}: {exc}') from exc


@dataclass(frozen=True)
class Page:
    """A page of the newest records; the last page has an empty `last_key`."""

    records: tuple[Record, ...]
    end: int
    last_key: str
    epoch: Epoch


def frame_record(key: str, value: bytes) -> bytes:
    """Encode a keyed record for an append.

    >>> len(frame_record('k', b'text'))
    10
    """
    raw_key = key.encode()
    record = bytes((len(raw_key),)) + raw_key + value
    return RECORD_LENGTH.pack(len(record)) + record


def parse_read(body: bytes) -> tuple[int, tuple[Record, ...]]:
    """Return the end offset and the records of a read."""
    if len(body) < READ_HEADER.size:
        raise CutResponse
    end = READ_HEADER.unpack_from(body)[0]
    return end, tuple(split_records(body[READ_HEADER.size :]))


def split_records(raw: bytes) -> Iterator[Record]:
    """Yield the keyed records of a read.

    Records with an undecodable key are included, because every record has its
    own offset. Raises `CutResponse` if the last record is cut: without its
    value it would delete its key.
    """
    position = 0
    while position < len(raw):
        start = position + RECORD_LENGTH.size
        length = raw[position:start]
        if len(length) == RECORD_LENGTH.size:
            position = start + RECORD_LENGTH.unpack(length)[0]
        if position < start or position > len(raw):
            raise CutResponse
        yield _split_record(raw[start:position])


def _split_record(framed: bytes) -> Record:
    """Decode a record; undecodable bytes of its key are escaped."""
    key_end = 1 + framed[0] if framed else 0
    key = framed[1:key_end].decode(errors='backslashreplace')
    return Record(key, framed[key_end:])
