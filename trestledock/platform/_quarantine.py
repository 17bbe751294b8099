"""
Quarantine topic
================

Stores quarantined requests as records of a topic of their own, keyed by
fingerprint.  A request that was answered after all keeps its record, because
other entries may still know the crashes of which it was cleared.
"""

import json
from typing import Any, Iterable, Mapping

from trestledock.clock import read_unix_ms
from trestledock.entry import (
    DirectoryError,
    LogPosition,
    RecordIgnored,
    StoredQuarantine,
    emit,
    read_age_s,
    read_count,
    read_list,
    read_number,
    read_text,
)
from trestledock.platform._entries import DECODE_ERRORS
from trestledock.platform._epochs import StoreEpochs
from trestledock.platform._log import (
    OK,
    KeyedTopic,
    Record,
    StoreClient,
    frame_record,
)
from trestledock.relay import QuarantineRecord, encode_json

TOPIC = 'keyed.quarantine'
#: The store's response if the partition no longer ends at the expected offset.
END_MISMATCH_STATUS = 412
MS = 1000


class QuarantineTopic:
    """The topic of quarantined requests.

    Long-polling reads use a separate connection.
    """

    def __init__(self, address: str, epochs: StoreEpochs) -> None:
        """Set the address without connecting."""
        self._reader = KeyedTopic(StoreClient(address, epochs), TOPIC)
        self._writer = StoreClient(address, epochs)

    async def read_records(self, wait_s: float) -> tuple[QuarantineRecord, ...]:
        """Return new records, waiting up to `wait_s` for the first one."""
        batch = await self._reader.read(wait_s)
        return _decode_records(batch.records)

    async def read_whole(self) -> StoredQuarantine:
        """Return all records and the end of the topic."""
        batch = await KeyedTopic(self._writer, TOPIC).read()
        end = LogPosition(batch.end, batch.epoch)
        return StoredQuarantine(_decode_records(batch.records), end)

    async def write_records(
        self,
        records: Iterable[QuarantineRecord],
        expected: LogPosition | None = None,
    ) -> bool:
        """Write records; return whether the topic ended at `expected`.

        The end must match in offset and epoch: the same offset in another epoch
        belongs to another record.
        """
        query = {} if expected is None else {'expectedEnd': expected.offset}
        now_ms = read_unix_ms()
        framed = [
            frame_record(record.name, _encode_record(record, now_ms))
            for record in records
        ]
        response = await self._writer.append(TOPIC, framed, **query)
        if response.status not in {OK, END_MISMATCH_STATUS}:
            raise DirectoryError(f'log-append {TOPIC}: {response.status}')
        if expected and response.epoch != expected.epoch:
            return False
        return response.status == OK


def _encode_record(record: QuarantineRecord, now_ms: float) -> bytes:
    """Encode the value of a record.

    `ages_ms` are the ages of the crashes as of the writing, for which
    `written_ms` is the time.
    """
    data = {
        'ends': record.incarnations,
        'since_ms': round(now_ms - record.age_s * MS),
        'trials': record.probes,
        'cleared': record.cleared,
        'written_ms': round(now_ms),
        'ages_ms': [round(age_s * MS) for age_s in record.ages_s],
    }
    return encode_json(data)


def _decode_records(records: Iterable[Record]) -> tuple[QuarantineRecord, ...]:
    """Decode records, skipping invalid ones."""
    now_ms = read_unix_ms()
    decoded = []
    for record in records:
        try:
            decoded.append(_decode_record(record, now_ms))
        except DECODE_ERRORS as exc:
            emit(RecordIgnored(record.key, repr(exc)))
    return tuple(decoded)


def _decode_record(record: Record, now_ms: float) -> QuarantineRecord:
    """Decode a quarantined request.

    Its age is correct to within seconds, by which the clocks of entries differ.
    """
    data = json.loads(record.value)
    if not isinstance(data, dict):
        raise ValueError('not a JSON object')
    since_ms = read_number(data.get('since_ms'))
    return QuarantineRecord(
        record.key,
        tuple(map(read_text, read_list(data.get('ends')))),
        read_age_s((now_ms - since_ms) / MS),
        read_count(data.get('trials')),
        tuple(map(read_text, read_list(data.get('cleared', [])))),
        _read_ages_s(data, now_ms),
    )


def _read_ages_s(data: Mapping[str, Any], now_ms: float) -> tuple[float, ...]:
    """Return the ages of the crashes, none in records of older versions."""
    if 'ages_ms' not in data:
        return ()
    passed_ms = max(0, now_ms - read_number(data.get('written_ms')))
    ages_ms = map(read_number, read_list(data['ages_ms']))
    return tuple(read_age_s((age_ms + passed_ms) / MS) for age_ms in ages_ms)
