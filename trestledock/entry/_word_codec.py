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
OLDER_AGAIN_MS = 500

#: Exceptions that decoding an invalid message raises.
UNREADABLE = (ValueError, LookupError, TypeError, RecursionError)

Plain = Mapping[str, Any]


class BadWord(ValueError):
    """Raised for an invalid datagram."""


@singledispatch
def _write(word: Word, now: float) -> dict[str, Any]:
    """Return the fields of a message other than its sender."""
    raise TypeError(f'unknown message type: {word!r}')


@_write.register
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


@_write.register
def _(word: Beat, now: float) -> dict[str, Any]:
    return {
        'kind': 'beat',
        'data_centre': word.data_centre,
        'leaving': word.leaving,
    }


@_write.register
def _(word: Fresh, now: float) -> dict[str, Any]:
    return {'kind': 'fresh', 'news_age_ms': round(word.news_age_s * MS)}


@_write.register
def _(word: Question, now: float) -> dict[str, Any]:
    return {'kind': 'ask', 'asked_at': word.asked_at}


@_write.register
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


@_write.register
def _(word: Ends, now: float) -> dict[str, Any]:
    rows = [
        (end.fingerprint, end.incarnation, round(age_s * MS))
        for end, age_s in word.ends
    ]
    return {'kind': 'ends', 'ends': rows}


@_write.register
def _(word: Cleared, now: float) -> dict[str, Any]:
    return {
        'kind': 'cleared',
        'fingerprint': word.fingerprint,
        'ends': word.ends,
    }


@_write.register
def _(word: ToldNotices, now: float) -> dict[str, Any]:
    return {'kind': 'limits', **write_notices(word.notices, now)}


def write_word(word: Word, now: float) -> bytes:
    """Return the encoded message."""
    plain = _write(word, now)
    plain['from'] = word.sender
    return json.dumps(plain, separators=(',', ':')).encode()


def _read_flights(plain: Plain, sender: str, now: float) -> Flights:
    rows = read_list(plain['flights'])
    return Flights(
        sender=sender,
        sequence=read_whole(plain['sequence']),
        whole=read_flag(plain['whole']),
        data_centre=read_text(plain['data_centre']),
        leaving=read_flag(plain.get('leaving', False)),
        news_age_s=read_amount(plain['news_age_ms']) / MS,
        again_s=read_amount(plain.get('again_ms', OLDER_AGAIN_MS)) / MS,
        changes=tuple([read_change(row, now) for row in rows]),
    )


def _read_beat(plain: Plain, sender: str, now: float) -> Beat:
    return Beat(
        sender,
        read_text(plain['data_centre']),
        read_flag(plain.get('leaving', False)),
    )


def _read_fresh(plain: Plain, sender: str, now: float) -> Fresh:
    return Fresh(sender, read_amount(plain['news_age_ms']) / MS)


def _read_question(plain: Plain, sender: str, now: float) -> Question:
    return Question(sender, read_amount(plain['asked_at']))


def _read_reply(plain: Plain, sender: str, now: float) -> Reply:
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


def _read_ends(plain: Plain, sender: str, now: float) -> Ends:
    rows = map(read_list, read_list(plain['ends']))
    return Ends(sender, tuple([_read_end(*row) for row in rows]))


def _read_end(
    fingerprint: Any, incarnation: Any, age_ms: Any
) -> tuple[End, float]:
    end = End(read_text(fingerprint), read_text(incarnation))
    return end, read_count(age_ms) / MS


def _read_cleared(plain: Plain, sender: str, now: float) -> Cleared:
    ends = map(read_text, read_list(plain['ends']))
    return Cleared(sender, read_text(plain['fingerprint']), tuple(ends))


def _read_notices(plain: Plain, sender: str, now: float) -> ToldNotices:
    return ToldNotices(sender, read_notices(plain, now))


READERS: Mapping[str, Callable[[Plain, str, float], Word]] = MappingProxyType(
    {
        'flights': _read_flights,
        'beat': _read_beat,
        'fresh': _read_fresh,
        'ask': _read_question,
        'reply': _read_reply,
        'ends': _read_ends,
        'cleared': _read_cleared,
        'limits': _read_notices,
    }
)


def read_word(raw: bytes, now: float) -> Word:
    """Decode a message, or raise `BadWord`.

    >>> read_word(b'{"kind":"fresh","from":"e","news_age_ms":250}', now=0)
    Fresh(sender='e', news_age_s=0.25)
    """
    try:
        plain = json.loads(raw)
        return READERS[plain['kind']](plain, read_text(plain['from']), now)
    except UNREADABLE as exc:
        raise BadWord(repr(exc)) from exc
