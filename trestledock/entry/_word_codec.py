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
    read_amount,
    read_count,
    read_flag,
    read_list,
    read_optional_count,
    read_text,
    read_whole,
)
from trestledock.entry._notice_rows import read_notices, write_notices
from trestledock.entry._rows import read_change, write_change
from trestledock.entry._words import (
    Beat,
    Cleared,
    Ends,
    Flights,
    Fresh,
    Question,
    Reply,
    ToldNotices,
    Word,
)
from trestledock.relay import End

MS = 1000
#: Period of the full state in older versions, in milliseconds.
OLD_VERSION_AGAIN_MS = 500

#: Exceptions that decoding an invalid message raises.
DECODE_ERRORS = (ValueError, LookupError, TypeError, RecursionError)

Fields = Mapping[str, Any]


class BadWord(ValueError):
    """Raised for an invalid datagram."""


@singledispatch
def _get_fields(message: Word, now: float) -> dict[str, Any]:
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
        'news_age_ms': round(message.news_age_s * MS),
        'again_ms': round(message.again_s * MS),
        'flights': [write_change(*change, now) for change in message.changes],
    }


@_get_fields.register
def _(message: Beat, now: float) -> dict[str, Any]:
    return {
        'kind': 'beat',
        'data_centre': message.data_centre,
        'leaving': message.leaving,
    }


@_get_fields.register
def _(message: Fresh, now: float) -> dict[str, Any]:
    return {'kind': 'fresh', 'news_age_ms': round(message.news_age_s * MS)}


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
    }


@_get_fields.register
def _(message: Ends, now: float) -> dict[str, Any]:
    rows = [
        (end.fingerprint, end.incarnation, round(age_s * MS))
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
    return {'kind': 'limits', **write_notices(message.notices, now)}


def write_word(message: Word, now: float) -> bytes:
    """Return the encoded message."""
    fields = _get_fields(message, now)
    fields['from'] = message.sender
    return json.dumps(fields, separators=(',', ':')).encode()


def _decode_flights(fields: Fields, sender: str, now: float) -> Flights:
    rows = read_list(fields['flights'])
    return Flights(
        sender=sender,
        sequence=read_whole(fields['sequence']),
        whole=read_flag(fields['whole']),
        data_centre=read_text(fields['data_centre']),
        leaving=read_flag(fields.get('leaving', False)),
        news_age_s=read_amount(fields['news_age_ms']) / MS,
        again_s=read_amount(fields.get('again_ms', OLD_VERSION_AGAIN_MS)) / MS,
        changes=tuple([read_change(row, now) for row in rows]),
    )


def _decode_beat(fields: Fields, sender: str, now: float) -> Beat:
    return Beat(
        sender,
        read_text(fields['data_centre']),
        read_flag(fields.get('leaving', False)),
    )


def _decode_fresh(fields: Fields, sender: str, now: float) -> Fresh:
    return Fresh(sender, read_amount(fields['news_age_ms']) / MS)


def _decode_question(fields: Fields, sender: str, now: float) -> Question:
    return Question(sender, read_amount(fields['asked_at']))


def _decode_reply(fields: Fields, sender: str, now: float) -> Reply:
    """Decode a reply; in older versions each read is a proof."""
    proof_age_s = read_amount(fields['proof_age_s'])
    return Reply(
        sender=sender,
        asked_at=read_amount(fields['asked_at']),
        proof_age_s=proof_age_s,
        read_age_s=read_amount(fields.get('read_age_s', proof_age_s)),
        list_age_s=read_amount(fields['list_age_s']),
        version=read_whole(fields['version']),
        revision=read_whole(fields['revision']),
        epoch=read_optional_count(fields.get('epoch')),
    )


def _decode_ends(fields: Fields, sender: str, now: float) -> Ends:
    rows = map(read_list, read_list(fields['ends']))
    return Ends(sender, tuple([_decode_crash(*row) for row in rows]))


def _decode_crash(
    fingerprint: Any, incarnation: Any, age_ms: Any
) -> tuple[End, float]:
    crash = End(read_text(fingerprint), read_text(incarnation))
    return crash, read_count(age_ms) / MS


def _decode_cleared(fields: Fields, sender: str, now: float) -> Cleared:
    incarnations = map(read_text, read_list(fields['ends']))
    return Cleared(
        sender, read_text(fields['fingerprint']), tuple(incarnations)
    )


def _decode_notices(fields: Fields, sender: str, now: float) -> ToldNotices:
    return ToldNotices(sender, read_notices(fields, now))


DECODERS: Mapping[str, Callable[[Fields, str, float], Word]] = MappingProxyType(
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


def read_word(raw: bytes, now: float) -> Word:
    """Decode a message, or raise `BadWord`.

    >>> read_word(b'{"kind":"fresh","from":"e","news_age_ms":250}', now=0)
    Fresh(sender='e', news_age_s=0.25)
    """
    try:
        fields = json.loads(raw)
        return DECODERS[fields['kind']](fields, read_text(fields['from']), now)
    except DECODE_ERRORS as exc:
        raise BadWord(repr(exc)) from exc
