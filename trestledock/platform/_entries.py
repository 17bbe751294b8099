"""
Entries of targets
==================

Decodes what targets write of themselves under `servers/`.  Anybody may write
there, so each field is checked before anything of an entry is believed: one
that makes no sense names no target.
"""

import json
import re
from ipaddress import IPv4Address
from types import MappingProxyType
from typing import Any, Callable, Mapping

from trestledock.entry import read_number, read_count, read_text
from trestledock.platform._fields import Field, read_fields
from trestledock.relay import UNKNOWN_BIRTH, ListedTarget, Standing

#: What stands for the states that the platform names.
STANDINGS: Mapping[str, Standing] = MappingProxyType(
    {'ready': Standing.ready, 'draining': Standing.leaving}
)
#: An id goes into headers, and into names of incarnations after a `@`.
TARGET_ID = re.compile('[!-?A-~]+')
MOST_PORT = 65_535
#: What decoding raises where an entry makes no sense; nested too deep is one.
UNREADABLE = (ValueError, RecursionError)


def _read_name(plain: Any) -> str:
    if not read_text(plain):
        raise ValueError('empty')
    return str(plain)


def _read_positive(plain: Any) -> int:
    if not read_count(plain):
        raise ValueError('zero')
    return int(plain)


def _read_address(plain: Any) -> str:
    host, _, port = read_text(plain).rpartition(':')
    IPv4Address(host)
    if not port.isascii() or not port.isdigit():
        raise ValueError(f'no port: {plain!r}')
    if not 0 < int(port) <= MOST_PORT:
        raise ValueError(f'no port: {plain!r}')
    return f'{host}:{int(port)}'


def _read_standing(plain: Any) -> Standing:
    state = read_text(plain)
    if state not in STANDINGS:
        raise ValueError(f'unknown state: {state!r}')
    return STANDINGS[state]


#: `zone` is a data centre, `state` says whether new work may come, and
#: `sequence` counts the heartbeats of one incarnation.
ENTRY_FIELDS = (
    Field('service', 'service', _read_name),
    Field('address', 'address', _read_address),
    Field('zone', 'data_centre', _read_name),
    Field('state', 'standing', _read_standing),
    Field('slots', 'slots', _read_positive),
    Field('sequence', 'sequence', read_count),
    Field('born', 'born', _read_positive),
)
#: What else an entry may say; nothing here is believed, but what another writer
#: has put there tells it apart from a target's.
BESIDE: Mapping[str, Callable[[Any], Any]] = MappingProxyType(
    {'version': read_text, 'coldLeftMs': read_number, 'phase': read_text}
)
#: Platforms that give each start of a target a new id don't tell its birth.
OPTIONAL = MappingProxyType({'born': UNKNOWN_BIRTH})


def decode_entry(key: str, raw: bytes) -> ListedTarget:
    """Return the target that an entry names, or raise one of `UNREADABLE`."""
    plain = json.loads(raw)
    if not isinstance(plain, dict):
        raise ValueError('no object')
    if not TARGET_ID.fullmatch(key):
        raise ValueError('no id')
    found = {**OPTIONAL, **read_fields(plain, ENTRY_FIELDS)}
    for name in BESIDE.keys() & plain.keys():
        BESIDE[name](plain[name])
    missing = [one.wire for one in ENTRY_FIELDS if one.name not in found]
    if missing:
        raise ValueError(f'missing: {missing}')
    return ListedTarget(target_id=key, **found)


def decode_address(raw: bytes) -> str:
    """Return the address of an entry process, or raise a `ValueError`."""
    return _read_address(raw.decode())
