"""
Encoding of notices
===================

Notices about targets as rows of plain values in messages between entries, a
list for each kind. Instants are sent as the time since them, because clocks
differ between machines. Older versions of the program know the first kind only
and skip the others.
"""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Callable, Iterable, Mapping, Sequence

from trestledock.entry._checks import (
    read_number,
    read_count,
    read_list,
    read_text,
)
from trestledock.entry._messages import TargetNotice
from trestledock.relay import (
    MAX_PACE,
    Drain,
    Notice,
    Pace,
    RateLimit,
    Backoff,
    PeerBackoff,
)

MS = 1000

Row = Sequence[Any]


@dataclass(frozen=True)
class Encoding:
    """Encoding of a kind of notice: the key of its list, and its decoded type.

    `encode` and `decode` translate the fields before the ages in a row.
    """

    key: str
    decoded_type: type
    encode: Callable[[Any, float], Row]
    decode: Callable[..., Row]


def encode_notices(
    notices: Iterable[TargetNotice], now: float
) -> dict[str, list[Row]]:
    """Encode notices as rows by kind."""
    rows: dict[str, list[Row]] = {
        encoding.key: [] for encoding in ENCODINGS.values()
    }
    for target_notice in notices:
        encoding = ENCODINGS[type(target_notice.notice)]
        rows[encoding.key].append(_encode_row(encoding, target_notice, now))
    return rows


def decode_notices(
    fields: Mapping[str, Any], now: float
) -> tuple[TargetNotice, ...]:
    """Decode rows of notices, or raise if they are invalid."""
    return tuple(
        TargetNotice(read_text(target), _decode_notice(encoding, row, now))
        for encoding in ENCODINGS.values()
        for target, *row in map(
            read_list, read_list(fields.get(encoding.key, []))
        )
    )


def _encode_row(
    encoding: Encoding, target_notice: TargetNotice, now: float
) -> Row:
    notice = target_notice.notice
    return (
        target_notice.target,
        *encoding.encode(notice, now),
        round((now - notice.asked_at) * MS),
        round((now - notice.heard_at) * MS),
    )


def _decode_notice(encoding: Encoding, row: Row, now: float) -> Notice:
    *fields, asked_ms, heard_ms = row
    notice: Notice = encoding.decoded_type(
        *encoding.decode(now, *fields),
        asked_at=now - read_count(asked_ms) / MS,
        heard_at=now - read_count(heard_ms) / MS,
        is_shared=True,
    )
    return notice


def _encode_limit(limit: RateLimit, now: float) -> Row:
    return (limit.per_s,)


def _decode_limit(now: float, per_s: Any) -> Row:
    return (None if per_s is None else max(0, read_number(per_s)),)


def _encode_drain(drain: Drain, now: float) -> Row:
    return ()


def _decode_drain(now: float) -> Row:
    return ()


def _encode_backoff(backoff: Backoff, now: float) -> Row:
    return (max(0, round((backoff.until - now) * MS)),)


def _decode_backoff(now: float, left_ms: Any) -> Row:
    return (now + read_count(left_ms) / MS,)


def _encode_pace(pace: Pace, now: float) -> Row:
    return (pace.factor,)


def _decode_pace(now: float, factor: Any) -> Row:
    return (min(max(1, read_number(factor)), MAX_PACE),)


#: Encodings by kind. A back-off requested from one entry is decoded as one
#: requested elsewhere.
ENCODINGS: Mapping[type, Encoding] = MappingProxyType(
    {
        RateLimit: Encoding('limits', RateLimit, _encode_limit, _decode_limit),
        Drain: Encoding('leaves', Drain, _encode_drain, _decode_drain),
        Backoff: Encoding(
            'rests', PeerBackoff, _encode_backoff, _decode_backoff
        ),
        Pace: Encoding('paces', Pace, _encode_pace, _decode_pace),
    }
)
