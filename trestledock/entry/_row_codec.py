"""
Encoding of waiting requests and usage
======================================

Sums of waiting requests, tokens by team and ranks of in-flight requests as rows
of plain values in messages between entries.  All are optional fields.  A row
that another version of the program sends in another form is skipped, since the
in-flight requests of the message must arrive in any case.
"""

from contextlib import suppress
from dataclasses import replace
from typing import Any, Callable, Iterator, Mapping, Sequence, TypeVar

from trestledock.entry._checks import (
    read_age_s,
    read_count,
    read_int,
    read_list,
    read_number,
    read_text,
)
from trestledock.entry._flight_codec import Change
from trestledock.relay import (
    MAX_AGE_S,
    Flight,
    Usage,
    UsageKey,
    UsageRow,
    WaitingRow,
)

MS = 1000
#: Maximum number of rows of a kind in a message: 24 teams of 3 ranks fit, each
#: with its small and its long requests.
MAX_ROWS = 150
#: Exceptions that decoding an invalid row raises.
ROW_ERRORS = (ValueError, TypeError)

Decoded = TypeVar('Decoded')


def encode_waiting(row: WaitingRow, now: float) -> Sequence[Any]:
    """Encode a sum of waiting requests."""
    left_s = min(max(0, row.until - now), MAX_AGE_S)
    return [
        *row.sum_key[:3],
        row.count,
        round(row.work_s * MS),
        round(left_s * MS),
    ]


def encode_usage(row: UsageRow) -> Sequence[Any]:
    """Encode the tokens of a team."""
    return (*row.key, row.usage.served, row.usage.refused)


def decode_waiting(
    rows: Any, data_centre: str, now: float
) -> tuple[WaitingRow, ...]:
    """Decode the sums of waiting requests of an entry in a data centre."""

    def decode_row(  # noqa: WPS430 - with the sender's data centre
        service: Any, rank: Any, team: Any, count: Any, work: Any, left: Any
    ) -> WaitingRow:
        return WaitingRow(
            read_text(service),
            read_int(rank),
            read_text(team),
            read_count(count),
            read_age_s(read_number(work) / MS),
            now + read_age_s(read_number(left) / MS),
            data_centre,
        )

    return tuple(_decode_rows(rows, decode_row))


def decode_usage(rows: Any) -> tuple[UsageRow, ...]:
    """Decode the tokens of teams."""
    return tuple(_decode_rows(rows, _decode_usage_row))


def get_ranks(changes: Sequence[Change]) -> dict[str, int]:
    """Return the ranks of requests of services with different ranks."""
    return {
        flight_id: flight.rank
        for flight_id, flight in changes
        if flight and flight.rank is not None
    }


def add_ranks(changes: Sequence[Change], ranks: Any) -> tuple[Change, ...]:
    """Return in-flight requests with their ranks, where they are valid."""
    known = ranks if isinstance(ranks, Mapping) else {}
    return tuple(
        [
            (flight_id, flight and _add_rank(flight, known.get(flight_id)))
            for flight_id, flight in changes
        ]
    )


def _add_rank(flight: Flight, encoded: Any) -> Flight:
    return replace(flight, rank=_read_rank(encoded))


def _read_rank(encoded: Any) -> int | None:
    """Return a valid rank, or None for anything else."""
    with suppress(*ROW_ERRORS):
        return read_int(encoded)
    return None


def _decode_usage_row(
    service: Any, rank: Any, team: Any, served: Any, refused: Any
) -> UsageRow:
    key = UsageKey(read_text(service), read_int(rank), read_text(team))
    return UsageRow(key, Usage(read_count(served), read_count(refused)))


def _decode_rows(
    rows: Any, decode_row: Callable[..., Decoded]
) -> Iterator[Decoded]:
    for row in rows if isinstance(rows, list) else ():
        with suppress(*ROW_ERRORS):
            yield decode_row(*read_list(row))
