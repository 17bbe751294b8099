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

Plain = Mapping[str, Any]


class BadWord(ValueError):
    """Raised for an invalid datagram."""


@singledispatch
def _get_fields(word: Word, now: float) -> dict[str, Any]:
    """Return the fields of a message other than its sender."""
    raise TypeError(f'unknown message type: {word!r}')


@_get_fields.register
def _(word: Flights, now: float) -> dict[str, Any]:
    return {
        'kind': 'flights',
        'sequence': word.sequence,
        'whole': word.whole,
        'data_centre': word.data_centre,
        'leaving': word.leaving,
        'news_age_ms': round(word.news_age_s * MS),
        'again_ms': round(word.again_s * MS),
        'flights': [write_change(*change, now) for change in word.changes],
    }


@_get_fields.register
def _(word: Beat, now: float) -> dict[str, Any]:
    return {
        'kind': 'beat',
        'data_centre': word.data_centre,
        'leaving': word.leaving,
    }


@_get_fields.register
def _(word: Fresh, now: float) -> dict[str, Any]:
    return {'kind': 'fresh', 'news_age_ms': round(word.news_age_s * MS)}


@_get_fields.register
def _(word: Question, now: float) -> dict[str, Any]:
    return {'kind': 'ask', 'asked_at': word.asked_at}


@_get_fields.register
def _(word: Reply, now: float) -> dict[str, Any]:
    return {
        'kind': 'reply',
        'asked_at': word.asked_at,
        'proof_age_s': word.proof_age_s,
        'read_age_s': word.read_age_s,
        'list_age_s': word.list_age_s,
        'version': word.version,
        'revision': word.revision,
        'epoch': word.epoch,
    }


@_get_fields.register
def _(word: Ends, now: float) -> dict[str, Any]:
    rows = [
        (end.fingerprint, end.incarnation, round(age_s * MS))
        for end, age_s in word.ends
    ]
    return {'kind': 'ends', 'ends': rows}


@_get_fields.register
def _(word: Cleared, now: float) -> dict[str, Any]:
    return {
        'kind': 'cleared',
        'fingerprint': word.fingerprint,
        'ends': word.ends,
    }


@_get_fields.register
def _(word: ToldNotices, now: float) -> dict[str, Any]:
    return {'kind': 'limits', **write_notices(word.notices, now)}


def write_word(word: Word, now: float) -> bytes:
    """Return the encoded message."""
    plain = _get_fields(word, now)
    plain['from'] = word.sender
    return json.dumps(plain, separators=(',', ':')).encode()


def _decode_flights(plain: Plain, sender: str, now: float) -> Flights:
    rows = read_list(plain['flights'])
    return Flights(
        sender=sender,
        sequence=read_whole(plain['sequence']),
        whole=read_flag(plain['whole']),
        data_centre=read_text(plain['data_centre']),
        leaving=read_flag(plain.get('leaving', False)),
        news_age_s=read_amount(plain['news_age_ms']) / MS,
        again_s=read_amount(plain.get('again_ms', OLD_VERSION_AGAIN_MS)) / MS,
        changes=tuple([read_change(row, now) for row in rows]),
    )


def _decode_beat(plain: Plain, sender: str, now: float) -> Beat:
    return Beat(
        sender,
        read_text(plain['data_centre']),
        read_flag(plain.get('leaving', False)),
    )


def _decode_fresh(plain: Plain, sender: str, now: float) -> Fresh:
    return Fresh(sender, read_amount(plain['news_age_ms']) / MS)


def _decode_question(plain: Plain, sender: str, now: float) -> Question:
    return Question(sender, read_amount(plain['asked_at']))


def _decode_reply(plain: Plain, sender: str, now: float) -> Reply:
    """Decode a reply; in older versions each read is a proof."""
    proof_age_s = read_amount(plain['proof_age_s'])
    return Reply(
        sender=sender,
        asked_at=read_amount(plain['asked_at']),
        proof_age_s=proof_age_s,
        read_age_s=read_amount(plain.get('read_age_s', proof_age_s)),
        list_age_s=read_amount(plain['list_age_s']),
        version=read_whole(plain['version']),
        revision=read_whole(plain['revision']),
        epoch=read_optional_count(plain.get('epoch')),
    )


def _decode_ends(plain: Plain, sender: str, now: float) -> Ends:
    rows = map(read_list, read_list(plain['ends']))
    return Ends(sender, tuple([_decode_crash(*row) for row in rows]))


def _decode_crash(
    fingerprint: Any, incarnation: Any, age_ms: Any
) -> tuple[End, float]:
    end = End(read_text(fingerprint), read_text(incarnation))
    return end, read_count(age_ms) / MS


def _decode_cleared(plain: Plain, sender: str, now: float) -> Cleared:
    ends = map(read_text, read_list(plain['ends']))
    return Cleared(sender, read_text(plain['fingerprint']), tuple(ends))


def _decode_notices(plain: Plain, sender: str, now: float) -> ToldNotices:
    return ToldNotices(sender, read_notices(plain, now))


DECODERS: Mapping[str, Callable[[Plain, str, float], Word]] = MappingProxyType(
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
        plain = json.loads(raw)
        return DECODERS[plain['kind']](plain, read_text(plain['from']), now)
    except DECODE_ERRORS as exc:
        raise BadWord(repr(exc)) from exc
