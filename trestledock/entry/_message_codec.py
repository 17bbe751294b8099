"""
Encoding of messages between entries
====================================

Messages as JSON. An invalid message is rejected as a whole, since other
versions of the program and unrelated senders may use the port. Instants are
sent as the time since or until them, because clocks differ between machines.
"""

import json
from functools import singledispatch
from types import MappingProxyType
from typing import Any, Callable, Mapping

from trestledock.entry._checks import (
    read_number,
    read_count,
    read_bool,
    read_list,
    read_optional_age_s,
    read_optional_count,
    read_text,
    read_int,
)
from trestledock.entry._notice_codec import decode_notices, encode_notices
from trestledock.entry._flight_codec import decode_change, encode_change
from trestledock.entry._messages import (
    Beat,
    Cleared,
    Ends,
    Flights,
    Fresh,
    Question,
    Reply,
    ToldNotices,
    Message,
)
from trestledock.entry._row_codec import (
    MAX_ROWS,
    add_ranks,
    decode_usage,
    decode_waiting,
    encode_usage,
    encode_waiting,
    get_ranks,
)
from trestledock.relay import Crash, encode_json

MS = 1000
#: Period of the full state in older versions, in milliseconds.
DEFAULT_AGAIN_MS = 500

#: Exceptions that decoding an invalid message raises.
DECODE_ERRORS = (ValueError, LookupError, TypeError, RecursionError)

Fields = Mapping[str, Any]


class InvalidMessage(ValueError):
    """Raised for an invalid datagram."""


@singledispatch
def _get_fields(message: Message, now: float) -> dict[str, Any]:
    """Return the fields of a message other than its sender."""
    raise TypeError(f'unknown message type: {message!r}')


@_get_fields.register
def _(message: Flights, now: float) -> dict[str, Any]:
    return {
        'kind': 'flights',
        'sequence': message.sequence,
        'whole': message.whole,
        'data_centre': message.data_centre,
        'leaving': message.leaving,
        'news_age_ms': round(message.store_age_s * MS),
        'again_ms': round(message.again_s * MS),
        'evacuations': message.sends_evacuations,
        'flights': [encode_change(*change, now) for change in message.changes],
        **({} if message.offers_tunnels else {'tunnels': False}),
        **_get_ranked_fields(message, now),
    }


def _get_ranked_fields(message: Flights, now: float) -> dict[str, Any]:
    """Return the fields that only services with different ranks need."""
    fields = {
        'waiting': [
            encode_waiting(row, now) for row in message.waiting[:MAX_ROWS]
        ],
        'served': [encode_usage(row) for row in message.served[:MAX_ROWS]],
        'ranks': get_ranks(message.changes),
    }
    return {name: rows for name, rows in fields.items() if rows}


@_get_fields.register
def _(message: Beat, now: float) -> dict[str, Any]:
    return {
        'kind': 'beat',
        'data_centre': message.data_centre,
        'leaving': message.leaving,
    }


@_get_fields.register
def _(message: Fresh, now: float) -> dict[str, Any]:
    return {'kind': 'fresh', 'news_age_ms': round(message.store_age_s * MS)}


@_get_fields.register
def _(message: Question, now: float) -> dict[str, Any]:
    return {'kind': 'ask', 'asked_at': message.asked_at}


@_get_fields.register
def _(message: Reply, now: float) -> dict[str, Any]:
    return {
        'kind': 'reply',
        'asked_at': message.asked_at,
        'proof_age_s': message.proof_age_s,
        'read_age_s': message.read_age_s,
        'list_age_s': message.list_age_s,
        'version': message.version,
        'revision': message.revision,
        'epoch': message.epoch,
        'evacuated_age_s': message.evacuated_age_s,
    }


@_get_fields.register
def _(message: Ends, now: float) -> dict[str, Any]:
    rows = [
        (end.name, end.incarnation, round(age_s * MS))
        for end, age_s in message.ends
    ]
    return {'kind': 'ends', 'ends': rows}


@_get_fields.register
def _(message: Cleared, now: float) -> dict[str, Any]:
    return {
        'kind': 'cleared',
        'fingerprint': message.fingerprint,
        'ends': message.ends,
    }


@_get_fields.register
def _(message: ToldNotices, now: float) -> dict[str, Any]:
    return {'kind': 'limits', **encode_notices(message.notices, now)}


def encode_message(message: Message, now: float) -> bytes:
    """Return the encoded message."""
    fields = _get_fields(message, now)
    fields['from'] = message.sender
    return encode_json(fields)


def _decode_flights(fields: Fields, sender: str, now: float) -> Flights:
    rows = read_list(fields['flights'])
    changes = [decode_change(row, now) for row in rows]
    data_centre = read_text(fields['data_centre'])
    return Flights(
        sender=sender,
        sequence=read_int(fields['sequence']),
        whole=read_bool(fields['whole']),
        data_centre=data_centre,
        leaving=read_bool(fields.get('leaving', False)),
        store_age_s=read_number(fields['news_age_ms']) / MS,
        again_s=read_number(fields.get('again_ms', DEFAULT_AGAIN_MS)) / MS,
        sends_evacuations=read_bool(fields.get('evacuations', False)),
        offers_tunnels=read_bool(fields.get('tunnels', True)),
        changes=add_ranks(changes, fields.get('ranks')),
        waiting=decode_waiting(fields.get('waiting'), data_centre, now),
        served=decode_usage(fields.get('served')),
    )


def _decode_beat(fields: Fields, sender: str, now: float) -> Beat:
    return Beat(
        sender,
        read_text(fields['data_centre']),
        read_bool(fields.get('leaving', False)),
    )


def _decode_fresh(fields: Fields, sender: str, now: float) -> Fresh:
    return Fresh(sender, read_number(fields['news_age_ms']) / MS)


def _decode_question(fields: Fields, sender: str, now: float) -> Question:
    return Question(sender, read_number(fields['asked_at']))


def _decode_reply(fields: Fields, sender: str, now: float) -> Reply:
    """Decode a reply; in older versions each read is a proof."""
    proof_age_s = read_number(fields['proof_age_s'])
    return Reply(
        sender=sender,
        asked_at=read_number(fields['asked_at']),
        proof_age_s=proof_age_s,
        read_age_s=read_number(fields.get('read_age_s', proof_age_s)),
        list_age_s=read_number(fields['list_age_s']),
        version=read_int(fields['version']),
        revision=read_int(fields['revision']),
        epoch=read_optional_count(fields.get('epoch')),
        evacuated_age_s=read_optional_age_s(fields.get('evacuated_age_s')),
    )


def _decode_ends(fields: Fields, sender: str, now: float) -> Ends:
    rows = map(read_list, read_list(fields['ends']))
    return Ends(sender, tuple([_decode_crash(*row) for row in rows]))


def _decode_crash(
    fingerprint: Any, incarnation: Any, age_ms: Any
) -> tuple[Crash, float]:
    crash = Crash(read_text(fingerprint), read_text(incarnation))
    return crash, read_count(age_ms) / MS


def _decode_cleared(fields: Fields, sender: str, now: float) -> Cleared:
    incarnations = map(read_text, read_list(fields['ends']))
    return Cleared(
        sender, read_text(fields['fingerprint']), tuple(incarnations)
    )


def _decode_notices(fields: Fields, sender: str, now: float) -> ToldNotices:
    return ToldNotices(sender, decode_notices(fields, now))


DECODERS: Mapping[str, Callable[[Fields, str, float], Message]] = (
    MappingProxyType(
        {
            'flights': _decode_flights,
            'beat': _decode_beat,
            'fresh': _decode_fresh,
            'ask': _decode_question,
            'reply': _decode_reply,
            'ends': _decode_ends,
            'cleared': _decode_cleared,
            'limits': _decode_notices,
        }
    )
)


def decode_message(raw: bytes, now: float) -> Message:
    """Decode a message, or raise `InvalidMessage`.

    >>> decode_message(b'{"kind":"fresh","from":"e","news_age_ms":250}', now=0)
    Fresh(sender='e', store_age_s=0.25)
    """
    try:
        fields = json.loads(raw)
        return DECODERS[fields['kind']](fields, read_text(fields['from']), now)
    except DECODE_ERRORS as exc:
        raise InvalidMessage(repr(exc)) from exc
