"""
The wire form of words
======================

Words between entries as JSON.  What makes no sense is refused whole: other
versions of the program, and others altogether, may speak here.  Instants are
told as the time since or until, since clocks differ.
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
from trestledock.relay import Crash

MS = 1000
#: How often an entry of an older version tells everything, in milliseconds.
OLDER_AGAIN_MS = 500

#: What decoding raises where a word makes no sense.
UNREADABLE = (ValueError, LookupError, TypeError, RecursionError)

Plain = Mapping[str, Any]


class InvalidMessage(ValueError):
    """A datagram that makes no sense."""


@singledispatch
def _write(word: Message, now: float) -> dict[str, Any]:
    """Return the fields of a word beside its sender."""
    raise TypeError(f'no word: {word!r}')


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
        'flights': [encode_change(*one, now) for one in word.changes],
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
    return {'kind': 'limits', **encode_notices(word.notices, now)}


def encode_message(word: Message, now: float) -> bytes:
    """Return a word as it is sent."""
    plain = _write(word, now)
    plain['from'] = word.sender
    return json.dumps(plain, separators=(',', ':')).encode()


def _read_flights(plain: Plain, sender: str, now: float) -> Flights:
    rows = read_list(plain['flights'])
    return Flights(
        sender=sender,
        sequence=read_int(plain['sequence']),
        whole=read_bool(plain['whole']),
        data_centre=read_text(plain['data_centre']),
        leaving=read_bool(plain.get('leaving', False)),
        news_age_s=read_number(plain['news_age_ms']) / MS,
        again_s=read_number(plain.get('again_ms', OLDER_AGAIN_MS)) / MS,
        changes=tuple([decode_change(row, now) for row in rows]),
    )


def _read_beat(plain: Plain, sender: str, now: float) -> Beat:
    return Beat(
        sender,
        read_text(plain['data_centre']),
        read_bool(plain.get('leaving', False)),
    )


def _read_fresh(plain: Plain, sender: str, now: float) -> Fresh:
    return Fresh(sender, read_number(plain['news_age_ms']) / MS)


def _read_question(plain: Plain, sender: str, now: float) -> Question:
    return Question(sender, read_number(plain['asked_at']))


def _read_reply(plain: Plain, sender: str, now: float) -> Reply:
    """Read an answer; for older versions each read is a proof."""
    proof_age_s = read_number(plain['proof_age_s'])
    return Reply(
        sender=sender,
        asked_at=read_number(plain['asked_at']),
        proof_age_s=proof_age_s,
        read_age_s=read_number(plain.get('read_age_s', proof_age_s)),
        list_age_s=read_number(plain['list_age_s']),
        version=read_int(plain['version']),
        revision=read_int(plain['revision']),
        epoch=read_optional_count(plain.get('epoch')),
    )


def _read_ends(plain: Plain, sender: str, now: float) -> Ends:
    rows = map(read_list, read_list(plain['ends']))
    return Ends(sender, tuple([_read_end(*row) for row in rows]))


def _read_end(
    fingerprint: Any, incarnation: Any, age_ms: Any
) -> tuple[Crash, float]:
    end = Crash(read_text(fingerprint), read_text(incarnation))
    return end, read_count(age_ms) / MS


def _read_cleared(plain: Plain, sender: str, now: float) -> Cleared:
    ends = map(read_text, read_list(plain['ends']))
    return Cleared(sender, read_text(plain['fingerprint']), tuple(ends))


def _read_notices(plain: Plain, sender: str, now: float) -> ToldNotices:
    return ToldNotices(sender, decode_notices(plain, now))


READERS: Mapping[str, Callable[[Plain, str, float], Message]] = (
    MappingProxyType(
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
)


def decode_message(raw: bytes, now: float) -> Message:
    """Return a word that came in, or raise `InvalidMessage`.

    >>> decode_message(b'{"kind":"fresh","from":"e","news_age_ms":250}', now=0)
    Fresh(sender='e', news_age_s=0.25)
    """
    try:
        plain = json.loads(raw)
        return READERS[plain['kind']](plain, read_text(plain['from']), now)
    except UNREADABLE as exc:
        raise InvalidMessage(repr(exc)) from exc
