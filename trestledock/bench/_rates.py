"""
Ways to share a rate limit
==========================

One target that takes so many requests a second, before entries that all have
requests for it, on a virtual clock.  Each way of sharing decides on the same
arrivals; counted are the most that the target gets in any stretch, how much of
its limit is used, and the words that entries exchange for it.

Midway a part of the entries is cut off from the others; both sides reach the
target on.
"""

from bisect import bisect_left
from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Callable, Protocol

from trestledock.relay import Member, Membership
from trestledock.relay._token_bucket import TokenBucket
from trestledock.relay._quotas import TargetRate, get_quota

#: A stretch in which the target's requests are counted, in seconds.
STRETCH_S = 4.0
#: How long it takes until a word is heard, and until a cut is noticed.
WORD_S = 0.01
NOTICED_S = 2.0
#: How often entries tell what they have, in seconds.
TOLD_S = 0.5
PLACES = 3
TARGET = 't'


@dataclass(frozen=True)
class Day:
    """What is played; the cut lasts from `cut_at` until the end, at `ends_at`.

    `rate` is that of each entry's requests for the target, `cut_share` the part
    of the entries that is cut off.
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

    def get_side(self, entry: int) -> bool:
        """Whether an entry is on the small side of the cut."""
        return entry < self.entries * self.cut_share

    def is_heard(self, entry: int, other: int, now: float) -> bool:
        """Whether words of an entry come to another one."""
        is_same = self.get_side(entry) == self.get_side(other)
        return now < self.cut_at or is_same


@dataclass(frozen=True)
class Found:
    """What a way of sharing came to, before the cut and in it."""

    most: int
    most_in_cut: int
    used: float
    used_in_cut: float
    words_per_s: float


class Way(Protocol):
    """A way of sharing; `words` counts what was told for it."""

    words: int

    def may_send(self, entry: int, now: float) -> bool:
        """Whether a request leaves; if so, it does."""


@dataclass
class Paced:
    """Each entry keeps to a rate of its own, that the way gives it.

    `get_rates` returns the rates of the entries that hear one another.
    """

    day: Day
    get_rates: Callable[['Paced', list[int]], list[float]]
    tells: bool = False
    starts_full: bool = False
    words: int = 0
    sent: list[int] = field(default_factory=list)
    _rates: list[float] = field(default_factory=list)
    _shared_at: float = -TOLD_S
    _groups: list[list[int]] = field(default_factory=list)
    _buckets: list[TokenBucket] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Begin with a part of a request each, or with a whole one."""
        rng = Random(self.day.seed)
        self.sent = [0 for _ in range(self.day.entries)]
        self._rates = [0 for _ in range(self.day.entries)]
        self._buckets = [
            TokenBucket(1 if self.starts_full else rng.random(), 0)
            for _ in range(self.day.entries)
        ]

    def may_send(self, entry: int, now: float) -> bool:
        """Whether a request leaves; if so, it does."""
        if now - self._shared_at >= TOLD_S:
            self._share(now)
        self.sent[entry] += 1
        return self._buckets[entry].try_consume(now, self._rates[entry])

    def _share(self, now: float) -> None:
        """Have the rates follow who is heard, and what was told since."""
        self._shared_at = now
        if self.tells:
            self.words += self.day.entries * (self.day.entries - 1)
        groups = _get_groups(self.day, now)
        if self.tells or groups != self._groups:
            self._groups = groups
            for group in groups:
                rates = self.get_rates(self, group)
                for entry, rate in zip(group, rates, strict=True):
                    self._rates[entry] = rate
        self.sent = [0 for _ in self.sent]


def share_equally(way: Paced, group: list[int]) -> list[float]:
    """Give each entry that is heard an equal part of the whole limit."""
    return [way.day.per_s / len(group) for _ in group]


def share_by_demand(way: Paced, group: list[int]) -> list[float]:
    """Give each a part by the requests that it had lately."""
    total = sum(way.sent[entry] for entry in group) or 1
    return [way.day.per_s * way.sent[entry] / total for entry in group]


def share_among_few(way: Paced, group: list[int]) -> list[float]:
    """Give few of those that are heard the right to send, as the product."""
    members = [_make_member(entry) for entry in group]
    demand = TargetRate(TARGET, 'dc-0', way.day.per_s)
    return [
        get_quota(
            Membership(
                one,
                tuple(other for other in members if other is not one),
                way.day.entries,
            ),
            demand,
        )
        for one in members
    ]


@dataclass
class Counted:
    """Each entry sends while what it has heard of all sendings is below."""

    day: Day
    words: int = 0
    _sent: deque[tuple[float, int]] = field(default_factory=deque)

    def may_send(self, entry: int, now: float) -> bool:
        """Whether a request leaves; if so, it is told to all others."""
        while self._sent and self._sent[0][0] < now - STRETCH_S:
            self._sent.popleft()
        heard = sum(self._knows(entry, one, now) for one in self._sent)
        if heard + 1 > max(1, self.day.per_s * STRETCH_S):
            return False
        self._sent.append((now, entry))
        self.words += self.day.entries - 1
        return True

    def _knows(self, entry: int, sent: tuple[float, int], now: float) -> bool:
        at, sender = sent
        if sender == entry:
            return True
        return at <= now - WORD_S and self.day.is_heard(sender, entry, at)


#: The ways that are compared, by name; the last is the product's.
WAYS: tuple[tuple[str, Callable[[Day], Way]], ...] = (
    (
        'equal parts, each one at once',
        lambda day: Paced(day, share_equally, starts_full=True),
    ),
    ('equal parts', lambda day: Paced(day, share_equally)),
    (
        'parts by demand',
        lambda day: Paced(day, share_by_demand, tells=True),
    ),
    ('count of all', Counted),
    ('few holders', lambda day: Paced(day, share_among_few)),
)


def play(day: Day, way: Way) -> Found:
    """Return what a way of sharing came to on a day."""
    sent = [
        now for now, entry in day.get_arrivals() if way.may_send(entry, now)
    ]
    split = bisect_left(sent, day.cut_at)
    before, after = sent[:split], sent[split:]
    cut_s = day.ends_at - day.cut_at
    return Found(
        most=_get_most(before),
        most_in_cut=_get_most(after),
        used=len(before) / day.cut_at / day.per_s,
        used_in_cut=len(after) / cut_s / day.per_s,
        words_per_s=way.words / day.ends_at,
    )


def _get_groups(day: Day, now: float) -> list[list[int]]:
    """Return the entries by those that believe to hear one another."""
    everyone = range(day.entries)
    if now < day.cut_at + NOTICED_S:
        return [list(everyone)]
    sides = (
        [one for one in everyone if day.get_side(one) is side]
        for side in (False, True)
    )
    return [side for side in sides if side]


def _make_member(entry: int) -> Member:
    return Member(f'entry-{entry}', f'dc-{entry % PLACES}')


def _get_most(sent: list[float]) -> int:
    return max(
        (
            bisect_left(sent, start + STRETCH_S) - number
            for number, start in enumerate(sent)
        ),
        default=0,
    )
