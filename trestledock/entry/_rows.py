"""
Rows of flights
===============

How a flight is told to other entries: a row of plain values, with instants as
the time since or until, since clocks differ.
"""

from typing import Any, NamedTuple, Sequence

from trestledock.entry._state import MOST_AGE_S
from trestledock.relay import Flight, Phase

MS = 1000


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
    gone_ms: float = MOST_AGE_S * MS
    patience_ms: float = MOST_AGE_S * MS


def write_change(
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
        due_ms=_get_ms(flight.due - now),
        helpers=flight.helpers,
        tickets=flight.tickets,
        gone_ms=_get_ms(flight.gone - now),
        patience_ms=_get_ms(flight.patience_s),
    )


def _get_ms(seconds: float) -> int:
    """Return milliseconds; what has no end is told as very long."""
    return round(min(seconds, MOST_AGE_S) * MS)


def read_change(told: list[Any], now: float) -> tuple[str, Flight | None]:
    """Return a flight with its id, or the id alone of one that has ended."""
    if len(told) == 1:
        return told[0], None
    row = Row(*told)
    return row.flight_id, Flight(
        flight_id=row.flight_id,
        target=row.target,
        prompt_tokens=row.prompt_tokens,
        output_tokens=row.output_tokens,
        phase=Phase(row.phase),
        since=now - row.since_ms / MS,
        pause_s=row.pause_ms / MS,
        worth=row.worth,
        due=now + row.due_ms / MS,
        helpers=tuple(row.helpers),
        tickets=tuple((name, tokens) for name, tokens in row.tickets),
        gone=now + row.gone_ms / MS,
        patience_s=row.patience_ms / MS,
    )
