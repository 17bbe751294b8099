"""
Ways to spare a target that asked for rest
==========================================

A target turns one entry away and wants rest from it.  Whether the others, which
weren't asked, should spare it as well is compared on the same arrivals: each
learns by itself, all are told and keep away, or all are told and go there only
where every other target rests.

    python -m trestledock.bench.rests
"""

from collections import Counter
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import floor
from random import Random
from types import MappingProxyType
from typing import Callable, Mapping

import click

from trestledock.entry._throttling import MIN_REMAINING_SHARE
from trestledock.relay import Notices, Backoff
from trestledock.relay._backoff import BackoffGate, get_jitter_s

#: One target: how much it works on at once, and how much may wait besides.
SLOTS = 6
QUEUE = 24
#: What one request takes, and the way to a target, in seconds.
WORK_S = 0.03
WAY_S = 0.002
#: The rest that is asked for, in seconds.
REST_S = 3.0
#: How often one request may be sent.
MOST_SENDINGS = 6
SIZES = (6, 24, 195)
#: Days: how many of how many targets shed, for how long in seconds, and the
#: part of what all can do that callers ask for.
DAYS = (
    (1, 3, 5, 0.5),
    (1, 12, 5, 0.6),
    (2, 3, 5, 0.5),
    (3, 3, 5, 0.5),
    (3, 3, 0.1, 0.5),
    (1, 1, 0.1, 0.5),
)


@dataclass(frozen=True)
class Day:
    """Requests at all entries together, and which targets shed when.

    `load` is the part of what all targets can do; each of the first `shedding`
    turns all away from `from_s` on, for `for_s`.
    """

    entries: int
    targets: int
    load: float
    shedding: int
    from_s: float = 2.0
    for_s: float = 5.0
    length_s: float = 14.0
    seed: int = 1

    def is_shedding(self, target: int, now: float) -> bool:
        """Whether a target turns all away."""
        in_time = self.from_s <= now < self.from_s + self.for_s
        return in_time and target < self.shedding


@dataclass
class Found:
    """What a way came to."""

    served: int = 0
    refused: int = 0
    repeats: int = 0
    twice: int = 0
    back: Counter[int] = field(default_factory=Counter)


Allowed = Callable[['Fleet', int, float], list[int]]


@dataclass
class Fleet:
    """Targets, and what each entry believes of them."""

    day: Day
    allowed: Allowed
    found: Found = field(default_factory=Found)

    def __post_init__(self) -> None:
        """Begin with idle targets."""
        self.rng = Random(self.day.seed)
        self.free_at = [
            [float() for _ in range(SLOTS)] for _ in range(self.day.targets)
        ]
        self.resting = [BackoffGate(Notices()) for _ in range(self.day.entries)]
        self.told: dict[int, float] = {}

    def get_own(self, entry: int, now: float) -> list[int]:
        """Return the targets that an entry may use by its own rests."""
        return [
            one
            for one in range(self.day.targets)
            if self.resting[entry].can_send(str(one), now)
        ]

    def get_untold(self, targets: list[int], now: float) -> list[int]:
        """Return the targets that rest from nobody."""
        return [one for one in targets if self.told.get(one, 0) <= now]

    def ask(self, entry: int, now: float) -> None:
        """Send a request until a target takes it."""
        at = now
        for number in range(MOST_SENDINGS):
            usable = self.allowed(self, entry, at)
            if not usable:
                break
            target = self._choose(usable, at)
            self.resting[entry].record_sent(str(target), at)
            self.found.repeats += number > 0
            at += WAY_S
            if self._take(target, entry, at):
                return
            at += WAY_S
            self.found.twice += number == 1
        self.found.refused += 1

    def _choose(self, usable: list[int], now: float) -> int:
        """Return the target with the least to do."""
        return min(usable, key=lambda one: (self._count(one, now), one))

    def _take(self, target: int, entry: int, now: float) -> bool:
        """Have a target work on a request; False where it turns it away."""
        waiting = self._count(target, now)
        name = str(target)
        if self.day.is_shedding(target, now) or waiting >= SLOTS + QUEUE:
            until = now + REST_S
            drawn = get_jitter_s(REST_S, self.rng.random())
            rest = Backoff(until + drawn, now, now)
            self.resting[entry].notices.record(name, rest)
            self.told[target] = max(self.told.get(target, 0), until)
            return False
        self.resting[entry].forget(name)
        slots = self.free_at[target]
        heappush(slots, max(heappop(slots), now) + WORK_S)
        self.found.served += 1
        if target < self.day.shedding:
            over_s = now - self.day.from_s - self.day.for_s
            self.found.back[floor(over_s)] += 1
        return True

    def _count(self, target: int, now: float) -> float:
        """Return how many requests a target has, by the work ahead of it."""
        ahead = sum(max(0, at - now) for at in self.free_at[target])
        return ahead / WORK_S


def learn_alone(fleet: Fleet, entry: int, now: float) -> list[int]:
    """Each entry knows only the rests that it was asked for."""
    return fleet.get_own(entry, now)


def keep_away(fleet: Fleet, entry: int, now: float) -> list[int]:
    """All keep away from what rests from anybody."""
    return fleet.get_untold(fleet.get_own(entry, now), now)


def spare(fleet: Fleet, entry: int, now: float) -> list[int]:
    """All spare what rests from anybody while there are other targets."""
    own = fleet.get_own(entry, now)
    return fleet.get_untold(own, now) or own


def spare_few(fleet: Fleet, entry: int, now: float) -> list[int]:
    """All spare what rests from anybody while enough of the targets is left."""
    own = fleet.get_own(entry, now)
    untold = fleet.get_untold(own, now)
    return untold if len(untold) >= len(own) * MIN_REMAINING_SHARE else own


WAYS: Mapping[str, Allowed] = MappingProxyType(
    {
        'alone': learn_alone,
        'keep away': keep_away,
        'spare': spare,
        'spare few': spare_few,
    }
)


def play(day: Day, allowed: Allowed) -> Found:
    """Return what a way comes to on the arrivals of a day."""
    fleet = Fleet(day, allowed)
    rng = Random(day.seed + 1)
    rate = day.load * day.targets * SLOTS / WORK_S
    now: float = 0
    while now < day.length_s:
        now += rng.expovariate(rate)
        fleet.ask(rng.randrange(day.entries), now)
    return fleet.found


@click.command()
@click.option('--seed', default=1)
def main(seed: int) -> None:
    """Print what each way comes to on some days."""
    click.echo(
        'entries shed/targets for_s load way: served repeats twice '
        'used after 1, 2, 3 s'
    )
    for entries in SIZES:
        for shedding, targets, for_s, load in DAYS:
            day = Day(entries, targets, load, shedding, for_s=for_s, seed=seed)
            for name, allowed in WAYS.items():
                found = play(day, allowed)
                total = found.served + found.refused
                usual = load * shedding * SLOTS / WORK_S
                click.echo(
                    f'{entries} {shedding}/{targets} {for_s} {load} {name}: '
                    f'{found.served / total:.3f} {found.repeats} '
                    f'{found.twice} {found.back[0] / usual:.2f} '
                    f'{found.back[1] / usual:.2f} {found.back[2] / usual:.2f}'
                )


if __name__ == '__main__':
    main()
