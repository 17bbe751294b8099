"""
The platform's log
==================

The client for the log that the platform runs: framed records in topics, of
which the newest of each key is kept for ever.  One connection, one call at a
time.
"""

import base64
import json
import struct
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

OK = 200
TRIMMED = 410
#: The most that one read asks for, in KB: the heartbeats of some seconds, and a
#: fifth of a second on the slowest links.  Who is further behind reads the
#: newest record of each key instead.
MOST_KB = 256
#: The first bytes of a read: the end and the first retained offset.
BOUNDS = struct.Struct('>QQ')
LENGTH = struct.Struct('>I')
MS = 1000


@dataclass(frozen=True)
class Record:
    """One record of a keyed topic; without a value the key is dropped."""

    key: str
    text: bytes


@dataclass(frozen=True)
class Batch:
    """Records with the offset at which the next read begins.

    `whole` says that they are the newest of every key.
    """

    records: tuple[Record, ...]
    end: int
    whole: bool = False


class StoreClient:
    """Calls of the store over one connection that is opened when needed."""

    def __init__(self, address: str) -> None:
        """Keep the address; nothing is sent yet."""
        self.address = address
        self._wire: Wire | None = None
        self._lock = anyio.Lock()

    async def call(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: bytes = b'',
    ) -> tuple[int, bytes]:
        """Make one call; return its status and body."""
        target = f'{path}?{urlencode(query)}'
        async with self._lock:
            kept = self._wire is not None
            try:
                return await self._call_once(method, target, body)
            except WireError:
                # A kept connection may have been closed while it was idle,
                # which says nothing of the store.
                if not kept or method != 'GET':
                    raise
            return await self._call_once(method, target, body)

    async def append(
        self,
        topic: str,
        framed: Iterable[bytes],
        **query: int,
    ) -> int:
        """Append records to a topic, all or none; return the status."""
        status, _ = await self.call(
            'POST',
            '/log-append',
            {'topic': topic, 'part': 0, **query},
            b''.join(framed),
        )
        return status

    async def _call_once(
        self,
        method: str,
        target: str,
        body: bytes,
    ) -> tuple[int, bytes]:
        if self._wire is None:
            self._wire = await Wire.connect(self.address)
        done = False
        try:
            status, answer = await self._exchange(
                self._wire, method, target, body
            )
            done = self._wire.recycle()
        finally:
            if not done:
                await self._close()
        return status, answer

    async def _exchange(
        self,
        wire: Wire,
        method: str,
        target: str,
        body: bytes,
    ) -> tuple[int, bytes]:
        headers = (
            (b'host', self.address.encode()),
            (b'content-length', str(len(body)).encode()),
        )
        await wire.send(method, target, headers, body)
        head: Head = await wire.read_head()
        return head.status, await wire.read_body()

    async def _close(self) -> None:
        wire, self._wire = self._wire, None
        if wire:
            await wire.close()


class KeyedTopic:
    """Reads one keyed topic: all of it first, then what is new."""

    def __init__(self, client: StoreClient, topic: str) -> None:
        """Keep the topic; the first read brings everything."""
        self.client = client
        self.topic = topic
        self._next: int | None = None

    async def read(self, wait_s: float = 0) -> Batch:
        """Return what is new, or everything where history was forgotten.

        Where nothing is new the store waits for `wait_s` until something is.
        """
        if self._next is None:
            return await self._read_newest()
        query = {
            'topic': self.topic,
            'part': 0,
            'from': self._next,
            'maxKb': MOST_KB,
        }
        if wait_s:
            query['waitMs'] = round(wait_s * MS)
        status, body = await self.client.call('GET', '/log-read', query)
        if status == TRIMMED:
            emit(HistoryForgotten(self.topic))
            return await self._read_newest()
        if status != OK:
            raise DirectoryError(f'log-read {self.topic}: {status}')
        records = tuple(split_records(body[BOUNDS.size :]))
        end = BOUNDS.unpack_from(body)[0]
        if end != self._next + len(records):
            # Too far behind, or ahead of a log that was begun anew.
            return await self._read_newest()
        self._next = end
        return Batch(records, self._next)

    def forget(self) -> None:
        """Have the next read bring everything."""
        self._next = None

    async def _read_newest(self) -> Batch:
        """Read all pages; what is written meanwhile is read afterwards."""
        self._next = None
        records: list[Record] = []
        first_end = None
        query: dict[str, Any] = {'topic': self.topic, 'part': 0}
        more = True
        while more:
            status, body = await self.client.call('GET', '/log-newest', query)
            if status != OK:
                raise DirectoryError(f'log-newest {self.topic}: {status}')
            page = json.loads(body)
            if first_end is None:
                first_end = page['endOffset']
            items = page['items']
            records.extend(
                Record(one['key'], base64.b64decode(one['value'] or ''))
                for one in items
            )
            more = bool(page.get('hasMore') and items)
            if more:
                query['startAfter'] = items[-1]['key']
        self._next = first_end
        return Batch(tuple(records), first_end or 0, whole=True)


def frame_record(key: str, text: bytes) -> bytes:
    """Return a keyed record as it is appended.

    >>> len(frame_record('k', b'text'))
    10
    """
    raw = key.encode()
    record = bytes((len(raw),)) + raw + text
    return LENGTH.pack(len(record)) + record


def split_records(raw: bytes) -> Iterator[Record]:
    """Yield the keyed records of a read.

    One without a readable key counts, too, since each has its offset.
    """
    position = 0
    while position + LENGTH.size <= len(raw):
        start = position + LENGTH.size
        position = start + LENGTH.unpack_from(raw, position)[0]
        yield _split_record(raw[start:position])


def _split_record(framed: bytes) -> Record:
    """Return a record; bytes of its key that can't be read are escaped."""
    key_end = 1 + framed[0] if framed else 0
    key = framed[1:key_end].decode(errors='backslashreplace')
    return Record(key, framed[key_end:])
