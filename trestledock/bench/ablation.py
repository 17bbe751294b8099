"""
Ablation
========

Measures the contribution of each placement mechanism: bursts of mixed prompts
are simulated with all mechanisms, and then with each of them disabled alone, on
the same seeds.  The measure is the worth that users specified for the kinds of
requests, which the placement decisions don't know.
"""

import math
from dataclasses import dataclass, replace
from statistics import mean, stdev
from types import MappingProxyType
from typing import Iterator, Mapping

import click

from trestledock.bench._bursts import (
    LONG,
    LONGER,
    SHORT,
    SHIFTED_SOURCES,
    SOURCES,
    Source,
    make_bursts,
)
from trestledock.bench._sharing import RequestState, make_fleet
from trestledock.relay import DEFAULT_POLICY, EngineModel, PlacementPolicy

#: The engines of a fleet that serves long prompts.
ENGINE = EngineModel(
    batch=8,
    capacity_tokens=405_000,
    step_s=0.00131,
    read_rate=154_000,
    step_request_s=9.17e-7,
    step_context_s=2.13e-9,
    pair_s=1.62e-10,
    stride=34,
)
#: The faster engines of the large fleet in the shifted workload.
SHIFTED_ENGINE = EngineModel(
    batch=12,
    capacity_tokens=382_500,
    step_s=0.000925,
    read_rate=256_000,
    step_request_s=4.83e-6,
    step_context_s=2.54e-9,
    pair_s=9.17e-11,
    stride=52,
)
DATA_CENTRES = 3
#: The share of the worth of a request that doesn't depend on its size, and the
#: largest ratio of its worth to that of its kind.
FIXED_SHARE = 0.3
MAX_WORTH_RATIO = 4.0
#: The length of a window in seconds; the table shows the mean of the two worst
#: windows.
WINDOW_S = 2.0
#: The value that disables a limit.
NO_LIMIT = float('inf')
SECONDS = 30.0
SEEDS = 16


@dataclass(frozen=True)
class Workload:
    """A fleet, its arrivals, and the worth of their kinds.

    `kinds` has the worth of each kind and its mean prompt length in tokens.  A
    request is worth 0.3 plus 0.7 times the ratio of its size to that mean, as a
    multiple of the worth of its kind, and at most 4 times that worth.  With
    `many`, each entry sees only its own data centre, and callers arrive in
    waves.
    """

    engine: EngineModel
    engines: int
    entries: int
    sources: tuple[Source, ...]
    kinds: tuple[tuple[str, float, int], ...]
    many: bool = False


WORKLOADS: Mapping[str, Workload] = MappingProxyType(
    {
        'before': Workload(
            ENGINE,
            engines=18,
            entries=9,
            sources=SOURCES,
            kinds=(
                (SHORT.name, 1.3, 4_960),
                (LONGER.name, 3.9, 45_000),
                (LONG.name, 24.0, 182_000),
            ),
        ),
        'shifted': Workload(
            SHIFTED_ENGINE,
            engines=60,
            entries=72,
            sources=SHIFTED_SOURCES,
            kinds=(
                (SHORT.name, 1.4, 4_960),
                (LONGER.name, 2.6, 45_000),
                (LONG.name, 30.0, 300_000),
            ),
            many=True,
        ),
    }
)
BEFORE = WORKLOADS['before']

#: The label and the policy of each row: the mechanism that is disabled, and the
#: policy without it.
ROWS: tuple[tuple[str, PlacementPolicy], ...] = (
    ('all mechanisms', DEFAULT_POLICY),
    ('no packing of short requests', replace(DEFAULT_POLICY, packing=False)),
    ('no helpers', replace(DEFAULT_POLICY, helpers=False)),
    ('own data centre not first', replace(DEFAULT_POLICY, prefer_local=False)),
    (
        'harm to others not counted',
        replace(DEFAULT_POLICY, weigh_cost_to_others=False),
    ),
    ('callers wait for ever', replace(DEFAULT_POLICY, abandonment=False)),
    ('no waiting for a better place', replace(DEFAULT_POLICY, waiting=False)),
    ('no queue of late ones', replace(DEFAULT_POLICY, queueing=False)),
    ('no price of idle engines', replace(DEFAULT_POLICY, idle_engine_cost=0)),
    (
        'no refusal for harm',
        replace(DEFAULT_POLICY, max_cost_to_others=NO_LIMIT),
    ),
    (
        'no engines of other data centres',
        replace(DEFAULT_POLICY, remote_targets=False),
    ),
    ('long prompts not told first', replace(DEFAULT_POLICY, claims=False)),
)


@dataclass(frozen=True)
class Earned:
    """Earned shares of worth: of a whole day, and of its two worst windows."""

    whole: float
    worst: float


def simulate_day(
    policy: PlacementPolicy,
    seed: int,
    seconds: float = SECONDS,
    workload: Workload = BEFORE,
) -> Earned:
    """Simulate state day; return its earned shares."""
    fleet = make_fleet(
        workload.engine,
        workload.engines,
        workload.entries,
        DATA_CENTRES,
        policy,
        many=workload.many,
    )
    waves = DATA_CENTRES if workload.many else 1
    states = fleet.simulate(
        make_bursts(seed, seconds, workload.entries, workload.sources, waves)
    )
    windows: dict[int, list[RequestState]] = {}
    for state in states:
        number = int(state.prompt.at // WINDOW_S)
        windows.setdefault(number, []).append(state)
    shares = [
        get_earned_user_share(window, workload) for window in windows.values()
    ]
    return Earned(
        get_earned_user_share(states, workload), mean(sorted(shares)[:2])
    )


def get_earned_user_share(
    states: list[RequestState], workload: Workload = BEFORE
) -> float:
    """Return the earned share of the worth of requests to their callers."""
    total = sum(get_user_worth(state, workload) for state in states)
    earned = sum(
        get_user_worth(state, workload) * state.earned for state in states
    )
    return earned / total


def get_user_worth(state: RequestState, workload: Workload = BEFORE) -> float:
    """Return the worth of a request to its caller."""
    kinds = {name: (worth, tokens) for name, worth, tokens in workload.kinds}
    worth, mean_tokens = kinds[state.prompt.kind.name]
    relative_size = state.prompt.size.prompt_tokens / mean_tokens
    ratio = FIXED_SHARE + (1 - FIXED_SHARE) * relative_size
    return worth * min(MAX_WORTH_RATIO, ratio)


def make_table(
    seeds: int,
    rows: tuple[tuple[str, PlacementPolicy], ...] = ROWS,
    seconds: float = SECONDS,
    workload: Workload = BEFORE,
) -> Iterator[str]:
    """Yield the lines of the table, each as soon as its days are simulated.

    The last column is the mean difference to the first row with its standard
    error.
    """
    yield '| switched off | earned | worst windows | least day | difference |'
    yield '|---|---|---|---|---|'
    base: list[float] = []
    for name, policy in rows:
        days = [
            simulate_day(policy, seed, seconds, workload)
            for seed in range(seeds)
        ]
        wholes = [day.whole for day in days]
        base = base or wholes
        differences = [
            whole - other for whole, other in zip(wholes, base, strict=True)
        ]
        worst = mean(day.worst for day in days)
        yield (
            f'| {name} | {mean(wholes):.3f} | {worst:.3f} | {min(wholes):.3f} '
            f'| {mean(differences):+.3f} ± {_get_error(differences):.3f} |'
        )


def _get_error(figures: list[float]) -> float:
    """Return the standard error of a mean, or zero for a single figure."""
    if len(figures) == 1:
        return 0
    return stdev(figures) / math.sqrt(len(figures))


@click.command()
@click.option('--seeds', default=SEEDS, type=click.IntRange(min=1))
@click.option('--work', default='before', type=click.Choice(list(WORKLOADS)))
def main(seeds: int, work: str) -> None:
    """Print the contribution of each placement mechanism to earned worth."""
    for line in make_table(seeds, workload=WORKLOADS[work]):
        click.echo(line)


if __name__ == '__main__':
    main()
