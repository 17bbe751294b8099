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
TRIMMED = 410
#: So many copies of the store may follow one another while a topic is read
#: whole, before that counts as a read that failed.
MOST_RESTARTS = 3
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

    `whole` says that they are the newest of every key, `epoch` of which copy of
    the store they are.
    """

    records: tuple[Record, ...]
    end: int
    whole: bool = False
    epoch: Epoch = None


@dataclass(frozen=True)
class Answer:
    """An answer of the store, with the epoch that it is from."""

    status: int
    body: bytes
    epoch: Epoch


class EpochChanged(Exception):
    """The store came back from a copy in the middle of a read."""


class StoreClient:
    """Calls of the store over one connection that is opened when needed."""

    def __init__(self, address: str, epochs: StoreEpochs) -> None:
        """Keep the address; nothing is sent yet.

        `epochs` is shared by all clients of one store.
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
    ) -> Answer:
        """Make one call.

        Raises a `DirectoryError` where the answer's epoch makes no sense, and a
        `WireError` where none comes.
        """
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
    ) -> Answer:
        """Append records to a topic, all or none."""
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
    ) -> Answer:
        if self._wire is None:
            self._wire = await Wire.connect(self.address)
        done = False
        try:
            head, text = await self._exchange(self._wire, method, target, body)
            done = self._wire.recycle()
        finally:
            if not done:
                await self._close()
        return Answer(head.status, text, self.epochs.record(head))

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
    """Reads one keyed topic: all of it first, then what is new.

    The offset at which the next read begins belongs to the epoch in which it
    was given out: in another one it may have been given out again.
    """

    def __init__(self, client: StoreClient, topic: str) -> None:
        """Keep the topic; the first read brings everything."""
        self.client = client
        self.topic = topic
        self._next: int | None = None
        self._epoch: Epoch = None

    async def read(self, wait_s: float = 0) -> Batch:
        """Return what is new, or everything where that can't be told.

        Where nothing is new the store waits for `wait_s` until something is.
        """
        if self._next is None or self._epoch != self.client.epochs.current:
            return await self._read_newest()
        query = {
            'topic': self.topic,
            'part': 0,
            'from': self._next,
            'maxKb': MOST_KB,
        }
        if wait_s:
            query['waitMs'] = round(wait_s * MS)
        answer = await self.client.call('GET', '/log-read', query)
        return self._take(answer, self._next) or await self._read_newest()

    def forget(self) -> None:
        """Have the next read bring everything."""
        self._next = None

    def _take(self, answer: Answer, start: int) -> Batch | None:
        """Return what an answer brings, None where all must be read anew."""
        if answer.epoch != self._epoch:
            return None
        if answer.status == TRIMMED:
            emit(HistoryForgotten(self.topic))
            return None
        if answer.status != OK:
            raise DirectoryError(f'log-read {self.topic}: {answer.status}')
        records = tuple(split_records(answer.body[BOUNDS.size :]))
        end = BOUNDS.unpack_from(answer.body)[0]
        if end != start + len(records):
            # Too far behind, or ahead of a log that was begun anew.
            return None
        self._next = end
        return Batch(records, end, epoch=answer.epoch)

    async def _read_newest(self) -> Batch:
        """Read everything, in one epoch; begin again where it changes."""
        self._next = None
        for _ in range(MOST_RESTARTS):
            with suppress(EpochChanged):
                return await self._read_pages()
        raise DirectoryError(f'log-newest {self.topic}: epochs change')

    async def _read_pages(self) -> Batch:
        """Read all pages; what is written meanwhile is read afterwards."""
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
        records = tuple([one for page in pages for one in page.records])
        return Batch(records, first.end, whole=True, epoch=first.epoch)

    async def _read_page(self, query: dict[str, Any]) -> 'Page':
        answer = await self.client.call('GET', '/log-newest', query)
        if answer.status != OK:
            raise DirectoryError(f'log-newest {self.topic}: {answer.status}')
        plain = json.loads(answer.body)
        records = tuple(
            [
                Record(one['key'], base64.b64decode(one['value'] or ''))
                for one in plain['items']
            ]
        )
        is_last = not plain.get('hasMore') or not records
        last_key = '' if is_last else records[-1].key
        return Page(records, plain['endOffset'], last_key, answer.epoch)


@dataclass(frozen=True)
class Page:
    """A part of the newest records; `last_key` is empty on the last one."""

    records: tuple[Record, ...]
    end: int
    last_key: str
    epoch: Epoch


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
