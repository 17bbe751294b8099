"""
Rows of flights
===============

How a flight is told to other entries: a row of plain values, with instants as
the time since or until, since clocks differ.
"""

from typing import Any, NamedTuple, Sequence

from trestledock.entry._checks import (
    read_number,
    read_count,
    read_list,
    read_text,
)
from trestledock.entry._state import MAX_AGE_S
from trestledock.relay import Flight, Phase

MS = 1000
#: A flight with its id; None where it has ended.
Change = tuple[str, Flight | None]


class Row(NamedTuple):
    """A flight as it is told; instants are told as the time until or since.

    What an older version of the program does not tell has a default.
    """

    flight_id: str
    target: str
    prompt_tokens: int
    output_tokens: int
    phase: str
    since_ms: int
    pause_ms: int
    worth: float
    due_ms: int
    helpers: Sequence[str]
    tickets: Sequence[tuple[str, int]]
    gone_ms: float = MAX_AGE_S * MS
    patience_ms: float = MAX_AGE_S * MS


def encode_change(
    flight_id: str,
    flight: Flight | None,
    now: float,
) -> Sequence[Any]:
    """Return a row; a flight that has ended is told by its id alone."""
    if flight is None:
        return [flight_id]
    return Row(
        flight_id=flight_id,
        target=flight.target,
        prompt_tokens=flight.prompt_tokens,
        output_tokens=flight.output_tokens,
        phase=flight.phase.value,
        since_ms=round((now - flight.since) * MS),
        pause_ms=round(flight.pause_s * MS),
        worth=round(flight.worth, 2),
        due_ms=_get_ms(flight.due_at - now),
        helpers=flight.helpers,
        tickets=flight.reservations,
        gone_ms=_get_ms(flight.abandoned_at - now),
        patience_ms=_get_ms(flight.patience_s),
    )


def _get_ms(seconds: float) -> int:
    """Return milliseconds; what has no end is told as very long."""
    return round(min(seconds, MAX_AGE_S) * MS)


def decode_change(told: Any, now: float) -> Change:
    """Return a flight with its id, or the id alone of one that has ended.

    What makes no sense raises a `ValueError` or a `TypeError`.
    """
    if len(told) == 1:
        return read_text(told[0]), None
    row = Row(*told)
    return row.flight_id, Flight(
        flight_id=read_text(row.flight_id),
        target=read_text(row.target),
        prompt_tokens=read_count(row.prompt_tokens),
        output_tokens=read_count(row.output_tokens),
        phase=Phase(row.phase),
        since=now - read_number(row.since_ms) / MS,
        pause_s=read_number(row.pause_ms) / MS,
        worth=read_number(row.worth),
        due_at=now + read_number(row.due_ms) / MS,
        helpers=tuple(map(read_text, read_list(row.helpers))),
        reservations=tuple(
            (read_text(name), read_count(tokens))
            for name, tokens in read_list(row.tickets)
        ),
        abandoned_at=now + read_number(row.gone_ms) / MS,
        patience_s=read_number(row.patience_ms) / MS,
    )
