"""
Waiting rows
============

Requests that wait for room at engines, summed by service, rank, team and size,
as entries report them to each other.  A row expires when its requests can no
longer be in time: a late request delays no other one, and the message that says
that it was served may be lost.
"""

from collections import defaultdict
from dataclasses import dataclass, field, replace
from math import inf
from typing import Iterable, Sequence

#: A request with a shorter prefill, in seconds, is small: it shares an engine
#: with decoding requests and stays in its data centre.  Placement draws the
#: line between short and long prompts there too.
SMALL_WORK_S = 0.17


@dataclass(frozen=True)
class WaitingRow:
    """Some waiting requests of a service, rank and team.

    `work_s` is their prefill in seconds of one engine.  The last of them can no
    longer be in time at the instant `until`.  `data_centre` is that of their
    entry.
    """

    service: str
    rank: int
    team: str
    count: int
    work_s: float
    until: float = inf
    data_centre: str = ''

    @property
    def mean_work_s(self) -> float:
        """The prefill of one of the requests."""
        return self.work_s / max(1, self.count)

    @property
    def is_small(self) -> bool:
        """Whether the requests share engines with decoding requests."""
        return self.mean_work_s <= SMALL_WORK_S

    @property
    def sum_key(self) -> tuple[str, int, str, bool, str]:
        """What the rows have in common that are summed."""
        return (
            self.service,
            self.rank,
            self.team,
            self.is_small,
            self.data_centre,
        )

    def take(self, count: int) -> 'WaitingRow':
        """Return the row with at most `count` of its requests."""
        taken = min(count, self.count)
        return replace(self, count=taken, work_s=self.mean_work_s * taken)


def sum_rows(rows: Iterable[WaitingRow]) -> tuple[WaitingRow, ...]:
    """Return one row for each service, rank, team, size and data centre."""
    groups: dict[tuple[str, int, str, bool, str], list[WaitingRow]] = (
        defaultdict(list)
    )
    for row in rows:
        groups[row.sum_key].append(row)
    return tuple([_sum_group(group) for group in groups.values()])


def _count(rows: Iterable[WaitingRow]) -> int:
    return sum(row.count for row in rows)


def _sum_group(rows: Sequence[WaitingRow]) -> WaitingRow:
    if len(rows) == 1:
        return rows[0]
    return replace(
        rows[0],
        count=sum(row.count for row in rows),
        work_s=sum(row.work_s for row in rows),
        until=max(row.until for row in rows),
    )


@dataclass
class WaitingTable:
    """Waiting rows by who reported them: a request, or another entry.

    The sums are kept until a row changes or expires, since each waiting request
    reads them each time that it is placed.
    """

    by_source: dict[str, tuple[WaitingRow, ...]] = field(default_factory=dict)
    _sums: tuple[WaitingRow, ...] | None = None
    _valid_until: float = inf

    def put(self, source: str, rows: Sequence[WaitingRow]) -> bool:
        """Replace the rows of a source; return whether fewer requests wait.

        Only then may a request that waits behind them be placed now.
        """
        before = self.by_source.pop(source, ())
        if rows:
            self.by_source[source] = tuple(rows)
        if before or rows:
            self._sums = None
        return _count(before) > _count(rows)

    def drop(self, source: str) -> None:
        """Remove the rows of a source."""
        self.put(source, ())

    def get_rows(self, now: float) -> tuple[WaitingRow, ...]:
        """Return the sums of the rows that have not expired."""
        if self._sums is None or now >= self._valid_until:
            rows = [
                row
                for by_source in self.by_source.values()
                for row in by_source
                if row.until > now
            ]
            self._sums = sum_rows(rows)
            self._valid_until = min([row.until for row in rows], default=inf)
        return self._sums
