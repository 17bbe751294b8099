"""
Rows of notices
===============

How what targets say of themselves is told to other entries: rows of plain
values, a list for each kind, with instants as the time since, as clocks differ.
An older version of the program knows the first kind only and skips the others.
"""

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


def write_notices(
    notices: Iterable[TargetNotice], now: float
) -> dict[str, list[Row]]:
    """Return the rows by kind."""
    rows: dict[str, list[Row]] = {name: [] for name in NAMES.values()}
    for one in notices:
        name = NAMES[type(one.notice)]
        rows[name].append(_write_row(one, now))
    return rows


def read_notices(
    plain: Mapping[str, Any], now: float
) -> tuple[TargetNotice, ...]:
    """Return what rows say, or raise where it makes no sense."""
    return tuple(
        TargetNotice(read_text(target), READERS[kind](now, *row))
        for kind, name in NAMES.items()
        for target, *row in map(read_list, read_list(plain.get(name, [])))
    )


def _write_row(one: TargetNotice, now: float) -> Row:
    asks_for = WRITERS[type(one.notice)](one, now)
    return (one.target, *asks_for, *_write_ages(one.notice, now))


def _write_ages(notice: Notice, now: float) -> tuple[int, int]:
    """Return how long ago a request left and its answer came, in ms."""
    return (
        round((now - notice.asked_at) * MS),
        round((now - notice.heard_at) * MS),
    )


def _write_limit(one: TargetNotice, now: float) -> Row:
    return (one.notice.asks_for,)


def _write_nothing(one: TargetNotice, now: float) -> Row:
    return ()


def _read_limit(
    now: float, per_s: Any, asked_ms: Any, heard_ms: Any
) -> RateLimit:
    return RateLimit(
        None if per_s is None else max(0, read_amount(per_s)),
        now - read_count(asked_ms) / MS,
        now - read_count(heard_ms) / MS,
        is_told=True,
    )


def _write_left(one: TargetNotice, now: float) -> Row:
    until = one.notice.asks_for or now
    return (max(0, round((until - now) * MS)),)


def _read_rest(
    now: float, left_ms: Any, asked_ms: Any, heard_ms: Any
) -> RestElsewhere:
    return RestElsewhere(
        now + read_count(left_ms) / MS,
        now - read_count(asked_ms) / MS,
        now - read_count(heard_ms) / MS,
        is_told=True,
    )


def _read_leave(now: float, asked_ms: Any, heard_ms: Any) -> Leave:
    return Leave(
        now - read_count(asked_ms) / MS,
        now - read_count(heard_ms) / MS,
        is_told=True,
    )


#: The name of each kind's list.
NAMES: Mapping[type, str] = MappingProxyType(
    {RateLimit: 'limits', Leave: 'leaves', Rest: 'rests'}
)
WRITERS: Mapping[type, Callable[[TargetNotice, float], Row]] = MappingProxyType(
    {RateLimit: _write_limit, Leave: _write_nothing, Rest: _write_left}
)
READERS: Mapping[type, Callable[..., Notice]] = MappingProxyType(
    {RateLimit: _read_limit, Leave: _read_leave, Rest: _read_rest}
)
