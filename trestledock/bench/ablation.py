"""
Ablation
========

What each mechanism of placement is worth: bursts of unlike prompts are played
with all of them, then with one switched off at a time, on the same seeds.
Worth is that of the kinds of requests on the users' sheets, which the decisions
don't know.
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
    NOW_SOURCES,
    SHORT,
    SOURCES,
    Source,
    make_bursts,
)
from trestledock.bench._sharing import Asked, make_fleet
from trestledock.relay import DEFAULT_POLICY, EngineModel, PlacementPolicy

#: The engines of a fleet whose prompts are long, and how many there are.
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
#: The engines of a large fleet by now: faster, with room for longer prompts.
NOW_ENGINE = EngineModel(
    batch=12,
    capacity_tokens=382_500,
    step_s=0.000925,
    read_rate=256_000,
    step_request_s=4.83e-6,
    step_context_s=2.54e-9,
    pair_s=9.17e-11,
    stride=52,
)
PLACES = 3
FIXED_SHARE = 0.3
MOST_WORTH = 4.0
#: The windows whose two worst are shown, in seconds.
WINDOW_S = 2.0
#: What a mechanism with a limit or a price is without it.
NO_LIMIT = float('inf')
SECONDS = 30.0
SEEDS = 16


@dataclass(frozen=True)
class WorkLoad:
    """What is played: a fleet, what comes, and what that is worth.

    `kinds` has the worth of each kind and its mean prompt in tokens; a request
    is worth 0.3 and 0.7 times its size against that, at most four times its
    kind.  Of `many` entries each sees its own data centre, which callers reach
    in waves.
    """

    engine: EngineModel
    engines: int
    entries: int
    sources: tuple[Source, ...]
    kinds: tuple[tuple[str, float, int], ...]
    many: bool = False


WORK_LOADS: Mapping[str, WorkLoad] = MappingProxyType(
    {
        'before': WorkLoad(
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
        'shifted': WorkLoad(
            NOW_ENGINE,
            engines=60,
            entries=72,
            sources=NOW_SOURCES,
            kinds=(
                (SHORT.name, 1.4, 4_960),
                (LONGER.name, 2.6, 45_000),
                (LONG.name, 30.0, 300_000),
            ),
            many=True,
        ),
    }
)
BEFORE = WORK_LOADS['before']

#: One row each: what is switched off, and the terms without it.
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
    """What was earned: shares of a day's worth and of its two worst windows."""

    whole: float
    worst: float


def play_day(
    terms: PlacementPolicy,
    seed: int,
    seconds: float = SECONDS,
    load: WorkLoad = BEFORE,
) -> Earned:
    """Play one day; return what was earned of it."""
    fleet = make_fleet(
        load.engine, load.engines, load.entries, PLACES, terms, many=load.many
    )
    waves = PLACES if load.many else 1
    asked = fleet.play(
        make_bursts(seed, seconds, load.entries, load.sources, waves)
    )
    windows: dict[int, list[Asked]] = {}
    for one in asked:
        number = int(one.prompt.at // WINDOW_S)
        windows.setdefault(number, []).append(one)
    shares = [get_earned_share(some, load) for some in windows.values()]
    return Earned(get_earned_share(asked, load), mean(sorted(shares)[:2]))


def get_earned_share(asked: list[Asked], load: WorkLoad = BEFORE) -> float:
    """Return the share of the worth of requests that was earned."""
    owed = sum(get_sheet_worth(one, load) for one in asked)
    earned = sum(get_sheet_worth(one, load) * one.earned for one in asked)
    return earned / owed


def get_sheet_worth(one: Asked, load: WorkLoad = BEFORE) -> float:
    """Return what a request is worth to its caller."""
    kinds = {name: (worth, tokens) for name, worth, tokens in load.kinds}
    worth, mean_tokens = kinds[one.prompt.kind.name]
    size = one.prompt.size.prompt_tokens / mean_tokens
    part = FIXED_SHARE + (1 - FIXED_SHARE) * size
    return worth * min(MOST_WORTH, part)


def make_table(
    seeds: int,
    rows: tuple[tuple[str, PlacementPolicy], ...] = ROWS,
    seconds: float = SECONDS,
    load: WorkLoad = BEFORE,
) -> Iterator[str]:
    """Yield the lines of the table, each as soon as it has been played.

    The difference is that to the first row, with its standard error.
    """
    yield '| switched off | earned | worst windows | least day | difference |'
    yield '|---|---|---|---|---|'
    base: list[float] = []
    for name, terms in rows:
        days = [play_day(terms, seed, seconds, load) for seed in range(seeds)]
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
    """Return the standard error of a mean; zero for a single figure."""
    if len(figures) == 1:
        return 0
    return stdev(figures) / math.sqrt(len(figures))


@click.command()
@click.option('--seeds', default=SEEDS, type=click.IntRange(min=1))
@click.option('--work', default='before', type=click.Choice(list(WORK_LOADS)))
def main(seeds: int, work: str) -> None:
    """Print what each mechanism of placement is worth, by what is played."""
    for line in make_table(seeds, load=WORK_LOADS[work]):
        click.echo(line)


if __name__ == '__main__':
    main()
