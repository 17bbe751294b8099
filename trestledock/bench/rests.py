"""
Strategies for shared back-off
==============================

Compares how entries should treat a target that rejected a request of another
entry and asked it to back off.  On the same arrivals, each entry uses only its
own back-offs; or all entries share them and avoid the target; or all share them
and use the target only if every other target has a back-off, or if too few
targets would be left.

Also compares what becomes of a back-off when its target restarts: it outlives
the start; or it ends, and the first requests go one at a time; or it is
forgotten.

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
from trestledock.relay import Backoff, Notices
from trestledock.relay._backoff import BackoffGate, get_jitter_s

#: The concurrent requests of a target, and the length of its queue.
SLOTS = 6
QUEUE = 24
#: The time of a request, and the network delay to a target, in seconds.
WORK_S = 0.03
NETWORK_DELAY_S = 0.002
#: The back-off that a target asks for, in seconds.
BACKOFF_S = 3.0
#: The most attempts for one request.
MAX_ATTEMPTS = 6
SIZES = (6, 24, 195)
#: The number of targets that shed load, the number of all targets, the time of
#: shedding in seconds, and the demand as a share of the total capacity.
SCENARIOS = (
    (1, 3, 5, 0.5),
    (1, 12, 5, 0.6),
    (2, 3, 5, 0.5),
    (3, 3, 5, 0.5),
    (3, 3, 0.1, 0.5),
    (1, 1, 0.1, 0.5),
)


#: The scenarios of restarts: the number of targets that shed load and restart
#: meanwhile, the number of all targets, the back-off that they ask for in
#: seconds, the demand, and whether the new starts shed load as well.
RESTARTS = (
    (1, 3, 3, 0.5, False),
    (1, 3, 3, 0.5, True),
    (3, 3, 1, 0.5, False),
    (3, 3, 3, 0.5, False),
    (3, 3, 3, 0.9, False),
    (3, 3, 3, 0.5, True),
    (3, 3, 30, 0.5, False),
)


@dataclass(frozen=True)
class Restart:
    """A restart of all targets that shed load, at an instant, for `down_s`."""

    at_s: float = 4.0
    down_s: float = 0.5
    sheds_again: bool = False


@dataclass(frozen=True)
class Scenario:
    """The load of all entries together, and the targets that shed it.

    `load` is a share of the capacity of all targets.  Each of the first
    `shedding` targets rejects all requests from `from_s` on, for `for_s`, with
    a back-off of `backoff_s`.
    """

    entries: int
    targets: int
    load: float
    shedding: int
    from_s: float = 2.0
    for_s: float = 5.0
    length_s: float = 14.0
    seed: int = 1
    backoff_s: float = BACKOFF_S
    restart: Restart | None = None

    def is_shedding(self, target: int, now: float) -> bool:
        """Return whether a target rejects all requests."""
        restart = self.restart
        if restart and now >= restart.at_s and not restart.sheds_again:
            return False
        in_time = self.from_s <= now < self.from_s + self.for_s
        return in_time and target < self.shedding

    def is_down(self, target: int, now: float) -> bool:
        """Return whether a target is between two starts."""
        if self.restart is None or target >= self.shedding:
            return False
        return 0 <= now - self.restart.at_s < self.restart.down_s


@dataclass
class Result:
    """The results of a strategy.

    `retries` counts the attempts after the first one, `rejected_twice` the
    requests whose first retry was rejected, and `returns` the requests that the
    shedding targets served, by the full seconds since the end of the shedding.
    """

    served: int = 0
    refused: int = 0
    retries: int = 0
    rejected_twice: int = 0
    returns: Counter[int] = field(default_factory=Counter)


TargetFilter = Callable[['Fleet', int, float], list[int]]
#: Changes the back-offs of a target that restarts at an instant.
Inheritance = Callable[['Fleet', str, float], None]


def keep_backoff(fleet: 'Fleet', target: str, now: float) -> None:
    """Keep the back-off of a target that restarts."""


def end_backoff(fleet: 'Fleet', target: str, now: float) -> None:
    """End the back-off; requests go one at a time until one is answered."""
    for gate in fleet.backoff_gates:
        if gate.has_backoff(target):
            gate.forget(target)
            gate.notices.record(target, Backoff(now, now, now))
    fleet.shared_backoffs.pop(int(target), None)


def forget_backoff(fleet: 'Fleet', target: str, now: float) -> None:
    """Forget the back-off of a target that restarts."""
    for gate in fleet.backoff_gates:
        gate.forget(target)
    fleet.shared_backoffs.pop(int(target), None)


@dataclass
class Fleet:
    """The targets, and the back-offs that each entry knows of."""

    scenario: Scenario
    select_targets: TargetFilter
    inherit: Inheritance = keep_backoff
    result: Result = field(default_factory=Result)
    restarted: bool = False

    def __post_init__(self) -> None:
        """Begin with idle targets."""
        self.rng = Random(self.scenario.seed)
        self.free_at = [
            [float() for _ in range(SLOTS)]
            for _ in range(self.scenario.targets)
        ]
        self.backoff_gates = [
            BackoffGate(Notices()) for _ in range(self.scenario.entries)
        ]
        self.shared_backoffs: dict[int, float] = {}

    def get_own_targets(self, entry: int, now: float) -> list[int]:
        """Return the targets for which an entry has no back-off of its own."""
        return [
            target
            for target in range(self.scenario.targets)
            if not self.scenario.is_down(target, now)
            and self.backoff_gates[entry].can_send(str(target), now)
        ]

    def get_unrestrained(self, targets: list[int], now: float) -> list[int]:
        """Return the targets without a back-off for any entry."""
        return [
            target
            for target in targets
            if self.shared_backoffs.get(target, 0) <= now
        ]

    def restart_if_due(self, now: float) -> None:
        """Restart the targets that shed load, once; they lose their queues."""
        restart = self.scenario.restart
        if self.restarted or restart is None or now < restart.at_s:
            return
        self.restarted = True
        for target in range(self.scenario.shedding):
            self.free_at[target] = [now for _ in range(SLOTS)]
            self.inherit(self, str(target), now)

    def send_request(self, entry: int, now: float) -> None:
        """Send a request until a target accepts it."""
        at = now
        for number in range(MAX_ATTEMPTS):
            usable = self.select_targets(self, entry, at)
            if not usable:
                break
            target = self._choose_target(usable, at)
            self.backoff_gates[entry].record_sent(str(target), at)
            self.result.retries += number > 0
            at += NETWORK_DELAY_S
            if self._handle_request(target, entry, at):
                return
            at += NETWORK_DELAY_S
            self.result.rejected_twice += number == 1
        self.result.refused += 1

    def _choose_target(self, usable: list[int], now: float) -> int:
        """Return the target with the fewest requests."""
        return min(
            usable,
            key=lambda target: (self._count_requests(target, now), target),
        )

    def _handle_request(self, target: int, entry: int, now: float) -> bool:
        """Let a target serve a request; return whether it accepts it."""
        request_count = self._count_requests(target, now)
        name = str(target)
        if (
            self.scenario.is_shedding(target, now)
            or request_count >= SLOTS + QUEUE
        ):
            backoff_s = self.scenario.backoff_s
            until = now + backoff_s
            jitter_s = get_jitter_s(backoff_s, self.rng.random())
            backoff = Backoff(until + jitter_s, now, now)
            self.backoff_gates[entry].notices.record(name, backoff)
            self.shared_backoffs[target] = max(
                self.shared_backoffs.get(target, 0), until
            )
            return False
        self.backoff_gates[entry].forget(name)
        slots = self.free_at[target]
        heappush(slots, max(heappop(slots), now) + WORK_S)
        self.result.served += 1
        if target < self.scenario.shedding:
            since_s = now - self.scenario.from_s - self.scenario.for_s
            self.result.returns[floor(since_s)] += 1
        return True

    def _count_requests(self, target: int, now: float) -> float:
        """Return the requests at a target, derived from its remaining work."""
        remaining_s = sum(max(0, at - now) for at in self.free_at[target])
        return remaining_s / WORK_S


def use_own_backoffs(fleet: Fleet, entry: int, now: float) -> list[int]:
    """Return the targets without a back-off for this entry."""
    return fleet.get_own_targets(entry, now)


def avoid_shared_backoffs(fleet: Fleet, entry: int, now: float) -> list[int]:
    """Return the targets without a back-off for any entry."""
    return fleet.get_unrestrained(fleet.get_own_targets(entry, now), now)


def prefer_unrestrained(fleet: Fleet, entry: int, now: float) -> list[int]:
    """Return the targets without any back-off; if none, those of the entry."""
    own = fleet.get_own_targets(entry, now)
    return fleet.get_unrestrained(own, now) or own


def prefer_if_enough(fleet: Fleet, entry: int, now: float) -> list[int]:
    """Return the targets without any back-off if enough of them remain."""
    own = fleet.get_own_targets(entry, now)
    unrestrained = fleet.get_unrestrained(own, now)
    return (
        unrestrained
        if len(unrestrained) >= len(own) * MIN_REMAINING_SHARE
        else own
    )


#: The strategies by their names in the table.
STRATEGIES: Mapping[str, TargetFilter] = MappingProxyType(
    {
        'alone': use_own_backoffs,
        'keep away': avoid_shared_backoffs,
        'spare': prefer_unrestrained,
        'spare few': prefer_if_enough,
    }
)


#: What becomes of a back-off at a restart, by the names in the table.
INHERITANCES: Mapping[str, Inheritance] = MappingProxyType(
    {
        'outlives': keep_backoff,
        'one at a time': end_backoff,
        'forgotten': forget_backoff,
    }
)


def simulate(
    scenario: Scenario,
    select_targets: TargetFilter,
    inherit: Inheritance = keep_backoff,
) -> Result:
    """Return the results of a strategy on the arrivals of a scenario."""
    fleet = Fleet(scenario, select_targets, inherit)
    rng = Random(scenario.seed + 1)
    rate = scenario.load * scenario.targets * SLOTS / WORK_S
    now: float = 0
    while now < scenario.length_s:
        now += rng.expovariate(rate)
        fleet.restart_if_due(now)
        fleet.send_request(rng.randrange(scenario.entries), now)
    return fleet.result


@click.command()
@click.option('--seed', default=1)
def main(seed: int) -> None:
    """Print the results of each strategy in several scenarios."""
    click.echo(
        'entries shed/targets for_s load way: served repeats twice '
        'used after 1, 2, 3 s'
    )
    for entries in SIZES:
        for shedding, targets, for_s, load in SCENARIOS:
            scenario = Scenario(
                entries, targets, load, shedding, for_s=for_s, seed=seed
            )
            for name, select_targets in STRATEGIES.items():
                result = simulate(scenario, select_targets)
                total = result.served + result.refused
                usual = load * shedding * SLOTS / WORK_S
                click.echo(
                    f'{entries} {shedding}/{targets} {for_s} {load} {name}: '
                    f'{result.served / total:.3f} {result.retries} '
                    f'{result.rejected_twice} {result.returns[0] / usual:.2f} '
                    f'{result.returns[1] / usual:.2f} '
                    f'{result.returns[2] / usual:.2f}'
                )

    echo_restarts(seed)


def echo_restarts(seed: int) -> None:
    """Print what becomes of requests where targets restart."""
    click.echo(
        'entries restarted/targets back-off load again way: '
        'served repeats twice'
    )
    for entries in SIZES:
        for shedding, targets, backoff_s, load, again in RESTARTS:
            scenario = Scenario(
                entries,
                targets,
                load,
                shedding,
                seed=seed,
                backoff_s=backoff_s,
                restart=Restart(sheds_again=again),
            )
            for name, inherit in INHERITANCES.items():
                result = simulate(scenario, prefer_if_enough, inherit)
                total = result.served + result.refused
                click.echo(
                    f'{entries} {shedding}/{targets} {backoff_s} {load} '
                    f'{again} {name}: {result.served / total:.3f} '
                    f'{result.retries} {result.rejected_twice}'
                )


if __name__ == '__main__':
    main()
