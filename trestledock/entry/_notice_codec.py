"""
Encoding of notices
===================

Notices about targets as rows of plain values in messages between entries, a
list for each kind. Instants are sent as the time since them, because clocks
differ between machines. Older versions of the program know the first kind only
and skip the others. Of a kind that was added later, an invalid row is skipped,
too, so that it doesn't cost the other notices in its message.
"""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Callable, Iterable, Iterator, Mapping, Sequence

from trestledock.entry._checks import (
    read_number,
    read_count,
    read_list,
    read_text,
)
from trestledock.entry import _events as events
from trestledock.entry._logger import emit
from trestledock.entry._messages import TargetNotice
from trestledock.relay import (
    MAX_COLD_S,
    Backoff,
    ColdStart,
    Drain,
    Notice,
    PeerBackoff,
    RateLimit,
)

MS = 1000
#: Exceptions that decoding an invalid row raises.
ROW_ERRORS = (ValueError, TypeError)

Row = Sequence[Any]


@dataclass(frozen=True)
class Encoding:
    """Encoding of a kind of notice: the key of its list, and its decoded type.

    `encode` and `decode` translate the fields before the ages in a row.  An
    optional list is sent only with rows, and its invalid rows are skipped.
    """

    key: str
    decoded_type: type
    encode: Callable[[Any, float], Row]
    decode: Callable[..., Row]
    is_optional: bool = False


def encode_notices(
    notices: Iterable[TargetNotice], now: float
) -> dict[str, list[Row]]:
    """Encode notices as rows by kind."""
    rows: dict[str, list[Row]] = {
        encoding.key: []
        for encoding in ENCODINGS.values()
        if not encoding.is_optional
    }
    for target_notice in notices:
        encoding = ENCODINGS[type(target_notice.notice)]
        row = _encode_row(encoding, target_notice, now)
        rows.setdefault(encoding.key, []).append(row)
    return rows


def decode_notices(
    fields: Mapping[str, Any], now: float
) -> tuple[TargetNotice, ...]:
    """Decode rows of notices, or raise if they are invalid."""
    notices: list[TargetNotice] = []
    for encoding in ENCODINGS.values():
        rows = fields.get(encoding.key, [])
        if encoding.is_optional:
            notices.extend(_decode_valid(encoding, rows, now))
        else:
            notices.extend(
                _decode_row(encoding, row, now) for row in read_list(rows)
            )
    return tuple(notices)


def _decode_valid(
    encoding: Encoding, rows: Any, now: float
) -> Iterator[TargetNotice]:
    """Yield the notices of the valid rows; log the first invalid one."""
    errors = []
    for row in rows if isinstance(rows, list) else [rows]:
        try:
            yield _decode_row(encoding, row, now)
        except ROW_ERRORS as exc:
            errors.append(repr(exc))
    if errors:
        detail = f'{len(errors)} rows: {errors[0]}'
        emit(events.NoticeIgnored('', encoding.key, detail))


def _decode_row(encoding: Encoding, encoded: Any, now: float) -> TargetNotice:
    target, *row = read_list(encoded)
    return TargetNotice(read_text(target), _decode_notice(encoding, row, now))


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


def _encode_cold(cold: ColdStart, now: float) -> Row:
    return (max(0, round((cold.until - now) * MS)),)


def _decode_cold(now: float, left_ms: Any) -> Row:
    left_s = read_count(left_ms) / MS
    if left_s > MAX_COLD_S:
        raise ValueError(f'cold for {left_s} s')
    return now + left_s, now


#: Encodings by kind. A back-off requested from one entry is decoded as one
#: requested elsewhere.
ENCODINGS: Mapping[type, Encoding] = MappingProxyType(
    {
        RateLimit: Encoding('limits', RateLimit, _encode_limit, _decode_limit),
        Drain: Encoding('leaves', Drain, _encode_drain, _decode_drain),
        Backoff: Encoding(
            'rests', PeerBackoff, _encode_backoff, _decode_backoff
        ),
        ColdStart: Encoding(
            'colds', ColdStart, _encode_cold, _decode_cold, is_optional=True
        ),
    }
)
