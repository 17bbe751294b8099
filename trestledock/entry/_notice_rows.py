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
    read_amount,
    read_count,
    read_list,
    read_text,
)
from trestledock.entry._words import TargetNotice
from trestledock.relay import Leave, Notice, RateLimit, Rest, RestElsewhere

MS = 1000

Row = Sequence[Any]


@dataclass(frozen=True)
class Form:
    """Encoding of a kind of notice: the key of its list, and its decoded type.

    `write` and `read` translate the fields before the ages in a row.
    """

    name: str
    told_as: type
    write: Callable[[Any, float], Row]
    read: Callable[..., Row]


def write_notices(
    notices: Iterable[TargetNotice], now: float
) -> dict[str, list[Row]]:
    """Encode notices as rows by kind."""
    rows: dict[str, list[Row]] = {form.name: [] for form in FORMS.values()}
    for entry in notices:
        form = FORMS[type(entry.notice)]
        rows[form.name].append(_write_row(form, entry, now))
    return rows


def read_notices(
    plain: Mapping[str, Any], now: float
) -> tuple[TargetNotice, ...]:
    """Decode rows of notices, or raise if they are invalid."""
    return tuple(
        TargetNotice(read_text(target), _read_notice(form, row, now))
        for form in FORMS.values()
        for target, *row in map(read_list, read_list(plain.get(form.name, [])))
    )


def _write_row(form: Form, one: TargetNotice, now: float) -> Row:
    notice = one.notice
    return (
        one.target,
        *form.write(notice, now),
        round((now - notice.asked_at) * MS),
        round((now - notice.heard_at) * MS),
    )


def _read_notice(form: Form, row: Row, now: float) -> Notice:
    *asks_for, asked_ms, heard_ms = row
    notice: Notice = form.told_as(
        *form.read(now, *asks_for),
        asked_at=now - read_count(asked_ms) / MS,
        heard_at=now - read_count(heard_ms) / MS,
        is_told=True,
    )
    return notice


def _write_limit(limit: RateLimit, now: float) -> Row:
    return (limit.per_s,)


def _read_limit(now: float, per_s: Any) -> Row:
    return (None if per_s is None else max(0, read_amount(per_s)),)


def _write_leave(leave: Leave, now: float) -> Row:
    return ()


def _read_leave(now: float) -> Row:
    return ()


def _write_rest(rest: Rest, now: float) -> Row:
    return (max(0, round((rest.until - now) * MS)),)


def _read_rest(now: float, left_ms: Any) -> Row:
    return (now + read_count(left_ms) / MS,)


#: Encodings by kind. A back-off requested from one entry is decoded as one
#: requested elsewhere.
FORMS: Mapping[type, Form] = MappingProxyType(
    {
        RateLimit: Form('limits', RateLimit, _write_limit, _read_limit),
        Leave: Form('leaves', Leave, _write_leave, _read_leave),
        Rest: Form('rests', RestElsewhere, _write_rest, _read_rest),
    }
)
