"""
Records of evacuations
======================

An operator evacuates a data centre with a record under its key, and ends the
evacuation with a record without a value.
"""

import json

from trestledock.entry import EvacuationUnreadable, RecordIgnored, emit
from trestledock.platform._log import Batch, Record

#: The prefix of the keys; the rest is the name of a data centre.
EVACUATION_PREFIX = 'evacuate/'


class EvacuationRecords:
    """The evacuated data centres, by the records read so far.

    Only the key counts.  A value that can't be read evacuates too, since not to
    send is the safe choice, and is logged once.
    """

    def __init__(self) -> None:
        """Start without any records."""
        self._evacuated: set[str] = set()
        self._unreadable: dict[str, bytes] = {}

    def apply(self, batch: Batch) -> frozenset[str]:
        """Apply records in log order; return the evacuated data centres."""
        if batch.whole:
            self._evacuated.clear()
        for record in batch.records:
            if record.key.startswith(EVACUATION_PREFIX):
                self._apply_record(record)
        return frozenset(self._evacuated)

    def _apply_record(self, record: Record) -> None:
        name = record.key.removeprefix(EVACUATION_PREFIX)
        if not name:
            emit(RecordIgnored(record.key, 'names no data centre'))
        elif record.value:
            self._evacuated.add(name)
            self._check_value(name, record.value)
        else:
            self._evacuated.discard(name)
            self._unreadable.pop(name, None)

    def _check_value(self, name: str, raw: bytes) -> None:
        detail = _find_problem(raw)
        if detail and self._unreadable.get(name) != raw:
            self._unreadable[name] = raw
            emit(EvacuationUnreadable(name, detail))


def _find_problem(raw: bytes) -> str:
    """Return why a value can't be read, empty if it can.

    >>> _find_problem(b'{}'), _find_problem(b'[]')
    ('', 'not an object')
    """
    try:
        decoded = json.loads(raw)
    except (ValueError, RecursionError) as exc:
        return repr(exc)
    return '' if isinstance(decoded, dict) else 'not an object'
