"""
Strategies for sharing a rate limit
===================================

Simulates, on a virtual clock, one target with a limit of requests a second and
several entries that all have requests for it.  Each strategy decides on the
same arrivals.  The results are the most requests that the target gets in any
window, the utilization of its limit, and the number of messages that the
entries exchange for it.

During a network partition, a part of the entries is cut off from the others,
while both sides still reach the target.
"""

from bisect import bisect_left
from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Callable, Protocol

from trestledock.relay import Member, Membership
from trestledock.relay._quotas import TargetRate, get_quota
from trestledock.relay._token_bucket import TokenBucket

#: The window in which the target's requests are counted, in seconds.
WINDOW_S = 4.0
#: The delay of a message, and the time to detect a partition, in seconds.
MESSAGE_DELAY_S = 0.01
CUT_DETECTION_S = 2.0
#: The interval in which entries report their demand, in seconds.
REPORT_INTERVAL_S = 0.5
DATA_CENTRES = 3
TARGET = 't'


@dataclass(frozen=True)
class Scenario:
    """The parameters of a simulation.

    `per_s` is the limit of the target, and `rate` the arrivals a second at each
    entry.  The share `cut_share` of the entries is cut off from `cut_at` to the
    end, at `ends_at`.
    """

    entries: int
    per_s: float
    rate: float
    cut_at: float = 60
    ends_at: float = 100
    cut_share: float = 0.34
    seed: int = 1

    def get_arrivals(self) -> list[tuple[float, int]]:
        """Return the instants of requests with their entries."""
        rng = Random(self.seed)
        arrivals = []
        now: float = 0
        while now < self.ends_at:
            now += rng.expovariate(self.rate * self.entries)
            arrivals.append((now, rng.randrange(self.entries)))
        return arrivals

    def is_in_minority(self, entry: int) -> bool:
        """Return whether an entry is on the smaller side of the partition."""
        return entry < self.entries * self.cut_share

    def can_hear(self, entry: int, other: int, now: float) -> bool:
        """Return whether messages of an entry reach another entry."""
        is_same = self.is_in_minority(entry) == self.is_in_minority(other)
        return now < self.cut_at or is_same


@dataclass(frozen=True)
class Result:
    """The results of a strategy, before the partition and during it."""

    max_in_window: int
    max_in_window_cut: int
    utilization: float
    utilization_cut: float
    messages_per_s: float


class Strategy(Protocol):
    """A strategy; `message_count` counts the messages that it needs."""

    message_count: int

    def try_send(self, entry: int, now: float) -> bool:
        """Send a request if the strategy allows it; return whether it does."""


@dataclass
class RateShares:
    """Gives each entry a rate of its own.

    `get_rates` returns the rates of the entries of one side, which hear each
    other.
    """

    scenario: Scenario
    get_rates: Callable[['RateShares', list[int]], list[float]]
    reports_demand: bool = False
    starts_with_token: bool = False
    message_count: int = 0
    sent: list[int] = field(default_factory=list)
    _rates: list[float] = field(default_factory=list)
    _updated_at: float = -REPORT_INTERVAL_S
    _groups: list[list[int]] = field(default_factory=list)
    _buckets: list[TokenBucket] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Fill the token buckets at random, or with one token each."""
        rng = Random(self.scenario.seed)
        self.sent = [0 for _ in range(self.scenario.entries)]
        self._rates = [0 for _ in range(self.scenario.entries)]
        self._buckets = [
            TokenBucket(1 if self.starts_with_token else rng.random(), 0)
            for _ in range(self.scenario.entries)
        ]

    def try_send(self, entry: int, now: float) -> bool:
        """Send a request if the strategy allows it; return whether it does."""
        if now - self._updated_at >= REPORT_INTERVAL_S:
            self._update_rates(now)
        self.sent[entry] += 1
        return self._buckets[entry].try_consume(now, self._rates[entry])

    def _update_rates(self, now: float) -> None:
        """Recompute the rates from the reachable entries and their demand."""
        self._updated_at = now
        if self.reports_demand:
            self.message_count += self.scenario.entries * (
                self.scenario.entries - 1
            )
        groups = _get_groups(self.scenario, now)
        if self.reports_demand or groups != self._groups:
            self._groups = groups
            for group in groups:
                rates = self.get_rates(self, group)
                for entry, rate in zip(group, rates, strict=True):
                    self._rates[entry] = rate
        self.sent = [0 for _ in self.sent]


def share_equally(strategy: RateShares, group: list[int]) -> list[float]:
    """Give each entry of a group an equal share of the whole limit."""
    return [strategy.scenario.per_s / len(group) for _ in group]


def share_by_demand(strategy: RateShares, group: list[int]) -> list[float]:
    """Give each entry a share proportional to its recent requests."""
    total = sum(strategy.sent[entry] for entry in group) or 1
    return [
        strategy.scenario.per_s * strategy.sent[entry] / total
        for entry in group
    ]


def share_among_holders(strategy: RateShares, group: list[int]) -> list[float]:
    """Give the whole limit to a few entries of a group, as the product does."""
    members = [_make_member(entry) for entry in group]
    limit = TargetRate(TARGET, 'dc-0', strategy.scenario.per_s)
    return [
        get_quota(
            Membership(
                member,
                tuple(other for other in members if other is not member),
                strategy.scenario.entries,
            ),
            limit,
        )
        for member in members
    ]


@dataclass
class SharedCounter:
    """Lets entries send while the requests they know of are below the limit."""

    scenario: Scenario
    message_count: int = 0
    _sent: deque[tuple[float, int]] = field(default_factory=deque)

    def try_send(self, entry: int, now: float) -> bool:
        """Send a request if the limit allows it, and notify all others."""
        while self._sent and self._sent[0][0] < now - WINDOW_S:
            self._sent.popleft()
        known = sum(self._is_known(entry, sent, now) for sent in self._sent)
        if known + 1 > max(1, self.scenario.per_s * WINDOW_S):
            return False
        self._sent.append((now, entry))
        self.message_count += self.scenario.entries - 1
        return True

    def _is_known(
        self, entry: int, sent: tuple[float, int], now: float
    ) -> bool:
        at, sender = sent
        if sender == entry:
            return True
        return at <= now - MESSAGE_DELAY_S and self.scenario.can_hear(
            sender, entry, at
        )


#: The strategies by their names in the table; the product uses the last one.
STRATEGIES: tuple[tuple[str, Callable[[Scenario], Strategy]], ...] = (
    (
        'equal parts, each one at once',
        lambda scenario: RateShares(
            scenario, share_equally, starts_with_token=True
        ),
    ),
    ('equal parts', lambda scenario: RateShares(scenario, share_equally)),
    (
        'parts by demand',
        lambda scenario: RateShares(
            scenario, share_by_demand, reports_demand=True
        ),
    ),
    ('count of all', SharedCounter),
    ('few holders', lambda scenario: RateShares(scenario, share_among_holders)),
)


def simulate(scenario: Scenario, strategy: Strategy) -> Result:
    """Return the results of a strategy in a scenario."""
    sent = [
        now
        for now, entry in scenario.get_arrivals()
        if strategy.try_send(entry, now)
    ]
    split = bisect_left(sent, scenario.cut_at)
    before, after = sent[:split], sent[split:]
    cut_s = scenario.ends_at - scenario.cut_at
    return Result(
        max_in_window=_get_max_in_window(before),
        max_in_window_cut=_get_max_in_window(after),
        utilization=len(before) / scenario.cut_at / scenario.per_s,
        utilization_cut=len(after) / cut_s / scenario.per_s,
        messages_per_s=strategy.message_count / scenario.ends_at,
    )


def _get_groups(scenario: Scenario, now: float) -> list[list[int]]:
    """Return the groups of entries that consider each other reachable."""
    all_entries = range(scenario.entries)
    if now < scenario.cut_at + CUT_DETECTION_S:
        return [list(all_entries)]
    sides = (
        [
            entry
            for entry in all_entries
            if scenario.is_in_minority(entry) is side
        ]
        for side in (False, True)
    )
    return [side for side in sides if side]


def _make_member(entry: int) -> Member:
    return Member(f'entry-{entry}', f'dc-{entry % DATA_CENTRES}')


def _get_max_in_window(sent: list[float]) -> int:
    return max(
        (
            bisect_left(sent, start + WINDOW_S) - index
            for index, start in enumerate(sent)
        ),
        default=0,
    )
