"""
Waiting rows
============

Requests that wait for room at engines, summed by service, rank, team and size,
as entries report them to each other.  A row expires when its requests can no
longer wait, so a message that says that they were served may be lost.
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

    `work_s` is their prefill in seconds of one engine.  The last of them stops
    waiting at the instant `until`.  `data_centre` is that of their entry.
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
class PeerWaiting:
    """The waiting rows of the other entries, by the name of the entry.

    The sums are kept until a message changes them or a row expires, since each
    waiting request reads them each time that it is placed.
    """

    by_sender: dict[str, tuple[WaitingRow, ...]] = field(default_factory=dict)
    _sums: dict[str, tuple[WaitingRow, ...]] = field(default_factory=dict)
    _valid_until: float = inf

    def put(self, sender: str, rows: Sequence[WaitingRow]) -> bool:
        """Replace the rows of an entry; return whether they differ."""
        before = self.by_sender.pop(sender, ())
        if rows:
            self.by_sender[sender] = tuple(rows)
        if before or rows:
            self._reset()
        return bool(before or rows)

    def drop(self, sender: str) -> None:
        """Remove the rows of an entry that no longer sends messages."""
        self.put(sender, ())

    def get_rows(self, service: str, now: float) -> tuple[WaitingRow, ...]:
        """Return the sums of a service's rows that have not expired."""
        if now >= self._valid_until:
            self._reset()
        if service not in self._sums:
            rows = [
                row
                for by_sender in self.by_sender.values()
                for row in by_sender
                if row.service == service and row.until > now
            ]
            self._sums[service] = sum_rows(rows)
            self._valid_until = min(
                [self._valid_until, *(row.until for row in rows)]
            )
        return self._sums[service]

    def _reset(self) -> None:
        self._sums = {}
        self._valid_until = inf
