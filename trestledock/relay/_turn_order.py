"""
Turn order
==========

Which waiting requests of a service go before a request: by rank; within a rank,
those of the teams that were served the fewest tokens lately; within a team, by
arrival.  All instances that have the same rows order them in the same way, and
ties are broken by the names of the teams, so no two requests wait for each
other for longer than a message takes.

In a shortage, ranks alone would starve the longest prompts (the load is that of
`_shortage`), so a rank that was served too little lately goes first for one
placement at a time.
"""

from dataclasses import dataclass
from functools import partial
from math import ceil
from typing import Callable, Iterator, Mapping, Sequence

from trestledock.relay._usage import Usage
from trestledock.relay._wait_queue import WaitingRequest
from trestledock.relay._waiting_rows import WaitingRow

#: A rank with waiting requests of which less than this share of the tokens was
#: served lately goes first.  Callers count a kind as starved that gets less
#: than a quarter of what it asks for.
STARVED_SHARE = 0.25

#: Returns the tokens that order the teams of a rank.
GetCounter = Callable[[int, str], float]


@dataclass(frozen=True)
class Standings:
    """What the order depends on beside the waiting requests.

    `rate` is the prefill rate of an engine, in tokens per second.
    """

    get_counter: GetCounter
    starved: frozenset[int]
    rate: float


def find_starved_ranks(
    rows: Sequence[WaitingRow], usage: Mapping[int, Usage], rate: float
) -> frozenset[int]:
    """Return the ranks with waiting requests that are served too little.

    Requests that still wait count as asked for, but only a rank that had
    requests refused lately is starved: at the beginning of a shortage,
    all ranks wait.
    """
    waiting: dict[int, float] = {}
    for row in rows:
        waiting[row.rank] = waiting.get(row.rank, 0) + row.work_s * rate
    starved = []
    for rank, tokens in waiting.items():
        lately = usage.get(rank, Usage())
        asked = lately.served + lately.refused + tokens
        if lately.refused and lately.served < asked * STARVED_SHARE:
            starved.append(rank)
    return frozenset(starved)


def get_rows_ahead(
    request: WaitingRequest,
    rows: Sequence[WaitingRow],
    standings: Standings,
) -> tuple[WaitingRow, ...]:
    """Return the part of the rows that goes before a request, in order.

    Those of the same team are left out: only their own instance knows the order
    of their arrival.
    """
    return (
        *_get_starved_ahead(request, rows, standings),
        *_get_urgent_ahead(request, rows, standings),
        *_get_teams_ahead(request, rows, standings),
    )


def _get_starved_ahead(
    request: WaitingRequest, rows: Sequence[WaitingRow], standings: Standings
) -> Iterator[WaitingRow]:
    """Yield one request of each less urgent rank that is starved."""
    if request.rank in standings.starved:
        return
    for rank in sorted(standings.starved):
        if rank > request.rank:
            alike = [row for row in rows if row.rank == rank]
            yield min(alike, key=partial(_get_team_order, standings)).take(1)


def _get_urgent_ahead(
    request: WaitingRequest, rows: Sequence[WaitingRow], standings: Standings
) -> list[WaitingRow]:
    """Return the requests of more urgent ranks; a starved rank passes them."""
    is_starved = request.rank in standings.starved
    urgent = [
        row
        for row in rows
        if row.rank < request.rank
        and (not is_starved or row.rank in standings.starved)
    ]
    return sorted(urgent, key=lambda row: row.rank)


def _get_teams_ahead(
    request: WaitingRequest, rows: Sequence[WaitingRow], standings: Standings
) -> Iterator[WaitingRow]:
    """Yield what other teams of the rank get until their counters are even."""
    own = standings.get_counter(request.rank, request.team)
    for row in rows:
        if row.rank != request.rank or row.team == request.team:
            continue
        order = _get_team_order(standings, row)
        if order < (own, request.team):
            tokens = max(1, row.mean_work_s * standings.rate)
            yield row.take(max(1, ceil((own - order[0]) / tokens)))


def _get_team_order(standings: Standings, row: WaitingRow) -> tuple[float, str]:
    return standings.get_counter(row.rank, row.team), row.team
