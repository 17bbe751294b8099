"""
Fake store
==========

The platform's log with its keyed topics.  It can be unavailable or slow, drop
the answers of writes that it has executed, drop its history, and be restored
from an older copy of itself.
"""

import base64
import json
import struct
from dataclasses import dataclass, field
from typing import Any

import anyio

from tests.soak.serving import Exchange, Headers, Reset

CONFIG = ('keyed.op', 'config')
TARGETS = 'keyed.servers'
#: Topics that only the operator and the targets write; entries don't.
READ_ONLY_TOPICS = (CONFIG[0], TARGETS)
OFFSETS = struct.Struct('>QQ')
LENGTH = struct.Struct('>I')
#: The header with the epoch of the store, which grows with each restore.
EPOCH_HEADER = 'Store-Era'
#: Records on one page of `/log-newest`.
PAGE = 500


@dataclass
class Topic:
    """The records of one topic; `first` is the oldest offset retained."""

    records: list[tuple[int, str, bytes]] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    end: int = 0
    first: int = 0
    changed: anyio.Event = field(default_factory=anyio.Event)

    def put(self, key: str, text: bytes) -> None:
        """Append a record; an empty text deletes the key."""
        self.records.append((self.end, key, text))
        if text:
            self.newest[key] = (self.end, text)
        else:
            self.newest.pop(key, None)
        self.end += 1
        self.changed.set()
        self.changed = anyio.Event()

    def drop_history(self) -> None:
        """Drop the history; the newest record of each key stays."""
        self.records.clear()
        self.first = self.end

    def get_page(self, after: str) -> dict[str, Any]:
        """Return a page of the newest records, in order of their keys."""
        later = sorted(key for key in self.newest if key > after)
        items = [
            {
                'key': key,
                'value': base64.b64encode(self.newest[key][1]).decode(),
                'offset': self.newest[key][0],
            }
            for key in later[:PAGE]
        ]
        has_more = len(later) > PAGE
        return {'items': items, 'hasMore': has_more, 'endOffset': self.end}

    def read(self, start: int) -> bytes:
        """Return the length-prefixed records from an offset on."""
        parts = [OFFSETS.pack(self.end, self.first)]
        for offset, key, text in self.records:
            if offset >= start:
                raw = bytes((len(key),)) + key.encode() + text
                parts.append(LENGTH.pack(len(raw)) + raw)
        return b''.join(parts)


@dataclass
class Store:
    """All topics, and the faults of the store.

    `era` is the epoch that the store reports in `Store-Era`, None for none.
    """

    topics: dict[str, Topic] = field(default_factory=dict)
    status: int = 200
    delay_s: float = 0.002
    drops_answers: bool = False
    calls: int = 0
    era: int | None = None
    writes: list[tuple[float, str, str, bytes]] = field(default_factory=list)
    lost_writes: dict[tuple[str, str], bytes] = field(default_factory=dict)

    def get_topic(self, name: str) -> Topic:
        """Return a topic, which is created at its first use."""
        return self.topics.setdefault(name, Topic())

    def put_json(self, topic: str, key: str, plain: dict | None) -> None:
        """Write a record as the operator or a target does; None deletes it."""
        text = b'' if plain is None else json.dumps(plain).encode()
        self.put(topic, key, text)

    def put(self, topic: str, key: str, text: bytes) -> None:
        """Append a record and keep its time, for restores."""
        self.writes.append((anyio.current_time(), topic, key, text))
        self.lost_writes.pop((topic, key), None)
        self.get_topic(topic).put(key, text)

    def go_back(self, back_s: float) -> None:
        """Restore the store from a copy that is `back_s` seconds old.

        Later writes are lost, their offsets are assigned again, and waiting
        reads continue on the restored records.
        """
        until = anyio.current_time() - back_s
        before, self.topics = self.topics, {}
        lost_writes = {
            (topic, key): text
            for written_at, topic, key, text in self.writes
            if written_at > until and topic in READ_ONLY_TOPICS
        }
        # Writes lost in an earlier restore are newer than all others here.
        self.lost_writes = {**lost_writes, **self.lost_writes}
        self.writes = [one for one in self.writes if one[0] <= until]
        for _, topic, key, text in self.writes:
            self.get_topic(topic).put(key, text)
        if self.era is not None:
            self.era += 1
        for topic in before.values():
            topic.changed.set()

    def write_again(self) -> None:
        """Rewrite lost records of operator and targets not written since."""
        for (topic, key), text in list(self.lost_writes.items()):
            self.put(topic, key, text)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        self.calls += 1
        await anyio.sleep(self.delay_s)
        await self._wait_for_records(exchange)
        if self.status != 200:
            await exchange.answer(self.status, headers=self._get_headers())
            return
        status, body = self._handle_call(exchange)
        if self.drops_answers:
            raise Reset
        await exchange.answer(status, body, self._get_headers())

    def _get_headers(self) -> Headers:
        return [] if self.era is None else [(EPOCH_HEADER, str(self.era))]

    async def _wait_for_records(self, exchange: Exchange) -> None:
        """Delay a long-polling read until there are new records."""
        wait_s = int(exchange.query.get('waitMs', 0)) / 1000
        topic = self.get_topic(exchange.query['topic'])
        if wait_s and int(exchange.query['from']) == topic.end:
            with anyio.move_on_after(wait_s):
                await topic.changed.wait()

    def _handle_call(self, exchange: Exchange) -> tuple[int, bytes]:
        topic = self.get_topic(exchange.query['topic'])
        if exchange.path == '/log-append':
            return self._append(topic, exchange)
        if exchange.path == '/log-newest':
            page = topic.get_page(exchange.query.get('startAfter', ''))
            return 200, json.dumps(page).encode()
        start = int(exchange.query['from'])
        if not topic.first <= start <= topic.end:
            return 410, json.dumps({'firstOffset': topic.first}).encode()
        return 200, topic.read(start)

    def _append(self, topic: Topic, exchange: Exchange) -> tuple[int, bytes]:
        if exchange.query['topic'] in {CONFIG[0], TARGETS}:
            return 403, b''
        expected = int(exchange.query.get('expectedEnd', topic.end))
        if expected != topic.end:
            return 412, json.dumps({'endOffset': topic.end}).encode()
        raw = exchange.body
        while raw:
            size = LENGTH.unpack_from(raw)[0]
            record, raw = raw[4 : 4 + size], raw[4 + size :]
            key_end = 1 + record[0]
            self.put(
                exchange.query['topic'],
                record[1:key_end].decode(),
                record[key_end:],
            )
        return 200, json.dumps({'endOffset': topic.end}).encode()
