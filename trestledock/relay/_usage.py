"""
Usage by team
=============

The tokens that each team of a rank got lately, over all entries, and the tokens
of its refused requests.  The counts order teams as the virtual token counters
of Sheng et al. (Fairness in Serving Large Language Models, OSDI 2024): the team
that was served the fewest tokens goes first, and a team that returns from idle
starts at the least counter of the active teams, so that it doesn't catch up on
what it did not ask for.  Unlike there, tokens are forgotten after a time
window, so that entries that start late count like all others.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import Iterable, Iterator, NamedTuple, Sequence

#: The time for which tokens count, in seconds.  Callers compete for some
#: seconds, and the longest prompts take up to 8 s until their first event: a
#: shorter window would forget a long prompt before the next one of its team.
WINDOW_S = 10.0


class UsageKey(NamedTuple):
    """A team within a rank of a service."""

    service: str
    rank: int
    team: str


@dataclass(frozen=True)
class Usage:
    """Tokens of served and of refused requests."""

    served: int = 0
    refused: int = 0

    def __add__(self, other: 'Usage') -> 'Usage':
        """Return the sum."""
        return Usage(self.served + other.served, self.refused + other.refused)

    def __sub__(self, other: 'Usage') -> 'Usage':
        """Return the difference."""
        return Usage(self.served - other.served, self.refused - other.refused)

    def __bool__(self) -> bool:
        """Return whether there are any tokens."""
        return bool(self.served or self.refused)


NO_USAGE = Usage()


class UsageRow(NamedTuple):
    """The usage of a team, as entries report it."""

    key: UsageKey
    usage: Usage


@dataclass(frozen=True)
class _Lift:
    """The counter at which a team that returned from idle started."""

    tokens: float
    at: float


NO_LIFT = _Lift(0, 0)


@dataclass
class UsageTable:
    """Usage by team: of this entry, and as last reported by the others."""

    peers: dict[str, tuple[UsageRow, ...]] = field(default_factory=dict)
    _recent: deque[tuple[float, UsageRow]] = field(default_factory=deque)
    _own: dict[UsageKey, Usage] = field(
        default_factory=lambda: defaultdict(Usage)
    )
    _sums: dict[UsageKey, Usage] = field(
        default_factory=lambda: defaultdict(Usage)
    )
    _lifts: dict[UsageKey, _Lift] = field(default_factory=dict)

    def record(self, key: UsageKey, usage: Usage, now: float) -> None:
        """Record tokens that this entry served or refused."""
        self.lift_returning([key], now)
        self._recent.append((now, UsageRow(key, usage)))
        self._add(self._own, key, usage)
        self._add(self._sums, key, usage)

    def put(self, sender: str, rows: Sequence[UsageRow], now: float) -> None:
        """Replace the report of another entry."""
        self.lift_returning([row.key for row in rows], now)
        self.drop(sender)
        for key, usage in rows:
            self._add(self._sums, key, usage)
        if rows:
            self.peers[sender] = tuple(rows)

    def drop(self, sender: str) -> None:
        """Remove the report of an entry that no longer sends messages."""
        for key, usage in self.peers.pop(sender, ()):
            self._add(self._sums, key, NO_USAGE - usage)

    def get_own_rows(self, now: float) -> tuple[UsageRow, ...]:
        """Return this entry's usage for the others."""
        self._expire(now)
        return tuple([UsageRow(*pair) for pair in self._own.items()])

    def get_usage_by_rank(self, service: str, now: float) -> dict[int, Usage]:
        """Return the usage of a service's teams by rank."""
        self._expire(now)
        by_rank: dict[int, Usage] = defaultdict(Usage)
        for key, usage in self._sums.items():
            if key.service == service:
                by_rank[key.rank] += usage
        return by_rank

    def get_counter(self, key: UsageKey) -> float:
        """Return the tokens that order a team among those of its rank."""
        lift = self._lifts.get(key, NO_LIFT)
        return lift.tokens + self._sums.get(key, NO_USAGE).served

    def lift_returning(self, active: Iterable[UsageKey], now: float) -> None:
        """Start teams that return from idle at the least active counter.

        `active` are teams with waiting, served or refused requests.  A team was
        idle if it was neither served, refused nor lifted in the time window.
        """
        self._expire(now)
        for key in sorted(set(active)):
            if key not in self._lifts and key not in self._sums:
                others = [
                    self.get_counter(other)
                    for other in self._get_active_others(key)
                ]
                self._lifts[key] = _Lift(min(others, default=0), now)

    def _get_active_others(self, key: UsageKey) -> Iterator[UsageKey]:
        """Yield the other active teams of a rank."""
        for other in self._sums.keys() | self._lifts.keys():
            if other[:2] == key[:2] and other != key:
                yield other

    def _expire(self, now: float) -> None:
        """Forget the own tokens and the lifts beyond the time window."""
        while self._recent and self._recent[0][0] <= now - WINDOW_S:
            _, (key, usage) = self._recent.popleft()
            self._add(self._own, key, NO_USAGE - usage)
            self._add(self._sums, key, NO_USAGE - usage)
        self._lifts = {
            key: lift
            for key, lift in self._lifts.items()
            if lift.at > now - WINDOW_S
        }

    def _add(
        self, sums: dict[UsageKey, Usage], key: UsageKey, usage: Usage
    ) -> None:
        total = sums[key] + usage
        if total:
            sums[key] = total
        else:
            sums.pop(key)
