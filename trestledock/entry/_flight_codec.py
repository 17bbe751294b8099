"""
Encoding of in-flight requests
==============================

An in-flight request as a row of plain values in messages between entries.
Instants are sent as the time since or until them, because clocks differ between
machines.
"""

from typing import Any, NamedTuple, Sequence

from trestledock.entry._checks import (
    read_number,
    read_count,
    read_list,
    read_text,
)
from trestledock.relay import MAX_AGE_S, Flight, Phase

MS = 1000
#: In-flight request with its id, or None once it has ended.
Change = tuple[str, Flight | None]


class Row(NamedTuple):
    """Encoded in-flight request; instants as the time until or since them.

    Fields that older versions of the program don't send have defaults.
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
    reservations: Sequence[tuple[str, int]]
    abandoned_after_ms: float = MAX_AGE_S * MS
    event_timeout_ms: float = MAX_AGE_S * MS


def encode_change(
    flight_id: str,
    flight: Flight | None,
    now: float,
) -> Sequence[Any]:
    """Encode an in-flight request; one that has ended is its id alone."""
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
        reservations=flight.reservations,
        abandoned_after_ms=_get_ms(flight.abandoned_at - now),
        event_timeout_ms=_get_ms(flight.event_timeout_s),
    )


def _get_ms(seconds: float) -> int:
    """Return milliseconds, with infinity as a very long time."""
    return round(min(seconds, MAX_AGE_S) * MS)


def decode_change(values: Any, now: float) -> Change:
    """Decode an in-flight request, or the id alone of one that has ended.

    An invalid row raises a `ValueError` or a `TypeError`.
    """
    if len(values) == 1:
        return read_text(values[0]), None
    row = Row(*values)
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
            for name, tokens in read_list(row.reservations)
        ),
        abandoned_at=now + read_number(row.abandoned_after_ms) / MS,
        event_timeout_s=read_number(row.event_timeout_ms) / MS,
    )
