"""
Quarantine in the store
=======================

What entries remember of quarantined requests, as records of a topic of their
own, by fingerprint.  What was answered after all keeps its record, since others
may still know the ends that it was cleared of.
"""

import json
from typing import Iterable

from trestledock.clock import read_unix_ms
from trestledock.entry import (
    DirectoryError,
    LogPosition,
    RecordIgnored,
    StoredQuarantine,
    emit,
    read_number,
    read_count,
    read_list,
    read_text,
)
from trestledock.platform._entries import UNREADABLE
from trestledock.platform._epochs import StoreEpochs
from trestledock.platform._log import (
    OK,
    KeyedTopic,
    Record,
    StoreClient,
    frame_record,
)
from trestledock.relay import QuarantineRecord

TOPIC = 'keyed.quarantine'
#: What the store answers where a partition has grown meanwhile.
GROWN = 412
MS = 1000


class QuarantineTopic:
    """The topic of quarantined requests.

    Reads wait on a connection of their own.
    """

    def __init__(self, address: str, epochs: StoreEpochs) -> None:
        """Keep the address; nothing is sent yet."""
        self._followed = KeyedTopic(StoreClient(address, epochs), TOPIC)
        self._writer = StoreClient(address, epochs)

    async def read_records(self, wait_s: float) -> tuple[QuarantineRecord, ...]:
        """Return what is new, once there is something or the time is over."""
        batch = await self._followed.read(wait_s)
        return _read_records(batch.records)

    async def read_whole(self) -> StoredQuarantine:
        """Return all records, with the place at which the topic ends."""
        batch = await KeyedTopic(self._writer, TOPIC).read()
        place = LogPosition(batch.end, batch.epoch)
        return StoredQuarantine(_read_records(batch.records), place)

    async def write_records(
        self,
        records: Iterable[QuarantineRecord],
        expected: LogPosition | None = None,
    ) -> bool:
        """Write records; return whether the topic still ended at a place.

        An offset that another copy of the store has given out is another place,
        also where it has the same number.
        """
        query = {} if expected is None else {'expectedEnd': expected.offset}
        now_ms = read_unix_ms()
        framed = [
            frame_record(record.fingerprint, _write_record(record, now_ms))
            for record in records
        ]
        answer = await self._writer.append(TOPIC, framed, **query)
        if answer.status not in {OK, GROWN}:
            raise DirectoryError(f'log-append {TOPIC}: {answer.status}')
        if expected and answer.epoch != expected.epoch:
            return False
        return answer.status == OK


def _write_record(record: QuarantineRecord, now_ms: float) -> bytes:
    """Return the value of a record."""
    plain = {
        'ends': record.incarnations,
        'since_ms': round(now_ms - record.age_s * MS),
        'trials': record.probes,
        'cleared': record.cleared,
    }
    return json.dumps(plain, separators=(',', ':')).encode()


def _read_records(records: Iterable[Record]) -> tuple[QuarantineRecord, ...]:
    """Return what records say; one that makes no sense says nothing."""
    now_ms = read_unix_ms()
    found = []
    for record in records:
        try:
            found.append(_read_record(record, now_ms))
        except UNREADABLE as exc:
            emit(RecordIgnored(record.key, repr(exc)))
    return tuple(found)


def _read_record(record: Record, now_ms: float) -> QuarantineRecord:
    """Return a quarantined request; times of day differ, but by seconds."""
    plain = json.loads(record.text)
    if not isinstance(plain, dict):
        raise ValueError('no object')
    since_ms = read_number(plain.get('since_ms'))
    return QuarantineRecord(
        record.key,
        tuple(map(read_text, read_list(plain.get('ends')))),
        max(0, now_ms - since_ms) / MS,
        read_count(plain.get('trials')),
        tuple(map(read_text, read_list(plain.get('cleared', [])))),
    )
