"""
Rows of notices
===============

How what targets say of themselves is told to other entries: rows of plain
values, a list for each kind, with instants as the time since, as clocks differ.
An older version of the program knows the first kind only and skips the others.
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
from trestledock.relay import Drain, Notice, RateLimit, Backoff, PeerBackoff

MS = 1000

Row = Sequence[Any]


@dataclass(frozen=True)
class Form:
    """How a kind of notice is told: in which list, and as what it is read.

    `write` and `read` translate what stands before the ages in a row.
    """

    name: str
    told_as: type
    write: Callable[[Any, float], Row]
    read: Callable[..., Row]


def encode_notices(
    notices: Iterable[TargetNotice], now: float
) -> dict[str, list[Row]]:
    """Return the rows by kind."""
    rows: dict[str, list[Row]] = {form.name: [] for form in FORMS.values()}
    for one in notices:
        form = FORMS[type(one.notice)]
        rows[form.name].append(_write_row(form, one, now))
    return rows


def decode_notices(
    plain: Mapping[str, Any], now: float
) -> tuple[TargetNotice, ...]:
    """Return what rows say, or raise where it makes no sense."""
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
        is_shared=True,
    )
    return notice


def _write_limit(limit: RateLimit, now: float) -> Row:
    return (limit.per_s,)


def _read_limit(now: float, per_s: Any) -> Row:
    return (None if per_s is None else max(0, read_number(per_s)),)


def _write_leave(leave: Drain, now: float) -> Row:
    return ()


def _read_leave(now: float) -> Row:
    return ()


def _write_rest(rest: Backoff, now: float) -> Row:
    return (max(0, round((rest.until - now) * MS)),)


def _read_rest(now: float, left_ms: Any) -> Row:
    return (now + read_count(left_ms) / MS,)


#: What one entry is asked for is elsewhere for those that it tells.
FORMS: Mapping[type, Form] = MappingProxyType(
    {
        RateLimit: Form('limits', RateLimit, _write_limit, _read_limit),
        Drain: Form('leaves', Drain, _write_leave, _read_leave),
        Backoff: Form('rests', PeerBackoff, _write_rest, _read_rest),
    }
)
