"""
Stand-in of the store
=====================

The platform's log with its keyed topics.  It can be down, slow, lose
answers of writes that it has carried out, and forget its history.
"""

import base64
import json
import struct
from dataclasses import dataclass, field

import anyio

from tests.soak.serving import Exchange, Reset

CONFIG = ('keyed.op', 'config')
TARGETS = 'keyed.servers'
BOUNDS = struct.Struct('>QQ')
LENGTH = struct.Struct('>I')


@dataclass
class Topic:
    """The records of one topic; `first` is the oldest that is retained."""

    records: list[tuple[int, str, bytes]] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    end: int = 0
    first: int = 0
    grown: anyio.Event = field(default_factory=anyio.Event)

    def put(self, key: str, text: bytes) -> None:
        """Append a record; without a text the key is dropped."""
        self.records.append((self.end, key, text))
        if text:
            self.newest[key] = (self.end, text)
        else:
            self.newest.pop(key, None)
        self.end += 1
        self.grown.set()
        self.grown = anyio.Event()

    def forget(self) -> None:
        """Drop the history, but for the newest record of each key."""
        self.records.clear()
        self.first = self.end

    def read(self, start: int) -> bytes:
        """Return the framed records from an offset on."""
        parts = [BOUNDS.pack(self.end, self.first)]
        for offset, key, text in self.records:
            if offset >= start:
                raw = bytes((len(key),)) + key.encode() + text
                parts.append(LENGTH.pack(len(raw)) + raw)
        return b''.join(parts)


@dataclass
class Store:
    """All topics, and how the store misbehaves."""

    topics: dict[str, Topic] = field(default_factory=dict)
    status: int = 200
    delay_s: float = 0.002
    losing: bool = False
    calls: int = 0

    def get_topic(self, name: str) -> Topic:
        """Return a topic, made at its first use."""
        return self.topics.setdefault(name, Topic())

    def put_json(self, topic: str, key: str, plain: dict | None) -> None:
        """Write as the operator or a target does."""
        text = json.dumps(plain).encode() if plain else b''
        self.get_topic(topic).put(key, text)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        self.calls += 1
        await anyio.sleep(self.delay_s)
        await self._wait_for_news(exchange)
        if self.status != 200:
            await exchange.answer(self.status)
            return
        status, body = self._call(exchange)
        if self.losing:
            raise Reset
        await exchange.answer(status, body)

    async def _wait_for_news(self, exchange: Exchange) -> None:
        """Keep a read that is to wait until there is something new."""
        wait_s = int(exchange.query.get('waitMs', 0)) / 1000
        topic = self.get_topic(exchange.query['topic'])
        if wait_s and int(exchange.query['from']) == topic.end:
            with anyio.move_on_after(wait_s):
                await topic.grown.wait()

    def _call(self, exchange: Exchange) -> tuple[int, bytes]:
        topic = self.get_topic(exchange.query['topic'])
        if exchange.path == '/log-append':
            return self._append(topic, exchange)
        if exchange.path == '/log-newest':
            items = [
                {
                    'key': key,
                    'value': base64.b64encode(text).decode(),
                    'offset': offset,
                }
                for key, (offset, text) in topic.newest.items()
            ]
            page = {'items': items, 'hasMore': False, 'endOffset': topic.end}
            return 200, json.dumps(page).encode()
        start = int(exchange.query['from'])
        if start < topic.first:
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
            topic.put(record[1:key_end].decode(), record[key_end:])
        return 200, json.dumps({'endOffset': topic.end}).encode()
