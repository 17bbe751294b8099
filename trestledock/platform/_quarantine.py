"""
Quarantine in the store
=======================

What entries remember of quarantined requests, as records of a topic of their
own, by fingerprint.  What was answered after all keeps its record, since others
may still know the ends that it was cleared of.
"""

import json
import time
from dataclasses import replace
from typing import Iterable

from trestledock.entry import (
    DirectoryError,
    RecordIgnored,
    emit,
    read_amount,
    read_count,
    read_list,
    read_text,
)
from trestledock.platform._entries import UNREADABLE
from trestledock.platform._log import (
    OK,
    KeyedTopic,
    Record,
    StoreClient,
    frame_record,
)
from trestledock.relay import Quarantined

TOPIC = 'keyed.quarantine'
#: What the store answers where a partition has grown meanwhile.
GROWN = 412
MS = 1000


class QuarantineTopic:
    """The topic of quarantined requests.

    Reads wait on a connection of their own.
    """

    def __init__(self, address: str) -> None:
        """Keep the address; nothing is sent yet."""
        self._followed = KeyedTopic(StoreClient(address), TOPIC)
        self._writer = StoreClient(address)

    async def read_records(self, wait_s: float) -> tuple[Quarantined, ...]:
        """Return what is new, once there is something or the time is over."""
        batch = await self._followed.read(wait_s)
        return _read_records(batch.records)

    async def write_records(self, records: list[Quarantined]) -> None:
        """Write what is quarantined from now on, or was answered."""
        status = await self._append(records)
        if status != OK:
            raise DirectoryError(f'log-append {TOPIC}: {status}')

    async def claim_trial(self, record: Quarantined) -> bool:
        """Write that a request is tried now, unless somebody else wrote.

        The store takes the record only where the topic still ends where it was
        read to, so of several claims one succeeds.
        """
        batch = await KeyedTopic(self._writer, TOPIC).read()
        for stored in _read_records(batch.records):
            if stored.fingerprint == record.fingerprint and not stored.is_due:
                return False
        tried = replace(record, age_s=0, trials=record.trials + 1)
        status = await self._append([tried], expectedEnd=batch.end)
        if status not in {OK, GROWN}:
            raise DirectoryError(f'log-append {TOPIC}: {status}')
        return status == OK

    async def _append(self, records: list[Quarantined], **query: int) -> int:
        now_ms = time.time() * MS
        framed = [
            frame_record(record.fingerprint, _write_record(record, now_ms))
            for record in records
        ]
        return await self._writer.append(TOPIC, framed, **query)


def _write_record(record: Quarantined, now_ms: float) -> bytes:
    """Return the value of a record."""
    plain = {
        'ends': record.incarnations,
        'since_ms': round(now_ms - record.age_s * MS),
        'trials': record.trials,
        'cleared': record.cleared,
    }
    return json.dumps(plain, separators=(',', ':')).encode()


def _read_records(records: Iterable[Record]) -> tuple[Quarantined, ...]:
    """Return what records say; one that makes no sense says nothing."""
    now_ms = time.time() * MS
    found = []
    for record in records:
        try:
            found.append(_read_record(record, now_ms))
        except UNREADABLE as exc:
            emit(RecordIgnored(record.key, repr(exc)))
    return tuple(found)


def _read_record(record: Record, now_ms: float) -> Quarantined:
    """Return a quarantined request; times of day differ, but by seconds."""
    plain = json.loads(record.text)
    if not isinstance(plain, dict):
        raise ValueError('no object')
    since_ms = read_amount(plain.get('since_ms'))
    return Quarantined(
        record.key,
        tuple(map(read_text, read_list(plain.get('ends')))),
        max(0, now_ms - since_ms) / MS,
        read_count(plain.get('trials')),
        tuple(map(read_text, read_list(plain.get('cleared', [])))),
    )
