"""
Metrics of outcomes
===================

Counts how requests ended and how long they waited before placement, broken down
by rank, team, size and data centre. Each breakdown is a family of its own,
since their product would have thousands of series.
"""

from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Mapping

from trestledock.entry import _events as events
from trestledock.entry._histogram import HistogramCounts
from trestledock.entry._metric_labels import (
    NONE,
    OTHER,
    FirstNames,
    LargestNames,
)

#: Labels of each breakdown. Each entry has one data centre, so that this label
#: adds no series.
BREAKDOWNS: Mapping[str, tuple[str, ...]] = MappingProxyType(
    {
        'data_centre': ('data_centre',),
        'rank': ('data_centre', 'rank'),
        'team': ('data_centre', 'team'),
        'size': ('data_centre', 'service', 'tenth'),
    }
)
#: Labels of the counters after those of the breakdown.
ENDING_LABELS = ('outcome', 'reason')
COUNTER_TEXT = 'Requests by outcome and'
HISTOGRAM_TEXT = 'From arrival to the first choice or the end, by'

#: The number of teams that count as the largest, and the maximum number of
#: teams with a label value of their own. The second is larger since teams keep
#: their values when others outgrow them.
LARGEST_TEAMS = 10
MAX_TEAMS = 30
MAX_SERVICES = 16
#: The highest rank with a label value of its own; targets distinguish 0 to 9.
MAX_RANK = 9
MS = 1000


def _make_teams() -> LargestNames:
    return LargestNames(LARGEST_TEAMS, MAX_TEAMS)


def _make_services() -> FirstNames:
    return FirstNames(MAX_SERVICES)


def _get_rank_label(rank: int | None) -> str:
    if rank is None:
        return NONE
    return str(rank) if 0 <= rank <= MAX_RANK else OTHER


@dataclass
class BreakdownCounts:
    """Counts by labels and ending, and waits by labels."""

    counts: dict[tuple[str, ...], int] = field(default_factory=dict)
    waits: dict[tuple[str, ...], HistogramCounts] = field(default_factory=dict)

    def add(
        self, labels: tuple[str, ...], ending: tuple[str, str], waited_s: float
    ) -> None:
        """Count a request."""
        key = (*labels, *ending)
        self.counts[key] = self.counts.get(key, 0) + 1
        if labels not in self.waits:
            self.waits[labels] = HistogramCounts()
        self.waits[labels].add(waited_s)


def _make_breakdowns() -> dict[str, BreakdownCounts]:
    return {name: BreakdownCounts() for name in BREAKDOWNS}


@dataclass
class OutcomeMetrics:
    """The breakdowns of one process."""

    teams: LargestNames = field(default_factory=_make_teams)
    services: FirstNames = field(default_factory=_make_services)
    breakdowns: dict[str, BreakdownCounts] = field(
        default_factory=_make_breakdowns
    )

    def record(self, event: events.RequestEnded) -> None:
        """Count a request in each breakdown."""
        labels_by_name = {
            'data_centre': (),
            'rank': (_get_rank_label(event.rank),),
            'team': (self.teams.get_label(event.team),),
            'size': (
                self.services.get_label(event.service),
                str(event.tenth or NONE),
            ),
        }
        ending = (event.outcome, event.reason)
        for name, labels in labels_by_name.items():
            self.breakdowns[name].add(
                (event.data_centre, *labels), ending, event.waited_ms / MS
            )
