"""
Target records
==============

Decodes the records that targets write about themselves under `servers/`.
Anyone may write there, so every field is validated before any part of a record
is used; an invalid record describes no target.
"""

import json
import re
from ipaddress import IPv4Address
from types import MappingProxyType
from typing import Any, Callable, Mapping

from trestledock.entry import (
    ColdTime,
    TargetUpdate,
    read_count,
    read_number,
    read_text,
)
from trestledock.platform._fields import Field, read_fields
from trestledock.relay import UNKNOWN_BIRTH, ListedTarget, Standing

#: The states that the platform names.
STANDING_BY_STATE: Mapping[str, Standing] = MappingProxyType(
    {'ready': Standing.ready, 'draining': Standing.draining}
)
#: Ids are written into headers, and into incarnation names before an `@`.
TARGET_ID = re.compile('[!-?A-~]+')
MAX_PORT = 65_535
#: Raised when a record can't be decoded.  `RecursionError` is raised for deeply
#: nested JSON.
DECODE_ERRORS = (ValueError, RecursionError)


def _read_name(data: Any) -> str:
    if not read_text(data):
        raise ValueError('empty name')
    return str(data)


def _read_positive(data: Any) -> int:
    if not read_count(data):
        raise ValueError('number must be greater than 0')
    return int(data)


def _read_address(data: Any) -> str:
    host, _, port = read_text(data).rpartition(':')
    IPv4Address(host)
    if not port.isascii() or not port.isdigit():
        raise ValueError(f'port is not a number: {data!r}')
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'port out of range: {data!r}')
    return f'{host}:{int(port)}'


def _read_standing(data: Any) -> Standing:
    state = read_text(data)
    if state not in STANDING_BY_STATE:
        raise ValueError(f'unknown state: {state!r}')
    return STANDING_BY_STATE[state]


#: `zone` is the data centre, `state` tells whether the target accepts new
#: requests, and `sequence` counts the heartbeats of one incarnation.
TARGET_FIELDS = (
    Field('service', 'service', _read_name),
    Field('address', 'address', _read_address),
    Field('zone', 'data_centre', _read_name),
    Field('state', 'standing', _read_standing),
    Field('slots', 'slots', _read_positive),
    Field('sequence', 'sequence', read_count),
    Field('born', 'born', _read_positive),
)
#: For how many milliseconds a target stays cold.
COLD_FIELD = 'coldLeftMs'
MS = 1000
#: Optional fields, whose values are no part of a listed target.  They are
#: validated because a wrong type shows that the record was not written by a
#: target.
EXTRA_FIELDS: Mapping[str, Callable[[Any], Any]] = MappingProxyType(
    {'version': read_text, COLD_FIELD: read_number, 'phase': read_text}
)
#: Platforms that assign a new id at each start of a target omit its birth time.
FIELD_DEFAULTS = MappingProxyType({'born': UNKNOWN_BIRTH})


def decode_target(key: str, raw: bytes) -> TargetUpdate:
    """Decode a target's record, or raise one of `DECODE_ERRORS`."""
    data = json.loads(raw)
    if not isinstance(data, dict):
        raise ValueError('not a JSON object')
    if not TARGET_ID.fullmatch(key):
        raise ValueError('invalid target id')
    attributes = {**FIELD_DEFAULTS, **read_fields(data, TARGET_FIELDS)}
    for name in EXTRA_FIELDS.keys() & data.keys():
        EXTRA_FIELDS[name](data[name])
    missing = [
        field.wire_name
        for field in TARGET_FIELDS
        if field.attribute not in attributes
    ]
    if missing:
        raise ValueError(f'missing fields: {missing}')
    listed = ListedTarget(target_id=key, **attributes)
    if COLD_FIELD not in data:
        return TargetUpdate(key, listed)
    return TargetUpdate(key, listed, ColdTime(data[COLD_FIELD] / MS))


def decode_address(raw: bytes) -> str:
    """Decode the address of an entry, or raise `ValueError`."""
    return _read_address(raw.decode())
