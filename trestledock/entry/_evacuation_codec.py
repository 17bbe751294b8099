"""
Encoding of evacuations
=======================

The evacuated data centres in an update between entries.  Older versions of the
program send none, which means that theirs are unknown, not that there are none.
"""

from typing import Any, Mapping

from trestledock.entry import _events as events
from trestledock.entry._checks import (
    read_age_s,
    read_bool,
    read_list,
    read_text,
)
from trestledock.entry._logger import emit
from trestledock.relay import EvacuationList, Evacuations

#: The optional field of an update.
EVACUATED_FIELD = 'evacuated'


def encode_evacuations(
    evacuations: Evacuations, now: float
) -> dict[str, Any] | None:
    """Encode the list of an entry, None if it has none."""
    if not evacuations.is_known:
        return None
    return {
        'names': sorted(evacuations.names),
        'age_s': evacuations.get_age_s(now),
        'complete': evacuations.is_complete,
    }


def decode_evacuations(
    fields: Mapping[str, Any], asked_at: float, now: float, sender: str
) -> EvacuationList | None:
    """Decode the list in an update, None if it has none.

    An invalid list is logged and skipped, as the rest of the update is valid.
    """
    encoded = fields.get(EVACUATED_FIELD)
    if encoded is None:
        return None
    try:
        return _decode(encoded, asked_at, now)
    except (ValueError, LookupError, TypeError) as exc:
        emit(events.RecordIgnored(sender, f'{EVACUATED_FIELD}: {exc!r}'))
        return None


def _decode(
    encoded: Mapping[str, Any], asked_at: float, now: float
) -> EvacuationList:
    age_s = read_age_s(encoded['age_s'])
    return EvacuationList(
        names=frozenset(map(read_text, read_list(encoded['names']))),
        as_of=asked_at - age_s,
        latest_at=now - age_s,
        is_complete=read_bool(encoded['complete']),
    )
